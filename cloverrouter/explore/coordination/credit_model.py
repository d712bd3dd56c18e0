"""Quotas' credit: the real `QuotaDuty` and `QuotaAllocator` at two disks, with the notes that they keep.

Played: proxies that ask for little or for all, writes of notes that take their time, losses of power before
and right after a write, changes of the view and of the head, a head that is not sure of itself for a while,
hand-overs that are lost or come twice, and time in tenths of a second. One tenant, and clocks that agree.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.quota_allocator import CREDIT_S, QuotaAllocator
from cloverrouter.control.quota_duty import Effect, QuotaDuty
from cloverrouter.control.quota_note import QuotaNote, WriteNote, read_note
from cloverrouter.explore.coordination.copies import Form, digest
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.worlds import World, move
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaAsk, QuotaCredit, QuotaHandover
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit

INVARIANTS = {
    "more": "no allocator begins with more than the one before surely has not lent",
    "early": "nothing is lent while credit of an allocator before may still be run",
    "unsure": "nothing is lent by a machine that is not sure to be the only head",
    "twice": "what an allocator has left is taken over once",
}
TENANT = "a"
PROXY = "10.0.0.9"
LIMITS = {TENANT: TenantLimit(100, 100)}
RULES = QuotaRules(8.0, 0.1, 400.0)
FLEET = 4
STEP_S = 0.1
BEGIN_S = 1000.0
FILLING_S = 3.0
LITTLE, ALL = 20, 100_000
SURE_S = 0.4
ALMOST = 1e-6


@attrs.frozen(slots=True)
class CreditScope:
    """How large a world. `most_time`: steps; `most_asks`: of either size."""

    machines: tuple[str, ...] = ("10.0.0.1", "10.0.0.2")
    most_time: int = 4
    most_asks: int = 2
    is_noted: bool = True
    """Whether the first head's first note is on its disk, or still under way."""


@attrs.define(slots=True)
class _Machine:
    """One disk and the process before it."""

    duty: QuotaDuty
    note: bytes = b""
    writing: QuotaNote | None = None


