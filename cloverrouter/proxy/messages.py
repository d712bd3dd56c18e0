"""The interface between the parts of the client proxy: a client's request and a server's answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cloverrouter.http.sockets import hung_up as hung_up
from cloverrouter.proxy.streams import Sink, Source, StreamHead, Upload

SMALL = 64 * 1024  # bodies up to this size are buffered, so that they can be sent again
MAX_BODY = 34 * 1024 * 1024  # of requests and answers; larger ones are refused
MAX_HEAD = 16 * 1024


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's complete answer."""

    status: int
    body: bytes
    content_type: bytes
    never_ran: bool  # the server states that it has not begun to execute the request
    report: bytes | None  # its load report, not yet parsed


class Call(ABC):
    """One request of a client, answered once by `served`, `refused`, `failed` or `begun`. Further
    answers have no effect."""

    __slots__ = (
        "arrived_ms",
        "body",
        "class_name",
        "content_type",
        "cost_ms",
        "idempotency_key",
        "key",
        "method",
        "repeat",
        "request_id",
        "target",
        "tenant",
        "timeout_ms",
        "upload",
    )

    arrived_ms: float  # when its last byte was received
    method: bytes
    target: bytes
    request_id: bytes
    idempotency_key: bytes
    content_type: bytes
    body: bytes
    upload: Upload | None  # the body, if it is too large to be buffered
    class_name: str
    tenant: str | None
    key: str | None
    timeout_ms: float | None  # how long the client waits; None: not stated
    cost_ms: float | None
    repeat: bool

    def left(self) -> bool:
        """Returns whether the client has closed its connection. To be checked right before a request is sent:
        a process that was suspended would otherwise send it before it learns that the client is gone."""
        return False

    @abstractmethod
    def served(self, answer: Answer) -> None:
        """Sends a server's complete answer to the client."""
        ...

    @abstractmethod
    def refused(self, retry_after_ms: float) -> None:
        """Tells the client that the request was not executed and may be sent again after `retry_after_ms`."""
        ...

    @abstractmethod
    def failed(self) -> None:
        """Tells the client that the request failed; it may have been executed."""
        ...

    @abstractmethod
    def begun(self, head: StreamHead, source: Source) -> Sink:
        """Starts an answer that is forwarded while it is received."""
