"""Where a search begins: worlds that the prompt schedule, or the first troubles of a day, has led to."""

from __future__ import annotations

from collections.abc import Callable

from cloverrouter.coordination.messages import Forward, Install
from cloverrouter.coordination.views import GENESIS_EPOCH, View, encode_view
from cloverrouter.explore.coordination import troubles
from cloverrouter.explore.coordination.figures import FIRST_STEP
from cloverrouter.explore.coordination.model import BrokenError, ReplicaModel, Situation
from cloverrouter.explore.coordination.world import Delivery, Machine, State, identity_of
from cloverrouter.store import Meta, StoredReplica

VOTERS = 3
ORDERS_AFTER = 6  # steps of time
MOST_STEPS = 5_000  # of the prompt schedule until a situation is there


def first_start(model: ReplicaModel) -> State:
    """Three empty disks of the first start; no process runs yet."""
    return _machines(VOTERS, Meta(adoptable=True))


def voters_start(model: ReplicaModel) -> State:
    """Three disks with the first view, and a spare; no process runs yet."""
    state = _machines(VOTERS + 1, Meta())
    members = tuple(machine.member for machine in state.machines[:VOTERS])
    view = View(GENESIS_EPOCH, members, (), ())
    meta = Meta(view=encode_view(view), view_epoch=GENESIS_EPOCH, settled=True)
    for machine in state.machines[:VOTERS]:
        state.machines[machine.place] = machine._replace(disk=StoredReplica(machine.disk.identity, meta=meta))
    state.first_voters = frozenset(member.identity for member in members)
    return state


def chain_active(model: ReplicaModel) -> State:
    """Three lead a chain in which all are, and no order has come."""
    state = voters_start(model)
    _run(model, state, lambda: _chain_length(model, state) == VOTERS and not state.queue)
    return state


def one_confirmed(model: ReplicaModel) -> State:
    """The same, and the first order is confirmed."""
    state = chain_active(model)
    _run(model, state, lambda: bool(state.acknowledged) and not state.queue, orders=1)
    return state


def orders_later(model: ReplicaModel) -> State:
    """The same; the next orders come after a while, and to the newest head only."""
    state = one_confirmed(model)
    state.orders_from = state.step + ORDERS_AFTER
    state.newest_only = True
    return state


def voter_lost(model: ReplicaModel) -> State:
    """One order is confirmed, and the last of the chain has lost its disk and has not come back."""
    state = one_confirmed(model)
    _lose(state, 2)
    return state


def exchange_begun(model: ReplicaModel) -> State:
    """A voter is lost, and the head hands view and state to the spare."""
    state = voter_lost(model)
    _run(model, state, lambda: _is_handed(state))
    return state


def voter_silent(model: ReplicaModel) -> State:
    """One order is confirmed; the last of the chain is silent, its disk kept, and the head begins to exchange
    it for the spare just as it comes back."""
    state = one_confirmed(model)
    troubles.end(state, 2, None)
    _run(model, state, lambda: _is_handed(state))
    state.machines[2] = state.machines[2]._replace(back_at=state.step + 1)
    return state


def chain_of_two(model: ReplicaModel) -> State:
    """One order is confirmed by all; then the last of the chain is silent and has left it, its disk kept."""
    state = one_confirmed(model)
    state.machines[VOTERS] = state.machines[VOTERS]._replace(core=None)  # no spare
    troubles.end(state, 2, None)
    _run(model, state, lambda: _chain_length(model, state) == 2 and not state.queue)
    state.machines[2] = state.machines[2]._replace(back_at=state.step + 6)
    return state


def two_confirmed(model: ReplicaModel) -> State:
    """The same, and all orders are confirmed by these two before the third is back."""
    state = chain_of_two(model)
    _run(model, state, lambda: len(state.acknowledged) == len(model.orders) and not state.queue, orders=None)
    return state


def order_under_way(model: ReplicaModel) -> State:
    """One order is confirmed, and the next ones are on their way from the head to its successor."""
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
    """Situations by their names."""
    return tuple(Situation(name, SITUATIONS[name]) for name in names)


def _machines(count: int, meta: Meta) -> State:
    state = State()
    state.step = FIRST_STEP
    for place in range(count):
        disk = StoredReplica(identity_of(place, 0), meta=meta)
        machine = Machine(place, 0, disk, None, None, FIRST_STEP + 1, 0, frozenset(), 0)
        state.machines.append(machine)
    return state


def _lose(state: State, place: int) -> None:
    troubles.end(state, place, None)
    troubles.lose_disk(state, place)


def _is_handed(state: State) -> bool:
    """Whether the next to arrive is the view in which the spare is a voter."""
    first = state.queue[0] if state.queue else None
    if not isinstance(first, Delivery) or not isinstance(first.message, Install):
        return False
    return first.message.view.voter(state.machines[VOTERS].disk.identity) is not None


def _chain_length(model: ReplicaModel, state: State) -> int:
    for machine in state.machines:
        if machine.core is not None:
            facts = model.cores.facts(machine.core)
            if facts.leads:
                return len(facts.chain)
    return 0


def _run(model: ReplicaModel, state: State, is_there: Callable[[], bool], orders: int | None = 0) -> None:
    """Play the prompt schedule, with so many of the orders (None: all), until a situation is there."""
    for _ in range(MOST_STEPS):
        if is_there():
            return
        if state.queue:
            model.take(state, state.queue.pop(0))
        else:
            model.pass_time(state, orders)
        if state.wrong:
            raise BrokenError(state)
    raise AssertionError("the situation is never reached")
