"""What one of many instances may take, so that all of them together stay within what the servers and
discovery were built for. All figures are reckoned anew whenever the fleet or the own traffic changes."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt

from cloverrouter.fleet.subset import golden_place, hashed

LEAST_SERVERS = 3  # for two draws to mean something, and one of them to fail
LEAST_HOLD_MS = 200.0  # an idle connection kept shorter than this serves nobody
SILVER = sqrt(2) - 1  # its multiples lie evenly, too
LEAST_PROBE_MS = 1000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """What all instances together may take. Settings; see docs/fleet.md."""

    connections: int = 300  # open on one server, of what it accepts
    cover: float = 12.0  # instances that keep to each server at least, on average
    idle_ms: float = 60_000.0  # longest that an idle connection is held
    probe_work_ms_s: float = 4.0  # work of probes on one server, milliseconds of a core a second
    probe_cost_ms: float = 0.6  # work of one probe
    discovery_per_s: float = 50.0  # calls, over all instances
    ask_least_ms: float = 1000.0  # an instance asks no more often than this
    ask_most_ms: float = 10_000.0  # and at least so often, whatever that costs: drains must be heard of
    starts_per_s: float = 200.0  # instances that begin to work in the same second
    start_most_ms: float = 30_000.0  # the longest that one waits with that

    def __post_init__(self) -> None:
        """Raises ValueError for a figure that can't be."""
        for name in self.__slots__:
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: found {getattr(self, name)}, allowed more than 0")
        if self.ask_least_ms > self.ask_most_ms:
            raise ValueError(f"ask_least_ms: found {self.ask_least_ms}, allowed at most ask_most_ms")


@dataclass(frozen=True, slots=True)
class Share:
    """What this instance is, as far as it knows."""

    instances: int  # this one included
    number: int  # from 0; numbers may have gaps, and two may have the same
    servers: int  # that are ready
    rate_per_s: float = 0.0  # own requests
    identity: str = ""  # tells instances of the same number apart

    @property
    def part(self) -> float:
        """Its part of everything that is shared."""
        return 1 / max(1, self.instances)


@dataclass(frozen=True, slots=True)
class Limits:
    """What it may take."""

    place: float  # where in the ring of servers its own begin, 0 to 1
    servers: int  # how many it keeps to
    connections: int  # open at once, idle ones; more may carry requests
    hold_ms: float  # for so long an idle one is kept
    probe_every_ms: float  # between probes of one server; infinity: none
    ask_every_ms: float  # between calls to discovery, and the longest that one waits for a change
    start_after_ms: float  # so long it waits with its first call and first connections


def place(share: Share) -> float:
    """Instances of the same number stand a little apart from each other."""
    apart = (hashed(share.identity) / 2**64 - 0.5) * share.part if share.identity else 0.0
    return (golden_place(share.number) + apart) % 1.0


def servers(share: Share, budget: Budget) -> int:
    """How many to keep to: enough that each is kept to by `cover` instances, and the own traffic, at one
    request a server in ten seconds, meets them all; but no more than connections allow one each."""
    wanted = max(
        LEAST_SERVERS, ceil(budget.cover * share.servers * share.part - 1e-9), int(10 * share.rate_per_s)
    )
    return max(1, min(share.servers, wanted)) if share.servers else 0


def held(share: Share, budget: Budget) -> tuple[int, float]:
    """(idle connections, for how long): together they average the own part of what all servers may hold.

    A part of less than one connection is one for less of the time: after each request it is kept for that
    part of the usual gap between requests, so that many such instances hold no more than their parts.
    """
    part = budget.connections * share.servers * share.part
    if part >= 1:
        return int(part), budget.idle_ms
    gap_ms = 1000 / share.rate_per_s if share.rate_per_s > 0 else float("inf")
    return 1, max(LEAST_HOLD_MS, min(budget.idle_ms, part * gap_ms))


def probe_every_ms(share: Share, budget: Budget) -> float:
    """Between two probes of one server by this instance, so that all probes of it stay in their budget."""
    if not share.servers:
        return float("inf")
    probing = max(1.0, servers(share, budget) * share.instances / share.servers)
    return max(LEAST_PROBE_MS, 1000 * probing * budget.probe_cost_ms / budget.probe_work_ms_s)


def limits(share: Share, budget: Budget) -> Limits:
    """All of them."""
    most, hold_ms = held(share, budget)
    ask_ms = 1000 * share.instances / budget.discovery_per_s
    spread_ms = min(budget.start_most_ms, 1000 * share.instances / budget.starts_per_s)
    # Even as the places in the ring are, and not in their order: else neighbours would start together, and
    # the servers be met one after the other.
    turn = (share.number * SILVER + hashed(share.identity) / 2**64 * share.part) % 1.0
    return Limits(
        place=place(share),
        servers=servers(share, budget),
        connections=most,
        hold_ms=hold_ms,
        probe_every_ms=probe_every_ms(share, budget),
        ask_every_ms=min(budget.ask_most_ms, max(budget.ask_least_ms, ask_ms)),
        start_after_ms=turn * spread_ms,
    )


class Estimate:
    """How many instances there are, where nobody tells: what servers say they hold, beside what they hold of
    this instance's. It is the number of instances like this one that would make up the traffic."""

    def __init__(self, gain: float = 0.05, first: float = 1.0) -> None:
        self._gain = gain
        self._own = self._all = 0.0
        self._first = first

    def add(self, held_by_server: float, own: int) -> None:
        """A load report came from a server on which so many requests of this instance are, this one included
        if its answer brought the report. Reports from servers without any count too: others are there."""
        self._own += self._gain * (own - self._own)
        self._all += self._gain * (max(held_by_server, own) - self._all)

    @property
    def instances(self) -> int:
        """At least 1; what it was begun with until something was seen."""
        if self._own <= 1e-9:
            return max(1, round(self._first))
        return max(1, round(self._all / self._own))
