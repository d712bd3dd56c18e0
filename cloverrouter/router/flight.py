"""One request of a client, from its arrival to the end of its answer.

A flight sends its request to one server after the other, at most one at a time, while that is allowed: by
what may have run, by the route's attempts, by the service's retry budget and by the time left. It ends
exactly once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cloverrouter.control.configuration import Route, Tenant
from cloverrouter.decide.budget import BACKOFF_BASE_MS, DEADLINE_MARGIN_MS, backoff_ms
from cloverrouter.http.fields import Headers
from cloverrouter.http.server import Exchange
from cloverrouter.placement.admission import absent_retry_after_s, has_time, retry_after_s
from cloverrouter.placement.prefix import NO_PROMPT, Prompt
from cloverrouter.placement.servers import Standing
from cloverrouter.router import answers
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.headers import ATTEMPT_ID, DEADLINE, EXPECTED_INSTANCE, LAST_EVENT_ID, encode_request
from cloverrouter.router.patience import LEAST_LEFT_S, Patience
from cloverrouter.router.ports import Timer
from cloverrouter.router.relay import StreamRelay
from cloverrouter.router.verdict import Answer, End

if TYPE_CHECKING:
    from cloverrouter.router.router import Router

BACKOFF_SCALE = 0.1
"""Aims here are tenths of a second: the paper's waits are shortened by this."""
QUOTA_PATIENCE_S = 0.03
"""A request waits so long for more of its tenant's quota; what would take longer is refused."""
QUOTA_ASKS = 3
QUOTA_REFUSAL_S = 0.1


@attrs.frozen(slots=True)
class Admitted:
    """What was found out about a request before anything was sent."""

    route: Route
    service: str
    tenant: Tenant | None
    tokens: int
    """What it counts for the tenant's quota."""
    prompt: Prompt = NO_PROMPT
    priority: int | None = None
    deadline: float = 0.0
    """When nobody waits for its answer any more, on the steady clock."""


