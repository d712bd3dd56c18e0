"""One request of a client, from its arrival to the end of its answer.

A flight sends its request to one server after the other, at most one at a time, while that is allowed: by
what may have run, by the route's attempts, by the service's retry budget and by the time left. It ends
exactly once.
"""

from __future__ import annotations

from cloverrouter.http.fields import Headers
from cloverrouter.http.server import Exchange
from cloverrouter.placement.admission import has_time, no_servers_retry_after_s, retry_after_s
from cloverrouter.placement.servers import ServerState
from cloverrouter.placement.shutdown import shutdown_retry_after_s
from cloverrouter.router import answers
from cloverrouter.router.admitted import Admitted
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.flight_host import FlightHost
from cloverrouter.router.headers import ATTEMPT_ID, DEADLINE, EXPECTED_INSTANCE, LAST_EVENT_ID, encode_request
from cloverrouter.router.patience import LEAST_LEFT_S, Patience
from cloverrouter.router.ports import Timer
from cloverrouter.router.quota_turn import QuotaTurn
from cloverrouter.router.relay import StreamRelay
from cloverrouter.router.tries import Tries
from cloverrouter.router.verdict import Answer, End


class Flight:
    """Owns its exchange: nobody else answers it."""

    __slots__ = ("_attempt", "_deadline_timer", "_head", "_over", "_patience", "_quota", "_record", "_relay",
                 "_request_id", "_retry_timer", "_router", "_tail", "_tries", "admitted", "exchange",
                 "whole_answer_bytes")  # fmt: skip

    def __init__(self, router: FlightHost, exchange: Exchange, admitted: Admitted) -> None:
        self.exchange = exchange
        self.whole_answer_bytes = router.bounds.whole_answer_bytes
        self._router = router
        self.admitted = admitted
        self._attempt: Attempt | None = None
        self._relay: StreamRelay | None = None
        self._tries = Tries(admitted.route, admitted.service, router.budget)
        self._quota = QuotaTurn(router, admitted)
        self._request_id = exchange.request.header(ATTEMPT_ID) or b""
        self._over = False
        self._retry_timer: Timer | None = None
        self._patience: Patience | None = None
        tenant = admitted.tenant.name if admitted.tenant is not None else None
        self._record = router.recorder.begin(self._request_id, admitted.route.name, admitted.service, tenant)
        self._head, self._tail = encode_request(exchange.request, tenant, admitted.priority)
        last_id = exchange.request.header(LAST_EVENT_ID)
        if last_id is not None and admitted.route.resumable:
            self._relay = StreamRelay(exchange, resumable=True, last_id=last_id)
        elif last_id is not None:
            self._head += b"last-event-id: %b\r\n" % last_id
        wait_s = admitted.deadline - router.clock() + router.bounds.deadline_grace_ms / 1000
        self._deadline_timer = router.call_later(max(0.0, wait_s), self._deadline_passed)
        exchange.on_disconnect = self._client_gone
        exchange.on_pause = self._pause
        exchange.on_resume = self._resume

    def now(self) -> float:
        """The time."""
        return self._router.clock()

    @property
    def arrived_at(self) -> float:
        """When the whole request had been read."""
        return self.exchange.request.arrived_s

    def start(self) -> None:
        """Make the first send, or answer."""
        self._try()

    # Sending

    def _left_ms(self) -> float:
        return (self.admitted.deadline - self._router.clock()) * 1000

    def _try(self) -> None:
        """Send the request to a server, if there is one and it may be sent."""
        self._retry_timer = None
        if self._tries.sends and self.exchange.client_gone():
            self._client_gone()
            return
        if not has_time(self._left_ms()) or not self._may_begin():
            self._finish_failed()
            return
        standing = self._pick()
        if standing is None:
            self._finish_failed()
        elif not self._quota.ask():
            self._wait_for_quota()
        elif not self._tries.pay():
            self._finish_failed()
        else:
            self._send(standing)

    def _may_begin(self) -> bool:
        """A stream that the client has a part of goes on in any case: the next proxy could do no more."""
        return (self._relay is not None and self._relay.begun) or self._router.may_begin(self.admitted)

    def _pick(self) -> ServerState | None:
        placement = self._router.placement(self.admitted.service)
        return placement.pick(
            self.admitted.prompt, self._tries.servers, self._router.clock(), no_retry=self._tries.fragile
        )

    def _wait_for_quota(self) -> None:
        """Wait for more of the tenant's quota, or refuse the request."""
        tenant = self.admitted.tenant
        if self._quota.worth_waiting and tenant is not None:
            self._retry_timer = self._router.call_later(self._quota.wait_s, self._try)
            self._router.waits_for_quota(self, tenant.name)
        else:
            self._respond(answers.TOO_MANY, answers.retry_after(self._quota.retry_after_s))

    def quota_woken(self) -> None:
        """News of the tenant's quota came.

        Danger: a request whose turn came by its timer was counted and sent meanwhile; it would run twice."""
        if self._over or self._quota.charged:
            return
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._try()

    def _send(self, standing: ServerState) -> None:
        router, admitted = self._router, self.admitted
        placement = router.placement(admitted.service)
        missing = placement.missing_tokens(standing, admitted.prompt)
        attempt = Attempt(self, standing, router.next_key(), missing)
        self._attempt = attempt
        self._tries.sent(standing.server.id)
        standing.record_sent(attempt.key, router.clock())
        self._record.sent(standing.server.id)
        placement.record_sent(standing, admitted.prompt)
        if self._tries.may_run_once_more and router.options.patience:
            self._patience = Patience(attempt, placement, router.clock, router.call_later, self._give_up)
        attempt.call = router.send(
            attempt, self._message(standing), self._request_id, lambda: self._renewed(attempt)
        )

    def _give_up(self, attempt: Attempt) -> bool:
        """Leave a server that seems to hang for another one. False if there is none, if it can't be paid, or
        if it is rather the client that doesn't read."""
        if self.exchange.paused or self._over or attempt is not self._attempt:
            return False
        if self._left_ms() < LEAST_LEFT_S * 1000:
            return False
        relay = self._relay
        if relay is not None and relay.begun and not relay.can_continue:
            return False
        if not self._may_go_on() or self._pick() is None or not self._tries.prepay():
            return False  # danger: silence alone must not end an answer
        attempt.give_up()
        self.attempt_over(attempt, End.LOST, None)
        return True

    def _message(self, standing: ServerState) -> bytes:
        fields = b"%b: %b\r\n%b: %d\r\n" % (
            EXPECTED_INSTANCE,
            standing.server.id.encode("latin-1", "replace"),
            DEADLINE,
            max(1, int(self._left_ms())),
        )
        if self._relay is not None and self._relay.last_id is not None:
            fields += b"%b: %b\r\n" % (LAST_EVENT_ID, self._relay.last_id)
        return self._head + fields + self._tail

    def _renewed(self, attempt: Attempt) -> bytes | None:
        """The request as it is to go out on a connection that has just come up: with less time left."""
        if attempt.over or not attempt.standing.ready:
            return None
        if not has_time(self._left_ms()) or self.exchange.client_gone():
            return None
        return self._message(attempt.standing)

    # What the attempt tells

    def answer_whole(self, attempt: Attempt, answer: Answer) -> None:
        """Pass on the server's success; inside a stream that has begun it is no continuation."""
        if self._relay is not None and self._relay.begun:
            self.attempt_over(attempt, End.SPOILT, None)
            return
        self._router.succeeded(attempt, self.admitted)
        self._record.attempt_ended("answered")
        self._router.answered(self)
        self._pass_on(answer)

    def stream_began(
        self, attempt: Attempt, status: int, headers: Headers, length: int | None, events: bool
    ) -> None:
        """Pass on the server's success as it comes; what continues a stream must be events again."""
        relay = self._relay
        if relay is not None and relay.begun:
            if not events or status != relay.status:
                attempt.give_up()
                self.attempt_over(attempt, End.SPOILT, None)
                return
        else:
            resumable = events and self.admitted.route.may_repeat and self.admitted.route.resumable
            last_id = relay.last_id if relay is not None else None
            relay = self._relay = StreamRelay(self.exchange, resumable, last_id)
        relay.opened(status, headers, None if events else length)
        if self.exchange.paused and attempt.call is not None:
            attempt.call.pause()

    def stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Pass on a part."""
        relay = self._relay
        assert relay is not None
        first = not relay.flowing
        relay.feed(data)
        if first and relay.flowing:
            self._router.began(attempt, self.admitted)
            self._record.flowing()

    def stream_ended(self, attempt: Attempt) -> None:
        """The answer is whole."""
        relay = self._relay
        assert relay is not None
        self._router.succeeded(attempt, self.admitted)
        self._record.attempt_ended("streamed")
        self._router.answered(self)
        self._close()
        relay.end()
        self._record.ended(relay.status)

    def stream_broke(self, attempt: Attempt, end: End) -> None:
        """Continue the stream elsewhere, or end the answer so that it can't be taken for whole."""
        self.attempt_over(attempt, end, None)

    def attempt_over(self, attempt: Attempt, end: End, answer: Answer | None) -> None:
        """Try again, or give the answer that is left to give."""
        self._attempt = None
        self._stop_patience()
        self._router.failed(attempt, end, self.admitted)
        self._record.attempt_ended(end.value)
        self._tries.ended(end, answer)
        if self._may_go_on():
            self._try_again(end)
        else:
            self._finish_failed()

    def _may_go_on(self) -> bool:
        if self._relay is not None and self._relay.begun and not self._relay.can_continue:
            return False
        if not self._may_begin():
            return False
        return self._tries.may_go_on(self._router.bounds.extra_sends)

    def _try_again(self, end: End) -> None:
        """At once if the request surely didn't run, or a client waits in the middle of a stream; else after a
        jittered wait within the time left."""
        flowing = self._relay is not None and self._relay.begun
        if not end.may_have_run or (flowing and self._tries.runs == 1):
            self._try()
            return
        wait_ms = self._tries.next_wait_ms(self._left_ms(), self._router.random)
        if wait_ms <= 0:
            self._finish_failed()
            return
        self._retry_timer = self._router.call_later(wait_ms / 1000, self._try)

    # Ends

    def _finish_failed(self) -> None:
        """Give the answer that nothing better can replace."""
        if self._relay is not None and self._relay.begun:
            self._close()
            self._record.ended(None, "cut short")
            self.exchange.abort()
        elif self._tries.failure is not None:
            self._pass_on(self._tries.failure)
        elif self._tries.may_have_run:
            self._respond(answers.BAD_GATEWAY if has_time(self._left_ms()) else answers.TIMED_OUT, [])
        else:
            self._refuse()

    def _refuse(self) -> None:
        """Tell the client that the request has not run, and when to come back."""
        self._quota.refund()
        draw = self._router.random.random()
        if self._router.draining:
            wait = shutdown_retry_after_s(draw)
        elif self._tries.arrivals:
            usual_ms = self._router.placement(self.admitted.service).first_token.mean_ttft_ms
            wait = retry_after_s(usual_ms, self._left_ms(), draw)
        else:
            wait = no_servers_retry_after_s(self._left_ms(), draw)
        self._respond(answers.UNAVAILABLE, answers.retry_after(wait))

    def _pass_on(self, answer: Answer) -> None:
        """A server's whole answer, unchanged."""
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

    def _deadline_passed(self) -> None:
        """Nobody waits any longer: the server may stop, and the client gets what is true."""
        if self._attempt is not None and self._attempt.sent_at is not None:
            self._router.timed_out(self._attempt)
        self.cut_off()

    def cut_off(self) -> None:
        """No more can be done: the answer that is true of it, or the end of one that has begun."""
        if self._attempt is not None:
            self._tries.may_have_run = self._tries.may_have_run or self._attempt.may_have_run
        self._finish_failed()

    def _client_gone(self) -> None:
        attempt = self._attempt
        never_ran = not self._tries.may_have_run and (attempt is None or not attempt.may_have_run)
        self._close()
        self._record.ended(None, "client left")
        if never_ran:
            self._quota.refund()

    def _pause(self) -> None:
        if self._attempt is not None and self._attempt.call is not None:
            self._attempt.call.pause()

    def _resume(self) -> None:
        if self._attempt is not None and self._attempt.call is not None:
            self._attempt.call.resume()

    def _close(self) -> None:
        """Nothing more is to happen: no timer, no server at work."""
        if self._over:
            return
        self._over = True
        self._deadline_timer.cancel()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._stop_patience()
        attempt, self._attempt = self._attempt, None
        if attempt is not None and not attempt.over:
            attempt.give_up()
            self._record.attempt_ended("given up")
        self.exchange.on_disconnect = self.exchange.on_pause = self.exchange.on_resume = None
        self._router.landed(self)

    def _stop_patience(self) -> None:
        if self._patience is not None:
            self._patience.stop()
            self._patience = None  # danger: the two hold each other, and would wait for the cycle collector
