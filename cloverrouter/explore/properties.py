"""The properties that must hold in every history. Breaches are reported under the name of the property.

The world checks most of them when a request is sent or an answer is delivered or cut off (`World.breach`).
This module checks counters and budgets in every state, and the final properties in states in which no call
is open any more.
"""

from __future__ import annotations

from collections.abc import Iterator

from cloverrouter.explore.world import World

PROPERTIES = {
    "answer": "A call gets exactly one final answer: none after its client has disconnected, none in the "
    "middle of another answer, and no attempt of the call is sent after it.",
    "late": "The final answer is delivered by the call's deadline, unless an answer has begun by then.",
    "repeat": "A request that may have been executed is repeated only where its class permits: a dial-out "
    "never, a join only in its cell and within its deduplication window.",
    "refusal": "A call is refused, which tells the client that a retry is safe, only if none of its attempts "
    "can have been executed.",
    "drain": "No attempt starts to a server that drains, is gone or is cordoned, and an attempt that had "
    "started is not sent to it later than the drain grace period after the change was announced.",
    "halt": "Once the process has halted, only answers that have begun are outstanding; no attempt starts.",
    "attempts": "No call has more attempts than the settings allow.",
    "body": "A call whose body is partly consumed is not sent again.",
    "cut": "An answer that has begun is finished or visibly cut off; its server is never "
    "interrupted while it is sending the answer.",
    "held": "An answer is streamed only if a response was held for it.",
    "tokens": "The retry budget is never negative, and never exceeds its capacity plus what was earned "
    "minus what was spent.",
    "rest": "When all calls are over nothing remains: no call, attempt in flight, queued request, timer, "
    "or byte in the stream buffer budget, which is never negative.",
    "stuck": "No call waits forever: while it has no answer, a timer is pending that will end it.",
    "crash": "The balancer and the lifecycle accept every order of events without an exception.",
}
BUDGET_CAPACITY_TOKENS, RETRY_COST_TOKENS = 100.0, 10.0


def breaches(world: World) -> list[str]:
    """Returns all breaches in this state, each as `property: text`."""
    return [
        *world.breaches,
        *_check_retry_budget(world),
        *_check_final_state(world),
        *_check_in_flight_counts(world),
    ]


def _check_retry_budget(world: World) -> Iterator[str]:
    tokens = world.balancer.budget.tokens
    max_tokens = BUDGET_CAPACITY_TOKENS + world.successes - RETRY_COST_TOKENS * world.retries
    if not -1e-9 <= tokens <= max(0.0, max_tokens) + 1e-9:
        yield f"tokens: {tokens:g} are left, with {world.successes} earned and {world.retries} retries"


def _check_in_flight_counts(world: World) -> Iterator[str]:
    """Checks the in-flight counts of the lifecycle and the balancer against the simulated network."""
    out = sum(len(call.in_flight) for call in world.lifecycle.calls.values())
    if out != len(world.exchanges):
        yield f"rest: the lifecycle has {out} attempts in flight, the network {len(world.exchanges)}"
    waiting = sum(client.awaits_answer for client in world.clients.values())
    if world.lifecycle.open_calls != waiting:
        yield f"rest: the lifecycle has {world.lifecycle.open_calls} open calls, waiting clients: {waiting}"
    if world.budget.held_bytes < 0:
        yield f"rest: the stream buffer budget is at {world.budget.held_bytes} bytes"
    counted = sum(e.in_flight for e in world.balancer.membership.endpoints.values())
    if counted > len(world.exchanges) or any(
        e.in_flight < 0 for e in world.balancer.membership.endpoints.values()
    ):
        yield f"rest: the balancer has {counted} requests in flight, the network {len(world.exchanges)}"


def _check_final_state(world: World) -> Iterator[str]:
    timers = world.pending_timers()
    waiting_calls = [
        call
        for call, client in world.clients.items()
        if client.awaits_answer and not client.body_incomplete and client.streaming is None
    ]
    # Attempt timeouts end requests in flight; balancer timers end queued requests.
    if waiting_calls and not timers:
        yield f"stuck: no timer is pending that would end call {waiting_calls[0]}"
    if world.exchanges or any(client.awaits_answer for client in world.clients.values()):
        return
    balancer = world.balancer
    if world.budget.held_bytes:
        yield f"rest: {world.budget.held_bytes} bytes are left in the stream buffer budget"
    if world.lifecycle.calls:
        yield f"rest: calls are left: {sorted(world.lifecycle.calls)}"
    if balancer.requests:
        yield f"rest: the balancer still has requests {sorted(balancer.requests)}"
    counted = {name: e.in_flight for name, e in balancer.membership.endpoints.items() if e.in_flight}
    if counted or balancer.flow.in_flight:
        yield f"rest: still counted as in flight: {counted}, {balancer.flow.in_flight} in all"
    if list(balancer.queue):
        yield "rest: the balancer still has a queued request"
    if timers:
        yield f"rest: {len(timers)} timers are left"
