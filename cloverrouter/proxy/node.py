"""The lifecycle's driver: carries its effects out on sockets and timers, and tells it what happens there.

It decides nothing and knows no bytes: calls come from the frontend, attempts go to the upstream, and what
follows from what is said in `cloverrouter.core` and by the decision module.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Hashable
from random import Random
from typing import cast

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
from cloverrouter.fleet import sentinel
from cloverrouter.fleet.sentinel import Say, Sentinel, Verdict
from cloverrouter.handed import census, memory_of, restored
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
from cloverrouter.proxy.upstream import ROUNDS, Exchange, Upstream

# The answer's way to the client, and the loop's lateness on top, as measured: deadlines are taken to be
# this much earlier. The measured part is bounded, or one long stall would refuse everything for a while.
MARGIN_MS = 3.0
MOST_LAG_MS = 30.0
LAG_EVERY_S = 0.05
STILL_SHARE = 0.5  # of the grace for drains: the rest is for a send that is under way already
LAG_KEPT = 0.98  # of the longest lag, from one measurement to the next
# Danger: smoothed, a figure beyond belief would outweigh all that come after it.
MOST_REPORTED = 1e6
LOOK_S = 0.25  # between looks at which servers are to be tried again
ANSWERED = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.SPOILT)
log = logging.getLogger(__name__)


def read_report(text: bytes | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """A host's load report in the order of `fields`; None if it is missing, or any of it is no figure."""
    if text is None or not fields:
        return None
    pairs = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    try:
        report = tuple(float(pairs[name.encode()]) for name in fields)
    except (KeyError, ValueError):
        return None
    return report if all(0 <= value <= MOST_REPORTED for value in report) else None


class LagMeter:
    """How late the event loop comes to things: the longest of late, fading."""

    def __init__(self, still_s: float) -> None:
        """Having come to nothing for `still_s`, the process has stood still."""
        self._loop = asyncio.get_running_loop()
        self.peak_ms = 0.0
        self._due_s = 0.0
        self._still_s = still_s
        self._rounds_left = 0  # of the loop, until all has been read that came while it stood still
        self._stood_ms = 0.0
        self._again()

    def stood_ms(self) -> float:
        """For how long it has, just now; 0 if it has not. Danger: what it reads first then is not what came
        first, and may have come as long ago as that."""
        late_s = time.monotonic() - self._due_s
        if late_s > self._still_s:
            return late_s * 1000
        return self._stood_ms if self._rounds_left else 0.0

    def _round(self) -> None:
        self._rounds_left -= 1
        if self._rounds_left:
            self._loop.call_soon(self._round)

    def _again(self) -> None:
        self._due_s = time.monotonic() + LAG_EVERY_S
        self._loop.call_later(LAG_EVERY_S, self._measure)

    def _measure(self) -> None:
        late_ms = (time.monotonic() - self._due_s) * 1000
        if late_ms > self._still_s * 1000:
            if not self._rounds_left:
                self._loop.call_soon(self._round)
            self._rounds_left, self._stood_ms = ROUNDS, late_ms
        self.peak_ms = min(MOST_LAG_MS, max(late_ms, self.peak_ms * LAG_KEPT))
        self._again()


