"""Model of one server's registration calls at three machines with the shipped registries.

The server reports that it is ready, then draining, then gone, each time to any machine, and calls may be
delayed. Voters and the proxy restart with empty lists; messages may be delayed, lost or reordered.
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
from cloverrouter.explore.coordination.copies import Canonicalizer, deep_copy, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world_model import World, move
from cloverrouter.messages.sending import Send

INVARIANTS = {
    "back": "the state of a server that a process shows never goes back",
    "stale": "12 s after the last fault no process shows an earlier state than was acknowledged",
    "differ": "all processes that know the server then show the same state",
    "storm": "the exchange of messages ends without the passing of time",
}
SERVER = "i-1"
VOTERS = ("v1", "v2")
MACHINES = (*VOTERS, "p")
STEP_S = 0.5
CALM_S = 12.0
CALM_STEP_S = 0.25
MAX_MESSAGES_AT_ONCE = 400


@attrs.frozen
class Calls:
    """The states that the server reports, in order; each call carries its sequence number."""

    states: tuple[InstanceState, ...] = (InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE)
    max_steps: int = 1


@attrs.define
class Machine:
    """The registry process of a machine."""

    registry: Registry
    shown: InstanceState | None = None
    """The state of the server that the data plane was last notified of."""
    changes: dict[int, InstanceState] = attrs.Factory(dict)


class RegistryWorld(World):
    """The server, the machines and their network; see the module.

    `delayed_calls` holds calls that the server has made and that have not arrived yet.
    """

    def __init__(self, calls: Calls) -> None:
        super().__init__()
        self.calls = calls
        self.steps = 0
        self.now = 100.0
        self.network = Network()
        self.machines: dict[str, Machine] = {}
        self.calls_made = 0
        self.delayed_calls: list[int] = []
        self.confirmed: InstanceState | None = None
        for name in MACHINES:
            self.start_process(name)
        self._deliver_all()

    def start_process(self, name: str) -> None:
        """Starts a process with an empty list."""
        registry = Registry(name, 1.2)
        self.machines[name] = Machine(registry)
        self._carry_out(name, registry.start(self.now))
        self._carry_out(name, registry.voters_changed(self.now, VOTERS))

    @property
    def time(self) -> int:
        return self.steps

    def moves(self) -> Iterable[Action]:
        yield from self.network.moves(self.deliver, self.lose)
        for name in MACHINES:
            if self.calls_made < len(self.calls.states):
                yield move(
                    f"the server says {self._state(self.calls_made).name} to {name}", self.make_call, name
                )
            for number in self.delayed_calls:
                text = f"its late call {number + 1} ({self._state(number).name}) comes to {name}"
                yield move(text, self.deliver_delayed_call, number, name)
            yield move(f"{name} is killed and starts again", self.restart, name, cost=1)
        if self.calls_made < len(self.calls.states):
            yield move(f"the server's call {self.calls_made + 1} is on its way", self.delay_call, cost=1)
        if self.steps < self.calls.max_steps:
            yield move(f"{STEP_S:g} s pass", self.wait, cost=1 if self.network.envelopes else 0)

    def _state(self, number: int) -> InstanceState:
        return self.calls.states[number]

    def make_call(self, name: str) -> None:
        """Makes the server's next call at a machine."""
        self.calls_made += 1
        self._call(name, self.calls_made - 1)

    def delay_call(self) -> None:
        """Makes the server's next call, which arrives later."""
        self.delayed_calls.append(self.calls_made)
        self.calls_made += 1

    def deliver_delayed_call(self, number: int, name: str) -> None:
        """Delivers a delayed call, which later ones may have overtaken."""
        self.delayed_calls.remove(number)
        self._call(name, number)

    def _call(self, name: str, number: int) -> None:
        machine, state = self.machines[name], self._state(number)
        if state is InstanceState.GONE:
            change, effects = machine.registry.deregister(self.now, SERVER)
        else:
            instance = Instance(SERVER, "s", "10.0.0.9:80", sequence=number + 1, state=state)
            change, effects = machine.registry.register(self.now, instance)
        machine.changes[change] = state
        self._carry_out(name, effects)

    def restart(self, name: str) -> None:
        """Restarts a process; messages on its outgoing connections are lost."""
        for other in MACHINES:
            self.network.reset(name, other)
        self.start_process(name)

    def deliver(self, position: int) -> None:
        """Delivers a message."""
        envelope = self.network.remove(position)
        registry = self.machines[envelope.target].registry
        self._carry_out(envelope.target, registry.receive(self.now, envelope.source, envelope.message))

    def lose(self, position: int) -> None:
        """Loses a message."""
        self.network.remove(position)

    def wait(self) -> None:
        """Advances time by one step for all machines."""
        self.steps += 1
        self.now += STEP_S
        self._tick()

    def _tick(self) -> None:
        for name, machine in self.machines.items():
            self._carry_out(name, machine.registry.tick(self.now))

    def _carry_out(self, name: str, effects: Iterable[Effect]) -> None:
        machine = self.machines[name]
        for effect in effects:
            if isinstance(effect, Send):
                if effect.ip != name:
                    self.network.send(name, effect.ip, effect.message, _describe(effect.message))
            elif isinstance(effect, Acknowledged):
                state = machine.changes.pop(effect.change, None)
                self.add_note(f"-> {name} acknowledges {state.name if state is not None else '?'}")
                if state is not None and (self.confirmed is None or state > self.confirmed):
                    self.confirmed = state
            elif isinstance(effect, Failed):
                machine.changes.pop(effect.change, None)
            elif isinstance(effect, InstancesChanged):
                self._check_shown(name, machine, effect)

    def _check_shown(self, name: str, machine: Machine, effect: InstancesChanged) -> None:
        for instance in effect.instances:
            before, machine.shown = machine.shown, instance.state
            self.add_note(f"-> {name} shows it as {instance.state.name}")
            text = (
                f"{name} shows it as {instance.state.name} after {before.name if before is not None else ''}"
            )
            self.require(before is None or instance.state >= before, "back", text)

    # -- convergence without further faults --

    def look_ahead(self) -> None:
        if self.violations or self.delayed_calls or self.confirmed is None or self.key() % 4:
            return
        later = deep_copy(self)
        later.settle()
        self.violations += later.violations

    def settle(self) -> None:
        """Runs without faults for `CALM_S` and checks that all machines converge. Modifies the world."""
        until = self.now + CALM_S
        while self.now < until and not self.violations:
            self._deliver_all()
            self.now += CALM_STEP_S
            self._tick()
        self._deliver_all()
        states = {name: self._known_state(machine) for name, machine in self.machines.items()}
        least = self.confirmed or InstanceState.READY
        text = f"{least.name} was acknowledged, and {CALM_S:g} s later there is {states}"
        self.require(all(state is None or state >= least for state in states.values()), "stale", text)
        live = {state for state in states.values() if state is not InstanceState.GONE}
        self.require(
            len(live) < 2 and len(set(states.values()) - {None, InstanceState.GONE}) < 2, "differ", text
        )

    @staticmethod
    def _known_state(machine: Machine) -> InstanceState | None:
        found = machine.registry.find(SERVER)
        return None if found is None else found.state

    def _deliver_all(self) -> None:
        for _ in range(MAX_MESSAGES_AT_ONCE):
            if not self.network.envelopes:
                return
            self.deliver(0)
        self.require(False, "storm", "the exchange of messages does not end")

    def key(self) -> int:
        machines = [_CANONICALIZER.canonical(machine, self.now) for machine in self.machines.values()]
        return digest(
            (machines, self.calls_made, self.delayed_calls, self.confirmed, self.network.key(), self.steps)
        )


