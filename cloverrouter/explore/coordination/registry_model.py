"""One server's calls at three machines with the real registries, for the search over every ordering.

The server says that it is ready, then draining, then gone, to any machine each time, and a call may come
late. Voters and the proxy start again with empty lists; messages are late, lost, or overtake one another.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.announcements import Acknowledged, Failed
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import (
    Announce,
    AnnounceAcknowledged,
    Compare,
    HeartbeatBatch,
    InstanceList,
    InstanceRecord,
    InstanceUpdates,
    InstanceUpdatesAcknowledged,
    Same,
)
from cloverrouter.control.servers_list import InstancesChanged
from cloverrouter.explore.coordination.copies import Form, copied, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.worlds import World, move
from cloverrouter.messages.sending import Send

INVARIANTS = {
    "back": "what a process shows of a server never goes back",
    "stale": "12 s after all is calm nobody shows less than was acknowledged",
    "differ": "all that know the server then agree about it",
    "storm": "messages end while no time passes",
}
SERVER = "i-1"
VOTERS = ("v1", "v2")
MACHINES = (*VOTERS, "p")
STEP_S = 0.5
CALM_S = 12.0
CALM_STEP_S = 0.25
MOST_AT_ONCE = 400


@attrs.frozen
class Calls:
    """What the server says, in its order. A call of these states, with its sequence number."""

    states: tuple[InstanceState, ...] = (InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE)
    most_time: int = 1


@attrs.define
class Machine:
    """One life of a machine."""

    registry: Registry
    shown: InstanceState | None = None
    """What its data plane was told of the server last."""
    changes: dict[int, InstanceState] = attrs.Factory(dict)


class RegistryWorld(World):
    """See the module. `late`: calls that the server has made and that have not come yet."""

    def __init__(self, calls: Calls) -> None:
        super().__init__()
        self.calls = calls
        self.steps = 0
        self.now = 100.0
        self.network = Network()
        self.machines: dict[str, Machine] = {}
        self.said = 0
        self.late: list[int] = []
        self.confirmed: InstanceState | None = None
        for name in MACHINES:
            self.begin(name)
        self._deliver_all()

    def begin(self, name: str) -> None:
        """A process starts, with an empty list."""
        registry = Registry(name, 1.2)
        self.machines[name] = Machine(registry)
        self._do(name, registry.start(self.now))
        self._do(name, registry.voters_changed(self.now, VOTERS))

    @property
    def time(self) -> int:
        return self.steps

    def moves(self) -> Iterable[Action]:
        yield from self.network.moves(self.deliver, self.lose)
        for name in MACHINES:
            if self.said < len(self.calls.states):
                yield move(f"the server says {self._state(self.said).name} to {name}", self.say, name)
            for number in self.late:
                text = f"its late call {number + 1} ({self._state(number).name}) comes to {name}"
                yield move(text, self.say_late, number, name)
            yield move(f"{name} is killed and starts again", self.restart, name, cost=1)
        if self.said < len(self.calls.states):
            yield move(f"the server's call {self.said + 1} is on its way", self.delay, cost=1)
        if self.steps < self.calls.most_time:
            yield move(f"{STEP_S:g} s pass", self.wait, cost=1 if self.network.letters else 0)

    def _state(self, number: int) -> InstanceState:
        return self.calls.states[number]

    def say(self, name: str) -> None:
        """The server's next call."""
        self.said += 1
        self._call(name, self.said - 1)

    def delay(self) -> None:
        """The server's next call is made, and comes later."""
        self.late.append(self.said)
        self.said += 1

    def say_late(self, number: int, name: str) -> None:
        """A call comes that others may have overtaken."""
        self.late.remove(number)
        self._call(name, number)

    def _call(self, name: str, number: int) -> None:
        machine, state = self.machines[name], self._state(number)
        if state is InstanceState.GONE:
            change, effects = machine.registry.deregister(self.now, SERVER)
        else:
            instance = Instance(SERVER, "s", "10.0.0.9:80", sequence=number + 1, state=state)
            change, effects = machine.registry.register(self.now, instance)
        machine.changes[change] = state
        self._do(name, effects)

    def restart(self, name: str) -> None:
        """A process ends and starts."""
        for other in MACHINES:
            self.network.cut(name, other)
        self.begin(name)

    def deliver(self, place: int) -> None:
        """A message comes."""
        letter = self.network.take(place)
        registry = self.machines[letter.target].registry
        self._do(letter.target, registry.receive(self.now, letter.source, letter.message))

    def lose(self, place: int) -> None:
        """A message is lost."""
        self.network.take(place)

    def wait(self) -> None:
        """Time passes for all."""
        self.steps += 1
        self.now += STEP_S
        self._tick()

    def _tick(self) -> None:
        for name, machine in self.machines.items():
            self._do(name, machine.registry.tick(self.now))

    def _do(self, name: str, effects: Iterable[Effect]) -> None:
        machine = self.machines[name]
        for effect in effects:
            if isinstance(effect, Send):
                if effect.ip != name:
                    self.network.send(name, effect.ip, effect.message, _shown(effect.message))
            elif isinstance(effect, Acknowledged):
                state = machine.changes.pop(effect.change, None)
                self.tell(f"-> {name} acknowledges {state.name if state is not None else '?'}")
                if state is not None and (self.confirmed is None or state > self.confirmed):
                    self.confirmed = state
            elif isinstance(effect, Failed):
                machine.changes.pop(effect.change, None)
            elif isinstance(effect, InstancesChanged):
                self._show(name, machine, effect)

    def _show(self, name: str, machine: Machine, effect: InstancesChanged) -> None:
        for instance in effect.instances:
            before, machine.shown = machine.shown, instance.state
            self.tell(f"-> {name} shows it as {instance.state.name}")
            text = (
                f"{name} shows it as {instance.state.name} after {before.name if before is not None else ''}"
            )
            self.must(before is None or instance.state >= before, "back", text)

    # -- when all is calm --

    def look_ahead(self) -> None:
        if self.wrong or self.late or self.confirmed is None or self.key() % 4:
            return
        later = copied(self)
        later.settle()
        self.wrong += later.wrong

    def settle(self) -> None:
        """Nothing goes wrong any more: all come to know what was acknowledged. Changes the world."""
        until = self.now + CALM_S
        while self.now < until and not self.wrong:
            self._deliver_all()
            self.now += CALM_STEP_S
            self._tick()
        self._deliver_all()
        states = {name: self._known(machine) for name, machine in self.machines.items()}
        least = self.confirmed or InstanceState.READY
        text = f"{least.name} was acknowledged, and {CALM_S:g} s later there is {states}"
        self.must(all(state is None or state >= least for state in states.values()), "stale", text)
        live = {state for state in states.values() if state is not InstanceState.GONE}
        self.must(
            len(live) < 2 and len(set(states.values()) - {None, InstanceState.GONE}) < 2, "differ", text
        )

    @staticmethod
    def _known(machine: Machine) -> InstanceState | None:
        found = machine.registry.find(SERVER)
        return None if found is None else found.state

    def _deliver_all(self) -> None:
        for _ in range(MOST_AT_ONCE):
            if not self.network.letters:
                return
            self.deliver(0)
        self.must(False, "storm", "messages without end")

    def key(self) -> int:
        machines = [_FORM.told(machine, self.now) for machine in self.machines.values()]
        return digest((machines, self.said, self.late, self.confirmed, self.network.key(), self.steps))


