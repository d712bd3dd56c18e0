"""How a tenant's limit is divided between the allocator's pool and the proxies.

The rule: in each sliding window of W seconds all proxies together run at most (R·W + B)·(1 + overshoot)
+ tolerance tokens of a tenant. Pool and proxies are buckets, that fill at a rate and hold at most their
room. A set of buckets runs at most (sum of rates)·W + (sum of rooms) + (sum of debts) in a window,
wherever the tokens are asked, so the parts add up to the rule, less `SAFETY`.

A proxy's own rate and standby room are parts of the pool's, by the number of proxies: either it has
them, or the pool. Who has them when: see `placement/quota.py`.
"""

from __future__ import annotations

import attrs

SAFETY = 0.01  # of the allowed tokens: clocks that run at slightly different rates
STEADY_PART = 0.5  # of the overshoot: for a higher rate; the rest can be stored
MIN_STORE_PART = 0.05  # of the allowed tokens: what buckets can store at least, at the rate's expense
ADVANCE_PART = 0.3  # of the store: what proxies may hold in advance, all together
POOL_DEBT_TOKENS = 40_000.0  # largest request that the pool serves when it holds next to nothing
POOL_DEBT_PART = 0.25  # of the store: what the pool may owe at most
STANDBY_PART = 0.5  # of the pool's rate: what all proxies have together when each is on its own
STANDBY_ROOM_PART = 0.8  # of the pool's room: likewise

CONTACT_S = 0.35
CONTACT_PER_PROXY_S = 0.003  # so that the reports to the allocator don't grow with the fleet beyond bounds
MAX_CONTACT_S = 1.2


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

    rate: float  # of the pool while all proxies are in contact
    room: float  # likewise
    debt: float  # of the pool
    line_room: float  # of one proxy, always
    own_rate: float  # of one proxy that stands by
    own_room: float  # likewise, beside `line_room`


def allowed_tokens(limit: TenantLimit, rules: QuotaRules) -> float:
    """What may run in one window."""
    planned = limit.rate * rules.window_s + limit.burst
    return planned * (1 + rules.overshoot) + rules.tolerance


def plan_tenant(limit: TenantLimit, rules: QuotaRules, fleet_size: int) -> TenantPlan:
    """Divide a limit over a fleet of at most `fleet_size` proxies; 0: unknown, then a proxy has nothing."""
    allowed = allowed_tokens(limit, rules) * (1 - SAFETY)
    steady = limit.rate * (1 + rules.overshoot * STEADY_PART) * rules.window_s
    store = max(allowed - steady, allowed * MIN_STORE_PART)
    rate = (allowed - store) / rules.window_s
    debt = min(POOL_DEBT_TOKENS, store * POOL_DEBT_PART)
    room = store * (1 - ADVANCE_PART) - debt
    share = 1 / fleet_size if fleet_size > 0 else 0.0
    return TenantPlan(
        rate=rate,
        room=room,
        debt=debt,
        line_room=store * ADVANCE_PART * share,
        own_rate=rate * STANDBY_PART * share,
        own_room=room * STANDBY_ROOM_PART * share,
    )


def contact_s(fleet_size: int) -> float:
    """For how long an allocator's answer keeps a proxy from standing by."""
    return min(CONTACT_S + CONTACT_PER_PROXY_S * fleet_size, MAX_CONTACT_S)
