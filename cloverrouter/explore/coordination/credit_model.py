"""Model of quota credit: the shipped `QuotaDuty` and `QuotaAllocator` on two disks, with their stored notes.

The model covers proxies that ask for a few or all tokens, slow writes of notes, power loss before and right
after a write, changes of the view and of the head, a head that is unconfirmed for a while, handovers that are
lost or duplicated, and time in tenths of a second. There is one tenant, and clocks agree.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.quota_allocator import CREDIT_S, QuotaAllocator
from cloverrouter.control.quota_duty import Effect, QuotaDuty
from cloverrouter.control.quota_note import QuotaNote, WriteNote, read_note
from cloverrouter.explore.coordination.copies import Canonicalizer, digest
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world_model import World, move
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaAsk, QuotaCredit, QuotaHandover
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit

INVARIANTS = {
    "more": "an allocator never starts with more tokens than its predecessor provably has not lent",
    "early": "nothing is lent while credit of a previous allocator may still be in use",
    "unsure": "only a machine that is certain to be the only head lends credit",
    "twice": "the remaining tokens of an allocator are taken over at most once",
}
TENANT = "a"
PROXY = "10.0.0.9"
LIMITS = {TENANT: TenantLimit(100, 100)}
RULES = QuotaRules(8.0, 0.1, 400.0)
FLEET_SIZE = 4
STEP_S = 0.1
START_S = 1000.0
FILL_TIME_S = 3.0
FEW_TOKENS, ALL_TOKENS = 20, 100_000
SURE_S = 0.4
ROUNDING_TOKENS = 1e-6


@attrs.frozen(slots=True)
class CreditScope:
    """The size of a world. `max_steps`: time steps; `max_asks`: requests of proxies, of either amount."""

    machines: tuple[str, ...] = ("10.0.0.1", "10.0.0.2")
    max_steps: int = 4
    max_asks: int = 2
    is_note_stored: bool = True
    """Whether the first head's first note is on its disk; otherwise its write is in progress."""


@attrs.define(slots=True)
class _Machine:
    """A disk and the process that uses it."""

    duty: QuotaDuty
    note: bytes = b""
    writing: QuotaNote | None = None


