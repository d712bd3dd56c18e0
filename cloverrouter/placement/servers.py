"""What one proxy knows of the servers: what is told of them, and what its own requests have shown.

Nobody tells how busy a server is in time to be of use, so its standing comes from the requests that this
proxy sent: how many are under way, how they ended, and how long they took to begin.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

import attrs

from cloverrouter.placement.health import NON_RETRYABLE_SUSPECT_RATE, SUSPECT_RATE, FailureRate
from cloverrouter.placement.options import IN_USE, PlacementOptions
from cloverrouter.placement.prefix import mix
from cloverrouter.placement.server_load import FULL_WEIGHT_S, ServerLoad, reading_weight

PAYOFF_WEIGHT = 0.2
"""How far one outcome moves the smoothed payoff."""
PAYOFF_HALF_LIFE_S = 3.0
MIN_PENALTY = 0.05
LOST_CONNECTION_WEIGHT = 0.45
"""A broken connection is no word of the server; for requests that can be sent again the pause is enough."""
PAUSE_BASE_S = 0.25
PAUSE_CAP_S = 4.0
DELAY_WEIGHT = 0.3
DELAY_HALF_LIFE_S = 1.5
"""Old knowledge of a server's delay fades: a server that nobody tries is tried again."""
UNRESPONSIVE_S = 0.35
"""A server that has sent nothing for this long while a request waits for its first byte is doubted."""
HEARD_LATELY_S = 1.5
"""A server that the head takes for silent is asked on while it sent this proxy something so lately."""
OVERDUE_S = 0.7
"""A server where a request waits so long for its answer to begin is suspected, whatever else it sends."""
MAX_SUSPECTS_DIVISOR = 3
"""One server in so many is left alone where more than half are suspected."""
FEW_DIVISOR = 3
"""One server in so many counts as few."""
WARMUP_FACTOR = 0.5
"""What a server that still warms up is worth."""


