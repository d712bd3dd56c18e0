"""The membership view, pushed from replicas to subscribers; others hear of it by peer sampling."""

from __future__ import annotations

from cloverrouter.coordination.sampling_messages import ViewSummary
from cloverrouter.messages import message


@message(340)
class ViewNotice:
    """The view as its sender knows it."""

    summary: ViewSummary
