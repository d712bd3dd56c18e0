"""The message that sends the membership view from replicas to subscribers; others use peer sampling."""

from __future__ import annotations

from cloverrouter.coordination.sampling_messages import ViewSummary
from cloverrouter.messages import message


@message(340)
class ViewNotice:
    """The view that the sender knows."""

    summary: ViewSummary