class CreditWorld(World):
    """See the module. `left`: what the last allocator in force has not lent, or had left at its end."""

    def __init__(self, scope: CreditScope) -> None:
        super().__init__()
        self.scope = scope
        self.steps = 0
        self.now = BEGIN_S
        self.asks = 0
        self.epoch = 1
        self.in_force = 1
        """The epoch that was in force last."""
        self.head: str | None = None
        self.sure_until: float | None = None
        """Of the head that nobody confirms any more; None while it is confirmed."""
        self.left = 0.0
        self.lent_until = 0.0
        """By whoever was head before the one that is."""
        self.own_lent_until = 0.0
        self.handed: list[tuple[str, QuotaHandover]] = []
        self.machines = {ip: _Machine(self._duty(ip)) for ip in scope.machines}
        self._begin()

    def _begin(self) -> None:
        self.lead(self.scope.machines[0])
        until = self.now + FILLING_S
        while self.now < until:
            self.now += STEP_S
            if self.scope.is_noted or self.now + 2 * STEP_S > until:
                self._tick()
            for ip in self.machines:
                if self.scope.is_noted and self.machines[ip].writing is not None:
                    self.written(ip)
        self.told = []

    def _duty(self, ip: str) -> QuotaDuty:
        duty = QuotaDuty(ip, RULES, self.now)
        duty.configure(LIMITS, FLEET)
        return duty

    @property
    def time(self) -> int:
        return self.steps

    # -- what may happen --

    def moves(self) -> Iterable[Action]:
        for ip, machine in self.machines.items():
            if machine.writing is not None:
                yield move(f"the note is on the disk of {ip}", self.written, ip)
                yield move(f"{ip} loses power as its note is on the disk", self.written_and_lost, ip, cost=1)
            yield move(f"{ip} loses power and starts again", self.restart, ip, cost=1)
        if self.head is None:
            for place, ip in enumerate(self.scope.machines):
                yield move(f"{ip} is the next head", self.lead, ip, cost=min(place, 1))
        else:
            yield from self._moves_of_the_head(self.head)
        for place in range(len(self.handed)):
            text = f"what is left comes to {self.handed[place][0]}"
            yield move(text, self.hand, place)
            yield move(f"{text} twice", self.hand_twice, place, cost=1)
            yield move(f"{text} never", self.lose, place, cost=1)
        if self.steps < self.scope.most_time:
            waits = any(machine.writing is not None for machine in self.machines.values())
            yield move(f"{STEP_S:g} s pass", self.wait, cost=1 if waits else 0)

    def _moves_of_the_head(self, head: str) -> Iterable[Action]:
        if self.asks < self.scope.most_asks:
            yield move("a proxy asks for little", self.ask, LITTLE)
            yield move("a proxy asks for all", self.ask, ALL)
        yield move(f"{head} leads another view", self.another_view, cost=1)
        if self.sure_until is None:
            yield move(f"nobody confirms {head} any more", self.doubt, cost=1)
        elif self.now < self.sure_until:
            yield move(f"{head} is confirmed again", self.sure_again)
        for ip in self.scope.machines:
            is_next = ip == head and self.sure_until is not None
            text = f"{ip} leads again" if ip == head else f"{ip} leads instead of {head}"
            if ip != head or is_next:
                yield move(text, self.depose, ip, cost=0 if is_next else 1)

    def ask(self, tokens: int) -> None:
        """A proxy's ask comes to the head."""
        self.asks += 1
        message = QuotaAsk(self.in_force, 7, self.asks, self.now, {TENANT: tokens}, {})
        if self.head is not None:
            self._do(self.head, self.machines[self.head].duty.receive(self.now, self._sure(), PROXY, message))

    def written(self, ip: str) -> None:
        """The note under way is on the disk, and the process hears of it."""
        machine = self.machines[ip]
        note, machine.writing = machine.writing, None
        assert note is not None
        machine.note = encode(note)
        sure = self._sure() if ip == self.head else None
        self._do(ip, machine.duty.note_written(self.now, sure, note))

    def written_and_lost(self, ip: str) -> None:
        """The note under way is on the disk, and the process hears nothing any more."""
        machine = self.machines[ip]
        assert machine.writing is not None
        machine.note = encode(machine.writing)
        self.restart(ip)

    def restart(self, ip: str) -> None:
        """A process ends and starts; a write under way is lost."""
        machine = self.machines[ip]
        if ip == self.head:
            self._end_lead()
        machine.writing = None
        machine.duty = self._duty(ip)

    def lead(self, ip: str) -> None:
        """A view is in force with this machine as its head."""
        self.epoch += 1
        self.head, self.sure_until = ip, None
        machine = self.machines[ip]
        before, left = self._allocator(ip), self.left
        read = read_note(machine.note, ip, self.in_force)
        self.in_force = self.epoch
        self._do(ip, machine.duty.view_changed(self.now, self.epoch, ip, lambda: read.left, ip))
        if self._allocator(ip) is not before:
            self._check_beginning(ip, left)
        for other, each in self.machines.items():
            if other != ip:
                self._do(other, each.duty.view_changed(self.now, self.epoch, ip))
        self._look()

    def depose(self, ip: str) -> None:
        """The head is cut off until it can't be sure any more; another one leads then."""
        sure_until = self.now + SURE_S if self.sure_until is None else self.sure_until
        self._end_lead()
        self._pass(max(sure_until - self.now, 0.0))
        self.lead(ip)

    def another_view(self) -> None:
        """The head goes on under another epoch."""
        assert self.head is not None
        self.lead(self.head)

    def doubt(self) -> None:
        """Nobody confirms the head from now on."""
        self.sure_until = self.now + SURE_S

    def sure_again(self) -> None:
        """It is confirmed again, before another could lead."""
        self.sure_until = None

    def hand(self, place: int) -> None:
        """A hand-over comes."""
        ip, message = self.handed.pop(place)
        allocator = self._allocator(ip)
        had = self._held(ip)
        if allocator is not None and message.epoch == self.in_force and ip == self.head:
            self.left += message.tokens.get(TENANT, 0)
        self._do(ip, self.machines[ip].duty.receive(self.now, self._sure(), PROXY, message))
        self._look()
        came = self._held(ip) - had
        self.must(came <= message.tokens.get(TENANT, 0) + ALMOST, "twice", f"{came:.0f} came")

    def hand_twice(self, place: int) -> None:
        """A hand-over comes, and a copy of it."""
        ip, message = self.handed[place]
        self.hand(place)
        had = self._held(ip)
        self._do(ip, self.machines[ip].duty.receive(self.now, self._sure(), PROXY, message))
        self.must(self._held(ip) <= had + ALMOST, "twice", "a copy of a hand-over was taken, too")

    def lose(self, place: int) -> None:
        """A hand-over is lost."""
        self.handed.pop(place)

    def wait(self) -> None:
        """Time passes."""
        self.steps += 1
        self._pass(STEP_S)
        self._tick()

    # -- what follows --

    def _pass(self, seconds: float) -> None:
        self.now += seconds

    def _tick(self) -> None:
        for ip, machine in self.machines.items():
            self._do(ip, machine.duty.tick(self.now, self._sure() if ip == self.head else None))
        self._look()

    def _sure(self) -> float:
        return self.now + SURE_S if self.sure_until is None else self.sure_until

    def _end_lead(self) -> None:
        self._look()
        self.head = None
        self.lent_until = max(self.lent_until, self.own_lent_until)
        self.own_lent_until = 0.0

    def _do(self, ip: str, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, WriteNote):
                self.tell(f"-> {ip} notes in epoch {effect.note.epoch} that {effect.note.left} are not lent")
                self.machines[ip].writing = effect.note
            elif isinstance(effect.message, QuotaHandover):
                self.handed.append((effect.ip, effect.message))
            elif isinstance(effect.message, QuotaCredit):
                self._lent(ip, effect)
        self._look()

    def _lent(self, ip: str, effect: Send) -> None:
        assert isinstance(effect.message, QuotaCredit)
        tokens = effect.message.tokens.get(TENANT, 0)
        if not tokens:
            return
        self.tell(f"-> {ip} lends {tokens}")
        self.must(ip == self.head and self.now < self._sure(), "unsure", f"{ip} lends {tokens}")
        early = f"{ip} lends {self.lent_until - self.now:.2f} s before credit of another has ended"
        self.must(self.now >= self.lent_until, "early", early)
        self.own_lent_until = self.now + CREDIT_S

    # -- what must hold --

    def _allocator(self, ip: str) -> QuotaAllocator | None:
        return self.machines[ip].duty._allocator

    def _held(self, ip: str) -> float:
        """Tokens in the pool of an allocator, or that wait for room in it; 0 without one."""
        allocator = self._allocator(ip)
        if allocator is None:
            return 0.0
        allocator.figures(self.now)  # fills the pool up to now
        pool = allocator._pools[TENANT]
        return pool.level + pool.plan.debt + pool._deferred_tokens

    def _look(self) -> None:
        """What the head has not lent: it rises by the clock, and falls by what it lends."""
        if self.head is not None and self._allocator(self.head) is not None:
            self.left = self._held(self.head)

    def _check_beginning(self, ip: str, left: float) -> None:
        held = self._held(ip)
        text = f"{ip} begins with {held:.0f}, and the allocator before has left {left:.0f}"
        self.tell(f"-> {ip} begins with {held:.0f}")
        self.must(held <= left + ALMOST, "more", text)

    def key(self) -> int:
        machines = [_FORM.told(machine, self.now) for machine in self.machines.values()]
        handed = [(ip, message.epoch - self.epoch, message.tokens) for ip, message in self.handed]
        sure_for = None if self.sure_until is None else round(self.sure_until - self.now, 4)
        rest = (self.head, sure_for, round(self.left, 3), self.asks, handed, self.steps)
        times = [round(max(at - self.now, 0.0), 4) for at in (self.lent_until, self.own_lent_until)]
        return digest((machines, rest, times))


_FORM = Form(
    skipped=frozenset({"_limits", "_rules", "plan"}),
    plain=frozenset({"level", "_deferred_tokens", "_outstanding_credit"}),
    oldest_s=2.0,
)