def _record(record: InstanceRecord) -> str:
    return (
        f"{InstanceState(record.state).name}/{record.sequence}/{record.generation}/{record.lost_generation}"
    )


def _shown(message: object) -> str:
    match message:
        case Announce():
            return f"news {_record(message.record)} (receipt: {message.wants_acknowledgement})"
        case AnnounceAcknowledged():
            newer = ", ".join(map(_record, message.newer))
            return f"receipt of {message.fingerprint & 0xFFFFF:x}{' with ' + newer if newer else ''}"
        case InstanceUpdates():
            return f"news {message.number} {', '.join(map(_record, message.records))}"
        case InstanceUpdatesAcknowledged():
            return f"receipt of {message.number}"
        case HeartbeatBatch():
            return f"heartbeats {[beat.sequence for beat in message.heartbeats]}"
        case Compare():
            return f"comparison {message.digest & 0xFFFFF:x}/{message.count}"
        case Same():
            return f"'same as {message.digest & 0xFFFFF:x}'"
        case InstanceList():
            return f"list {', '.join(map(_record, message.records))} (answer: {message.wants_answer})"
    return str(message)


_FORM = Form(
    skipped=frozenset({"told", "_lists_sent"}), plain=frozenset({"_limit", "_quiet_limit"}), oldest_s=10.0
)
