"""Every machine's side of distribution: gets offers from all voters and fetches changes from one of them."""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random

import attrs

from cloverrouter.control.distribution_messages import (
    NOTHING,
    Acknowledge,
    Delta,
    Offer,
    Part,
    Pull,
    PullPart,
    Subscribe,
)
from cloverrouter.control.transfer import PART_BYTES, PARTS_IN_FLIGHT, Assembly, is_valid_part
from cloverrouter.control.voter_choice import VoterAddress, VoterChoice
from cloverrouter.messages.sending import Send

SUBSCRIBE_PERIOD_S = 2.0
SILENT_RETRY_PERIOD_S = 0.5
PUSH_WAIT_S = 0.15  # for a push, before the state is pulled
ANSWER_TIMEOUT_S = 0.3
MIN_LINK_BYTES_PER_S = 250_000
MAX_TIMEOUT_FACTOR = 4.0
TIMEOUT_GROWTH_FACTOR = 1.5
MAX_FIRST_STATE_WAIT_S = 1.0  # for updates that follow the first state, before it is handed out
REFETCH_DELAY_S = 0.5  # before a state that could not be applied is fetched again; doubles each time
MAX_REFETCH_DELAY_S = 8.0
FLEET_SIZE_MEMORY_S = 15.0


@attrs.frozen(slots=True)
class Apply:
    """Effect: apply these committed updates in order; the last one has the number `sequence`."""

    sequence: int
    updates: tuple[bytes, ...]


@attrs.frozen(slots=True)
class Replace:
    """Effect: replace the configuration by this committed state."""

    sequence: int
    snapshot: bytes


Effect = Send | Apply | Replace


@attrs.define(slots=True)
class _Fetch:
    """A fetch in progress: its source, deadline and the parts received so far."""

    source: str
    deadline: float
    assembly: Assembly | None = None
    in_flight: set[int] = attrs.field(factory=set)
    has_answer: bool = False

    def should_start_assembly(self, part: Part) -> bool:
        """Returns whether to drop the current assembly and start one for the content of this part.

        Two pulls may be answered with states of different ages, whose parts then arrive interleaved. If each
        restarted the assembly, neither would ever be complete. So only newer content may restart it, or any
        content while the current pull has no answer yet.
        """
        if self.assembly is None or not self.has_answer:
            return True
        return part.sequence > self.assembly.sequence


