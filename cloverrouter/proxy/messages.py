"""The interface between the parts of the client proxy: a client's request and a server's answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cloverrouter.http.sockets import hung_up as hung_up
from cloverrouter.proxy.streams import Sink, Source, StreamHead, Upload

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bodies up to this size are buffered, so that they can be sent again
MAX_BODY_BYTES = 34 * 1024 * 1024  # of requests and answers; larger ones are refused
MAX_HEAD_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's complete answer."""

    status: int
    body: bytes
    content_type: bytes
    not_executed: bool  # the server states that it has not begun to execute the request
    load_report: bytes | None  # its load report, not yet parsed


class Call(ABC):
    """One request of a client, answered once by `send_answer`, `reject`, `fail` or `start_stream`. Further
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

    def client_gone(self) -> bool:
        """Returns whether the client has closed its connection. To be checked right before a request is sent:
        a process that was suspended would otherwise send it before it learns that the client is gone."""
        return False

    @abstractmethod
    def send_answer(self, answer: Answer) -> None:
        """Sends a server's complete answer to the client."""
        ...

    @abstractmethod
    def reject(self, retry_after_ms: float) -> None:
        """Tells the client that the request was not executed and may be sent again after `retry_after_ms`."""
        ...

    @abstractmethod
    def fail(self) -> None:
        """Tells the client that the request failed; it may have been executed."""
        ...

    @abstractmethod
    def start_stream(self, head: StreamHead, source: Source) -> Sink:
        """Starts an answer that is forwarded while it is received."""
