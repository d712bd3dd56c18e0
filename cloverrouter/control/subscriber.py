"""Every machine's side of distribution: hears of changes from all voters, fetches them from one."""

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
PUSH_WAIT_S = 0.15
ANSWER_TIMEOUT_S = 0.3
MIN_LINK_BYTES_PER_S = 250_000
MAX_TIMEOUT_FACTOR = 4.0
TIMEOUT_GROWTH_FACTOR = 1.5
MAX_FIRST_STATE_WAIT_S = 1.0
REFETCH_DELAY_S = 0.5  # before a state is fetched again that could not be put in force; doubles
MAX_REFETCH_DELAY_S = 8.0
FLEET_SIZE_MEMORY_S = 15.0


@attrs.frozen(slots=True)
class Apply:
    """Put these committed updates in force, in order; the last of them has the sequence number `sequence`."""

    sequence: int
    updates: tuple[bytes, ...]


@attrs.frozen(slots=True)
class Replace:
    """Put this committed state in force instead of all before."""

    sequence: int
    snapshot: bytes


Effect = Send | Apply | Replace


@attrs.define(slots=True)
class _Fetch:
    """What the subscriber waits for, from whom, and until when."""

    source: str
    deadline: float
    assembly: Assembly | None = None
    in_flight: set[int] = attrs.field(factory=set)
    has_answer: bool = False

    def begins_with(self, part: Part) -> bool:
        """Whether to put together what this part is of, instead of what was begun before.

        Danger: where two questions were answered, with states of different ages, parts of both come in turn.
        If each put an end to the other, neither would ever be whole. So only the newer one may, or any where
        this question has no answer yet.
        """
        if self.assembly is None or not self.has_answer:
            return True
        return part.sequence > self.assembly.sequence


