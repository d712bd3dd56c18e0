"""What a replica has heard of the head: whether it holds to it, and when it would stand up in its place."""

from __future__ import annotations

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import Heartbeat
from cloverrouter.coordination.views import standing_order


class HeadContact:
    """The head, as one of the others hears it."""

    def __init__(self, context: Context, now: float) -> None:
        self._context = context
        self._started = now
        self.heard_at = now
        self.head: str | None = None  # identity of the one that was heard
        self.is_active = False  # its view was in force
        self._ill_since: float | None = None  # its disk fails, or it is about to leave
        self._inactive_since: tuple[int, float] = (0, now)  # epoch, since when it is not in force yet

    def hear(self, now: float, head: str) -> None:
        """A head, or one who is about to be, was heard."""
        self.heard_at = now
        self.head = head

    def judge(self, now: float, message: Heartbeat) -> None:
        """A head's heartbeat has come."""
        timeout_s = self._context.config.failure_timeout_s
        self.is_active = message.active
        if self._inactive_since[0] != message.epoch or message.active:
            self._inactive_since = (message.epoch, now)
        # One that can't get its view in force is not waited for for ever.
        if now - self._inactive_since[1] < 2 * timeout_s:
            self.hear(now, message.sender)
        is_ill = message.resigning or message.trouble_ms >= timeout_s * 1000
        if not is_ill:
            self._ill_since = None
        elif self._ill_since is None:
            self._ill_since = now

    def is_well(self, now: float) -> bool:
        """Whether a head that is well was heard just now."""
        return self.heard_at >= now and self._ill_since is None

    def forgive(self, now: float) -> None:
        """The process was frozen: silence says nothing about the others."""
        self.heard_at = max(self.heard_at, now)
        self._ill_since = None

    def is_bound(self, now: float, sender: str) -> bool:
        """Whether a promise to `sender` has to wait, as the head was heard a moment ago."""
        if self._is_bound_by_last_life(now, sender):
            return True
        if self.head is None or sender == self.head or self._ill_since is not None:
            return False
        return now - self.heard_at < self._context.config.sticky_s

    def _is_bound_by_last_life(self, now: float, sender: str) -> bool:
        """Of the life before this one only the last promise is known. The one that it was given to may be
        sure of itself by this replica's word, whoever else was heard since; no other can be."""
        context = self._context
        if context.epoch == 0 or sender == context.disk.meta.promised_to:
            return False
        return now - self._started < context.config.sticky_s

    def stands_up_at(self, jitter: float) -> float | None:
        """When this replica tries to become head if the head stays silent; None if it may not."""
        context, config = self._context, self._context.config
        view, me = context.view, context.me.identity
        if view is None or view.voter(me) is None or context.resigning:
            return None
        order = standing_order(view)
        rank = order.index(me) if me in order else 0
        turn_s = rank * config.rank_delay_s + jitter
        if self._ill_since is not None:
            return self._ill_since + turn_s
        if self.head is not None:
            return self.heard_at + config.failure_timeout_s + turn_s
        if not view.chain:  # the first view of all
            return self.heard_at + turn_s
        if view.head == me:
            return self._started + jitter
        return self._started + config.start_delay_s + turn_s