class Out:
    """An attempt that is out: where it is on the wire, its timer, and what the wire tells of it."""

    __slots__ = (
        "attempt",
        "call_id",
        "exchange",
        "head",
        "host",
        "node",
        "out_by_s",
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
        self.out_by_s = float("inf")  # on the loop's clock
        self.head: StreamHead | None = None
        self.source: Source | None = None
        self.sink: Sink | None = None

    def watch(self, timer: asyncio.TimerHandle | None) -> None:
        """Its time is up when `timer` fires; None: it is not watched any more."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = timer
        if self.exchange is not None and timer is not None:
            self.exchange.due_s = timer.when()

    def time_up(self) -> None:
        self.node.take(AttemptTimedOut(self.call_id, self.attempt))
        self.node.time_up(self)

    def wanted(self) -> bool:
        """May it go out now?"""
        if self.node.clock_s() >= self.out_by_s:
            self.too_late()
        return not self.node.left(self)

    def too_late(self) -> None:
        self.node.take(SendWindowExpired(self.call_id, self.attempt))

    def written(self) -> None:
        self.node.take(RequestWritten(self.call_id, self.attempt))

    def held(self) -> None:
        self.node.take(ResponseHeld(self.call_id, self.attempt))

    def begun(self, head: StreamHead, source: Source) -> Sink | None:
        """Where the answer goes; None if nobody wants it."""
        self.head, self.source = head, source
        self.node.take(ResponseStarted(self.call_id, self.attempt))
        return self.sink

    def ended(self, outcome: Outcome, answer: Answer | None) -> None:
        self.node.ended(self, outcome, answer)


class Node:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        upstream: Upstream,
        subscribe: Callable[[], None],
        crash: Callable[[BaseException], None],
        memory: BalancerState | None = None,
        say: Callable[[bytes], None] | None = None,
    ) -> None:
        """`say` sends a datagram to all other proxies, where there are any to talk to."""
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._balancer = restored(settings, seed, memory)
        self._upstream = upstream
        self._subscribe = subscribe
        self._crash = crash
        self._longest_ms = max((cls.deadline_ms for cls in settings.classes), default=60_000.0)
        self._lifecycle = Lifecycle(self._longest_ms)
        self._engine = Engine(
            self._lifecycle,
            lambda now_ms, events: self._balancer.handle(now_ms, events),
            self.now_ms,
            self._carry_out,
        )
        self._addresses: dict[str, Address] = {}
        self._entries: dict[str, HostEntry] = {}  # as discovery has told of them
        self._calls: dict[int, Call] = {}
        self._numbers: dict[Call, int] = {}
        self._ids: set[bytes] = set()  # the clients' own, of the same calls
        self._out: dict[tuple[int, int], Out] = {}
        self._last_id = 0
        self._now_ms = self._read_ms = 0.0
        # Danger: a server that drains is told of in bytes that lie unread while the process stands still, and
        # the grace runs.
        self._lag = LagMeter(settings.safety.drain_grace_ms / 1000 * STILL_SHARE)
        self._cordoned: CordonResult | None = None  # the latest answer to an operator
        self._say = say
        self._sentinel: Sentinel | None = None
        if say is not None:
            self._sentinel = Sentinel(settings.proxies, Random(seed))
            self._loop.call_later(LOOK_S, self._look)

    def now_ms(self) -> float:
        read_ms = time.monotonic() * 1000
        self._now_ms = max(self._now_ms, read_ms)
        # Danger: a process that owes its machine the time of its start may read a clock that stands still
        # while answers come. By what seems to take no time, all that comes later is far too slow.
        if read_ms == self._read_ms:
            self._lifecycle.untimed_until_ms = self._now_ms
        self._read_ms = read_ms
        return self._now_ms

    def take(self, happening: LifecycleEvent) -> None:
        """Something has happened: all that follows from it is done before this returns."""
        try:
            self._engine.handle(happening)
        except Exception as error:
            # A module that has lost its way would go on with wrong decisions for every request.
            self._crash(error)

    def _carry_out(self, effect: Effect) -> None:
        # What every request has comes first, and is looked for in the cheapest way.
        if type(effect) is StartAttempt:
            self._start(effect)
            return
        if type(effect) is DeliverResponse:
            self._calls[effect.call].served(cast(Answer, effect.answer))
            return
        if type(effect) is ReleaseCall:
            call = self._calls.pop(effect.call)
            del self._numbers[call]
            self._ids.discard(call.request_id)
            return
        match effect:
            case SetTimer():
                self._set_timer(effect)
            case AbortAttempt(call_id, number):
                self._abandon(self._out.pop((call_id, number)))
            case DeliverRefusal(call_id, retry_after_ms):
                self._calls[call_id].refused(retry_after_ms)
            case DeliverFailure(call_id):
                self._calls[call_id].failed()
            case StartStreaming(call_id, number):
                out = self._out[call_id, number]
                out.watch(None)
                assert out.head is not None and out.source is not None
                out.sink = self._calls[call_id].begun(out.head, out.source)
            case SetAttemptTimeout(call_id, number, timeout_ms):
                out = self._out[call_id, number]
                out.watch(self._loop.call_later(timeout_ms / 1000, out.time_up))
            case StreamHeldResponse(call_id, number):
                self._pass_on(self._out[call_id, number])
            case QueryDiscovery():
                self._subscribe()
            case WriteLog(text):
                log.info("%s", text)
            case CordonResult():
                self._cordoned = effect

    def _set_timer(self, action: SetTimer) -> None:
        due_ms = self._now_ms + action.delay_ms

        def fire() -> None:
            # The loop's clock is coarser than ours: a timer is never seen to come early.
            self._now_ms = max(self._now_ms, due_ms)
            self.take(TimerFired(action.token))

        self._loop.call_later(max(0.0, action.delay_ms) / 1000, fire)

    # Calls

    def ready(self) -> bool:
        return bool(self._addresses)

    @property
    def owed(self) -> int:
        """Calls whose final answer has not been given."""
        return self._lifecycle.open_calls

    def is_open(self, request_id: bytes) -> bool:
        """Is an answer owed under this id, or an attempt still out?"""
        return request_id in self._ids

    def arrived(self, call: Call) -> None:
        self._last_id += 1
        call_id, upload = self._last_id, call.upload
        uploading = upload is not None and not upload.ended
        self._calls[call_id], self._numbers[call] = call, call_id
        self._ids.add(call.request_id)
        if upload is not None:
            upload.on_spent = lambda: self.take(BodyConsumed(call_id))
        self.take(
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

    def completed(self, call: Call) -> None:
        """The last byte of a call that arrived before it has come."""
        call_id = self._numbers.get(call)
        if call_id is not None:
            self.take(RequestCompleted(call_id, self._deadline_ms(call)))

    def _deadline_ms(self, call: Call) -> float | None:
        if call.timeout_ms is None:
            return None
        margin_ms = MARGIN_MS + max(self._lag.peak_ms, self._lag.stood_ms())
        # Danger: a call that has waited behind another has less time left than it asked for.
        return call.arrived_ms + call.timeout_ms - margin_ms

    def gone(self, call: Call) -> None:
        """The client has left: nobody wants what its attempts would bring."""
        call_id = self._numbers.get(call)
        if call_id is not None:
            self.take(ClientDisconnected(call_id))

    def halt(self) -> None:
        """The process is killed next: all that is owed is answered now."""
        self.take(ProcessHalted())

    @property
    def longest_ms(self) -> float:
        """The longest deadline of the settings."""
        return self._longest_ms

    # Attempts

    def _start(self, start: StartAttempt) -> None:
        call, key = self._calls[start.call], (start.call, start.attempt)
        out = self._out[key] = Out(self, start.call, start.attempt, start.endpoint, self._now_ms)
        timeout_ms = start.timeout_ms
        if timeout_ms is None:  # its time begins with its last byte
            timeout_ms = call.timeout_ms or self._longest_ms
        else:
            out.watch(self._loop.call_later(timeout_ms / 1000, out.time_up))
        if start.send_within_ms < float("inf"):
            out.out_by_s = self.clock_s() + start.send_within_ms / 1000
            self._loop.call_at(out.out_by_s, out.too_late)
        if self.left(out):
            return
        host = start.endpoint, cast(Address, start.target)
        exchange = self._upstream.send(
            host, call, timeout_ms, out.ended, out.begun, out.written, out.held, out.wanted,
            ROUNDS if self._lag.stood_ms() else 0,
        )  # fmt: skip
        out.exchange = exchange
        if out.timer is not None:
            exchange.due_s = out.timer.when()
        if self._out.get(key) is not out:  # ended or called off before there was an exchange to give up
            exchange.abandon()

    def clock_s(self) -> float:
        return self._loop.time()

    def left(self, out: Out) -> bool:
        """Has the client of this attempt gone, or has the attempt been called off? All that follows from a
        leaving that is noticed here has been done when this returns."""
        call = self._calls.get(out.call_id)
        return call is None or call.left() or self._out.get((out.call_id, out.attempt)) is not out

    def _abandon(self, out: Out) -> None:
        out.watch(None)
        if out.exchange is not None:
            out.exchange.abandon()

    def _pass_on(self, out: Out) -> None:
        if out.exchange is None or not out.exchange.pass_on():
            self._abandon(out)  # there is nothing of it that could be passed on
            self.ended(out, Outcome.TIMEOUT, None)

    def ended(self, out: Out, outcome: Outcome, answer: Answer | None) -> None:
        """An attempt has ended by itself."""
        if self._out.pop((out.call_id, out.attempt), None) is None:
            return
        out.watch(None)
        self._heard_of(out, outcome)
        report = read_report(answer.report, self._settings.report_fields) if answer is not None else None
        self.take(AttemptFinished(out.call_id, out.attempt, outcome, answer, report))

    # Whether servers are of any use

    def _heard_of(self, out: Out, outcome: Outcome) -> None:
        if self._sentinel is not None:
            if outcome in ANSWERED:
                self._watched(self._sentinel.answered(self._now_ms, out.host))
            elif outcome is Outcome.CONNECT_FAILED:
                self._watched(self._sentinel.refused(self._now_ms, out.host))
            elif outcome is Outcome.TIMEOUT:
                self._watched(self._sentinel.unanswered(self._now_ms, out.host, out.sent_ms))

    def time_up(self, out: Out) -> None:
        """The attempt has been given all its time."""
        if (out.call_id, out.attempt) not in self._out:  # and has not begun to bring an answer
            self._heard_of(out, Outcome.TIMEOUT)

    def _look(self) -> None:
        assert self._sentinel is not None
        self._watched(self._sentinel.tick(self.now_ms()))
        self._loop.call_later(LOOK_S, self._look)

    def news(self, data: bytes) -> None:
        """Another proxy tells of servers."""
        if self._sentinel is not None:
            self._watched(self._sentinel.heard(self.now_ms(), data))

    def _watched(self, effects: list[sentinel.Effect]) -> None:
        for effect in effects:
            match effect:
                case Verdict(server, reached):
                    self.take(ProbeEnded(server, Outcome.OK if reached else Outcome.TIMEOUT, 0.0))
                case Say(data):
                    assert self._say is not None
                    self._say(data)

    # Discovery

    def listed(self, kind: ListKind, found: HostList) -> None:
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
            self._sentinel.listed(self._addresses)
        event = EndpointsListed(kind, tuple(entry.listed for entry in found.entries))
        targets: dict[str, Hashable] = {**self._addresses}
        self.take(TargetsListed(event, targets))

    # Operators, and a process beside this one

    def cordon(self, endpoint: str, on: bool) -> bool:
        """The module's yes or no."""
        self._cordoned = None
        self.take(Cordon(endpoint, on))
        answer: CordonResult | None = self._cordoned
        if answer is None or not answer.known:
            return False
        if on:
            self._upstream.drop_idle(endpoint)
        return True

    def census(self) -> EndpointCounts:
        return census(self._balancer, self.now_ms())

    def memory(self) -> BalancerState:
        return memory_of(self._balancer)

    def take_part(self, part: float, others_open: int = 0) -> None:
        self.take(ShareAssigned(part, others_open))

    def known(self, version: int | None) -> HostList | None:
        """The list as it stands, for a process that comes after; None before there is one."""
        return HostList(version or 0, True, tuple(self._entries.values())) if self._entries else None

    def discovery_failed(self) -> None:
        self.take(TargetsListed(EndpointsListed(ListKind.FAILED), self._lifecycle.targets))