class CreditWorld(World):
    """Machines, handovers and the head's lease; see the module.

    `unlent_tokens` are those that the last allocator has not lent, or had left at its end.
    """

    def __init__(self, scope: CreditScope) -> None:
        super().__init__()
        self.scope = scope
        self.steps = 0
        self.now = START_S
        self.asks_made = 0
        self.epoch = 1
        self.last_epoch_in_force = 1
        """The epoch of the last view in force."""
        self.head: str | None = None
        self.confirmed_until: float | None = None
        """End of the lease of a head that is no longer confirmed; None while it is confirmed."""
        self.unlent_tokens = 0.0
        self.earlier_credit_until = 0.0
        """Time at which all credit of previous heads has expired."""
        self.own_credit_until = 0.0
        self.handovers: list[tuple[str, QuotaHandover]] = []
        self.machines = {ip: _Machine(self._duty(ip)) for ip in scope.machines}
        self._fill_pool()

    def _fill_pool(self) -> None:
        self.lead(self.scope.machines[0])
        until = self.now + FILL_TIME_S
        while self.now < until:
            self.now += STEP_S
            if self.scope.is_note_stored or self.now + 2 * STEP_S > until:
                self._tick()
            for ip in self.machines:
                if self.scope.is_note_stored and self.machines[ip].writing is not None:
                    self.note_stored(ip)
        self.notes = []

    def _duty(self, ip: str) -> QuotaDuty:
        duty = QuotaDuty(ip, RULES, self.now)
        duty.configure(LIMITS, FLEET_SIZE)
        return duty

    @property
    def time(self) -> int:
        return self.steps

    # -- moves --

    def moves(self) -> Iterable[Action]:
        for ip, machine in self.machines.items():
            if machine.writing is not None:
                yield move(f"the note is on the disk of {ip}", self.note_stored, ip)
                yield move(
                    f"{ip} loses power as its note is on the disk",
                    self.note_stored_then_power_loss,
                    ip,
                    cost=1,
                )
            yield move(f"{ip} loses power and starts again", self.restart, ip, cost=1)
        if self.head is None:
            for position, ip in enumerate(self.scope.machines):
                yield move(f"{ip} is the next head", self.lead, ip, cost=min(position, 1))
        else:
            yield from self._head_moves(self.head)
        for position in range(len(self.handovers)):
            text = f"what is left comes to {self.handovers[position][0]}"
            yield move(text, self.deliver_handover, position)
            yield move(f"{text} twice", self.deliver_handover_twice, position, cost=1)
            yield move(f"{text} never", self.lose_handover, position, cost=1)
        if self.steps < self.scope.max_steps:
            waits = any(machine.writing is not None for machine in self.machines.values())
            yield move(f"{STEP_S:g} s pass", self.wait, cost=1 if waits else 0)

    def _head_moves(self, head: str) -> Iterable[Action]:
        if self.asks_made < self.scope.max_asks:
            yield move("a proxy asks for little", self.ask, FEW_TOKENS)
            yield move("a proxy asks for all", self.ask, ALL_TOKENS)
        yield move(f"{head} leads another view", self.lead_another_view, cost=1)
        if self.confirmed_until is None:
            yield move(f"nobody confirms {head} any more", self.stop_confirming, cost=1)
        elif self.now < self.confirmed_until:
            yield move(f"{head} is confirmed again", self.resume_confirming)
        for ip in self.scope.machines:
            is_next = ip == head and self.confirmed_until is not None
            text = f"{ip} leads again" if ip == head else f"{ip} leads instead of {head}"
            if ip != head or is_next:
                yield move(text, self.replace_head, ip, cost=0 if is_next else 1)

    def ask(self, tokens: int) -> None:
        """Delivers a proxy's request for tokens to the head."""
        self.asks_made += 1
        message = QuotaAsk(self.last_epoch_in_force, 7, self.asks_made, self.now, {TENANT: tokens}, {})
        if self.head is not None:
            self._carry_out(
                self.head, self.machines[self.head].duty.receive(self.now, self._lease_end(), PROXY, message)
            )

    def note_stored(self, ip: str) -> None:
        """Completes the write of a note and notifies the process."""
        machine = self.machines[ip]
        note, machine.writing = machine.writing, None
        assert note is not None
        machine.note = encode(note)
        lease_end = self._lease_end() if ip == self.head else None
        self._carry_out(ip, machine.duty.note_written(self.now, lease_end, note))

    def note_stored_then_power_loss(self, ip: str) -> None:
        """Completes the write of a note, but the process ends before it is notified."""
        machine = self.machines[ip]
        assert machine.writing is not None
        machine.note = encode(machine.writing)
        self.restart(ip)

    def restart(self, ip: str) -> None:
        """Restarts a process; a write in progress is lost."""
        machine = self.machines[ip]
        if ip == self.head:
            self._end_leadership()
        machine.writing = None
        machine.duty = self._duty(ip)

    def lead(self, ip: str) -> None:
        """Brings a new view into force with this machine as head."""
        self.epoch += 1
        self.head, self.confirmed_until = ip, None
        machine = self.machines[ip]
        before, unlent_tokens = self._allocator(ip), self.unlent_tokens
        read = read_note(machine.note, ip, self.last_epoch_in_force)
        self.last_epoch_in_force = self.epoch
        self._carry_out(ip, machine.duty.view_changed(self.now, self.epoch, ip, lambda: read.left, ip))
        if self._allocator(ip) is not before:
            self._check_start_tokens(ip, unlent_tokens)
        for other, each in self.machines.items():
            if other != ip:
                self._carry_out(other, each.duty.view_changed(self.now, self.epoch, ip))
        self._update_unlent()

    def replace_head(self, ip: str) -> None:
        """Isolates the head until its lease ends; then `ip` leads."""
        confirmed_until = self.now + SURE_S if self.confirmed_until is None else self.confirmed_until
        self._end_leadership()
        self._advance_clock(max(confirmed_until - self.now, 0.0))
        self.lead(ip)

    def lead_another_view(self) -> None:
        """Brings a new view with the same head into force."""
        assert self.head is not None
        self.lead(self.head)

    def stop_confirming(self) -> None:
        """Stops the confirmations of the head, so that its lease runs out."""
        self.confirmed_until = self.now + SURE_S

    def resume_confirming(self) -> None:
        """Confirms the head again before its lease has ended."""
        self.confirmed_until = None

    def deliver_handover(self, position: int) -> None:
        """Delivers a handover of remaining tokens."""
        ip, message = self.handovers.pop(position)
        allocator = self._allocator(ip)
        tokens_before = self._available_tokens(ip)
        if allocator is not None and message.epoch == self.last_epoch_in_force and ip == self.head:
            self.unlent_tokens += message.tokens.get(TENANT, 0)
        self._carry_out(ip, self.machines[ip].duty.receive(self.now, self._lease_end(), PROXY, message))
        self._update_unlent()
        received_tokens = self._available_tokens(ip) - tokens_before
        self.require(
            received_tokens <= message.tokens.get(TENANT, 0) + ROUNDING_TOKENS,
            "twice",
            f"{received_tokens:.0f} tokens were added",
        )

    def deliver_handover_twice(self, position: int) -> None:
        """Delivers a handover and a duplicate of it."""
        ip, message = self.handovers[position]
        self.deliver_handover(position)
        tokens_before = self._available_tokens(ip)
        self._carry_out(ip, self.machines[ip].duty.receive(self.now, self._lease_end(), PROXY, message))
        self.require(
            self._available_tokens(ip) <= tokens_before + ROUNDING_TOKENS,
            "twice",
            "a duplicated handover was taken over again",
        )

    def lose_handover(self, position: int) -> None:
        """Loses a handover."""
        self.handovers.pop(position)

    def wait(self) -> None:
        """Advances time by one step."""
        self.steps += 1
        self._advance_clock(STEP_S)
        self._tick()

    # -- effects --

    def _advance_clock(self, seconds: float) -> None:
        self.now += seconds

    def _tick(self) -> None:
        for ip, machine in self.machines.items():
            self._carry_out(ip, machine.duty.tick(self.now, self._lease_end() if ip == self.head else None))
        self._update_unlent()

    def _lease_end(self) -> float:
        return self.now + SURE_S if self.confirmed_until is None else self.confirmed_until

    def _end_leadership(self) -> None:
        self._update_unlent()
        self.head = None
        self.earlier_credit_until = max(self.earlier_credit_until, self.own_credit_until)
        self.own_credit_until = 0.0

    def _carry_out(self, ip: str, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, WriteNote):
                self.add_note(
                    f"-> {ip} notes in epoch {effect.note.epoch} that {effect.note.left} are not lent"
                )
                self.machines[ip].writing = effect.note
            elif isinstance(effect.message, QuotaHandover):
                self.handovers.append((effect.ip, effect.message))
            elif isinstance(effect.message, QuotaCredit):
                self._check_credit(ip, effect)
        self._update_unlent()

    def _check_credit(self, ip: str, effect: Send) -> None:
        assert isinstance(effect.message, QuotaCredit)
        tokens = effect.message.tokens.get(TENANT, 0)
        if not tokens:
            return
        self.add_note(f"-> {ip} lends {tokens}")
        self.require(ip == self.head and self.now < self._lease_end(), "unsure", f"{ip} lends {tokens}")
        early = f"{ip} lends {self.earlier_credit_until - self.now:.2f} s before earlier credit has expired"
        self.require(self.now >= self.earlier_credit_until, "early", early)
        self.own_credit_until = self.now + CREDIT_S

    # -- invariants --

    def _allocator(self, ip: str) -> QuotaAllocator | None:
        return self.machines[ip].duty._allocator

    def _available_tokens(self, ip: str) -> float:
        """Returns the tokens in an allocator's pool or waiting for room in it; 0 without an allocator."""
        allocator = self._allocator(ip)
        if allocator is None:
            return 0.0
        allocator.figures(self.now)  # fills the pool up to now
        pool = allocator._pools[TENANT]
        return pool.level + pool.plan.debt + pool._deferred_tokens

    def _update_unlent(self) -> None:
        """Updates the head's unlent tokens: the pool refills over time and shrinks with each loan."""
        if self.head is not None and self._allocator(self.head) is not None:
            self.unlent_tokens = self._available_tokens(self.head)

    def _check_start_tokens(self, ip: str, unlent_tokens: float) -> None:
        available_tokens = self._available_tokens(ip)
        text = (
            f"{ip} begins with {available_tokens:.0f}, and its predecessor had not lent {unlent_tokens:.0f}"
        )
        self.add_note(f"-> {ip} begins with {available_tokens:.0f}")
        self.require(available_tokens <= unlent_tokens + ROUNDING_TOKENS, "more", text)

    def key(self) -> int:
        machines = [_CANONICALIZER.canonical(machine, self.now) for machine in self.machines.values()]
        handovers = [(ip, message.epoch - self.epoch, message.tokens) for ip, message in self.handovers]
        confirmed_for = None if self.confirmed_until is None else round(self.confirmed_until - self.now, 4)
        rest = (self.head, confirmed_for, round(self.unlent_tokens, 3), self.asks_made, handovers, self.steps)
        times = [
            round(max(at - self.now, 0.0), 4) for at in (self.earlier_credit_until, self.own_credit_until)
        ]
        return digest((machines, rest, times))


_CANONICALIZER = Canonicalizer(
    skipped_fields=frozenset({"_limits", "_rules", "plan"}),
    non_time_fields=frozenset({"level", "_deferred_tokens", "_outstanding_credit"}),
    max_age_s=2.0,
)
