"""How a tenant's limit is divided between the allocator's pool and the proxies.

The rule: in each sliding window of W seconds all proxies together run at most (R·W + B)·(1 + overshoot)
+ tolerance tokens of a tenant. Every part below is a bucket that fills at a rate and holds at most its
room. A set of buckets runs at most (sum of rates)·W + (sum of rooms) + (sum of debts) in a window,
wherever the tokens are asked, so the parts add up to the rule, less `SAFETY`.
"""

from __future__ import annotations

import attrs

SAFETY = 0.01  # of the allowed tokens: clocks that run at slightly different rates
BASE_RATE_PART = 0.05  # of the rate, on top of it: what proxies may run unasked, all together
BASE_ROOM_PART = 0.05  # of the store
LINE_ROOM_PART = 0.3  # of the store: what proxies may hold in advance by their shares, all together
LEAST_STORE_PART = 0.1  # of the allowed tokens: what buckets can store at least, at the rate's expense
POOL_DEBT_TOKENS = 40_000.0  # largest request that the pool serves when it holds next to nothing
POOL_DEBT_PART = 0.3  # of the store: what the pool may owe at most


@attrs.frozen(slots=True)
class QuotaRules:
    """The deployment's figures for all tenants: window in s, overshoot as a part, tolerance in tokens."""

    window_s: float = 8.0
    overshoot: float = 0.1
    tolerance: float = 72_000.0


@attrs.frozen(slots=True)
class TenantLimit:
    """Tokens a second, and tokens of burst above that. A rate of 0 means no limit."""

    rate: float
    burst: float


@attrs.frozen(slots=True)
class TenantPlan:
    """The parts of one tenant's limit, in tokens and tokens a second."""

    rate: float  # of the pool, and of the proxies that stand by for it
    room: float  # likewise
    debt: float  # of the pool
    line_room: float  # of all proxies, by their shares
    base_rate: float  # of one proxy
    base_room: float  # of one proxy


def allowed_tokens(limit: TenantLimit, rules: QuotaRules) -> float:
    """What may run in one window."""
    planned = limit.rate * rules.window_s + limit.burst
    return planned * (1 + rules.overshoot) + rules.tolerance


def plan_tenant(limit: TenantLimit, rules: QuotaRules, fleet_size: int) -> TenantPlan:
    """Divide a limit over a fleet of at most `fleet_size` proxies."""
    allowed = allowed_tokens(limit, rules) * (1 - SAFETY)
    wanted_rate = limit.rate * (1 + BASE_RATE_PART)
    store = max(allowed - wanted_rate * rules.window_s, allowed * LEAST_STORE_PART)
    all_rate = (allowed - store) / rules.window_s
    rate = all_rate / (1 + BASE_RATE_PART)
    debt = min(POOL_DEBT_TOKENS, store * POOL_DEBT_PART)
    return TenantPlan(
        rate=rate,
        room=store * (1 - BASE_ROOM_PART - LINE_ROOM_PART) - debt,
        debt=debt,
        line_room=store * LINE_ROOM_PART,
        base_rate=(all_rate - rate) / fleet_size,
        base_room=store * BASE_ROOM_PART / fleet_size,
    )
