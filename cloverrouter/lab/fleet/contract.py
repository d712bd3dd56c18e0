"""Words of the fleet's contract that servers, clients and the judge share. Pure."""

from __future__ import annotations

import hashlib

import attrs

PROMISES = frozenset({408, 421, 429, 503})  # statuses that promise: the request has not run and never will


@attrs.frozen(slots=True)
class Event:
    """One event of a stream."""

    event_id: int
    data: str


def event_data(subject: str, event_id: int, stamp: str) -> str:
    """What a server writes into an event: whose it is, which one, and which run made it."""
    return f"{subject} {event_id} {stamp}"


def subject_of(method: str, path: str, body: bytes) -> str:
    """What a request is about, as one word: the same at client and server if nothing was changed."""
    return hashlib.sha256(b"%s %s " % (method.encode(), path.encode()) + body).hexdigest()[:16]