class Subscriber:
    """The pure core on every machine. What it has put in force never goes backwards within its life."""

    def __init__(self, own_ip: str, own_zone: str, random: Random) -> None:
        self._voters = VoterChoice(own_ip, own_zone, random)
        self._source: str | None = None
        self._have = NOTHING
        self._min_sequence = NOTHING
        self._fetch: _Fetch | None = None
        self._partial_assembly: Assembly | None = None
        self._patience = 1.0
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
    def unread(self) -> int:
        """How many times in a row what was handed out could not be put in force."""
        return self._apply_failures

    def behind_s(self, now: float) -> float:
        """For how long voters have offered more than is in force, without anything new; 0: it has all."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def applied(self) -> None:
        """What was handed out last is in force."""
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

    def current(self, now: float) -> bool:
        """True if a majority of the voters was heard of lately: what they have committed is known here."""
        return self._voters.majority_is_live(now)

    def complete_as_of(self) -> float:
        """All that had been acknowledged by then is in force here. It grows while a majority of the voters
        offers nothing that is not."""
        if self._pending_changes is None and self.newest_offered() <= self._have:
            self._complete_as_of = max(self._complete_as_of, self._voters.majority_report_at())
        return self._complete_as_of

    def newest_offered(self) -> int:
        """The newest committed sequence number heard of."""
        return self._voters.newest_of_all()

    def fleet_size(self) -> int:
        """How many machines there are, as the voters count; 0 while unknown. It falls slowly."""
        return max((size for _, size in self._fleet_sizes), default=0)

    def start(self, now: float) -> list[Effect]:
        """Nothing to do before the voters are known."""
        return self.tick(now)

    def start_over(self, now: float) -> None:
        """What was handed out could not be put in force: a whole state, no older than that, is fetched, and
        after longer and longer if it can't be read either."""
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
        """The voters of the chain's view, as far as this machine knows."""
        self._voters.set_voters(voters)
        if self._fetch is not None and self._fetch.source not in self._voters:
            self._fetch = None
        self._source = self._voters.best_source(now)
        return self._subscribe_all(now)

    def link_up(self, now: float, ip: str) -> list[Effect]:
        """The link to a machine is up (again): what was under way may be lost."""
        if ip not in self._voters:
            return []
        return [self._subscribe(ip)]

    def tick(self, now: float) -> list[Effect]:
        """Whatever is due by the clock."""
        effects = self._change_source(now)
        if now >= self._next_subscribe:
            effects += self._subscribe_all(now)
        if now >= self._next_silent_retry:
            self._next_silent_retry = now + SILENT_RETRY_PERIOD_S
            effects += [self._subscribe(ip) for ip in self._voters.silent_voters(now)]
        if self._pending_changes and now >= self._pending_until:
            effects += self._release()
        if self._fetch is not None and now >= self._fetch.deadline:
            effects += self._give_up(now)
        is_late = self._behind_since is not None and now - self._behind_since >= PUSH_WAIT_S
        if self._fetch is None and is_late and now >= self._next_fetch_at:
            effects += self._pull(now)
        return effects

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """A voter's message."""
        if ip not in self._voters:
            return []
        effects: list[Effect] = [self._subscribe(ip)] if self._voters.record_message(now, ip) else []
        match message:
            case Offer():
                effects += self._handle_offer(now, ip, message)
            case Delta():
                effects += self._take_delta(now, ip, message)
            case Part():
                effects += self._take_part(now, ip, message)
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
        """Asks the source, or whoever offers more than it has if the source lags behind."""
        source = self._source
        if source is None or self._voters.newest(source) <= self._have:
            source = self._voters.best_source(now, above=self._have)
        if source is None:
            self._behind_since = None
            return []
        self._fetch = _Fetch(source, now + ANSWER_TIMEOUT_S * self._patience, self._partial_assembly)
        return [Send(source, Pull(self._have))]

    def _take_delta(self, now: float, ip: str, delta: Delta) -> list[Effect]:
        self._voters.has(now, ip, delta.newest)
        if delta.first > self._have + 1 or self._have == NOTHING:
            return self._pull(now) if self._fetch is None else []
        updates = delta.updates[self._have + 1 - delta.first :]
        if not updates:
            return []
        self._have += len(updates)
        return self._went_on(now, ip, Apply(self._have, updates))

    def _take_part(self, now: float, ip: str, part: Part) -> list[Effect]:
        fetch = self._fetch
        if fetch is None or fetch.source != ip or not is_valid_part(part):
            return []
        if part.sequence <= self._have or part.sequence < self._min_sequence:
            return []
        if fetch.assembly is None or not fetch.assembly.takes(part):
            if not fetch.begins_with(part):
                return []
            fetch.assembly = Assembly(part)
            fetch.in_flight = set()
        fetch.has_answer = True
        fetch.assembly.add(part)
        self._patience = 1.0
        fetch.in_flight.discard(part.offset)
        if not fetch.assembly.is_complete:
            return self._pull_parts(now, fetch, fetch.assembly)
        content = fetch.assembly.content()
        is_next = fetch.assembly.is_snapshot or part.sequence == self._have + 1
        if content is None or not is_next:
            fetch.assembly = None
            return self._give_up(now)
        self._have = part.sequence
        effect = Replace(part.sequence, content) if part.is_snapshot else Apply(part.sequence, (content,))
        return self._went_on(now, ip, effect)

    def _pull_parts(self, now: float, fetch: _Fetch, assembly: Assembly) -> list[Effect]:
        wanted = [offset for offset in assembly.missing() if offset not in fetch.in_flight]
        free = PARTS_IN_FLIGHT - len(fetch.in_flight)
        fetch.in_flight.update(wanted[:free])
        transfer_time = len(fetch.in_flight) * PART_BYTES / MIN_LINK_BYTES_PER_S
        fetch.deadline = now + (ANSWER_TIMEOUT_S + transfer_time) * self._patience
        return [
            Send(fetch.source, PullPart(assembly.sequence, assembly.is_snapshot, offset))
            for offset in wanted[:free]
        ]

    def _went_on(self, now: float, ip: str, change: Apply | Replace) -> list[Effect]:
        """Something new is here: puts it in force, tells the voter, and asks for what follows."""
        self._fetch = self._partial_assembly = None
        self._patience = 1.0
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
                effects += self._release()
        effects.append(Send(ip, Acknowledge(self._have)))
        if is_behind and self._voters.newest(ip) > self._have:
            effects += self._pull(now)
        return effects

    def _release(self) -> list[Effect]:
        """The first state is put in force with all that followed it, so that nothing old is ever served."""
        held, self._pending_changes = self._pending_changes, None
        return [*(held or ())]

    def _give_up(self, now: float) -> list[Effect]:
        """The source did not answer in time: another one next."""
        assert self._fetch is not None
        self._voters.record_failure(now, self._fetch.source)
        self._patience = min(MAX_TIMEOUT_FACTOR, TIMEOUT_GROWTH_FACTOR * self._patience)
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
