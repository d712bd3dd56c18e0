"""The data plane's access to quotas: drives the quota holder and carries out its effects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota import ASK_SPACING_S, Effect, QuotaHolder


class QuotaPort:
    """The quotas of one process. `wake` is called with each tenant whose waiting requests may ask again."""

    def __init__(
        self, holder: QuotaHolder, send: Callable[[str, object], None], wake: Callable[[str], None]
    ) -> None:
        self.holder = holder
        self._send = send
        self._wake = wake
        self._loop = asyncio.get_running_loop()
        self._flush_timer: asyncio.TimerHandle | None = None

    def admit(self, tenant: str, tokens: int, now: float, *, again: bool = False) -> float:
        """See `QuotaHolder.admit`."""
        wait = self.holder.admit(tenant, tokens, now, again=again)
        if wait > 0 and self._flush_timer is None:
            self._flush_timer = self._loop.call_soon(self._flush)  # type: ignore[assignment]
        return wait

    def refund(self, tenant: str, tokens: int) -> None:
        """See `QuotaHolder.refund`."""
        self.holder.refund(tenant, tokens)

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out effects that a call of the holder returned."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.ip, effect.message)
            else:
                self._wake(effect.tenant)

    def _flush(self) -> None:
        self._flush_timer = None
        effects = self.holder.flush(self._loop.time())
        if not effects and self.holder.wants_credit:
            self._flush_timer = self._loop.call_later(ASK_SPACING_S, self._flush)
        self.carry_out(effects)
