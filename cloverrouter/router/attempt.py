"""One attempt to send a request to one server. It listens to the connection pool and reports the outcome to
the request that owns it.

The owner gets exactly one of `on_answer`, `on_stream_start` (followed by data and one of the two ends of a
stream) and `on_attempt_failed`. After `cancel` it gets nothing more.
"""

from __future__ import annotations

from typing import Protocol

from cloverrouter.http.client import Call, Failure, Headers
from cloverrouter.http.fields import end_to_end
from cloverrouter.http.memory import UNCHARGED_BYTES
from cloverrouter.placement.server_load import parse_load
from cloverrouter.placement.servers import ServerState
from cloverrouter.router.events import EventEndDetector
from cloverrouter.router.headers import SERVER_LOAD, is_event_stream, is_unframed
from cloverrouter.router.verdict import Answer, End, Verdict, judge_head


class AttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    max_buffered_answer_bytes: int

    def now(self) -> float:
        """Returns the time on the monotonic clock, in seconds."""
        ...

    def on_answer_buffered(self, size: int) -> None:
        """Handles the growth of an answer that is buffered until it is complete, to `size` bytes."""
        ...

    def on_answer(self, attempt: Attempt, answer: Answer) -> None:
        """Handles a complete successful answer of the server."""
        ...

    def on_stream_start(
        self, attempt: Attempt, status: int, headers: Headers, length: int | None, has_events: bool
    ) -> None:
        """Handles the head of a successful answer that is forwarded as it arrives."""
        ...

    def on_stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Handles the next part of the body of that answer."""
        ...

    def on_stream_end(self, attempt: Attempt) -> None:
        """Handles the end of that answer, which is complete."""
        ...

    def on_stream_failure(self, attempt: Attempt, end: End) -> None:
        """Handles the failure of that answer, which will not be completed."""
        ...

    def on_attempt_failed(self, attempt: Attempt, end: End, answer: Answer | None) -> None:
        """Handles an attempt without an answer to forward; `answer` is the server's own error answer, if
        it sent one."""
        ...


class Attempt:
    """One send of a request. `number` identifies it within the router."""

    __slots__ = ("_body", "_body_bytes", "_event_end", "_headers", "_status", "_streaming", "call", "is_over",
                 "last_received_at", "missing_tokens", "number", "owner", "sent_at", "server_state",
                 "verdict")  # fmt: skip

    def __init__(
        self, owner: AttemptOwner, server_state: ServerState, number: int, missing_tokens: int
    ) -> None:
        self.owner = owner
        self.server_state = server_state
        self.number = number
        self.missing_tokens = missing_tokens
        self.call: Call | None = None
        self.sent_at: float | None = None
        self.last_received_at: float | None = None
        self.is_over = False
        self.verdict: Verdict | None = None
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._streaming = False
        self._event_end: EventEndDetector | None = None

    @property
    def status(self) -> int:
        """Status code of the answer; 0 until its head has arrived."""
        return self._status

    def cancel(self) -> None:
        """Cancels the attempt: the server is told to stop, and the owner is not called any more."""
        if self.is_over:
            return
        call = self.call
        self._finish()
        if call is not None:
            call.cancel()

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have started to execute the request, as far as is known now."""
        promised = self.verdict in (Verdict.NOT_EXECUTED, Verdict.MISPLACED)
        return self.call is not None and self.call.begun and not promised

    def on_written(self) -> None:
        """Records that the whole request was written to the connection."""
        self.sent_at = self.owner.now()

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Handles the status and the headers of the answer."""
        if self.is_over:
            return
        self.last_received_at = self.owner.now()
        self.server_state.record_first_byte(self.number, self.last_received_at)
        self._status = status
        self.verdict = judge_head(status, headers)
        if self.verdict is Verdict.SPOILT:
            self._abort(End.SPOILT)
            return
        self._record_load(headers)
        self._headers = end_to_end(headers)
        has_events = is_event_stream(headers)
        if has_events and is_unframed(headers, length):
            self._event_end = EventEndDetector()
        if self.verdict is Verdict.GOOD and (
            has_events or (length or 0) > self.owner.max_buffered_answer_bytes
        ):
            self._begin_stream(length, has_events)

    def on_data(self, data: bytes) -> None:
        """Handles the next part of the body."""
        if self.is_over:
            return
        if self._streaming:
            self.last_received_at = self.owner.now()
            self.server_state.record_bytes(self.last_received_at)
            if self._event_end is not None:
                self._event_end.feed(data)
            self.owner.on_stream_data(self, data)
            return
        self._body_bytes += len(data)
        self._body.append(data)
        if self._body_bytes > self.owner.max_buffered_answer_bytes:
            self._on_oversized_body()
        elif self._body_bytes > UNCHARGED_BYTES:
            self.owner.on_answer_buffered(self._body_bytes)

    def on_end(self) -> None:
        """Handles the end of the answer, which is complete."""
        if self.is_over:
            return
        self._finish()
        if self._streaming and self._event_end is not None and not self._event_end.is_at_event_end:
            self.owner.on_stream_failure(self, End.LOST)  # a clean close, but inside an event
        elif self._streaming:
            self.owner.on_stream_end(self)
        elif self.verdict is Verdict.GOOD:
            self.owner.on_answer(self, self._answer())
        elif self.verdict is Verdict.FAILED:
            self.owner.on_attempt_failed(self, End.FAILED, self._answer())
        else:
            self.owner.on_attempt_failed(self, End.REJECTED, None)

    def on_failure(self, failure: Failure) -> None:
        """Handles a call that ended without a complete answer."""
        if self.is_over:
            return
        self._finish()
        if failure is Failure.NOT_SENT:
            end = End.UNSENT
        elif failure is Failure.CONNECT_FAILED:
            end = End.UNREACHED
        elif self.verdict in (Verdict.NOT_EXECUTED, Verdict.MISPLACED):
            end = End.REJECTED  # the head already promised that the request was not executed
        else:
            end = End.LOST if failure is Failure.BROKEN else End.SPOILT
        if self._streaming:
            self.owner.on_stream_failure(self, end)
        else:
            self.owner.on_attempt_failed(self, end, None)

    def _record_load(self, headers: Headers) -> None:
        """Records the load that the server reports. A header that cannot be parsed is ignored; it is still
        forwarded."""
        values = [value for name, value in headers if name == SERVER_LOAD]
        load = parse_load(values) if values else None
        if load is not None and self.last_received_at is not None:
            self.server_state.update_load(load, self.last_received_at)

    def _begin_stream(self, length: int | None, has_events: bool) -> None:
        self._streaming = True
        self.owner.on_stream_start(self, self._status, self._headers, length, has_events)

    def _on_oversized_body(self) -> None:
        """Handles a body of unknown length that has outgrown the buffer for complete answers."""
        if self.verdict is not Verdict.GOOD:
            self._abort(End.SPOILT if self.verdict is Verdict.FAILED else End.REJECTED)
            return
        body, self._body = b"".join(self._body), []
        self.owner.on_answer_buffered(0)
        self._begin_stream(None, has_events=False)
        if not self.is_over:
            self.owner.on_stream_data(self, body)

    def _abort(self, end: End) -> None:
        self.cancel()
        self.owner.on_attempt_failed(self, end, None)

    def _answer(self) -> Answer:
        return Answer(self._status, self._headers, b"".join(self._body))

    def _finish(self) -> None:
        self.is_over = True
        self.call = None  # breaks a reference cycle, so that no cycle collection is needed
        self.server_state.record_end(self.number)
