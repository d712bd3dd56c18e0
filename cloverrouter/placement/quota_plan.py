"""Divides a tenant's limit between the allocator's pool and the proxies.

The rule: in each sliding window of W seconds all proxies together run at most (R·W + B)·(1 + overshoot) +
tolerance tokens of a tenant. The pool and the proxies are token buckets, each with a fill rate and a
capacity. A set of buckets runs at most (sum of rates)·W + (sum of capacities) + (sum of debts) in a window,
wherever the tokens are requested, so the parts are chosen to add up to the rule, less `SAFETY`.

A proxy's standby rate and standby capacity are parts of the pool's, divided by the number of proxies: at any
time either the proxy has them or the pool. `placement/quota.py` defines which of them.
"""

from __future__ import annotations

import attrs

SAFETY = 0.01  # of the allowed tokens: margin for clocks that run at slightly different rates
STEADY_PART = 0.5  # of the overshoot: used for a higher rate; the rest can be stored
MIN_STORE_PART = 0.05  # of the allowed tokens: minimum that the buckets can store, at the rate's expense
ADVANCE_PART = 0.3  # of the store: what all proxies together may hold in advance
POOL_DEBT_TOKENS = 40_000.0  # largest request that the pool serves when it is nearly empty
POOL_DEBT_PART = 0.25  # of the store: the maximum debt of the pool
STANDBY_PART = 0.5  # of the pool's rate: what all proxies have together when each is in standby
STANDBY_CAPACITY_PART = 0.8  # of the pool's capacity: likewise

CONTACT_S = 0.35
CONTACT_PER_PROXY_S = 0.003  # limits the rate of reports to the allocator in large fleets
MAX_CONTACT_S = 1.2


@attrs.frozen(slots=True)
class QuotaRules:
    """The deployment's settings for all tenants: window in seconds, overshoot as a fraction, tolerance in
    tokens."""

    window_s: float = 8.0
    overshoot: float = 0.1
    tolerance: float = 72_000.0


@attrs.frozen(slots=True)
class TenantLimit:
    """Tokens a second, and a burst in tokens above that. A rate of 0 means no limit."""

    rate: float
    burst: float


@attrs.frozen(slots=True)
class TenantPlan:
    """The parts of one tenant's limit, in tokens and tokens a second."""

    rate: float  # of the pool while all proxies are in contact
    capacity: float  # likewise
    debt: float  # of the pool
    base_capacity: float  # of one proxy, at all times
    own_rate: float  # of one proxy in standby
    own_capacity: float  # likewise, in addition to `base_capacity`


def allowed_tokens(limit: TenantLimit, rules: QuotaRules) -> float:
    """Returns the number of tokens that may run in one window."""
    planned = limit.rate * rules.window_s + limit.burst
    return planned * (1 + rules.overshoot) + rules.tolerance


def plan_tenant(limit: TenantLimit, rules: QuotaRules, fleet_size: int) -> TenantPlan:
    """Divides a limit over a fleet of at most `fleet_size` proxies. With 0 (unknown) a proxy gets nothing."""
    allowed = allowed_tokens(limit, rules) * (1 - SAFETY)
    steady = limit.rate * (1 + rules.overshoot * STEADY_PART) * rules.window_s
    store = max(allowed - steady, allowed * MIN_STORE_PART)
    rate = (allowed - store) / rules.window_s
    debt = min(POOL_DEBT_TOKENS, store * POOL_DEBT_PART)
    capacity = store * (1 - ADVANCE_PART) - debt
    share = 1 / fleet_size if fleet_size > 0 else 0.0
    return TenantPlan(
        rate=rate,
        capacity=capacity,
        debt=debt,
        base_capacity=store * ADVANCE_PART * share,
        own_rate=rate * STANDBY_PART * share,
        own_capacity=capacity * STANDBY_CAPACITY_PART * share,
    )


def contact_s(fleet_size: int) -> float:
    """Returns for how long an allocator's answer keeps a proxy out of standby, in seconds."""
    return min(CONTACT_S + CONTACT_PER_PROXY_S * fleet_size, MAX_CONTACT_S)
