"""Parts of the fleet's contract that servers, clients and the judge share. No I/O."""

from __future__ import annotations

import hashlib

import attrs

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})  # guarantee: never executed


@attrs.frozen(slots=True)
class Event:
    """One event of a stream."""

    event_id: int
    data: str


def event_data(subject: str, event_id: int, signature: str) -> str:
    """Returns the data of an event: the request's digest, the event's number and the signature of the run."""
    return f"{subject} {event_id} {signature}"


def subject_of(method: str, path: str, body: bytes) -> str:
    """Returns a digest of a request: equal at client and server if nothing was modified on the way."""
    return hashlib.sha256(b"%s %s " % (method.encode(), path.encode()) + body).hexdigest()[:16]
