"""Drives the request lifecycle: applies its effects to sockets and timers, and reports events to it.

It makes no decisions and handles no bytes: the frontend delivers calls, the upstream carries out attempts,
and `cloverrouter.core` and the balancer decide what follows from each event.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Hashable
from random import Random
from typing import cast

from cloverrouter.balancer_state import capture_state, count_endpoints, restore_balancer
from cloverrouter.core.engine import Engine
from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import (
    AbortAttempt,
    AttemptFinished,
    AttemptTimedOut,
    BodyConsumed,
    DeliverFailure,
    DeliverRefusal,
    DeliverResponse,
    Effect,
    LifecycleEvent,
    ProcessHalted,
    QueryDiscovery,
    ReleaseCall,
    RequestWritten,
    ResponseHeld,
    ResponseStarted,
    SendWindowExpired,
    SetAttemptTimeout,
    StartAttempt,
    StartStreaming,
    StreamHeldResponse,
    TargetsListed,
    WriteLog,
)
from cloverrouter.fleet import failure_detector
from cloverrouter.fleet.failure_detector import FailureDetector, ReachabilityChanged, SendToPeers
from cloverrouter.interface import (
    BalancerState,
    ClientDisconnected,
    Cordon,
    CordonResult,
    EndpointCounts,
    EndpointsListed,
    EndpointState,
    ListKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    RequestCompleted,
    SetTimer,
    Settings,
    ShareAssigned,
    TimerFired,
)
from cloverrouter.proxy.config import Address, HostEntry, HostList
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.streams import Sink, Source, StreamHead
from cloverrouter.proxy.upstream import CATCH_UP_ITERATIONS, Exchange, Upstream

# Deadlines are moved earlier by a fixed margin for the answer's way to the client, plus the measured lag of
# the event loop. The lag is bounded: otherwise one long stall would get all requests refused for a while.
ANSWER_MARGIN_MS = 3.0
MAX_LAG_MS = 30.0
LAG_INTERVAL_S = 0.05
# Stall threshold as a fraction of the drain grace period; the rest is for sends in progress.
STALL_GRACE_SHARE = 0.5
LAG_DECAY = 0.98  # factor by which the peak lag decays per measurement
# Larger values in a load report are implausible; one of them would dominate the smoothed values after it.
MAX_REPORTED_VALUE = 1e6
PROBE_CHECK_INTERVAL_S = 0.25  # interval of checking which servers are due for a probe
ANSWERED_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.SPOILT)
log = logging.getLogger(__name__)


def read_report(text: bytes | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """Parses a host's load report; returns the values in the order of `fields`.

    Returns None if the report or one of the fields is missing, or a value is not a number in the accepted
    range.
    """
    if text is None or not fields:
        return None
    pairs = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    try:
        report = tuple(float(pairs[name.encode()]) for name in fields)
    except (KeyError, ValueError):
        return None
    return report if all(0 <= value <= MAX_REPORTED_VALUE for value in report) else None


class LagMeter:
    """Measures the lag of the event loop: its decaying peak, and whether the process has just stalled."""

    def __init__(self, stall_s: float) -> None:
        """A lag of more than `stall_s` seconds counts as a stall of the process."""
        self._loop = asyncio.get_running_loop()
        self.peak_ms = 0.0
        self._due_s = 0.0
        self._stall_s = stall_s
        self._iterations_left = 0  # loop iterations until the input of the stall is processed
        self._stall_ms = 0.0
        self._schedule_measurement()

    def stall_ms(self) -> float:
        """Returns the length of a stall that has just ended, in milliseconds; 0 if there was none.

        After a stall, input may be that old, and is not read in the order of its arrival."""
        late_s = time.monotonic() - self._due_s
        if late_s > self._stall_s:
            return late_s * 1000
        return self._stall_ms if self._iterations_left else 0.0

    def _count_iteration(self) -> None:
        self._iterations_left -= 1
        if self._iterations_left:
            self._loop.call_soon(self._count_iteration)

    def _schedule_measurement(self) -> None:
        self._due_s = time.monotonic() + LAG_INTERVAL_S
        self._loop.call_later(LAG_INTERVAL_S, self._measure)

    def _measure(self) -> None:
        late_ms = (time.monotonic() - self._due_s) * 1000
        if late_ms > self._stall_s * 1000:
            if not self._iterations_left:
                self._loop.call_soon(self._count_iteration)
            self._iterations_left, self._stall_ms = CATCH_UP_ITERATIONS, late_ms
        self.peak_ms = min(MAX_LAG_MS, max(late_ms, self.peak_ms * LAG_DECAY))
        self._schedule_measurement()


class ActiveAttempt:
    """An active attempt: its exchange with the host, its timeout, and handlers of the exchange's events."""

    __slots__ = (
        "attempt",
        "call_id",
        "exchange",
        "head",
        "host",
        "node",
        "send_deadline_s",
        "sent_ms",
        "sink",
        "source",
        "timer",
    )

    def __init__(self, node: Node, call_id: int, attempt: int, host: str, sent_ms: float) -> None:
        self.node = node
        self.host = host
        self.sent_ms = sent_ms
        self.call_id = call_id
        self.attempt = attempt
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.send_deadline_s = float("inf")  # the request must be sent before, on the loop's clock
        self.head: StreamHead | None = None
        self.source: Source | None = None
        self.sink: Sink | None = None

    def set_timeout(self, timer: asyncio.TimerHandle | None) -> None:
        """Replaces the timer of the attempt's timeout; None: the attempt has no timeout any more."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = timer
        if self.exchange is not None and timer is not None:
            self.exchange.deadline_s = timer.when()

    def on_timeout(self) -> None:
        """Handles the attempt's timeout."""
        self.node.handle_event(AttemptTimedOut(self.call_id, self.attempt))
        self.node.on_timeout(self)

    def may_send(self) -> bool:
        """Whether the request may still be sent."""
        if self.node.clock_s() >= self.send_deadline_s:
            self.on_send_window_expired()
        return not self.node.is_cancelled(self)

    def on_send_window_expired(self) -> None:
        """Handles the end of the time window in which the request may be sent."""
        self.node.handle_event(SendWindowExpired(self.call_id, self.attempt))

    def on_written(self) -> None:
        """Handles the write of the request's last byte."""
        self.node.handle_event(RequestWritten(self.call_id, self.attempt))

    def on_held(self) -> None:
        """Handles the beginning of an answer of unknown length, which is held back."""
        self.node.handle_event(ResponseHeld(self.call_id, self.attempt))

    def on_begun(self, head: StreamHead, source: Source) -> Sink | None:
        """Returns the receiver of a streamed answer; None if it is not needed any more."""
        self.head, self.source = head, source
        self.node.handle_event(ResponseStarted(self.call_id, self.attempt))
        return self.sink

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """Handles the end of the exchange."""
        self.node.attempt_ended(self, outcome, answer)


