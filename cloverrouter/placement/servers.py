"""State that one proxy keeps of each server: the data of the server list, and what its own requests have
shown.

No source tells the load of a server quickly enough, so the state is mainly derived from the requests that
this proxy sent: how many are in flight, how they ended, and how long their answers took to begin.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

import attrs

from cloverrouter.placement.health import NO_RETRY_SUSPECT_RATE, SUSPECT_RATE, FailureRate
from cloverrouter.placement.options import IN_USE, PlacementOptions
from cloverrouter.placement.prefix import mix
from cloverrouter.placement.server_load import FULL_WEIGHT_S, ServerLoad, reading_weight

PAYOFF_WEIGHT = 0.2
"""Weight of one outcome in the smoothed payoff."""
PAYOFF_HALF_LIFE_S = 3.0
MIN_PENALTY = 0.05
LOST_CONNECTION_WEIGHT = 0.45
"""Weight of a lost connection as a failure. It is below 1 because it proves little about the server; for
retryable requests the pause is enough."""
PAUSE_BASE_S = 0.25
PAUSE_CAP_S = 4.0
DELAY_WEIGHT = 0.3
DELAY_HALF_LIFE_S = 1.5
"""A learnt delay decays, so that a server that gets no requests is tried again."""
UNRESPONSIVE_S = 0.35
"""A server that has sent nothing for this long while a request waits for its first byte is unresponsive."""
RECENTLY_RECEIVED_S = 1.5
"""A server that the head considers silent is still used if it sent this proxy something this recently."""
OVERDUE_S = 0.7
"""A server is avoided once a request has waited this long for its answer to begin, whatever else the server
sends."""
MAX_SUSPECTS_DIVISOR = 3
"""If more than half of the servers are suspect, only one server in this many is avoided."""
FEW_DIVISOR = 3
"""Overdue requests at no more than one server in this many are blamed on the servers, not on load."""
WARMUP_FACTOR = 0.5
"""Factor on the payoff of a server that is still warming up."""


@attrs.frozen(slots=True)
class Server:
    """One instance of a service, as in the server list."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    ready: bool
    """False once it is draining or gone; such an instance never becomes ready again."""
    warm_at: float = 0.0
    """Time at which its warm-up ends."""
    silent: bool = False
    """Whether it has missed its announcements for a while."""


