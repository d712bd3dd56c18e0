"""One tenant's pool, and the shares with which proxies stand by for it."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.placement.quota_messages import SHARE_UNIT
from cloverrouter.placement.quota_plan import TenantPlan

KEPT_PART = 0.5  # of the room: for requests that wait
SHORTEST_DRY_S = 0.03


@attrs.define(slots=True)
class Share:
    """One proxy's share. `bound`: the largest that the proxy may still use."""

    offered: int = 0
    bound: int = 0


@attrs.define(slots=True)
class TenantPool:
    """Fills at the tenant's rate, less the shares of proxies that may be standing by."""

    plan: TenantPlan
    updated_at: float
    shares: dict[str, Share] = attrs.field(factory=dict)
    demands: dict[str, int] = attrs.field(factory=dict)
    unknown: int = 0  # shares that an earlier allocator may have leased to proxies not heard of yet
    held: int = 0  # sum of the bounds
    silent: int = 0  # sum of the bounds of proxies that may be standing by
    level: float = 0.0  # negative: owed
    _credits: deque[tuple[float, float]] = attrs.field(factory=deque)  # (until, tokens) that may still be run
    _credit_out: float = 0.0

    def advance(self, now: float) -> None:
        """Fill up to `now` as things stand; call before they change."""
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.level += elapsed * self._rate()
            self.updated_at = now
        while self._credits and self._credits[0][0] <= now:
            self._credit_out -= self._credits.popleft()[1]
        self.level = min(self.level, self.plan.room * self.idle_part() - self._credit_out)

    def _rate(self) -> float:
        return self.plan.rate * self.idle_part()

    def idle_part(self) -> float:
        """The part of the tenant's rate that no proxy may be using by itself."""
        return 1 - (self.silent + self.unknown) / SHARE_UNIT

    def lend(self, wanted: int, until: float) -> int:
        """Any size is served while there is anything: large requests wait no longer than small ones."""
        if self.level <= 0:
            return 0
        return self._lend(min(wanted, int(self.level + self.plan.debt)), until)

    def lend_spare(self, wanted: int, until: float) -> int:
        """What no request waits for: only out of what the pool has beyond `KEPT_PART`."""
        beyond = int(self.level - self.plan.room * KEPT_PART)
        return self._lend(min(wanted, beyond), until) if beyond > 0 else 0

    def _lend(self, tokens: int, until: float) -> int:
        self.level -= tokens
        self._credits.append((until, tokens))
        self._credit_out += tokens
        return tokens

    def dry_s(self) -> float:
        """How long until the pool may hold something again; longer if proxies stand by then, too."""
        return max(-self.level / self.plan.rate, SHORTEST_DRY_S)

    def offer(self, ip: str, offered: int, silent: bool) -> None:
        """A share that the proxy will be told. Call this and all below after `advance`."""
        share = self.shares.setdefault(ip, Share())
        share.offered = offered
        self._set_bound(share, max(share.bound, offered), silent)

    def confirm(self, ip: str, silent: bool) -> None:
        """The proxy has the share that it was offered last, and no other."""
        share = self.shares[ip]
        self._set_bound(share, share.offered, silent)
        if not share.offered:
            del self.shares[ip]

    def take_over(self, ip: str, held: int, unknown: bool, silent: bool) -> None:
        """A share that the proxy announced. `unknown`: an earlier allocator leased it."""
        if unknown:
            self.unknown -= held
        self.shares[ip] = Share(offered=held)
        self._set_bound(self.shares[ip], held, silent)

    def settle(self) -> None:
        """All leases of earlier allocators are known, or have run out."""
        self.unknown = 0

    def set_silent(self, ip: str, silent: bool) -> None:
        """The proxy may be standing by from now on, or surely is not any more."""
        self.silent += self.shares[ip].bound if silent else -self.shares[ip].bound

    def remove(self, ip: str, silent: bool) -> None:
        """The proxy's share is surely not in use any more."""
        self.demands.pop(ip, None)
        if ip in self.shares:
            self._set_bound(self.shares[ip], 0, silent)
            del self.shares[ip]

    def wanted_shares(self, all_shares: int) -> dict[str, int]:
        """By proxy, after its demand."""
        demanded = sum(self.demands.values())
        shares = dict.fromkeys(self.shares, 0)
        for ip, demand in self.demands.items():
            shares[ip] = demand * all_shares // demanded if demanded else 0
        return shares

    def _set_bound(self, share: Share, bound: int, silent: bool) -> None:
        self.held += bound - share.bound
        if silent:
            self.silent += bound - share.bound
        share.bound = bound