class Node:
    """Connects the lifecycle and balancer with the frontend, the upstream, discovery and other proxies."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        upstream: Upstream,
        subscribe: Callable[[], None],
        crash: Callable[[BaseException], None],
        memory: BalancerState | None = None,
        broadcast: Callable[[bytes], None] | None = None,
    ) -> None:
        """`crash` reports an exception of the decision logic; `memory` is the balancer's state of a previous
        process; `broadcast` sends a datagram to all other proxies, None if there are none.
        """
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._balancer = restore_balancer(settings, seed, memory)
        self._upstream = upstream
        self._subscribe = subscribe
        self._crash = crash
        self._max_deadline_ms = max((cls.deadline_ms for cls in settings.classes), default=60_000.0)
        self._lifecycle = Lifecycle(self._max_deadline_ms)
        self._engine = Engine(
            self._lifecycle,
            lambda now_ms, events: self._balancer.handle(now_ms, events),
            self.now_ms,
            self._apply_effect,
        )
        self._addresses: dict[str, Address] = {}
        self._entries: dict[str, HostEntry] = {}  # as listed by discovery
        self._calls: dict[int, Call] = {}
        self._call_ids: dict[Call, int] = {}
        self._request_ids: set[bytes] = set()  # the clients' ids of these calls
        self._active_attempts: dict[tuple[int, int], ActiveAttempt] = {}
        self._last_call_id = 0
        self._now_ms = self._last_clock_ms = 0.0
        # During a stall, a drain announced by discovery stays unread while its grace period runs.
        self._lag = LagMeter(settings.safety.drain_grace_ms / 1000 * STALL_GRACE_SHARE)
        self._cordon_result: CordonResult | None = None  # result of the latest cordon command
        self._broadcast = broadcast
        self._sentinel: FailureDetector | None = None
        if broadcast is not None:
            self._sentinel = FailureDetector(settings.proxies, Random(seed))
            self._loop.call_later(PROBE_CHECK_INTERVAL_S, self._check_probes)

    def now_ms(self) -> float:
        """Returns the monotonic time in milliseconds; never earlier than a timer that has fired."""
        read_ms = time.monotonic() * 1000
        self._now_ms = max(self._now_ms, read_ms)
        # A throttled process may read the same clock value while answers arrive, for instance after starting.
        # Latencies of zero must not be used: all later answers would look far too slow by comparison.
        if read_ms == self._last_clock_ms:
            self._lifecycle.untimed_until_ms = self._now_ms
        self._last_clock_ms = read_ms
        return self._now_ms

    def handle_event(self, lifecycle_event: LifecycleEvent) -> None:
        """Handles an event; all its effects are applied before this returns."""
        try:
            self._engine.handle(lifecycle_event)
        except Exception as error:
            # After an exception the state may be inconsistent, and every later decision wrong.
            self._crash(error)

    def _apply_effect(self, effect: Effect) -> None:
        # The effects of every request come first, with a cheaper check than `match`.
        if type(effect) is StartAttempt:
            self._start_attempt(effect)
            return
        if type(effect) is DeliverResponse:
            self._calls[effect.call].send_answer(cast(Answer, effect.answer))
            return
        if type(effect) is ReleaseCall:
            call = self._calls.pop(effect.call)
            del self._call_ids[call]
            self._request_ids.discard(call.request_id)
            return
        match effect:
            case SetTimer():
                self._set_timer(effect)
            case AbortAttempt(call_id, number):
                self._abandon(self._active_attempts.pop((call_id, number)))
            case DeliverRefusal(call_id, retry_after_ms):
                self._calls[call_id].reject(retry_after_ms)
            case DeliverFailure(call_id):
                self._calls[call_id].fail()
            case StartStreaming(call_id, number):
                active = self._active_attempts[call_id, number]
                active.set_timeout(None)
                assert active.head is not None and active.source is not None
                active.sink = self._calls[call_id].start_stream(active.head, active.source)
            case SetAttemptTimeout(call_id, number, timeout_ms):
                active = self._active_attempts[call_id, number]
                active.set_timeout(self._loop.call_later(timeout_ms / 1000, active.on_timeout))
            case StreamHeldResponse(call_id, number):
                self._stream_held_answer(self._active_attempts[call_id, number])
            case QueryDiscovery():
                self._subscribe()
            case WriteLog(text):
                log.info("%s", text)
            case CordonResult():
                self._cordon_result = effect

    def _set_timer(self, action: SetTimer) -> None:
        due_ms = self._now_ms + action.delay_ms

        def fire() -> None:
            # The loop's clock is coarser than ours: the timer must not appear to fire early.
            self._now_ms = max(self._now_ms, due_ms)
            self.handle_event(TimerFired(action.token))

        self._loop.call_later(max(0.0, action.delay_ms) / 1000, fire)

    # Calls

    def ready(self) -> bool:
        """Whether there is a server to send requests to."""
        return bool(self._addresses)

    @property
    def pending_calls(self) -> int:
        """Number of calls without a final answer."""
        return self._lifecycle.open_calls

    def is_open(self, request_id: bytes) -> bool:
        """Whether a call with this id has no final answer yet, or an active attempt."""
        return request_id in self._request_ids

    def call_arrived(self, call: Call) -> None:
        """Handles a new call; its body may still be uploaded."""
        self._last_call_id += 1
        call_id, upload = self._last_call_id, call.upload
        uploading = upload is not None and not upload.ended
        self._calls[call_id], self._call_ids[call] = call, call_id
        self._request_ids.add(call.request_id)
        if upload is not None:
            upload.on_consumed = lambda: self.handle_event(BodyConsumed(call_id))
        self.handle_event(
            RequestArrived(
                request_id=call_id,
                class_name=call.class_name,
                deadline_ms=None if uploading else self._deadline_ms(call),
                tenant=call.tenant,
                key=call.key,
                work_hint_ms=call.cost_ms,
                repeat=call.repeat,
                uploading=uploading,
            )
        )

    def call_completed(self, call: Call) -> None:
        """Handles the last body byte of a call that arrived while its body was still being uploaded."""
        call_id = self._call_ids.get(call)
        if call_id is not None:
            self.handle_event(RequestCompleted(call_id, self._deadline_ms(call)))

    def _deadline_ms(self, call: Call) -> float | None:
        if call.timeout_ms is None:
            return None
        margin_ms = ANSWER_MARGIN_MS + max(self._lag.peak_ms, self._lag.stall_ms())
        # Counted from the arrival: a call that waited behind another has less time left.
        return call.arrived_ms + call.timeout_ms - margin_ms

    def client_disconnected(self, call: Call) -> None:
        """Handles the disconnect of the client."""
        call_id = self._call_ids.get(call)
        if call_id is not None:
            self.handle_event(ClientDisconnected(call_id))

    def halt(self) -> None:
        """Answers all open calls now, as the process is about to be killed."""
        self.handle_event(ProcessHalted())

    @property
    def max_deadline_ms(self) -> float:
        """The longest deadline of the settings."""
        return self._max_deadline_ms

    # Attempts

    def _start_attempt(self, start: StartAttempt) -> None:
        call, key = self._calls[start.call], (start.call, start.attempt)
        active = self._active_attempts[key] = ActiveAttempt(
            self, start.call, start.attempt, start.endpoint, self._now_ms
        )
        timeout_ms = start.timeout_ms
        if timeout_ms is None:  # an upload: its timeout starts with its last byte
            timeout_ms = call.timeout_ms or self._max_deadline_ms
        else:
            active.set_timeout(self._loop.call_later(timeout_ms / 1000, active.on_timeout))
        if start.send_within_ms < float("inf"):
            active.send_deadline_s = self.clock_s() + start.send_within_ms / 1000
            self._loop.call_at(active.send_deadline_s, active.on_send_window_expired)
        if self.is_cancelled(active):
            return
        host = start.endpoint, cast(Address, start.target)
        exchange = self._upstream.send(
            host, call, timeout_ms, active.on_ended, active.on_begun, active.on_written, active.on_held,
            active.may_send, CATCH_UP_ITERATIONS if self._lag.stall_ms() else 0,
        )  # fmt: skip
        active.exchange = exchange
        if active.timer is not None:
            exchange.deadline_s = active.timer.when()
        # It may have ended or been aborted during `send`, before `active.exchange` was set.
        if self._active_attempts.get(key) is not active:
            exchange.abandon()

    def clock_s(self) -> float:
        """Returns the time of the loop's clock."""
        return self._loop.time()

    def is_cancelled(self, active: ActiveAttempt) -> bool:
        """Whether the client of this attempt has disconnected or the attempt was aborted. A disconnect that
        is detected here has been handled when this returns."""
        call = self._calls.get(active.call_id)
        return (
            call is None
            or call.client_gone()
            or self._active_attempts.get((active.call_id, active.attempt)) is not active
        )

    def _abandon(self, active: ActiveAttempt) -> None:
        active.set_timeout(None)
        if active.exchange is not None:
            active.exchange.abandon()

    def _stream_held_answer(self, active: ActiveAttempt) -> None:
        if active.exchange is None or not active.exchange.stream_held_answer():
            self._abandon(active)  # no answer to stream
            self.attempt_ended(active, Outcome.TIMEOUT, None)

    def attempt_ended(self, active: ActiveAttempt, outcome: Outcome, answer: Answer | None) -> None:
        """Handles the end of an attempt that was not aborted."""
        if self._active_attempts.pop((active.call_id, active.attempt), None) is None:
            return
        active.set_timeout(None)
        self._report_outcome(active, outcome)
        report = read_report(answer.load_report, self._settings.report_fields) if answer is not None else None
        self.handle_event(AttemptFinished(active.call_id, active.attempt, outcome, answer, report))

    # Failure detection, with the sentinels of other proxies

    def _report_outcome(self, active: ActiveAttempt, outcome: Outcome) -> None:
        if self._sentinel is not None:
            if outcome in ANSWERED_OUTCOMES:
                self._apply_sentinel_effects(self._sentinel.record_answer(self._now_ms, active.host))
            elif outcome is Outcome.CONNECT_FAILED:
                self._apply_sentinel_effects(self._sentinel.record_refusal(self._now_ms, active.host))
            elif outcome is Outcome.TIMEOUT:
                self._apply_sentinel_effects(
                    self._sentinel.record_timeout(self._now_ms, active.host, active.sent_ms)
                )

    def on_timeout(self, active: ActiveAttempt) -> None:
        """Reports a timeout to the sentinel, unless the answer has begun and the attempt continues."""
        if (active.call_id, active.attempt) not in self._active_attempts:  # aborted by the lifecycle
            self._report_outcome(active, Outcome.TIMEOUT)

    def _check_probes(self) -> None:
        assert self._sentinel is not None
        self._apply_sentinel_effects(self._sentinel.tick(self.now_ms()))
        self._loop.call_later(PROBE_CHECK_INTERVAL_S, self._check_probes)

    def on_datagram(self, data: bytes) -> None:
        """Handles a datagram of another proxy about the state of servers."""
        if self._sentinel is not None:
            self._apply_sentinel_effects(self._sentinel.receive(self.now_ms(), data))

    def _apply_sentinel_effects(self, effects: list[failure_detector.Effect]) -> None:
        for effect in effects:
            match effect:
                case ReachabilityChanged(server, reached):
                    self.handle_event(ProbeEnded(server, Outcome.OK if reached else Outcome.TIMEOUT, 0.0))
                case SendToPeers(data):
                    assert self._broadcast is not None
                    self._broadcast(data)

    # Discovery

    def update_hosts(self, kind: ListKind, found: HostList) -> None:
        """Applies a list of hosts, or a change of it, from discovery or a previous process."""
        if kind is not ListKind.DELTA:
            self._addresses.clear()
            self._entries.clear()
        for entry in found.entries:
            name = entry.listed.name
            self._entries[name] = entry
            if entry.listed.state is EndpointState.GONE:
                del self._entries[name]
            if entry.listed.state is EndpointState.READY and entry.address is not None:
                self._addresses[name] = entry.address
            else:
                self._addresses.pop(name, None)
        self._upstream.keep_only(set(self._addresses.items()))
        if self._sentinel is not None:
            self._sentinel.set_servers(self._addresses)
        event = EndpointsListed(kind, tuple(entry.listed for entry in found.entries))
        targets: dict[str, Hashable] = {**self._addresses}
        self.handle_event(TargetsListed(event, targets))

    # Operators, and the other process of a handover

    def cordon(self, endpoint: str, on: bool) -> bool:
        """Cordons or uncordons a server; returns False if it was never listed."""
        self._cordon_result = None
        self.handle_event(Cordon(endpoint, on))
        answer: CordonResult | None = self._cordon_result
        if answer is None or not answer.known:
            return False
        if on:
            self._upstream.drop_idle(endpoint)
        return True

    def count_endpoints(self) -> EndpointCounts:
        """Returns the number of listed and of avoided servers."""
        return count_endpoints(self._balancer, self.now_ms())

    def memory(self) -> BalancerState:
        """Returns the balancer's state for the next process."""
        return capture_state(self._balancer)

    def set_share(self, part: float, others_open: int = 0) -> None:
        """Sets this process's share of the balancer's budgets, and the number of the other's open calls."""
        self.handle_event(ShareAssigned(part, others_open))

    def current_hosts(self, version: int | None) -> HostList | None:
        """Returns the current list of hosts for the next process; None before there is one."""
        return HostList(version or 0, True, tuple(self._entries.values())) if self._entries else None

    def discovery_failed(self) -> None:
        """Reports a failed discovery call to the balancer."""
        self.handle_event(TargetsListed(EndpointsListed(ListKind.FAILED), self._lifecycle.targets))
