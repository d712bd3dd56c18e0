"""Metrics in the Prometheus text exposition format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n", '"': r"\""})


@attrs.frozen(slots=True)
class Metric:
    """One metric with its samples."""

    name: str
    kind: str
    """``counter`` or ``gauge``."""
    help_text: str
    samples: tuple[tuple[Mapping[str, str], float], ...]
    """The labels and the value of each sample."""

    @classmethod
    def single(cls, name: str, kind: str, help_text: str, value: float) -> Metric:
        """Returns a metric with one sample that has no labels."""
        return cls(name, kind, help_text, (({}, value),))


def prometheus_text(metrics: Iterable[Metric]) -> bytes:
    """Returns the text of all metrics, in their order."""
    lines: list[str] = []
    for metric in metrics:
        lines.append(f"# HELP {metric.name} {metric.help_text.translate(_ESCAPES)}")
        lines.append(f"# TYPE {metric.name} {metric.kind}")
        lines += (f"{metric.name}{_labels(labels)} {value:.17g}" for labels, value in metric.samples)
    return "".join(f"{line}\n" for line in lines).encode()


def _labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{value.translate(_ESCAPES)}"' for name, value in labels.items())
    return f"{{{','.join(pairs)}}}"
