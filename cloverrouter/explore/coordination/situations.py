"""Named start states of a search, reached by the prompt schedule after at most one failure.

The names are stored in saved histories.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverrouter.coordination.messages import Forward, Install
from cloverrouter.coordination.views import GENESIS_EPOCH, View, encode_view
from cloverrouter.explore.coordination import deviations
from cloverrouter.explore.coordination.model import InvariantBrokenError, ReplicaModel, Situation
from cloverrouter.explore.coordination.replica_state import Delivery, Machine, State, identity_of
from cloverrouter.explore.coordination.timing import FIRST_STEP
from cloverrouter.store import Meta, StoredReplica

VOTERS = 3
ORDERS_AFTER = 6  # time steps
MOST_STEPS = 5_000  # of the prompt schedule until a situation must be reached


def first_start(model: ReplicaModel) -> State:
    """Returns three empty disks before the first start; no process runs yet."""
    return _machines(VOTERS, Meta(adoptable=True))


def voters_start(model: ReplicaModel) -> State:
    """Returns three disks with the first view, and a spare; no process runs yet."""
    state = _machines(VOTERS + 1, Meta())
    members = tuple(machine.member for machine in state.machines[:VOTERS])
    view = View(GENESIS_EPOCH, members, (), ())
    meta = Meta(view=encode_view(view), view_epoch=GENESIS_EPOCH, settled=True)
    for machine in state.machines[:VOTERS]:
        state.machines[machine.position] = machine._replace(
            disk=StoredReplica(machine.disk.identity, meta=meta)
        )
    state.first_voters = frozenset(member.identity for member in members)
    return state


def chain_active(model: ReplicaModel) -> State:
    """Returns a state with an active chain of all three voters and no orders yet."""
    state = voters_start(model)
    _run(model, state, lambda: _chain_length(model, state) == VOTERS and not state.queue)
    return state


def one_confirmed(model: ReplicaModel) -> State:
    """Returns an active chain that has confirmed the first order."""
    state = chain_active(model)
    _run(model, state, lambda: bool(state.acknowledged) and not state.queue, orders=1)
    return state


def orders_later(model: ReplicaModel) -> State:
    """Returns `one_confirmed` where the next orders come later, and only to the head of the newest epoch."""
    state = one_confirmed(model)
    state.orders_from_step = state.step + ORDERS_AFTER
    state.newest_only = True
    return state


def voter_lost(model: ReplicaModel) -> State:
    """Returns a state with one confirmed order in which the tail has lost its disk and is down."""
    state = one_confirmed(model)
    _lose_disk(state, 2)
    return state


def exchange_begun(model: ReplicaModel) -> State:
    """Returns `voter_lost` where the head hands view and state to the spare."""
    state = voter_lost(model)
    _run(model, state, lambda: _is_handover_next(state))
    return state


def voter_silent(model: ReplicaModel) -> State:
    """Returns a state in which the head replaces the silent tail by the spare just as the tail restarts.

    One order is confirmed, and the tail still has its disk.
    """
    state = one_confirmed(model)
    deviations.end_process(state, 2, None)
    _run(model, state, lambda: _is_handover_next(state))
    state.machines[2] = state.machines[2]._replace(restart_at=state.step + 1)
    return state


def chain_of_two(model: ReplicaModel) -> State:
    """Returns a chain of two after the silent tail has left it; one order is confirmed by all three.

    The tail still has its disk and restarts later. There is no spare.
    """
    state = one_confirmed(model)
    state.machines[VOTERS] = state.machines[VOTERS]._replace(core=None)  # no spare
    deviations.end_process(state, 2, None)
    _run(model, state, lambda: _chain_length(model, state) == 2 and not state.queue)
    state.machines[2] = state.machines[2]._replace(restart_at=state.step + 6)
    return state


def two_confirmed(model: ReplicaModel) -> State:
    """Returns `chain_of_two` where the two have confirmed all orders before the third restarts."""
    state = chain_of_two(model)
    _run(model, state, lambda: len(state.acknowledged) == len(model.orders) and not state.queue, orders=None)
    return state


def order_under_way(model: ReplicaModel) -> State:
    """Returns a state with one confirmed order; the next are in flight from the head to its successor."""
    state = one_confirmed(model)

    def is_sent() -> bool:
        return any(isinstance(item, Delivery) and isinstance(item.message, Forward) for item in state.queue)

    _run(model, state, is_sent, orders=None)
    return state


SITUATIONS = {
    "first start": first_start,
    "voters start": voters_start,
    "chain active": chain_active,
    "one confirmed": one_confirmed,
    "orders later": orders_later,
    "voter lost": voter_lost,
    "exchange begun": exchange_begun,
    "voter silent": voter_silent,
    "chain of two": chain_of_two,
    "two confirmed": two_confirmed,
    "order under way": order_under_way,
}


def named(*names: str) -> tuple[Situation, ...]:
    """Returns situations by their names."""
    return tuple(Situation(name, SITUATIONS[name]) for name in names)


def _machines(count: int, meta: Meta) -> State:
    state = State()
    state.step = FIRST_STEP
    for position in range(count):
        disk = StoredReplica(identity_of(position, 0), meta=meta)
        machine = Machine(position, 0, disk, None, None, FIRST_STEP + 1, 0, frozenset(), 0)
        state.machines.append(machine)
    return state


def _lose_disk(state: State, position: int) -> None:
    deviations.end_process(state, position, None)
    deviations.lose_disk(state, position)


def _is_handover_next(state: State) -> bool:
    """Returns whether the next delivery is the view in which the spare is a voter."""
    first = state.queue[0] if state.queue else None
    if not isinstance(first, Delivery) or not isinstance(first.message, Install):
        return False
    return first.message.view.voter(state.machines[VOTERS].disk.identity) is not None


def _chain_length(model: ReplicaModel, state: State) -> int:
    for machine in state.machines:
        if machine.core is not None:
            facts = model.cores.facts(machine.core)
            if facts.head_epoch:
                return len(facts.chain)
    return 0


def _run(model: ReplicaModel, state: State, is_reached: Callable[[], bool], orders: int | None = 0) -> None:
    """Runs the prompt schedule until a situation is reached, with the first `orders` orders (None: all).

    Raises `InvariantBrokenError` at a violation.
    """
    for _ in range(MOST_STEPS):
        if is_reached():
            return
        if state.queue:
            model.take(state, state.queue.pop(0))
        else:
            model.pass_time(state, orders)
        if state.violations:
            raise InvariantBrokenError(state)
    raise AssertionError("the prompt schedule does not reach the situation")