@attrs.define(slots=True, eq=False)
class ServerState:
    """A server and what this proxy's own requests have shown of it."""

    server: Server
    payoff: float
    """Smoothed share of successful outcomes, 0 to 1."""
    in_flight: int = 0
    ready: bool = True
    seed: int = attrs.field(init=False)
    """Hash of the server's id for rendezvous hashing; the same in every process."""
    paused_until: float = 0.0
    warned_until: float = 0.0
    """End of the warning that other proxies found it failing."""
    last_failure_at: float = 0.0
    """When it last failed a request, here or (as the head reported) elsewhere."""
    failure_rate: FailureRate = attrs.field(factory=FailureRate)
    load: ServerLoad | None = None
    """Latest load reading, received by this proxy or another."""
    load_at: float = 0.0
    _failures: int = 0
    _failed_at: float = 0.0
    _delay_ms: float = 0.0
    _delay_at: float = 0.0
    _last_received_at: float = float("-inf")
    _unanswered: dict[int, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.seed = mix(crc32(self.server.id.encode()))

    def update_server(self, server: Server) -> None:
        """Applies a changed entry of the server list."""
        if server.address != self.server.address:
            self.paused_until = 0.0
        self.server = server
        self.ready = server.ready and self.ready

    def record_sent(self, attempt: int, now: float) -> None:
        """Records that an attempt was sent."""
        self.in_flight += 1
        self._unanswered[attempt] = now

    def record_first_byte(self, attempt: int, now: float) -> None:
        """Records the first byte of an answer to that attempt."""
        self._unanswered.pop(attempt, None)
        self._last_received_at = now

    def record_bytes(self, now: float) -> None:
        """Records that any bytes came from the server."""
        self._last_received_at = now

    def record_end(self, attempt: int) -> None:
        """Records the end of an attempt, however it ended."""
        self.in_flight -= 1
        self._unanswered.pop(attempt, None)

    def update_load(self, load: ServerLoad, at: float) -> None:
        """Records a load reading taken at that time, if it is the newest."""
        if self.load is None or at > self.load_at:
            self.load = load
            self.load_at = at

    def occupancy(self, now: float) -> float:
        """Returns the reported share of slots in use, weighted by the age of the reading; 0 without one."""
        if self.load is None:
            return 0.0
        return self.load.occupancy * reading_weight(now - self.load_at)

    def is_full(self, now: float) -> bool:
        """Returns whether a recent reading says that it has no free slot."""
        return self.load is not None and now - self.load_at < FULL_WEIGHT_S and self.load.occupancy >= 1.0

    def has_free_slots(self, now: float) -> bool:
        """Returns whether a recent reading says that it has free slots."""
        return self.load is not None and now - self.load_at < FULL_WEIGHT_S and self.load.occupancy < 1.0

    def record_success(self, now: float = 0.0) -> None:
        """Records a success. The failure count is only halved, so that a flapping server is still paused for
        longer each time."""
        self.payoff += PAYOFF_WEIGHT * (1.0 - self.payoff)
        self._failures //= 2
        self.paused_until = 0.0
        self.failure_rate.record_success(now)

    def reduce_payoff(self, now: float = 0.0) -> None:
        """Records an unsuccessful answer: an error or a refusal."""
        self.payoff -= PAYOFF_WEIGHT * self.payoff
        self._failed_at = now

    def record_error(self, now: float) -> None:
        """Records a failure caused by the server itself."""
        self.reduce_payoff(now)
        self.last_failure_at = now
        self.failure_rate.record_failure(now)

    def record_lost_connection(self, now: float) -> None:
        """Records a failed or broken connection, or a missing answer: pauses the server with exponential
        backoff."""
        self.reduce_payoff(now)
        pause = min(PAUSE_CAP_S, PAUSE_BASE_S * 2.0**self._failures)
        self.paused_until = now + pause
        self._failures += 1
        self.last_failure_at = now
        self.failure_rate.record_failure(now, LOST_CONNECTION_WEIGHT)

    def record_no_answer(self, now: float) -> None:
        """Records that a request was never answered."""
        self.record_lost_connection(now)
        self.failure_rate.record_failure(now)

    def record_delay(self, excess_ms: float, now: float) -> None:
        """Records an answer that began this much later than its work explains (negative: earlier)."""
        current_ms = self.delay_ms(now)
        self._delay_ms = max(0.0, current_ms + DELAY_WEIGHT * (excess_ms - current_ms))
        self._delay_at = now

    def delay_ms(self, now: float) -> float:
        """Returns how much later than its work explains an answer is expected to begin, in milliseconds."""
        if self._delay_ms < 0.1:
            return 0.0
        return float(self._delay_ms * 0.5 ** ((now - self._delay_at) / DELAY_HALF_LIFE_S))

    def oldest_wait_ms(self, now: float) -> float:
        """Returns how long the oldest request has been waiting for its answer to begin, in milliseconds."""
        if not self._unanswered:
            return 0.0
        return (now - next(iter(self._unanswered.values()))) * 1000

    def has_overdue_request(self, now: float) -> bool:
        """Returns whether a request has been waiting for longer than `OVERDUE_S`."""
        if not self._unanswered:
            return False
        return now - next(iter(self._unanswered.values())) > OVERDUE_S

    def expected_delay_ms(self, now: float, mean_ttft_ms: float) -> float:
        """Returns how late an answer is expected to begin, from recent answers and from requests still
        waiting, in milliseconds."""
        return max(self.delay_ms(now), self.oldest_wait_ms(now) - mean_ttft_ms)

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether a request has been waiting while nothing at all came from the server."""
        if not self._unanswered:
            return False
        oldest = next(iter(self._unanswered.values()))
        return now - max(oldest, self._last_received_at) > UNRESPONSIVE_S

    def is_silent(self, now: float) -> bool:
        """Returns whether it has missed its announcements and has not sent this proxy anything recently."""
        return self.server.silent and now - self._last_received_at >= RECENTLY_RECEIVED_S

    def should_avoid(self, now: float, check_unresponsive: bool = True) -> bool:
        """Returns whether other servers are to be preferred for now; `check_unresponsive` includes servers
        that don't answer a waiting request."""
        return (
            self.is_silent(now)
            or now < self.paused_until
            or (check_unresponsive and self.is_unresponsive(now))
        )

    def apply_warning(self, now: float, until: float) -> None:
        """Records a warning that other proxies found it failing."""
        self.warned_until = until
        self.last_failure_at = now

    def is_suspect(self, now: float, no_retry: bool = False) -> bool:
        """Returns whether it is likely to fail a request; `no_retry` for one that must not be retried."""
        if now < self.warned_until:
            return True
        return self.failure_rate.rate(now) > (NO_RETRY_SUSPECT_RATE if no_retry else SUSPECT_RATE)

    def expected_payoff(self, now: float) -> float:
        """Returns the payoff, reduced during warm-up. Penalties decay, since a server that looks worse than
        all others gets no request that could show its recovery."""
        penalty = 1.0 - self.payoff
        if penalty > 0.0:
            penalty *= 0.5 ** ((now - self._failed_at) / PAYOFF_HALF_LIFE_S)
        payoff = 1.0 - penalty if penalty >= MIN_PENALTY else 1.0
        return payoff * (WARMUP_FACTOR if now < self.server.warm_at else 1.0)


class ServiceServers:
    """The servers of one service."""

    def __init__(self, options: PlacementOptions = IN_USE) -> None:
        self._options = options
        self.states: dict[str, ServerState] = {}
        self.ready: list[ServerState] = []
        self.generation = 0
        """Incremented whenever the set of ready servers changes."""
        self._displaced: set[str] = set()

    def update_server(self, server: Server) -> None:
        """Adds or updates a server."""
        state = self.states.get(server.id)
        if state is None:
            self._add_server(server)
            return
        state.update_server(server)
        if not state.ready:
            self._remove_ready(state)

    def remove_displaced(self, state: ServerState) -> None:
        """Removes an instance at whose address another one answered, even if the server list lags behind."""
        state.ready = False
        self._displaced.add(state.server.id)
        self._remove_ready(state)

    def few_overdue(self, now: float) -> list[ServerState]:
        """Returns the servers with overdue requests; none if they are many, since then load is the likely
        cause."""
        found = [one for one in self.ready if one.has_overdue_request(now)]
        return found if len(found) <= self.max_overdue else []

    @property
    def max_overdue(self) -> int:
        """Number of servers that may have overdue requests without load being the likely cause."""
        return max(1, len(self.ready) // FEW_DIVISOR)

    def usable(self, among: Iterable[ServerState], now: float, no_retry: bool = False) -> list[ServerState]:
        """Returns the servers that are neither suspect nor to be avoided. If most servers are suspect, only
        those that failed last are excluded: the rest could not carry the load, and the others may have
        recovered."""
        suspects = {one for one in self.ready if self._options.failure_rate and one.is_suspect(now, no_retry)}
        if 2 * len(suspects) > len(self.ready):
            latest = sorted(suspects, key=lambda one: one.last_failure_at, reverse=True)
            suspects = set(latest[: len(self.ready) // MAX_SUSPECTS_DIVISOR])
        suspects.update(self.few_overdue(now))
        check_unresponsive = self._options.doubts
        return [one for one in among if one not in suspects and not one.should_avoid(now, check_unresponsive)]

    def total_in_flight(self) -> int:
        """Returns the number of this proxy's requests in flight at the ready servers."""
        return sum([state.in_flight for state in self.ready])

    def addresses(self) -> Iterable[tuple[str, int]]:
        """Returns the addresses of all known servers."""
        return (state.server.address for state in self.states.values())

    def remove_departed(self) -> list[str]:
        """Drops the servers that have left and have no requests in flight; returns their ids."""
        removed = [key for key, one in self.states.items() if not one.ready and not one.in_flight]
        for key in removed:
            del self.states[key]
        return removed

    def _add_server(self, server: Server) -> None:
        if not server.ready:
            self._displaced.discard(server.id)  # the server list has caught up
        elif server.id not in self._displaced:
            state = self.states[server.id] = ServerState(server, self._mean_payoff())
            self.ready.append(state)
            self.generation += 1

    def _remove_ready(self, state: ServerState) -> None:
        if state in self.ready:
            self.ready.remove(state)
            self.generation += 1

    def _mean_payoff(self) -> float:
        if not self.ready:
            return 1.0
        return sum([state.payoff for state in self.ready]) / len(self.ready)