@attrs.frozen(slots=True)
class Server:
    """One instance of a service, as the list of servers tells it."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    ready: bool
    """False once it is draining or gone; such an instance never becomes ready again."""
    warm_at: float = 0.0
    """When it is at its full speed."""
    silent: bool = False
    """It has not announced itself for a while."""


@attrs.define(slots=True, eq=False)
class Standing:
    """A server and what this proxy's own requests have shown of it."""

    server: Server
    payoff: float
    """Smoothed worth of its outcomes, 0 to 1."""
    in_flight: int = 0
    ready: bool = True
    seed: int = attrs.field(init=False)
    """Of the server's place in the orders of subjects: the same in every process."""
    paused_until: float = 0.0
    warned_until: float = 0.0
    """Other proxies found it failing."""
    last_failure_at: float = 0.0
    """When it last failed a request, here or, as the head told, elsewhere."""
    failure_rate: FailureRate = attrs.field(factory=FailureRate)
    load: ServerLoad | None = None
    """What it told last of its load, to this proxy or another."""
    load_at: float = 0.0
    _failures: int = 0
    _failed_at: float = 0.0
    _delay_ms: float = 0.0
    _delay_at: float = 0.0
    _last_received_at: float = float("-inf")
    _unanswered: dict[int, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.seed = mix(crc32(self.server.id.encode()))

    def told(self, server: Server) -> None:
        """Take over what the list of servers says now."""
        if server.address != self.server.address:
            self.paused_until = 0.0
        self.server = server
        self.ready = server.ready and self.ready

    def sent(self, attempt: int, now: float) -> None:
        """An attempt is on its way."""
        self.in_flight += 1
        self._unanswered[attempt] = now

    def heard(self, attempt: int, now: float) -> None:
        """The first byte of an answer to that attempt came."""
        self._unanswered.pop(attempt, None)
        self._last_received_at = now

    def alive(self, now: float) -> None:
        """Anything came from the server."""
        self._last_received_at = now

    def finished(self, attempt: int) -> None:
        """The attempt is over, in whatever way."""
        self.in_flight -= 1
        self._unanswered.pop(attempt, None)

    def load_told(self, load: ServerLoad, at: float) -> None:
        """It told its load at that time."""
        if self.load is None or at > self.load_at:
            self.load = load
            self.load_at = at

    def occupancy(self, now: float) -> float:
        """Part of its places that is taken, as far as it told lately."""
        if self.load is None:
            return 0.0
        return self.load.occupancy * reading_weight(now - self.load_at)

    def is_full(self, now: float) -> bool:
        """Whether it told just now that it has no place left."""
        return self.load is not None and now - self.load_at < FULL_WEIGHT_S and self.load.occupancy >= 1.0

    def has_free_slots(self, now: float) -> bool:
        """Whether it told just now that it has places left."""
        return self.load is not None and now - self.load_at < FULL_WEIGHT_S and self.load.occupancy < 1.0

    def succeeded(self, now: float = 0.0) -> None:
        """An answer of worth came. One that goes up and down by turns is still left alone for longer."""
        self.payoff += PAYOFF_WEIGHT * (1.0 - self.payoff)
        self._failures //= 2
        self.paused_until = 0.0
        self.failure_rate.record_success(now)

    def failed(self, now: float = 0.0) -> None:
        """An answer without worth came: an error or a refusal."""
        self.payoff -= PAYOFF_WEIGHT * self.payoff
        self._failed_at = now

    def erred(self, now: float) -> None:
        """The server's own failure came."""
        self.failed(now)
        self.last_failure_at = now
        self.failure_rate.record_failure(now)

    def lost(self, now: float) -> None:
        """No connection came up, or one broke, or nothing came: leave it alone for a growing while."""
        self.failed(now)
        pause = min(PAUSE_CAP_S, PAUSE_BASE_S * 2.0**self._failures)
        self.paused_until = now + pause
        self._failures += 1
        self.last_failure_at = now
        self.failure_rate.record_failure(now, LOST_CONNECTION_WEIGHT)

    def never_answered(self, now: float) -> None:
        """A request waited there in vain."""
        self.lost(now)
        self.failure_rate.record_failure(now)

    def delayed(self, excess_ms: float, now: float) -> None:
        """An answer began this much later than its work explains (less than 0: earlier)."""
        current_ms = self.delay_ms(now)
        self._delay_ms = max(0.0, current_ms + DELAY_WEIGHT * (excess_ms - current_ms))
        self._delay_at = now

    def delay_ms(self, now: float) -> float:
        """How much later than its work explains an answer is expected to begin."""
        if self._delay_ms < 0.1:
            return 0.0
        return float(self._delay_ms * 0.5 ** ((now - self._delay_at) / DELAY_HALF_LIFE_S))

    def oldest_wait_ms(self, now: float) -> float:
        """How long the oldest request has been waiting there for its answer to begin."""
        if not self._unanswered:
            return 0.0
        return (now - next(iter(self._unanswered.values()))) * 1000

    def has_overdue_request(self, now: float) -> bool:
        """Whether a request has been waiting there for far too long."""
        if not self._unanswered:
            return False
        return now - next(iter(self._unanswered.values())) > OVERDUE_S

    def expected_delay_ms(self, now: float, usual_ms: float) -> float:
        """How much later than usual an answer is expected to begin there, by what came and by who waits."""
        return max(self.delay_ms(now), self.oldest_wait_ms(now) - usual_ms)

    def is_unresponsive(self, now: float) -> bool:
        """Whether a request has been waiting there while nothing at all came from the server."""
        if not self._unanswered:
            return False
        oldest = next(iter(self._unanswered.values()))
        return now - max(oldest, self._last_received_at) > UNRESPONSIVE_S

    def is_silent(self, now: float) -> bool:
        """Whether it has announced itself to nobody for a while, nor sent this proxy anything."""
        return self.server.silent and now - self._last_received_at >= HEARD_LATELY_S

    def avoided(self, now: float, check_unresponsive: bool = True) -> bool:
        """Whether others are to be preferred for the time being; without `check_unresponsive`, whatever waits there."""
        return (
            self.is_silent(now)
            or now < self.paused_until
            or (check_unresponsive and self.is_unresponsive(now))
        )

    def warned(self, now: float, until: float) -> None:
        """Other proxies found it failing."""
        self.warned_until = until
        self.last_failure_at = now

    def is_suspect(self, now: float, careful: bool = False) -> bool:
        """Whether it is likely to fail a request; `careful` for one that can't be sent again."""
        if now < self.warned_until:
            return True
        return self.failure_rate.rate(now) > (NON_RETRYABLE_SUSPECT_RATE if careful else SUSPECT_RATE)

    def expected_payoff(self, now: float) -> float:
        """Payoff, less while it is not at its full speed. What speaks against it fades, since a server that
        looks worse than all others gets no request that could show that it has recovered."""
        penalty = 1.0 - self.payoff
        if penalty > 0.0:
            penalty *= 0.5 ** ((now - self._failed_at) / PAYOFF_HALF_LIFE_S)
        payoff = 1.0 - penalty if penalty >= MIN_PENALTY else 1.0
        return payoff * (WARMUP_FACTOR if now < self.server.warm_at else 1.0)


class ServiceServers:
    """The servers of one service."""

    def __init__(self, options: PlacementOptions = IN_USE) -> None:
        self._options = options
        self.states: dict[str, Standing] = {}
        self.ready: list[Standing] = []
        self.generation = 0
        """Rises whenever the set of ready servers changes."""
        self._displaced: set[str] = set()

    def told(self, server: Server) -> None:
        """Add or change a server."""
        state = self.states.get(server.id)
        if state is None:
            self._add_server(server)
            return
        state.told(server)
        if not state.ready:
            self._remove_ready(state)

    def displaced(self, state: Standing) -> None:
        """Another instance answered at its address: it is gone, also if the list of servers lags behind."""
        state.ready = False
        self._displaced.add(state.server.id)
        self._remove_ready(state)

    def few_overdue(self, now: float) -> list[Standing]:
        """The few servers at which requests have been waiting for far too long; none if they are many, which
        load makes of them."""
        found = [one for one in self.ready if one.has_overdue_request(now)]
        return found if len(found) <= self.max_overdue else []

    @property
    def max_overdue(self) -> int:
        """So many servers may keep requests waiting without load being the likely cause."""
        return max(1, len(self.ready) // FEW_DIVISOR)

    def usable(self, among: Iterable[Standing], now: float, careful: bool = False) -> list[Standing]:
        """Those that nothing speaks against. If most of the servers are suspected, only the latest to fail
        count: the rest could not carry the load, and may have recovered."""
        suspects = {one for one in self.ready if self._options.failure_rate and one.is_suspect(now, careful)}
        if 2 * len(suspects) > len(self.ready):
            latest = sorted(suspects, key=lambda one: one.last_failure_at, reverse=True)
            suspects = set(latest[: len(self.ready) // MAX_SUSPECTS_DIVISOR])
        suspects.update(self.few_overdue(now))
        check_unresponsive = self._options.doubts
        return [one for one in among if one not in suspects and not one.avoided(now, check_unresponsive)]

    def total_in_flight(self) -> int:
        """This proxy's requests under way at the ready servers."""
        return sum([state.in_flight for state in self.ready])

    def addresses(self) -> Iterable[tuple[str, int]]:
        """Where the known servers listen."""
        return (state.server.address for state in self.states.values())

    def forget_idle(self) -> list[str]:
        """Drop the servers that have gone and have nothing under way; their ids."""
        removed = [key for key, one in self.states.items() if not one.ready and not one.in_flight]
        for key in removed:
            del self.states[key]
        return removed

    def _add_server(self, server: Server) -> None:
        if not server.ready:
            self._displaced.discard(server.id)  # the list has caught up
        elif server.id not in self._displaced:
            state = self.states[server.id] = Standing(server, self._mean_payoff())
            self.ready.append(state)
            self.generation += 1

    def _remove_ready(self, state: Standing) -> None:
        if state in self.ready:
            self.ready.remove(state)
            self.generation += 1

    def _mean_payoff(self) -> float:
        if not self.ready:
            return 1.0
        return sum([state.payoff for state in self.ready]) / len(self.ready)
