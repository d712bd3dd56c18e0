"""Limits for one of many instances, so that all of them together stay within what the servers and discovery
are sized for. All limits are computed anew whenever the fleet or the instance's own traffic changes."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt

from cloverrouter.fleet.subset import golden_ratio_position, hash64

MIN_SERVERS = 3  # a choice between two random servers still works when one of them has failed
MIN_IDLE_TIMEOUT_MS = 200.0  # a connection closed sooner than this is hardly ever reused
START_ORDER_STEP = sqrt(2) - 1  # the fractional parts of its multiples are evenly spread, too
MIN_PROBE_INTERVAL_MS = 1000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """What all instances together may use. Field names are settings; see docs/fleet.md."""

    connections: int = 300  # open connections to one server, of those that it accepts
    cover: float = 12.0  # least average number of instances that use each server
    idle_ms: float = 60_000.0  # longest that an idle connection is kept open
    probe_work_ms_s: float = 4.0  # CPU time of probes on one server, core milliseconds per second
    probe_cost_ms: float = 0.6  # CPU time of one probe
    discovery_per_s: float = 50.0  # calls to discovery, over all instances
    ask_least_ms: float = 1000.0  # shortest interval between an instance's calls to discovery
    ask_most_ms: float = 10_000.0  # longest such interval, whatever the calls cost, so that drains are seen
    starts_per_s: float = 200.0  # instances that begin to work in the same second
    start_most_ms: float = 30_000.0  # longest delay before an instance begins to work

    def __post_init__(self) -> None:
        """Raises ValueError for a value out of range."""
        for name in self.__slots__:
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: found {getattr(self, name)}, allowed more than 0")
        if self.ask_least_ms > self.ask_most_ms:
            raise ValueError(f"ask_least_ms: found {self.ask_least_ms}, allowed at most ask_most_ms")


@dataclass(frozen=True, slots=True)
class Share:
    """The fleet as this instance knows it, and the instance's place in it."""

    instances: int  # this one included
    number: int  # from 0; numbers may have gaps, and two instances may have the same one
    servers: int  # servers that are ready
    rate_per_s: float = 0.0  # this instance's requests
    identity: str = ""  # distinguishes instances of the same number

    @property
    def fraction(self) -> float:
        """This instance's fraction of every shared budget."""
        return 1 / max(1, self.instances)


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one instance."""

    ring_position: float  # where its servers begin in the ring of servers, 0 to 1
    servers: int  # how many servers it uses
    connections: int  # open idle connections; more may be open while they carry requests
    idle_timeout_ms: float  # how long an idle connection is kept open
    probe_interval_ms: float  # between probes of one server; infinity: no probes
    poll_interval_ms: float  # between calls to discovery, and the longest that one waits for a change
    start_delay_ms: float  # delay of its first call and first connections


def ring_position(share: Share) -> float:
    """Returns the position in the ring of servers, 0 to 1. Instances of the same number get positions that
    differ slightly."""
    offset = (hash64(share.identity) / 2**64 - 0.5) * share.fraction if share.identity else 0.0
    return (golden_ratio_position(share.number) + offset) % 1.0


def subset_size(share: Share, budget: Budget) -> int:
    """Returns how many servers to use: enough that each server is used by `cover` instances, and as many
    as this instance sends requests in ten seconds; at most all servers."""
    wanted = max(
        MIN_SERVERS, ceil(budget.cover * share.servers * share.fraction - 1e-9), int(10 * share.rate_per_s)
    )
    return max(1, min(share.servers, wanted)) if share.servers else 0


def idle_connection_limits(share: Share, budget: Budget) -> tuple[int, float]:
    """Returns (number of idle connections, idle timeout in ms). Their average over time is this instance's
    fraction of all connections that the servers may have open.

    A fraction of less than one connection is one connection for a part of the time: after each request it is
    kept open for that part of the mean time between requests, so that many such instances together stay
    within their fractions.
    """
    allowance = budget.connections * share.servers * share.fraction
    if allowance >= 1:
        return int(allowance), budget.idle_ms
    gap_ms = 1000 / share.rate_per_s if share.rate_per_s > 0 else float("inf")
    return 1, max(MIN_IDLE_TIMEOUT_MS, min(budget.idle_ms, allowance * gap_ms))


def probe_interval_ms(share: Share, budget: Budget) -> float:
    """Returns the time between this instance's probes of one server that keeps the probes of all instances
    within their budget."""
    if not share.servers:
        return float("inf")
    instances_per_server = max(1.0, subset_size(share, budget) * share.instances / share.servers)
    return max(
        MIN_PROBE_INTERVAL_MS, 1000 * instances_per_server * budget.probe_cost_ms / budget.probe_work_ms_s
    )


def limits(share: Share, budget: Budget) -> Limits:
    """Returns all limits of this instance."""
    max_idle, idle_timeout_ms = idle_connection_limits(share, budget)
    ask_ms = 1000 * share.instances / budget.discovery_per_s
    spread_ms = min(budget.start_most_ms, 1000 * share.instances / budget.starts_per_s)
    # The start order is as evenly spread as the ring positions, but differs from their order. Otherwise
    # neighbours in the ring would start together, and the servers be hit one after the other.
    start_fraction = (share.number * START_ORDER_STEP + hash64(share.identity) / 2**64 * share.fraction) % 1.0
    return Limits(
        ring_position=ring_position(share),
        servers=subset_size(share, budget),
        connections=max_idle,
        idle_timeout_ms=idle_timeout_ms,
        probe_interval_ms=probe_interval_ms(share, budget),
        poll_interval_ms=min(budget.ask_most_ms, max(budget.ask_least_ms, ask_ms)),
        start_delay_ms=start_fraction * spread_ms,
    )


class FleetSizeEstimator:
    """Estimates how many instances there are from load reports: the requests that a server has open, compared
    with those of this instance. The estimate is the number of instances like this one that would make up the
    traffic."""

    def __init__(self, gain: float = 0.05, first: float = 1.0) -> None:
        """`gain`: weight of a new sample in the moving averages; `first`: the estimate before any report."""
        self._gain = gain
        self._own = self._all = 0.0
        self._first = first

    def add(self, open_on_server: float, own: int) -> None:
        """Adds a server's load report. `own`: this instance's open requests on that server, including the one
        whose answer brought the report. Reports from servers on which this instance has no open request count
        as well: they show the other instances' traffic."""
        self._own += self._gain * (own - self._own)
        self._all += self._gain * (max(open_on_server, own) - self._all)

    @property
    def instances(self) -> int:
        """At least 1; the initial estimate until a report has shown a request of this instance."""
        if self._own <= 1e-9:
            return max(1, round(self._first))
        return max(1, round(self._all / self._own))
