"""A request's turn at its tenant's quota: it is counted once, after a short wait at most."""

from __future__ import annotations

from typing import Protocol

from cloverrouter.router.admitted import Admitted

QUOTA_PATIENCE_S = 0.03
"""A request waits so long for more of its tenant's quota; what would take longer is refused."""
QUOTA_ASKS = 3
QUOTA_REFUSAL_S = 0.1


class TenantQuotas(Protocol):
    """Where requests are counted for their tenants."""

    def quota_wait(self, admitted: Admitted, again: bool) -> float:
        """Count a request: 0.0, or seconds after which to ask again."""
        ...

    def refund(self, admitted: Admitted) -> None:
        """A request that was counted never ran."""
        ...


class QuotaTurn:
    """Counts one request for its tenant, at most once."""

    __slots__ = ("_admitted", "_asks", "_quotas", "charged", "wait_s")

    def __init__(self, quotas: TenantQuotas, admitted: Admitted) -> None:
        self._quotas = quotas
        self._admitted = admitted
        self._asks = 0
        self.charged = False
        """It has been counted."""
        self.wait_s = 0.0
        """After an `ask` that was answered no: seconds until there may be more."""

    def ask(self) -> bool:
        """Count it, unless that is done. If False, it is to wait or to be refused."""
        if not self.charged:
            self.wait_s = self._quotas.quota_wait(self._admitted, again=self._asks > 0)
            self._asks += 1
            self.charged = self.wait_s <= 0
        return self.charged

    @property
    def worth_waiting(self) -> bool:
        """Whether the wait is short enough to be waited out here."""
        return self.wait_s <= QUOTA_PATIENCE_S and self._asks <= QUOTA_ASKS

    @property
    def retry_after_s(self) -> float:
        """When a client that is refused should come back."""
        return max(self.wait_s, QUOTA_REFUSAL_S)

    def refund(self) -> None:
        """It surely never ran and never will."""
        if self.charged:
            self._quotas.refund(self._admitted)
