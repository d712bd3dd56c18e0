"""The decision module of cloverrouter. Its input and output types are defined in ``interface.py``.

One `Balancer` serves one client proxy. It has no clock, socket or thread: the proxy calls `Balancer.handle`
with the time and the events, and carries out the returned actions.

Normally two ready endpoints are drawn, and the one with the higher payoff / (1 + own requests in flight) gets
the attempt. A failed attempt is retried elsewhere after a wait with decorrelated jitter, within the request's
deadline, if the retry budget, which is refilled by successful responses, has enough tokens. Exceptions to
this are explained where they are implemented.

The cost of a decision does not grow with the number of servers: docs/design/fleet.md.
"""

from cloverrouter.decide.balancer import Balancer
from cloverrouter.decide.budget import RetryBudget, backoff_ms
from cloverrouter.decide.endpoint import Endpoint
from cloverrouter.decide.request import NEVER_RAN, Attempt, Request

__all__ = ["NEVER_RAN", "Attempt", "Balancer", "Endpoint", "Request", "RetryBudget", "backoff_ms"]