def _describe_record(record: InstanceRecord) -> str:
    return (
        f"{InstanceState(record.state).name}/{record.sequence}/{record.generation}/{record.lost_generation}"
    )


def _describe(message: object) -> str:
    match message:
        case Announce():
            return f"news {_describe_record(message.record)} (receipt: {message.wants_acknowledgement})"
        case AnnounceAcknowledged():
            newer = ", ".join(map(_describe_record, message.newer))
            return f"receipt of {message.fingerprint & 0xFFFFF:x}{' with ' + newer if newer else ''}"
        case InstanceUpdates():
            return f"news {message.number} {', '.join(map(_describe_record, message.records))}"
        case InstanceUpdatesAcknowledged():
            return f"receipt of {message.number}"
        case HeartbeatBatch():
            return f"heartbeats {[beat.sequence for beat in message.heartbeats]}"
        case Compare():
            return f"comparison {message.digest & 0xFFFFF:x}/{message.count}"
        case Same():
            return f"'same as {message.digest & 0xFFFFF:x}'"
        case InstanceList():
            return (
                f"list {', '.join(map(_describe_record, message.records))} (answer: {message.wants_answer})"
            )
    return str(message)


_CANONICALIZER = Canonicalizer(
    skipped_fields=frozenset({"told", "_lists_sent"}),
    non_time_fields=frozenset({"_limit", "_quiet_limit"}),
    max_age_s=10.0,
)
