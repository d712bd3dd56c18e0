"""A replica's contact with the head: whether it must withhold promises from others, and when it starts an
election."""

from __future__ import annotations

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import Heartbeat
from cloverrouter.coordination.views import standing_order


class HeadContact:
    """The head as seen by one other replica."""

    def __init__(self, context: Context, now: float) -> None:
        self._context = context
        self._started = now
        self.heard_at = now
        self.head: str | None = None  # identity of the head heard last
        self.is_active = False  # whether its view was in force at the last heartbeat
        self._ill_since: float | None = None  # since when its disk fails or its process is about to exit
        # epoch, and since when its view has not been in force
        self._inactive_since: tuple[int, float] = (0, now)

    def hear(self, now: float, head: str) -> None:
        """Records a message from a head, or from a proposer about to become head."""
        self.heard_at = now
        self.head = head

    def judge(self, now: float, message: Heartbeat) -> None:
        """Handles a heartbeat of a head."""
        timeout_s = self._context.config.failure_timeout_s
        self.is_active = message.active
        if self._inactive_since[0] != message.epoch or message.active:
            self._inactive_since = (message.epoch, now)
        # A head that cannot bring its view into force stops counting as contact after a while.
        if now - self._inactive_since[1] < 2 * timeout_s:
            self.hear(now, message.sender)
        is_ill = message.resigning or message.trouble_ms >= timeout_s * 1000
        if not is_ill:
            self._ill_since = None
        elif self._ill_since is None:
            self._ill_since = now

    def is_well(self, now: float) -> bool:
        """Returns whether a healthy head was heard at this moment."""
        return self.heard_at >= now and self._ill_since is None

    def forgive(self, now: float) -> None:
        """Restarts the timeouts after a freeze of this process, during which nothing could be received."""
        self.heard_at = max(self.heard_at, now)
        self._ill_since = None

    def is_bound(self, now: float, sender: str) -> bool:
        """Returns whether a promise to `sender` must be withheld because the head was heard recently."""
        if self._is_bound_by_last_life(now, sender):
            return True
        if self.head is None or sender == self.head or self._ill_since is not None:
            return False
        return now - self.heard_at < self._context.config.sticky_s

    def _is_bound_by_last_life(self, now: float, sender: str) -> bool:
        """Returns whether a promise must be withheld shortly after a restart.

        Only the last promise survives a restart. Its holder may have a lease that counts on this replica's
        reply, whichever other head is heard since; no other replica can have one.
        """
        context = self._context
        if context.epoch == 0 or sender == context.disk.meta.promised_to:
            return False
        return now - self._started < context.config.sticky_s

    def stands_up_at(self, jitter: float) -> float | None:
        """Returns the time at which this replica starts an election if the head stays silent; None if it must
        not."""
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
        if not view.chain:  # the initial view
            return self.heard_at + turn_s
        if view.head == me:
            return self._started + jitter
        return self._started + config.start_delay_s + turn_s
