"""What the head of an answer, or the end of an attempt, tells: whether the request ran, and whether the
answer is usable."""

from __future__ import annotations

from enum import Enum

import attrs

from cloverrouter.http.fields import Headers, first
from cloverrouter.router.headers import CONTENT_ENCODING, NOT_EXECUTED, SIGNATURE

MISDIRECTED = 421
NOT_EXECUTED_STATUSES = frozenset((408, 429, 503))
"""Status codes that promise a client that its request was not executed."""
_IDENTITY = b"identity"


class Verdict(Enum):
    """Classification of an answer by its head."""

    GOOD = "good"
    """The server's own successful answer."""
    FAILED = "failed"
    """The server's own error answer: the request ran."""
    NOT_EXECUTED = "not executed"
    """The server promises that the request was not executed and never will be."""
    MISPLACED = "misplaced"
    """Another instance has the address; the request was not executed either."""
    SPOILT = "spoilt"
    """Not an answer of the server; the request may have run."""


def judge_head(status: int, headers: Headers) -> Verdict:
    """Classifies an answer by its status and headers."""
    if status == MISDIRECTED:
        return Verdict.MISPLACED
    if first(headers, NOT_EXECUTED) is not None and status >= 400:
        return Verdict.NOT_EXECUTED
    if not first(headers, SIGNATURE) or status in NOT_EXECUTED_STATUSES:
        # Without the server's own word that the request did not run, the client must not get a status that
        # promises so.
        return Verdict.SPOILT
    encoding = first(headers, CONTENT_ENCODING)
    if encoding is not None and encoding.lower() != _IDENTITY:
        return Verdict.SPOILT
    return Verdict.GOOD if 200 <= status < 300 else Verdict.FAILED


class End(Enum):
    """How an attempt ended that has no successful answer to forward."""

    UNSENT = "unsent"
    """Nothing was sent, and the server is not to blame."""
    UNREACHED = "unreached"
    """No connection to the server was established: the request did not run."""
    REJECTED = "rejected"
    """The request reached the server, which rejected it without executing it."""
    FAILED = "failed"
    """The server sent its own error answer."""
    LOST = "lost"
    """The connection broke: the request may have run."""
    SPOILT = "spoilt"
    """What arrived is not an answer of the server: the request may have run."""

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have started to execute the request."""
        return self in (End.FAILED, End.LOST, End.SPOILT)

    @property
    def arrived(self) -> bool:
        """Whether the request reached a server."""
        return self not in (End.UNSENT, End.UNREACHED)


@attrs.frozen(slots=True)
class Answer:
    """A complete answer of a server."""

    status: int
    headers: Headers
    body: bytes