class Flight:
    """Owns its exchange: nobody else answers it."""

    __slots__ = ("_arrivals", "_attempt", "_charged", "_deadline_timer", "_failure", "_head", "_may_have_run",
                 "_over", "_paid", "_patience", "_prepaid", "_previous_ms", "_quota_asks", "_record",
                 "_relay", "_request_id", "_retry_timer", "_router", "_runs", "_sends", "_tail", "_tried",
                 "admitted", "exchange", "whole_answer_bytes")  # fmt: skip

    def __init__(self, router: Router, exchange: Exchange, admitted: Admitted) -> None:
        self.exchange = exchange
        self.whole_answer_bytes = router.bounds.whole_answer_bytes
        self._router = router
        self.admitted = admitted
        self._attempt: Attempt | None = None
        self._relay: StreamRelay | None = None
        self._tried: set[str] = set()
        self._sends = self._arrivals = self._runs = 0
        self._quota_asks = 0
        self._request_id = exchange.request.header(ATTEMPT_ID) or b""
        self._charged = self._paid = self._prepaid = self._may_have_run = self._over = False
        self._failure: Answer | None = None
        self._previous_ms = BACKOFF_BASE_MS
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
        exchange.on_gone = self._client_gone
        exchange.on_pause = self._pause
        exchange.on_resume = self._resume

    def now(self) -> float:
        """The time."""
        return self._router.clock()

    def start(self) -> None:
        """Make the first send, or answer."""
        self._try()

    # Sending

    def _left_ms(self) -> float:
        return (self.admitted.deadline - self._router.clock()) * 1000

    def _try(self) -> None:
        """Send the request to a server, if there is one and it may be sent."""
        self._retry_timer = None
        if self._sends and self.exchange.gone():
            self._client_gone()
            return
        if not has_time(self._left_ms()):
            self._finish_failed()
            return
        placement = self._router.placement(self.admitted.service)
        route = self.admitted.route
        careful = not route.may_repeat or route.attempts < 2
        standing = placement.pick(self.admitted.prompt, self._tried, self._router.clock(), careful)
        if standing is None:
            self._finish_failed()
        elif not self._within_quota():
            pass  # it waits, or has been refused
        elif not self._paid_for():
            self._finish_failed()
        else:
            self._send(standing)

    def _within_quota(self) -> bool:
        """Count the request for its tenant, once. If False, it waits for more quota or has been refused."""
        if self._charged:
            return True
        wait_s = self._router.quota_wait(self.admitted, again=self._quota_asks > 0)
        self._quota_asks += 1
        if wait_s <= 0:
            self._charged = True
            return True
        if wait_s <= QUOTA_PATIENCE_S and self._quota_asks <= QUOTA_ASKS and self.admitted.tenant is not None:
            self._retry_timer = self._router.call_later(wait_s, self._try)
            self._router.waits_for_quota(self, self.admitted.tenant)
        else:
            self._respond(answers.TOO_MANY, answers.retry_after(max(wait_s, QUOTA_REFUSAL_S)))
        return False

    def quota_woken(self) -> None:
        """News of the tenant's quota came.

        Danger: a request whose turn came by its timer was counted and sent meanwhile; it would run twice."""
        if self._over or self._charged:
            return
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._try()

    def _paid_for(self) -> bool:
        """Pay for an arrival beyond the first. What was paid for and didn't arrive stays paid."""
        if self._arrivals and not self._paid:
            self._paid = self._router.budget.spend(self.admitted.service)
            return self._paid
        return True

    def _send(self, standing: Standing) -> None:
        router, admitted = self._router, self.admitted
        placement = router.placement(admitted.service)
        missing = placement.missing_tokens(standing, admitted.prompt)
        attempt = Attempt(self, standing, router.next_key(), missing)
        self._attempt = attempt
        self._sends += 1
        self._tried.add(standing.server.id)
        standing.sent(attempt.key, router.clock())
        self._record.sent(standing.server.id)
        placement.sent(standing, admitted.prompt)
        if admitted.route.may_repeat and self._runs + 1 < admitted.route.attempts:
            self._patience = Patience(attempt, placement, router.clock, router.call_later, self._give_up)
        attempt.call = router.send(
            attempt, self._message(standing), self._request_id, lambda: self._wanted(attempt)
        )

    def _give_up(self, attempt: Attempt) -> bool:
        """Leave a server that seems to hang for another one; False if that can't be paid, or if it is rather
        the client that doesn't read."""
        if self.exchange.paused or self._over or attempt is not self._attempt:
            return False
        if self._left_ms() < LEAST_LEFT_S * 1000:
            return False
        relay = self._relay
        if relay is not None and relay.begun and not relay.can_continue:
            return False
        if not self._router.budget.spend(self.admitted.service):
            return False
        self._prepaid = True
        attempt.give_up()
        self.attempt_over(attempt, End.LOST, None)
        return True

    def _message(self, standing: Standing) -> bytes:
        fields = b"%b: %b\r\n%b: %d\r\n" % (
            EXPECTED_INSTANCE,
            standing.server.id.encode("latin-1", "replace"),
            DEADLINE,
            max(1, int(self._left_ms())),
        )
        if self._relay is not None and self._relay.last_id is not None:
            fields += b"%b: %b\r\n" % (LAST_EVENT_ID, self._relay.last_id)
        return self._head + fields + self._tail

    def _wanted(self, attempt: Attempt) -> bool:
        """Whether the request is to go out on a connection that has just come up."""
        return (
            not attempt.over
            and attempt.standing.ready
            and has_time(self._left_ms())
            and not self.exchange.gone()
        )

    # What the attempt tells

    def answer_whole(self, attempt: Attempt, answer: Answer) -> None:
        """Pass on the server's success; inside a stream that has begun it is no continuation."""
        if self._relay is not None and self._relay.begun:
            self.attempt_over(attempt, End.SPOILT, None)
            return
        self._router.succeeded(attempt, self.admitted)
        self._record.attempt_ended("answered")
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
        if end.arrived:
            self._arrivals += 1
            self._paid, self._prepaid = self._prepaid, False
        if end.may_have_run:
            self._may_have_run = True
            self._runs += 1
            self._failure = answer
        if self._may_go_on():
            self._try_again(end)
        else:
            self._finish_failed()

    def _may_go_on(self) -> bool:
        route = self.admitted.route
        if self._may_have_run and not route.may_repeat:
            return False
        if self._relay is not None and self._relay.begun and not self._relay.can_continue:
            return False
        attempts = max(1, route.attempts)
        return self._runs < attempts and self._sends < attempts + self._router.bounds.extra_sends

    def _try_again(self, end: End) -> None:
        """At once if the request surely didn't run, or a client waits in the middle of a stream; else after a
        jittered wait within the time left."""
        flowing = self._relay is not None and self._relay.begun
        if not end.may_have_run or (flowing and self._runs == 1):
            self._try()
            return
        self._previous_ms = backoff_ms(self._previous_ms, self._router.random)
        wait_ms = min(self._previous_ms * BACKOFF_SCALE, self._left_ms() - DEADLINE_MARGIN_MS)
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
        elif self._failure is not None:
            self._pass_on(self._failure)
        elif self._may_have_run:
            self._respond(answers.BAD_GATEWAY if has_time(self._left_ms()) else answers.TIMED_OUT, [])
        else:
            self._refuse()

    def _refuse(self) -> None:
        """Tell the client that the request has not run, and when to come back."""
        if self._charged:
            self._router.refund(self.admitted)
        draw = self._router.random.random()
        if self._arrivals:
            usual_ms = self._router.placement(self.admitted.service).first_token.usual_ms
            wait = retry_after_s(usual_ms, self._left_ms(), draw)
        else:
            wait = absent_retry_after_s(self._left_ms(), draw)
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
        attempt = self._attempt
        if attempt is not None:
            self._may_have_run = self._may_have_run or attempt.may_have_run
            if attempt.sent_at is not None:
                self._router.timed_out(attempt)
        self._finish_failed()

    def _client_gone(self) -> None:
        attempt = self._attempt
        never_ran = not self._may_have_run and (attempt is None or not attempt.may_have_run)
        self._close()
        self._record.ended(None, "client left")
        if never_ran and self._charged:
            self._router.refund(self.admitted)

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
        self.exchange.on_gone = self.exchange.on_pause = self.exchange.on_resume = None
        self._router.landed(self)

    def _stop_patience(self) -> None:
        if self._patience is not None:
            self._patience.stop()
            self._patience = None  # danger: the two hold each other, and would wait for the cycle collector
