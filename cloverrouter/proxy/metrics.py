"""The client proxy's metrics and their format (Prometheus text, version 0.0.4).

Counters run from the start of the process. Each is incremented at one place, where the event happens.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "proxy_"


class RequestOutcome(Enum):
    """How a request ended for its client; the values are metric labels."""

    ANSWERED = "answered"
    DEFERRED = "deferred"
    ERRORED = "errored"


@dataclass(frozen=True, slots=True)
class Gauges:
    """Values that are read when the metrics are requested."""

    current: int  # requests received and not yet answered
    cluster_size: int  # servers listed
    cluster_unhealthy: int  # listed servers that are avoided now


def escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Metrics:
    def __init__(self, classes: Iterable[str]) -> None:
        # Every class is exported from the start, with zeros: a series that first appears with a count can't
        # be told from one whose earlier samples were missed.
        self._ended = {name: dict.fromkeys(RequestOutcome, 0) for name in classes}
        self._sent = self._loaded = self._invalid = 0
        self.gauges: Callable[[], Gauges] = lambda: Gauges(0, 0, 0)

    def count_request(self, class_name: str, state: RequestOutcome) -> None:
        """Counts a request whose final answer the client has received, whole or cut off."""
        if class_name in self._ended:
            self._ended[class_name][state] += 1

    def count_sent(self) -> None:
        """Counts an attempt whose last byte was written to a server."""
        self._sent += 1

    def count_configuration(self, valid: bool) -> None:
        if valid:
            self._loaded += 1
        else:
            self._invalid += 1

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        gauges = self.gauges()
        ended = {
            f'{{group="{escape_label(name)}",state="{state.value}"}}': count
            for name, states in self._ended.items()
            for state, count in states.items()
        }
        return "".join(
            (
                metric_family("transactions_total", "counter", "Requests ended, by class and end.", ended),
                metric_family("sends_total", "counter", "Attempts written whole to servers.", self._sent),
                metric_family("current", "gauge", "Requests taken and not yet ended.", gauges.current),
                metric_family("cluster_size", "gauge", "Servers listed.", gauges.cluster_size),
                metric_family(
                    "cluster_unhealthy",
                    "gauge",
                    "Listed servers avoided now, by choice or by hand.",
                    gauges.cluster_unhealthy,
                ),
                metric_family("conf_loaded_total", "counter", "Configurations read.", self._loaded),
                metric_family("conf_invalid_total", "counter", "Configurations turned down.", self._invalid),
            )
        )


def metric_family(name: str, kind: str, help_text: str, values: int | dict[str, int]) -> str:
    samples = values if isinstance(values, dict) else {"": values}
    lines = [f"# HELP {PREFIX}{name} {help_text}", f"# TYPE {PREFIX}{name} {kind}"]
    lines += [f"{PREFIX}{name}{labels} {value}" for labels, value in samples.items()]
    return "\n".join(lines) + "\n"
