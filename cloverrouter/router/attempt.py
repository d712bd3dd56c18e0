"""One send of a request to one server: a listener of the pool that tells its flight what the answer is.

The flight hears exactly one of `answer_whole`, `stream_began` (followed by data and one of the ends of a
stream) and `attempt_over`; after `give_up` it hears nothing.
"""

from __future__ import annotations

from typing import Protocol

from cloverrouter.http.client import Call, Failure, Headers
from cloverrouter.http.fields import end_to_end
from cloverrouter.placement.server_load import parse_load
from cloverrouter.placement.servers import ServerState
from cloverrouter.router.events import EventTail
from cloverrouter.router.headers import SERVER_LOAD, is_event_stream, is_unframed
from cloverrouter.router.verdict import Answer, End, Verdict, judge_head


class Owner(Protocol):
    """The flight that an attempt belongs to."""

    whole_answer_bytes: int

    def now(self) -> float:
        """The time."""
        ...

    def answer_whole(self, attempt: Attempt, answer: Answer) -> None:
        """The server's own success came, whole."""
        ...

    def stream_began(
        self, attempt: Attempt, status: int, headers: Headers, length: int | None, events: bool
    ) -> None:
        """The server's own success begins, to be passed on as it comes."""
        ...

    def stream_data(self, attempt: Attempt, data: bytes) -> None:
        """A part of its body."""
        ...

    def stream_ended(self, attempt: Attempt) -> None:
        """It is whole."""
        ...

    def stream_broke(self, attempt: Attempt, end: End) -> None:
        """It will not become whole."""
        ...

    def attempt_over(self, attempt: Attempt, end: End, answer: Answer | None) -> None:
        """There is no answer to pass on; with the server's own failure if it gave one."""
        ...


class Attempt:
    """A send. `key` is its number within the router."""

    __slots__ = ("_body", "_headers", "_size", "_status", "_streaming", "_tail", "call", "heard_at", "key",
                 "missing_tokens", "over", "owner", "sent_at", "standing", "verdict")  # fmt: skip

    def __init__(self, owner: Owner, standing: ServerState, key: int, missing_tokens: int) -> None:
        self.owner = owner
        self.standing = standing
        self.key = key
        self.missing_tokens = missing_tokens
        self.call: Call | None = None
        self.sent_at: float | None = None
        self.heard_at: float | None = None
        self.over = False
        self.verdict: Verdict | None = None
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._streaming = False
        self._tail: EventTail | None = None

    @property
    def status(self) -> int:
        """Of the answer; 0 before its head has come."""
        return self._status

    def give_up(self) -> None:
        """Cancel it: its server stops working on it, and nothing more is heard."""
        if self.over:
            return
        call = self.call
        self._finish()
        if call is not None:
            call.cancel()

    @property
    def may_have_run(self) -> bool:
        """Whether its server may have begun to work on the request, as far as is known now."""
        promised = self.verdict in (Verdict.NOT_EXECUTED, Verdict.MISPLACED)
        return self.sent_at is not None and not promised

    def on_written(self) -> None:
        """The request went out."""
        self.sent_at = self.owner.now()

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """The answer begins."""
        if self.over:
            return
        self.heard_at = self.owner.now()
        self.standing.record_first_byte(self.key, self.heard_at)
        self._status = status
        self.verdict = judge_head(status, headers)
        if self.verdict is Verdict.SPOILT:
            self._drop(End.SPOILT)
            return
        self._note_load(headers)
        self._headers = end_to_end(headers)
        events = is_event_stream(headers)
        if events and is_unframed(headers, length):
            self._tail = EventTail()
        if self.verdict is Verdict.GOOD and (events or (length or 0) > self.owner.whole_answer_bytes):
            self._begin_stream(length, events)

    def on_data(self, data: bytes) -> None:
        """A part of the body."""
        if self.over:
            return
        if self._streaming:
            self.heard_at = self.owner.now()
            self.standing.record_bytes(self.heard_at)
            if self._tail is not None:
                self._tail.feed(data)
            self.owner.stream_data(self, data)
            return
        self._size += len(data)
        self._body.append(data)
        if self._size > self.owner.whole_answer_bytes:
            self._too_large()

    def on_end(self) -> None:
        """The answer is whole."""
        if self.over:
            return
        self._finish()
        if self._streaming and self._tail is not None and not self._tail.is_whole:
            self.owner.stream_broke(self, End.LOST)  # cut off, though in an orderly way
        elif self._streaming:
            self.owner.stream_ended(self)
        elif self.verdict is Verdict.GOOD:
            self.owner.answer_whole(self, self._answer())
        elif self.verdict is Verdict.FAILED:
            self.owner.attempt_over(self, End.FAILED, self._answer())
        else:
            self.owner.attempt_over(self, End.REJECTED, None)

    def on_failure(self, failure: Failure) -> None:
        """There will be no whole answer."""
        if self.over:
            return
        self._finish()
        if failure is Failure.NOT_SENT:
            end = End.UNSENT
        elif failure is Failure.CONNECT_FAILED:
            end = End.UNREACHED
        elif self.verdict in (Verdict.NOT_EXECUTED, Verdict.MISPLACED):
            end = End.REJECTED  # the head holds the promise
        else:
            end = End.LOST if failure is Failure.BROKEN else End.SPOILT
        if self._streaming:
            self.owner.stream_broke(self, end)
        else:
            self.owner.attempt_over(self, end, None)

    def _note_load(self, headers: Headers) -> None:
        """What the server tells of its load; a field that can't be read tells nothing, and is passed on."""
        values = [value for name, value in headers if name == SERVER_LOAD]
        load = parse_load(values) if values else None
        if load is not None and self.heard_at is not None:
            self.standing.update_load(load, self.heard_at)

    def _begin_stream(self, length: int | None, events: bool) -> None:
        self._streaming = True
        self.owner.stream_began(self, self._status, self._headers, length, events)

    def _too_large(self) -> None:
        """A body of no told length grew beyond what is held back."""
        if self.verdict is not Verdict.GOOD:
            self._drop(End.SPOILT if self.verdict is Verdict.FAILED else End.REJECTED)
            return
        body, self._body = b"".join(self._body), []
        self._begin_stream(None, events=False)
        if not self.over:
            self.owner.stream_data(self, body)

    def _drop(self, end: End) -> None:
        self.give_up()
        self.owner.attempt_over(self, end, None)

    def _answer(self) -> Answer:
        return Answer(self._status, self._headers, b"".join(self._body))

    def _finish(self) -> None:
        self.over = True
        self.call = None  # danger: the two hold each other, and would wait for the cycle collector
        self.standing.record_end(self.key)
