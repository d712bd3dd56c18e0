"""One client request, from its arrival to the end of its answer.

The request is sent to one server after the other, at most one at a time, as long as a retry is allowed by the
idempotency of the route, its attempts, the retry budget of the service and the time left. It ends exactly
once.
"""

from __future__ import annotations

from cloverrouter.http.fields import Headers
from cloverrouter.http.server import Exchange
from cloverrouter.placement.admission import has_time, no_servers_retry_after_s, retry_after_s
from cloverrouter.placement.servers import ServerState
from cloverrouter.placement.shutdown import shutdown_retry_after_s
from cloverrouter.router import answers
from cloverrouter.router.admitted_request import AdmittedRequest
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.hang_detection import MIN_TIME_LEFT_S, HangDetector
from cloverrouter.router.headers import (
    ATTEMPT_ID,
    DEADLINE,
    EXPECTED_INSTANCE,
    LAST_EVENT_ID,
    encode_request_head,
)
from cloverrouter.router.ports import Timer
from cloverrouter.router.quota_charge import QuotaCharge
from cloverrouter.router.relay import StreamRelay
from cloverrouter.router.request_host import RequestHost
from cloverrouter.router.retry_state import RetryState
from cloverrouter.router.verdict import Answer, End


class ActiveRequest:
    """A client request that is being processed. It owns its exchange: nothing else answers it."""

    __slots__ = ("_attempt", "_deadline_timer", "_hang_detector", "_is_over", "_message_head",
                 "_quota", "_record", "_relay", "_request_id", "_retry_state",
                 "_retry_timer", "_router", "admitted", "exchange",
                 "max_buffered_answer_bytes")  # fmt: skip

    def __init__(self, router: RequestHost, exchange: Exchange, admitted: AdmittedRequest) -> None:
        self.exchange = exchange
        self.max_buffered_answer_bytes = router.bounds.max_buffered_answer_bytes
        self._router = router
        self.admitted = admitted
        self._attempt: Attempt | None = None
        self._relay: StreamRelay | None = None
        self._retry_state = RetryState(admitted.route, admitted.service, router.budget)
        self._quota = QuotaCharge(router, admitted)
        self._request_id = exchange.request.header(ATTEMPT_ID) or b""
        self._is_over = False
        self._retry_timer: Timer | None = None
        self._hang_detector: HangDetector | None = None
        tenant = admitted.tenant.name if admitted.tenant is not None else None
        self._record = router.recorder.begin(self._request_id, admitted.route.name, admitted.service, tenant)
        self._message_head = encode_request_head(exchange.request, tenant, admitted.priority)
        last_id = exchange.request.header(LAST_EVENT_ID)
        if last_id is not None and admitted.route.resumable:
            self._relay = StreamRelay(exchange, resumable=True, last_id=last_id)
        elif last_id is not None:
            self._message_head += b"last-event-id: %b\r\n" % last_id
        deadline_wait_s = admitted.deadline - router.clock() + router.bounds.deadline_grace_ms / 1000
        self._deadline_timer = router.call_later(max(0.0, deadline_wait_s), self._on_deadline)
        exchange.on_disconnect = self._on_client_gone
        exchange.on_pause = self._pause_attempt
        exchange.on_resume = self._resume_attempt

    def now(self) -> float:
        """Returns the time on the monotonic clock, in seconds."""
        return self._router.clock()

    @property
    def arrived_at(self) -> float:
        """When the first byte of the request was read, on the monotonic clock."""
        return self.exchange.request.arrived_s

    def start(self) -> None:
        """Sends the request for the first time, or answers it."""
        self._try_send()

    # Sending

    def _time_left_ms(self) -> float:
        return (self.admitted.deadline - self._router.clock()) * 1000

    def _try_send(self) -> None:
        """Sends the request if a server is available and the quota, the budget and the time left allow it."""
        self._retry_timer = None
        if self._retry_state.sends and self.exchange.client_gone():
            self._on_client_gone()
            return
        if not has_time(self._time_left_ms()) or not self._may_send():
            self._finish_failed()
            return
        server_state = self._pick_server()
        if server_state is None:
            self._finish_failed()
        elif not self._quota.try_charge():
            self._wait_for_quota()
        elif not self._retry_state.charge_budget():
            self._finish_failed()
        else:
            self._send(server_state)

    def _may_send(self) -> bool:
        """Returns whether the request may be sent to a server. A stream that the client has a part of is
        always continued: another proxy could do no more for it."""
        return (self._relay is not None and self._relay.head_sent) or self._router.may_begin(self.admitted)

    def _pick_server(self) -> ServerState | None:
        placement = self._router.placement(self.admitted.service)
        return placement.pick(
            self.admitted.prompt,
            self._retry_state.tried_servers,
            self._router.clock(),
            no_retry=self._retry_state.no_rerun,
        )

    def _wait_for_quota(self) -> None:
        """Waits until the tenant's quota may suffice, or rejects the request."""
        tenant = self.admitted.tenant
        if self._quota.should_wait and tenant is not None:
            self._retry_timer = self._router.call_later(self._quota.wait_s, self._try_send)
            self._router.register_quota_waiter(self, tenant.name)
        else:
            self._respond(answers.TOO_MANY_REQUESTS, answers.retry_after(self._quota.retry_after_s))

    def on_quota_update(self) -> None:
        """Retries now that the tenant's quota was updated.

        A request that was charged already was sent when its timer fired; sending it here too would execute it
        twice.
        """
        if self._is_over or self._quota.charged:
            return
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._try_send()

    def _send(self, server_state: ServerState) -> None:
        router, admitted = self._router, self.admitted
        placement = router.placement(admitted.service)
        missing = placement.missing_tokens(server_state, admitted.prompt)
        attempt = Attempt(self, server_state, router.next_attempt_number(), missing)
        self._attempt = attempt
        self._retry_state.record_sent(server_state.server.id)
        server_state.record_sent(attempt.number, router.clock())
        self._record.sent(server_state.server.id)
        placement.record_sent(server_state, admitted.prompt)
        if self._retry_state.may_run_again and router.options.patience:
            self._hang_detector = HangDetector(
                attempt, placement, router.clock, router.call_later, self._abandon_hung_server
            )
        attempt.call = router.send(
            attempt,
            self._encode_message(server_state),
            self._request_id,
            lambda: self._refresh_message(attempt),
            self.exchange.request.body_blocks,
        )

    def _abandon_hung_server(self, attempt: Attempt) -> bool:
        """Gives up on a server that seems to hang, in favour of another one. Returns False if there is no
        other server, if the retry budget does not cover it, or if the client is the one that does not
        read."""
        if self.exchange.paused or self._is_over or attempt is not self._attempt:
            return False
        if self._time_left_ms() < MIN_TIME_LEFT_S * 1000:
            return False
        relay = self._relay
        if relay is not None and relay.head_sent and not relay.can_continue:
            return False
        if (
            not self._may_retry()
            or self._pick_server() is None
            or not self._retry_state.charge_budget_ahead()
        ):
            return False  # silence alone is no reason to end an answer
        attempt.cancel()
        self.on_attempt_failed(attempt, End.LOST, None)
        return True

    def _encode_message(self, server_state: ServerState) -> bytes:
        fields = b"%b: %b\r\n%b: %d\r\n" % (
            EXPECTED_INSTANCE,
            server_state.server.id.encode(),
            DEADLINE,
            max(1, int(self._time_left_ms())),
        )
        if self._relay is not None and self._relay.last_id is not None:
            fields += b"%b: %b\r\n" % (LAST_EVENT_ID, self._relay.last_id)
        return self._message_head + fields + b"\r\n"

    def _refresh_message(self, attempt: Attempt) -> bytes | None:
        """Returns the message for a connection that was just established, with the remaining time updated;
        None if it must not be sent any more."""
        if attempt.is_over or not attempt.server_state.ready:
            return None
        if not has_time(self._time_left_ms()) or self.exchange.client_gone():
            return None
        return self._encode_message(attempt.server_state)

    # Callbacks of the attempt

    def on_answer_buffered(self, size: int) -> None:
        """Counts the part of an answer that is buffered until it is complete."""
        self.exchange.hold_answer(size)

    def on_answer(self, attempt: Attempt, answer: Answer) -> None:
        """Forwards the server's successful answer. If a stream has begun, the answer cannot continue it."""
        if self._relay is not None and self._relay.head_sent:
            self.on_attempt_failed(attempt, End.SPOILT, None)
            return
        self._router.on_success(attempt, self.admitted)
        self._record.attempt_ended("answered")
        self._router.on_answered(self)
        self._forward_answer(answer)

    def on_stream_start(
        self, attempt: Attempt, status: int, headers: Headers, length: int | None, has_events: bool
    ) -> None:
        """Forwards the server's successful answer as it arrives. Only an event stream can continue a
        stream."""
        relay = self._relay
        if relay is not None and relay.head_sent:
            if not has_events or status != relay.status:
                attempt.cancel()
                self.on_attempt_failed(attempt, End.SPOILT, None)
                return
        else:
            resumable = has_events and self.admitted.route.may_repeat and self.admitted.route.resumable
            last_id = relay.last_id if relay is not None else None
            relay = self._relay = StreamRelay(self.exchange, resumable, last_id)
        relay.on_head(status, headers, None if has_events else length)
        if self.exchange.paused and attempt.call is not None:
            attempt.call.pause()

    def on_stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Forwards a part of the body."""
        relay = self._relay
        assert relay is not None
        first = not relay.has_forwarded
        relay.feed(data)
        if first and relay.has_forwarded:
            self._router.on_first_data(attempt, self.admitted)
            self._record.flowing()

    def on_stream_end(self, attempt: Attempt) -> None:
        """Ends the answer, which is complete."""
        relay = self._relay
        assert relay is not None
        self._router.on_success(attempt, self.admitted)
        self._record.attempt_ended("streamed")
        self._router.on_answered(self)
        self._close()
        relay.end()
        self._record.ended(relay.status)

    def on_stream_failure(self, attempt: Attempt, end: End) -> None:
        """Continues the stream at another server, or ends the answer so that it cannot look complete."""
        self.on_attempt_failed(attempt, end, None)

    def on_attempt_failed(self, attempt: Attempt, end: End, answer: Answer | None) -> None:
        """Retries the request, or gives the client the final answer."""
        self._attempt = None
        self._stop_hang_detection()
        self._router.on_failure(attempt, end, self.admitted)
        self._record.attempt_ended(end.value)
        self._retry_state.record_end(end, answer)
        if self._may_retry():
            self._retry(end)
        else:
            self._finish_failed()

    def _may_retry(self) -> bool:
        """Returns whether the request, or the rest of its stream, may be sent to another server."""
        if self._relay is not None and self._relay.head_sent and not self._relay.can_continue:
            return False
        if not self._may_send():
            return False
        return self._retry_state.may_retry(self._router.bounds.extra_sends)

    def _retry(self, end: End) -> None:
        """Sends the request again: at once if it certainly did not run, or if it is the first retry and
        the client waits in the middle of a stream; otherwise after a jittered backoff within the time
        left."""
        in_stream = self._relay is not None and self._relay.head_sent
        if not end.may_have_run or (in_stream and self._retry_state.runs == 1):
            self._try_send()
            return
        backoff_ms = self._retry_state.next_backoff_ms(self._time_left_ms(), self._router.random)
        if backoff_ms <= 0:
            self._finish_failed()
            return
        self._retry_timer = self._router.call_later(backoff_ms / 1000, self._try_send)

    # Completion

    def _finish_failed(self) -> None:
        """Ends a request that no server has answered successfully."""
        if self._relay is not None and self._relay.head_sent:
            self._close()
            self._record.ended(None, "cut short")
            self.exchange.abort()
        elif self._retry_state.failure is not None:
            self._forward_answer(self._retry_state.failure)
        elif self._retry_state.may_have_run:
            self._respond(
                answers.BAD_GATEWAY if has_time(self._time_left_ms()) else answers.GATEWAY_TIMEOUT, []
            )
        else:
            self._reject()

    def _reject(self) -> None:
        """Tells the client that the request was not executed, and when to retry."""
        self._quota.refund()
        draw = self._router.random.random()
        if self._router.draining:
            wait = shutdown_retry_after_s(draw)
        elif self._retry_state.arrivals:
            usual_ms = self._router.placement(self.admitted.service).first_token.mean_ttft_ms
            wait = retry_after_s(usual_ms, self._time_left_ms(), draw)
        else:
            wait = no_servers_retry_after_s(self._time_left_ms(), draw)
        self._respond(answers.SERVICE_UNAVAILABLE, answers.retry_after(wait))

    def _forward_answer(self, answer: Answer) -> None:
        """Forwards a complete answer of a server unchanged."""
        self._close()
        self._record.ended(answer.status)
        if self.exchange.request.method == b"HEAD":
            self.exchange.begin(answer.status, answer.headers, None)
            self.exchange.end()
        else:
            self.exchange.respond(answer.status, answer.headers, answer.body, self._router.draining)

    def _respond(self, status: int, headers: Headers) -> None:
        self._close()
        self._record.ended(status, "own answer")
        self.exchange.respond(status, headers, b"", self._router.draining)

    def _on_deadline(self) -> None:
        """Ends the request at its deadline: the client no longer waits, so the server can stop."""
        if self._attempt is not None and self._attempt.sent_at is not None:
            self._router.on_timeout(self._attempt)
        self.end_now()

    def end_now(self) -> None:
        """Ends the request now, with an answer that tells whether it may have run, or by aborting an
        answer that has begun."""
        if self._attempt is not None:
            self._retry_state.may_have_run = self._retry_state.may_have_run or self._attempt.may_have_run
        self._finish_failed()

    def _on_client_gone(self) -> None:
        """Ends the request of a client that has disconnected, and refunds its quota if it never ran."""
        attempt = self._attempt
        never_ran = not self._retry_state.may_have_run and (attempt is None or not attempt.may_have_run)
        self._close()
        self._record.ended(None, "client left")
        if never_ran:
            self._quota.refund()

    def _pause_attempt(self) -> None:
        if self._attempt is not None and self._attempt.call is not None:
            self._attempt.call.pause()

    def _resume_attempt(self) -> None:
        if self._attempt is not None and self._attempt.call is not None:
            self._attempt.call.resume()

    def _close(self) -> None:
        """Cancels all timers and the attempt in progress."""
        if self._is_over:
            return
        self._is_over = True
        self._deadline_timer.cancel()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._stop_hang_detection()
        attempt, self._attempt = self._attempt, None
        if attempt is not None and not attempt.is_over:
            attempt.cancel()
            self._record.attempt_ended("given up")
        self.exchange.on_disconnect = self.exchange.on_pause = self.exchange.on_resume = None
        self._router.on_finished(self)

    def _stop_hang_detection(self) -> None:
        if self._hang_detector is not None:
            self._hang_detector.stop()
            self._hang_detector = None  # breaks a reference cycle, so that no cycle collection is needed
