"""What an answer's head, or an attempt's end, says about a request: did it run, and is the answer good?"""

from __future__ import annotations

from enum import Enum

import attrs

from cloverrouter.http.fields import Headers, first
from cloverrouter.router.headers import CONTENT_ENCODING, NOT_EXECUTED, SIGNATURE

MISDIRECTED = 421
PROMISES = frozenset((408, 429, 503))
"""Statuses that promise a client that its request has not run."""
_IDENTITY = b"identity"


class Verdict(Enum):
    """What the head of an answer makes of it."""

    GOOD = "good"
    """The server's own success."""
    FAILED = "failed"
    """The server's own failure: the request has run."""
    NOT_EXECUTED = "not executed"
    """A promise that the request has not run and never will."""
    MISPLACED = "misplaced"
    """Another instance has the address; the same promise."""
    SPOILT = "spoilt"
    """Not the answer of the server: the request may have run."""


def judge_head(status: int, headers: Headers) -> Verdict:
    """What to make of an answer that begins so."""
    if status == MISDIRECTED:
        return Verdict.MISPLACED
    if first(headers, NOT_EXECUTED) is not None and status >= 400:
        return Verdict.NOT_EXECUTED
    if not first(headers, SIGNATURE) or status in PROMISES:
        return (
            Verdict.SPOILT
        )  # danger: without the server's own word that it did not run, no promise may go back
    encoding = first(headers, CONTENT_ENCODING)
    if encoding is not None and encoding.lower() != _IDENTITY:
        return Verdict.SPOILT
    return Verdict.GOOD if 200 <= status < 300 else Verdict.FAILED


class End(Enum):
    """How an attempt ended without an answer that is passed on as it comes."""

    UNSENT = "unsent"
    """Nothing of it went out, for no fault of the server's."""
    UNREACHED = "unreached"
    """No connection to the server came up: nothing of it ran."""
    REJECTED = "rejected"
    """The server turned it away: it reached it, and has not run."""
    FAILED = "failed"
    """The server's own failure."""
    LOST = "lost"
    """The connection broke: it may have run."""
    SPOILT = "spoilt"
    """What came is not the server's answer: it may have run."""

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun to work on the request."""
        return self in (End.FAILED, End.LOST, End.SPOILT)

    @property
    def arrived(self) -> bool:
        """Whether the request reached a server."""
        return self not in (End.UNSENT, End.UNREACHED)


@attrs.frozen(slots=True)
class Answer:
    """A whole answer of a server."""

    status: int
    headers: Headers
    body: bytes
