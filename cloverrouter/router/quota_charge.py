"""Charges a request against its tenant's quota: once, and after a short wait at most."""

from __future__ import annotations

from typing import Protocol

from cloverrouter.router.admitted_request import AdmittedRequest

MAX_QUOTA_WAIT_S = 0.03
"""Longest wait for more quota, in seconds; a request that would wait longer is rejected."""
MAX_QUOTA_WAITS = 3
MIN_QUOTA_RETRY_AFTER_S = 0.1


class TenantQuotas(Protocol):
    """Charges requests against the quotas of their tenants."""

    def charge_quota(self, admitted: AdmittedRequest, again: bool) -> float:
        """Charges a request: returns 0.0, or the seconds after which to ask again."""
        ...

    def refund(self, admitted: AdmittedRequest) -> None:
        """Refunds a request that was charged but never ran."""
        ...


class QuotaCharge:
    """Charges one request against its tenant's quota, at most once."""

    __slots__ = ("_admitted", "_charge_attempts", "_quotas", "charged", "wait_s")

    def __init__(self, quotas: TenantQuotas, admitted: AdmittedRequest) -> None:
        self._quotas = quotas
        self._admitted = admitted
        self._charge_attempts = 0
        self.charged = False
        """Whether the request has been charged."""
        self.wait_s = 0.0
        """After a failed `try_charge`: seconds until the quota may suffice."""

    def try_charge(self) -> bool:
        """Charges the request unless that was done before. Returns False if it has to wait or be rejected."""
        if not self.charged:
            self.wait_s = self._quotas.charge_quota(self._admitted, again=self._charge_attempts > 0)
            self._charge_attempts += 1
            self.charged = self.wait_s <= 0
        return self.charged

    @property
    def should_wait(self) -> bool:
        """Whether the wait is short enough to be waited out here."""
        return self.wait_s <= MAX_QUOTA_WAIT_S and self._charge_attempts <= MAX_QUOTA_WAITS

    @property
    def retry_after_s(self) -> float:
        """Seconds after which a rejected client should retry."""
        return max(self.wait_s, MIN_QUOTA_RETRY_AFTER_S)

    def refund(self) -> None:
        """Refunds a request that certainly never ran and never will."""
        if self.charged:
            self._quotas.refund(self._admitted)
