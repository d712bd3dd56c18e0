"""What must hold in every history, in writing. Each property has a name, which breaches are reported under.

Most are checked by the world at the moment in which something goes out, is given or is cut (`World.breach`);
those that speak of the end are checked here, on states in which nothing can come any more, and those that
speak of figures are checked here in every state.
"""

from __future__ import annotations

from collections.abc import Iterator

from cloverrouter.explore.world import World

PROPERTIES = {
    "answer": "A call gets one final answer and never two; none after its client has left, none in the "
    "middle of another, and nothing of the call goes out after it.",
    "late": "The final answer lands before the call's give-up time, unless an answer has begun by then.",
    "repeat": "What may have run is repeated only where its class permits: a dial-out never, a join only in "
    "its bay and within its window.",
    "refusal": "A call is refused, which says that trying again is harmless, only if nothing of it may have "
    "run.",
    "drain": "Nothing starts out to a server that drains, is gone or is cordoned, and nothing that had "
    "started goes out to it later than the grace after it was told.",
    "halt": "Once the process has halted nothing is owed but answers that have begun, and nothing starts.",
    "attempts": "No call is sent more often than the settings allow.",
    "body": "A call whose body is partly gone is not sent again.",
    "cut": "An answer that has begun is finished, or visibly cut; it is never cut while its server gives it.",
    "held": "Nothing is passed on of which nothing was held.",
    "tokens": "The retry budget is never under nought, nor over what was there, was earned and not spent.",
    "rest": "When all is over, nothing is left: no call, no attempt in flight, no held request, no timer, "
    "and no byte in the budget of streams, which is never under nought.",
    "stuck": "No call is held for ever: while one is owed, something is due that will end it.",
    "crash": "The module and the lifecycle take every order of events.",
}
CAPACITY, COST = 100.0, 10.0


def breaches(world: World) -> list[str]:
    """What is wrong in this state, each with the name of its property first."""
    return [*world.breaches, *_tokens(world), *_end(world), *_agree(world)]


def _tokens(world: World) -> Iterator[str]:
    tokens = world.balancer.budget.tokens
    most = CAPACITY + world.oks - COST * world.retries
    if not -1e-9 <= tokens <= max(0.0, most) + 1e-9:
        yield f"tokens: {tokens:g} are left, with {world.oks} earned and {world.retries} retries"


def _agree(world: World) -> Iterator[str]:
    """What the lifecycle and the module take to be out is what is out."""
    out = sum(len(call.in_flight) for call in world.lifecycle.calls.values())
    if out != len(world.wires):
        yield f"rest: the lifecycle has {out} attempts out, the network {len(world.wires)}"
    owed = sum(client.owed for client in world.clients.values())
    if world.lifecycle.open_calls != owed:
        yield f"rest: the lifecycle owes {world.lifecycle.open_calls} answers, the clients wait for {owed}"
    if world.budget.held_bytes < 0:
        yield f"rest: the budget of streams stands at {world.budget.held_bytes} bytes"
    flying = sum(e.in_flight for e in world.balancer.membership.endpoints.values())
    if flying > len(world.wires) or any(
        e.in_flight < 0 for e in world.balancer.membership.endpoints.values()
    ):
        yield f"rest: the module has {flying} requests in flight, the network {len(world.wires)}"


def _end(world: World) -> Iterator[str]:
    timers = world.live()
    waiting = [
        call
        for call, client in world.clients.items()
        if client.owed and not client.body_left and client.streaming is None
    ]
    # Timers of attempts end what is out, the module's end what is held.
    if waiting and not timers:
        yield f"stuck: nothing is due that would end call {waiting[0]}"
    if world.wires or any(client.owed for client in world.clients.values()):
        return
    balancer = world.balancer
    if world.budget.held_bytes:
        yield f"rest: {world.budget.held_bytes} bytes are left in the budget of streams"
    if world.lifecycle.calls:
        yield f"rest: calls are left: {sorted(world.lifecycle.calls)}"
    if balancer.requests:
        yield f"rest: the module still has requests {sorted(balancer.requests)}"
    flying = {name: e.in_flight for name, e in balancer.membership.endpoints.items() if e.in_flight}
    if flying or balancer.flow.in_flight:
        yield f"rest: still counted as in flight: {flying}, {balancer.flow.in_flight} in all"
    if list(balancer.queue):
        yield "rest: the module still holds a request"
    if timers:
        yield f"rest: {len(timers)} timers are left"
