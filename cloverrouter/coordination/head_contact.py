"""A replica's contact with the head: whether it must withhold promises from others, and when it starts an
election."""

from __future__ import annotations

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import Heartbeat
from cloverrouter.coordination.views import election_order


class HeadContact:
    """The head as seen by one other replica."""

    def __init__(self, context: Context, now: float) -> None:
        self._context = context
        self._started_at = now
        self.last_contact_at = now
        self.head: str | None = None  # identity of the head heard last
        self.is_active = False  # whether its view was in force at the last heartbeat
        self._unfit_since: float | None = None  # since when its disk fails or its process is about to exit
        # epoch, and since when its view has not been in force
        self._inactive_since: tuple[int, float] = (0, now)

    def record_contact(self, now: float, head: str) -> None:
        """Records a message from a head, or from a proposer about to become head."""
        self.last_contact_at = now
        self.head = head

    def on_heartbeat(self, now: float, message: Heartbeat) -> None:
        """Handles a heartbeat of a head."""
        timeout_s = self._context.config.failure_timeout_s
        self.is_active = message.active
        if self._inactive_since[0] != message.epoch or message.active:
            self._inactive_since = (message.epoch, now)
        # A head that cannot bring its view into force stops counting as contact after a while.
        if now - self._inactive_since[1] < 2 * timeout_s:
            self.record_contact(now, message.sender)
        is_unfit = message.resigning or message.trouble_ms >= timeout_s * 1000
        if not is_unfit:
            self._unfit_since = None
        elif self._unfit_since is None:
            self._unfit_since = now

    def is_healthy(self, now: float) -> bool:
        """Returns whether a healthy head was heard at `now`, that is in the current event."""
        return self.last_contact_at >= now and self._unfit_since is None

    def reset_timeouts(self, now: float) -> None:
        """Restarts the timeouts after a freeze of this process, during which nothing could be received."""
        self.last_contact_at = max(self.last_contact_at, now)
        self._unfit_since = None

    def must_withhold_promise(self, now: float, sender: str) -> bool:
        """Returns whether a promise to `sender` must be withheld because the head was heard recently."""
        if self._must_withhold_after_restart(now, sender):
            return True
        if self.head is None or sender == self.head or self._unfit_since is not None:
            return False
        return now - self.last_contact_at < self._context.config.sticky_s

    def _must_withhold_after_restart(self, now: float, sender: str) -> bool:
        """Returns whether a promise must be withheld shortly after a restart.

        Only the last promise survives a restart. Its holder may have a lease that counts on this replica's
        reply, whichever other head is heard since; no other replica can have one.
        """
        context = self._context
        if context.epoch == 0 or sender == context.disk.meta.promised_to:
            return False
        return now - self._started_at < context.config.sticky_s

    def election_due_at(self, jitter: float) -> float | None:
        """Returns the time at which this replica starts an election if the head stays silent; None if it must
        not."""
        context, config = self._context, self._context.config
        view, me = context.view, context.me.identity
        if view is None or view.voter(me) is None or context.resigning:
            return None
        order = election_order(view)
        rank = order.index(me) if me in order else 0
        turn_s = rank * config.rank_delay_s + jitter
        if self._unfit_since is not None:
            return self._unfit_since + turn_s
        if self.head is not None:
            return self.last_contact_at + config.failure_timeout_s + turn_s
        if not view.chain:  # the initial view
            return self.last_contact_at + turn_s
        if view.head == me:
            return self._started_at + jitter
        return self._started_at + config.start_delay_s + turn_s