class Subscriber:
    """The state machine on every machine, without I/O.

    Within the life of the process, it never hands out older state after newer state.
    """

    def __init__(self, own_ip: str, own_zone: str, random: Random) -> None:
        self._voters = VoterChoice(own_ip, own_zone, random)
        self._source: str | None = None
        self._have = NOTHING
        self._min_sequence = NOTHING
        self._fetch: _Fetch | None = None
        self._partial_assembly: Assembly | None = None
        self._timeout_factor = 1.0
        self._behind_since: float | None = None
        self._pending_changes: list[Apply | Replace] | None = []
        self._pending_until = math.inf
        self._next_subscribe = math.inf
        self._next_silent_retry = math.inf
        self._fleet_sizes: list[tuple[float, int]] = []
        self._complete_as_of = -math.inf
        self._apply_failures = 0
        self._next_fetch_at = -math.inf

    @property
    def apply_failures(self) -> int:
        """How many times in a row the state handed out could not be applied."""
        return self._apply_failures

    def behind_s(self, now: float) -> float:
        """Returns for how many seconds newer state has been offered and none has arrived; 0 if up to date."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def applied(self) -> None:
        """Handles that the last effect was applied."""
        self._apply_failures = 0
        self._next_fetch_at = -math.inf

    @property
    def have(self) -> int:
        """The sequence number of the newest state here, or `NOTHING`."""
        return self._have

    @property
    def source(self) -> str | None:
        """The voter that updates are fetched from."""
        return self._source

    def is_current(self, now: float) -> bool:
        """Returns whether a majority of the voters is within the leases: their commits are known here."""
        return self._voters.majority_is_live(now)

    def complete_as_of(self) -> float:
        """Returns the time up to which all acknowledged changes are applied here.

        It advances while a majority of the voters offers nothing newer. Minus infinity at first.
        """
        if self._pending_changes is None and self.newest_offered() <= self._have:
            self._complete_as_of = max(self._complete_as_of, self._voters.majority_report_at())
        return self._complete_as_of

    def newest_offered(self) -> int:
        """Returns the newest sequence number that any voter has offered."""
        return self._voters.newest_of_all()

    def fleet_size(self) -> int:
        """Returns the number of machines as counted by the voters; 0 while unknown.

        It is the largest count of the last `FLEET_SIZE_MEMORY_S`.
        """
        return max((size for _, size in self._fleet_sizes), default=0)

    def start(self, now: float) -> list[Effect]:
        """Starts; there is nothing to send before the voters are known."""
        return self.tick(now)

    def refetch_snapshot(self, now: float) -> None:
        """Handles that the last effect could not be applied: fetches a snapshot that is not older.

        If that fails again, further fetches follow with exponential backoff.
        """
        if self._apply_failures:
            self._next_fetch_at = now + min(
                MAX_REFETCH_DELAY_S, REFETCH_DELAY_S * 2.0 ** (self._apply_failures - 1)
            )
        self._apply_failures += 1
        self._min_sequence = max(self._min_sequence, self._have)
        self._have = NOTHING
        self._fetch = self._partial_assembly = None
        if self._behind_since is None or self._apply_failures == 1:
            self._behind_since = now

    def voters_changed(self, now: float, voters: Sequence[VoterAddress]) -> list[Effect]:
        """Handles a new list of voters, taken from the newest view known here."""
        self._voters.set_voters(voters)
        if self._fetch is not None and self._fetch.source not in self._voters:
            self._fetch = None
        self._source = self._voters.best_source(now)
        return self._subscribe_all(now)

    def link_up(self, now: float, ip: str) -> list[Effect]:
        """Handles a connection that is up (again): subscribes anew, since messages in flight may be lost."""
        if ip not in self._voters:
            return []
        return [self._subscribe(ip)]

    def tick(self, now: float) -> list[Effect]:
        """Handles all timers that are due: subscriptions, timeouts, retries."""
        effects = self._change_source(now)
        if now >= self._next_subscribe:
            effects += self._subscribe_all(now)
        if now >= self._next_silent_retry:
            self._next_silent_retry = now + SILENT_RETRY_PERIOD_S
            effects += [self._subscribe(ip) for ip in self._voters.silent_voters(now)]
        if self._pending_changes and now >= self._pending_until:
            effects += self._release_pending()
        if self._fetch is not None and now >= self._fetch.deadline:
            effects += self._fail_over(now)
        is_late = self._behind_since is not None and now - self._behind_since >= PUSH_WAIT_S
        if self._fetch is None and is_late and now >= self._next_fetch_at:
            effects += self._pull(now)
        return effects

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """Handles a message; ignores those of machines that are not voters."""
        if ip not in self._voters:
            return []
        effects: list[Effect] = [self._subscribe(ip)] if self._voters.record_message(now, ip) else []
        match message:
            case Offer():
                effects += self._handle_offer(now, ip, message)
            case Delta():
                effects += self._handle_delta(now, ip, message)
            case Part():
                effects += self._handle_part(now, ip, message)
        return effects

    def _handle_offer(self, now: float, ip: str, offer: Offer) -> list[Effect]:
        self._voters.record_offer(now, ip, offer)
        self._record_fleet_size(now, offer.fleet_size)
        if offer.newest <= self._have:
            if self._fetch is not None and self._fetch.source == ip:
                self._fetch = None
            return []
        if self._behind_since is None:
            self._behind_since = now
        if self._fetch is None and ip == self._source and now >= self._next_fetch_at:
            return self._pull(now)
        return []

    def _pull(self, now: float) -> list[Effect]:
        """Pulls from the source, or from a voter that offers newer state if the source lags behind."""
        source = self._source
        if source is None or self._voters.newest(source) <= self._have:
            source = self._voters.best_source(now, above=self._have)
        if source is None:
            self._behind_since = None
            return []
        self._fetch = _Fetch(source, now + ANSWER_TIMEOUT_S * self._timeout_factor, self._partial_assembly)
        return [Send(source, Pull(self._have))]

    def _handle_delta(self, now: float, ip: str, delta: Delta) -> list[Effect]:
        self._voters.record_newest(now, ip, delta.newest)
        if delta.first > self._have + 1 or self._have == NOTHING:
            return self._pull(now) if self._fetch is None else []
        updates = delta.updates[self._have + 1 - delta.first :]
        if not updates:
            return []
        self._have += len(updates)
        return self._accept_change(now, ip, Apply(self._have, updates))

    def _handle_part(self, now: float, ip: str, part: Part) -> list[Effect]:
        fetch = self._fetch
        if fetch is None or fetch.source != ip or not is_valid_part(part):
            return []
        if part.sequence <= self._have or part.sequence < self._min_sequence:
            return []
        if fetch.assembly is None or not fetch.assembly.accepts(part):
            if not fetch.should_start_assembly(part):
                return []
            fetch.assembly = Assembly(part)
            fetch.in_flight = set()
        fetch.has_answer = True
        fetch.assembly.add(part)
        self._timeout_factor = 1.0
        fetch.in_flight.discard(part.offset)
        if not fetch.assembly.is_complete:
            return self._pull_parts(now, fetch, fetch.assembly)
        content = fetch.assembly.content()
        is_next = fetch.assembly.is_snapshot or part.sequence == self._have + 1
        if content is None or not is_next:
            fetch.assembly = None
            return self._fail_over(now)
        self._have = part.sequence
        effect = Replace(part.sequence, content) if part.is_snapshot else Apply(part.sequence, (content,))
        return self._accept_change(now, ip, effect)

    def _pull_parts(self, now: float, fetch: _Fetch, assembly: Assembly) -> list[Effect]:
        wanted = [offset for offset in assembly.missing() if offset not in fetch.in_flight]
        free = PARTS_IN_FLIGHT - len(fetch.in_flight)
        fetch.in_flight.update(wanted[:free])
        transfer_time = len(fetch.in_flight) * PART_BYTES / MIN_LINK_BYTES_PER_S
        fetch.deadline = now + (ANSWER_TIMEOUT_S + transfer_time) * self._timeout_factor
        return [
            Send(fetch.source, PullPart(assembly.sequence, assembly.is_snapshot, offset))
            for offset in wanted[:free]
        ]

    def _accept_change(self, now: float, ip: str, change: Apply | Replace) -> list[Effect]:
        """Accepts new state: hands it out, acknowledges it to the voter, and pulls what follows."""
        self._fetch = self._partial_assembly = None
        self._timeout_factor = 1.0
        is_behind = self.newest_offered() > self._have
        if not self._apply_failures:
            self._behind_since = now if is_behind else None
        effects: list[Effect] = []
        if self._pending_changes is None:
            effects.append(change)
        else:
            self._pending_changes.append(change)
            self._pending_until = min(self._pending_until, now + MAX_FIRST_STATE_WAIT_S)
            if not is_behind:
                effects += self._release_pending()
        effects.append(Send(ip, Acknowledge(self._have)))
        if is_behind and self._voters.newest(ip) > self._have:
            effects += self._pull(now)
        return effects

    def _release_pending(self) -> list[Effect]:
        """Hands out the first state together with all updates after it, so that no old state is served."""
        held, self._pending_changes = self._pending_changes, None
        return [*(held or ())]

    def _fail_over(self, now: float) -> list[Effect]:
        """Handles a timeout or a damaged answer of the source: retries with another voter."""
        assert self._fetch is not None
        self._voters.record_failure(now, self._fetch.source)
        self._timeout_factor = min(MAX_TIMEOUT_FACTOR, TIMEOUT_GROWTH_FACTOR * self._timeout_factor)
        self._partial_assembly = self._fetch.assembly
        self._fetch = None
        return self._change_source(now) + self._pull(now)

    def _change_source(self, now: float) -> list[Effect]:
        best = self._voters.best_source(now)
        if best == self._source:
            return []
        old, self._source = self._source, best
        return [self._subscribe(ip) for ip in (old, best) if ip is not None and ip in self._voters]

    def _subscribe_all(self, now: float) -> list[Effect]:
        self._next_subscribe = now + SUBSCRIBE_PERIOD_S
        self._next_silent_retry = now + SILENT_RETRY_PERIOD_S
        return [self._subscribe(ip) for ip in self._voters]

    def _subscribe(self, ip: str) -> Send:
        return Send(ip, Subscribe(self._have, ip == self._source))

    def _record_fleet_size(self, now: float, size: int) -> None:
        retained = [
            (at, old) for at, old in self._fleet_sizes if now - at < FLEET_SIZE_MEMORY_S and old > size
        ]
        if size > 0:
            retained.append((now, size))
        if retained:
            self._fleet_sizes = retained
