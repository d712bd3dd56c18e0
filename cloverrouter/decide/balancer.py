"""The decisions of one client proxy."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from itertools import islice
from math import ceil, inf
from random import Random

from cloverrouter.decide.budget import BACKOFF_BASE_MS, DEADLINE_MARGIN_MS, RetryBudget, backoff_ms
from cloverrouter.decide.endpoint import Endpoint
from cloverrouter.decide.flow import PROXIES_PER_SERVER, Flow, many_proxies
from cloverrouter.decide.latency import MIN_SLOWNESS, ClassLatency
from cloverrouter.decide.membership import HIGH_PRICE, MAX_SCANNED, Membership, Ring, Span
from cloverrouter.decide.request import Attempt, Request, deduplicates
from cloverrouter.indexes import Entry, Rate, RequestQueue
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    Cordon,
    CordonResult,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    ListKind,
    Log,
    Outcome,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestCompleted,
    Send,
    SetTimeout,
    SetTimer,
    Settings,
    ShareAssigned,
    StreamStarted,
    Subscribe,
    TimerFired,
)

# The part of the overload threshold of a cold server, as estimated from its capacity, that it is sent. With
# the usual multiple of three this is a third more than its warm share of what the others get, as those rarely
# run at capacity. The rest covers bursts and machines slower than the fleet's mean (by half, where two kinds
# are mixed).
COLD_LOAD_SHARE = 0.45
RATE_WINDOWS = 4  # overload windows over which the rate of warm servers is smoothed
MIN_LIMIT = 0.1  # at this limit of a server, one attempt is in flight for this fraction of the time
# A proxy's window has at least MIN_WINDOW servers, so that two draws differ, and one per request that arrives
# within ARRIVAL_DEADLINES times the longest deadline.
MIN_WINDOW = 3.0
ARRIVAL_DEADLINES = 0.5
MAX_DRAWS = 8  # draws from a large window to find one suitable server
AVAILABLE_SHARE_GAIN = 0.02  # smoothing factor of the share of drawn servers that have a free slot
DECAY_BATCH = 64
MIN_LATENCY_MS = 0.01  # lower latencies mean that the clock did not advance
MIN_CHECK_DELAY_MS = 25.0  # minimum delay of the timer that checks queued requests; events do so as well
# Above this fraction of the requests that clients can have open, queued ones are dropped, the oldest first.
MAX_OPEN_SHARE = 0.85
MAX_OPEN_SHARE_OF_TWO = 0.7  # with a second balancer, whose count is slightly outdated
DEFAULT_DEADLINE_MS = 1000.0  # for unknown classes, if the request has none either

# The server did the work, so the latency shows its load. It is not paused for an unusable response: all
# servers send those alike, and pauses would exclude the whole fleet.
SERVED = (Outcome.OK, Outcome.SPOILT)
TIMED = (*SERVED, Outcome.TIMEOUT)  # outcomes whose latency shows the server's load
BROKEN = (Outcome.RESET, Outcome.CONNECT_FAILED)  # connection failures, possibly caused by the network
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # caused by this proxy: says nothing about the server


class Balancer:
    """The decisions of one client proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.budget = RetryBudget()
        self.many_proxies = many_proxies(settings)
        # With few proxies, the limits show when the servers of the own zone are full; only then cross.
        self.prefers_own_zone = not self.many_proxies and settings.prices.cross_zone >= HIGH_PRICE
        self.membership = Membership(settings)
        self.latencies = {cls.name: ClassLatency(cls) for cls in settings.classes}
        self.requests: dict[int, Request] = {}
        self.queue = RequestQueue[Request]()
        self.timers: dict[int, Callable[[], None]] = {}  # no lambdas: a balancer can be pickled
        self.last_token = self.failed_calls = 0
        self.window_count = self.window_warm = 0.0  # servers in the last window; warm ones
        self.available_share = 1.0  # smoothed share of the drawn servers that have a free slot
        self.resume_ms = inf  # when the first of the servers just checked ends its pause
        self.untried_blocked = False  # an untried request could not be sent; no slot was freed since
        self.next_check_ms = 0.0  # when the timer checks the queued requests next
        self.check_token = 0  # token of that timer
        self.restored_peak_rate = 0.0  # the peak rate handed over by the previous balancer
        self.peak_rate = self.peak_ms = 0.0  # highest work rate of a warm server, decaying since then
        self.peak_window = inf  # size of the window at that time
        self.work_rate = Rate(RATE_WINDOWS * settings.safety.overload_window_ms)
        self.longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=DEFAULT_DEADLINE_MS)
        self.arrivals = Rate(ARRIVAL_DEADLINES * self.longest_deadline_ms)
        ring_position = settings.ring_start
        self.ring_position = self.random.random() if ring_position is None else ring_position
        self.flow = Flow(settings)
        self.decayed_ms: float | None = None
        self.decaying: list[Endpoint] = []  # endpoints whose estimates are still to decay in this round
        self.decay = (0.0, 1.0, 1.0)  # fraction of the way to the means, and both means
        self.now_ms = float("-inf")
        self.actions: list[Action] = []
        self.started = False
        self.share = 1.0  # this balancer's fraction of the proxy's budgets; another has the rest
        self.other_open_requests = 0  # requests open at that other balancer

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        """Processes events; returns the actions, in order. Raises ValueError for impossible events."""
        if now_ms < self.now_ms:
            raise ValueError(f"time ran backwards: {now_ms} after {self.now_ms}")
        self.now_ms, self.resume_ms, self.untried_blocked = now_ms, inf, False
        self.actions = []
        if not self.started:
            self.started = True
            if self.settings.subscribe:
                self.actions.append(Subscribe())
        for event in events:
            self.untried_blocked = self.untried_blocked and isinstance(event, RequestArrived)
            match event:
                case AttemptEnded():
                    self._on_attempt_ended(event)
                case RequestArrived():
                    self._on_request(event)
                case TimerFired():
                    self._on_timer(event)
                case EndpointsListed():
                    self._on_list(event)
                case ClientDisconnected():
                    if event.request_id in self.requests:
                        self._finish(self.requests[event.request_id])
                case StreamStarted():
                    self._on_stream(event)
                case Cordon():
                    self._on_cordon(event)
                case RequestCompleted():
                    self._on_completed(event)
                case ShareAssigned():
                    self._on_share(event)
                case ProbeEnded():
                    if event.endpoint in self.membership.endpoints:
                        self.membership.endpoints[event.endpoint].down = event.outcome is not Outcome.OK
                case _:
                    raise ValueError(f"not an event: {event!r}")
        self._decay_estimates()
        self._send_queued()
        return self.actions

    # Discovery

    def _on_list(self, event: EndpointsListed) -> None:
        self.membership.update(event)
        self.flow.resize(self.membership.weight)
        if event.kind is ListKind.FAILED:
            if self.failed_calls == 0:
                self.actions.append(Log("discovery unavailable: retrying, the last list stays in use"))
            self.failed_calls += 1
            # Drains and starts count as known to a proxy without a subscription, whether learned or not. It
            # polls well within the allowed interval, with jitter so that proxies do not poll simultaneously.
            longest = self.settings.safety.max_poll_interval_ms / 4
            wait = min(longest, BACKOFF_BASE_MS * 2.0 ** min(self.failed_calls, 16))
            self._set_timer(wait * (0.5 + self.random.random() / 2), self._subscribe)
        elif self.failed_calls:
            self.failed_calls = 0
            self.actions.append(Log("discovery available again"))

    def _subscribe(self) -> None:
        self.actions.append(Subscribe())

    def _check_queue(self) -> None:
        """Does nothing: queued requests are checked after every round of events."""

    # Operators, and a second balancer during a handover

    def _on_cordon(self, event: Cordon) -> None:
        known = self.membership.cordon(self.now_ms, event.endpoint, event.on)
        self.flow.resize(self.membership.weight)
        self.actions.append(CordonResult(event.endpoint, event.on, known))

    def _on_share(self, event: ShareAssigned) -> None:
        """Scales the budgets: two balancers with a whole one each could overload a cold server."""
        if event.share < self.share:
            scale = event.share / self.share
            self.budget.tokens *= scale
            for endpoint in self.membership.endpoints.values():
                endpoint.cold_credit *= scale
        self.share, self.other_open_requests = event.share, event.other_open_requests
        # The other balancer sees the same excess and drops its half.
        for _ in range(ceil(self._excess_requests() / 2)):
            self._drop_oldest()

    # Requests

    def _on_request(self, event: RequestArrived) -> None:
        if event.request_id in self.requests:
            raise ValueError(f"request {event.request_id} arrived twice")
        class_latency = self.latencies.get(event.class_name)
        cls = class_latency.cls if class_latency else None
        work = event.work_hint_ms or (class_latency.mean_ms if class_latency else DEFAULT_DEADLINE_MS / 4)
        worth = cls.worth if cls else 0.0
        value = worth if self.settings.worth_by_work else worth / work
        deadline_ms = event.deadline_ms
        if deadline_ms is None:
            deadline_ms = self.now_ms + (cls.deadline_ms if cls else DEFAULT_DEADLINE_MS)
        self.arrivals.add(self.now_ms, 1.0)
        request = Request(event.request_id, cls, self.now_ms, deadline_ms, work, value)
        request.repeat, request.uploading = event.repeat, event.uploading
        self.requests[request.id] = request
        self._dispatch(request)

    def _on_completed(self, event: RequestCompleted) -> None:
        """Starts the deadline and the server's load here, since a slow upload is not a slow server."""
        request = self.requests.get(event.request_id)
        if request is None or request.done or not request.uploading:
            return
        request.uploading, request.arrived_ms = False, self.now_ms
        longest = request.cls.deadline_ms if request.cls else DEFAULT_DEADLINE_MS
        deadline_ms = event.deadline_ms
        request.deadline_ms = self.now_ms + longest if deadline_ms is None else deadline_ms
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None:
                attempt.sent_ms = self.now_ms
                self._count_in_flight(attempt)
                wait_ms = max(1.0, self._worthless_from_ms(request) - self.now_ms)
                self.actions.append(SetTimeout(request.id, number, wait_ms))

    def _count_in_flight(self, attempt: Attempt) -> None:
        attempt.working = True
        if not attempt.endpoint.in_flight:
            attempt.endpoint.waiting_since_ms = self.now_ms
        attempt.endpoint.in_flight += 1
        self.flow.in_flight += 1

    def _dispatch(self, request: Request) -> None:
        """Sends the request's next attempt now, or queues it until a server has a free slot."""
        if self._worthless_from_ms(request) <= self.now_ms:
            self._give_up(request)
        elif self._try_send(request) is None:
            self._enqueue(request)

    def _window_size(self) -> float:
        by_endpoints = PROXIES_PER_SERVER * len(self.membership.ready) / self.settings.proxies
        by_arrivals = self.arrivals.per_ms(self.now_ms) * ARRIVAL_DEADLINES * self.longest_deadline_ms
        return max(MIN_WINDOW, by_endpoints, by_arrivals)

    def _try_send(self, request: Request) -> Endpoint | None:
        """Sends to a server that has a free slot and may get the request; returns it, or None."""
        if not self.flow.has_slot(self.now_ms):
            return None
        spans = self.membership.spans(self._window_size(), self.ring_position)
        # After a cordon a cold server would lose every draw against warm ones, and operators would see it get
        # no traffic. It is sent one request early, regardless of the window.
        found = [e for e in islice(self.membership.unused.values(), MAX_SCANNED) if self._has_slot(e)]
        allowed = [e for e in found if self._may_send(request, e)]
        if not allowed:
            small = sum([span[2] for span in spans]) <= MAX_SCANNED
            allowed = self._candidates(request, spans) if small else self._draw_candidates(request, spans)
        endpoint = self._pick(allowed)
        if endpoint is None or not self._may_send(request, endpoint):
            self.untried_blocked = self.untried_blocked or not request.attempts
            return None
        self._send(request, endpoint)
        return endpoint

    def _has_slot(self, endpoint: Endpoint) -> bool:
        """Returns whether it has a free slot; else notes when its pause ends, to check the queue then."""
        if endpoint.has_slot(self.now_ms):
            return True
        below_limit = not endpoint.down and endpoint.in_flight < max(1.0, endpoint.limit)
        if below_limit and self.now_ms < endpoint.paused_until_ms:
            self.resume_ms = min(self.resume_ms, endpoint.paused_until_ms)
        return False

    def _is_suitable(self, request: Request, endpoint: Endpoint) -> bool:
        """As `_may_send`, but for an untried request checks only what differs between servers."""
        if request.attempts or endpoint.cold_until_ms > self.now_ms:
            return self._may_send(request, endpoint)
        return True

    def _available_window(self, spans: list[Span]) -> list[Endpoint]:
        """Returns the servers with a free slot in a small window, or in a random slice if it has none."""
        members, now_ms = self.membership, self.now_ms
        window = members.window(now_ms, spans) or [e for e in self._slice(members.all) if self._has_slot(e)]
        self.window_count = self.window_warm = len(window)
        if members.cold:
            self.window_warm = sum(e.cold_until_ms <= now_ms for e in window)
        return window

    def _slice(self, ring: Ring) -> list[Endpoint]:
        """Returns a few consecutive members from a random position, or all if there are no more."""
        members = ring.members
        more = len(members) - 2 * MAX_SCANNED
        start = self.random.randrange(more) if more > 0 else 0
        return members[start : start + 2 * MAX_SCANNED]

    def _candidates(self, request: Request, spans: list[Span]) -> list[Endpoint]:
        """Returns the servers of the window that the request may use, reduced to the preferred ones."""
        allowed = available = self._available_window(spans)
        if request.attempts or self.membership.cold:
            allowed = [e for e in available if self._is_suitable(request, e)]
        if not allowed and available:  # e.g. a retry bound to its group, or only cold servers
            allowed = [e for e in self._slice(self._group(request)) if self._has_slot(e)]
            # No cold servers: the requests of all proxies, not just of those near it, would overload one.
            allowed = [e for e in allowed if e.cold_until_ms <= self.now_ms and self._may_send(request, e)]
        if request.attempts:
            tried = [a.endpoint for a in request.attempts]
            # A retry prefers other servers and returns to a tried one only if there is no other.
            allowed = [e for e in allowed if e not in tried] or allowed
        if self.prefers_own_zone:
            allowed = [e for e in allowed if e.listed.zone == self.settings.zone] or allowed
        return allowed

    def _group(self, request: Request) -> Ring:
        """Returns the servers that may get the request: if it may have run, those that deduplicate it."""
        ran = request.first_possible_run() if request.attempts else None
        cls = request.cls
        if ran is None or cls is None or cls.idempotency is not Idempotency.KEYED:
            return self.membership.all
        return self.membership.group(cls.dedup_scope, ran.endpoint.listed)

    def _pick(self, allowed: Sequence[Endpoint]) -> Endpoint | None:
        """Returns the better of two servers drawn by their shares, or the only one."""
        if len(allowed) < 2:
            return allowed[0] if allowed else None
        total = sum([e.share for e in allowed])
        one = self._draw(allowed, total, None)
        other = self._draw(allowed, total - one.share, one)
        return one if one.score() >= other.score() else other

    def _draw(self, allowed: Sequence[Endpoint], total: float, excluded: Endpoint | None) -> Endpoint:
        if total <= 1e-12:
            left = [e for e in allowed if e is not excluded]
            return left[self.random.randrange(len(left))]
        at = self.random.random() * total
        last = allowed[0]
        for e in allowed:
            if e is not excluded:
                last = e
                at -= e.share
                if at < 0:
                    break
        return last

    def _draw_candidates(self, request: Request, spans: list[Span]) -> list[Endpoint]:
        """Draws two servers of the window by their shares; if draws fail, takes the next ones on the ring."""
        members = self.membership
        wanted = sum(span[2] for span in spans)
        self.window_count = max(1.0, wanted * self.available_share)
        self.window_warm = max(1.0, self.window_count * (1 - members.cold_share(self.now_ms)))
        group = self._group(request)
        if group is not members.all:
            spans = [(group, 0, len(group.members), 1.0)]
        elif self.prefers_own_zone:
            home = members.rings.get(self.settings.zone)
            found = self._draw_two(request, [span for span in spans if span[0] is home])
            if found:
                return found
        back = [a.endpoint for a in request.attempts if self._has_slot(a.endpoint)]
        return self._draw_two(request, spans) or [e for e in back if self._may_send(request, e)]

    def _draw_two(self, request: Request, spans: list[Span]) -> list[Endpoint]:
        excluded = [a.endpoint for a in request.attempts]
        found: list[Endpoint] = []
        while spans and len(found) < 2:
            endpoint = self._draw_one(request, spans, excluded)
            if endpoint is None:
                break
            endpoint.share = 1.0
            found.append(endpoint)
            excluded.append(endpoint)
        return found

    def _draw_one(self, request: Request, spans: list[Span], excluded: list[Endpoint]) -> Endpoint | None:
        ring, start, wanted, _ = self._draw_span(spans)
        for _ in range(MAX_DRAWS):
            size = len(ring.members)
            at = start + self.random.randrange(wanted)
            endpoint = ring.members[at if at < size else at - size]
            if endpoint.weight < ring.heaviest and self.random.random() * ring.heaviest >= endpoint.weight:
                continue
            available = self._has_slot(endpoint)
            self.available_share += AVAILABLE_SHARE_GAIN * (available - self.available_share)
            if available and endpoint not in excluded and self._is_suitable(request, endpoint):
                return endpoint
            ring, start, wanted, _ = self._draw_span(spans)
        size = len(ring.members)
        first = start + (wanted if wanted < size else self.random.randrange(size))
        for i in range(first, first + min(size, MAX_SCANNED)):
            endpoint = ring.members[i % size]
            if endpoint not in excluded and self._has_slot(endpoint) and self._is_suitable(request, endpoint):
                return endpoint
        return None

    def _draw_span(self, spans: list[Span]) -> Span:
        if len(spans) == 1:
            return spans[0]
        at = self.random.random() * sum([span[3] for span in spans])
        for span in spans:
            at -= span[3]
            if at < 0:
                return span
        return spans[-1]

    def _enqueue(self, request: Request) -> None:
        """Queues the request, the highest value first, until it can no longer be served in time. At full
        servers it would wait until it is late, and slow them down."""
        expected_ms = self.latencies[request.cls.name].mean_ms if request.cls else DEFAULT_DEADLINE_MS / 4
        wait_ms = self._worthless_from_ms(request) - expected_ms - self.now_ms
        if wait_ms <= 0:
            self._give_up(request)
            return
        # A request retried by its client has most likely missed its aim already.
        aim_ms = self._aim_ms(request.cls, request) if request.cls and not request.repeat else 0.0
        request.on_time_until_ms = request.arrived_ms + aim_ms - expected_ms
        if self.many_proxies and request.on_time_until_ms > self.now_ms:
            wait_ms = min(wait_ms, request.on_time_until_ms - self.now_ms)
        request.timer = self._set_timer(wait_ms, partial(self._on_request_timer, request, self._give_up))
        self.queue.add(request)
        self.queue.compact(2 * len(self.requests) + MAX_SCANNED)
        if self._excess_requests() > 0:
            self._drop_oldest()

    def _excess_requests(self) -> float:
        """Returns how many requests exceed the allowed share of client connections."""
        max_open = self.settings.limits.max_open
        share = MAX_OPEN_SHARE if self.share >= 1 else MAX_OPEN_SHARE_OF_TWO
        return len(self.requests) + self.other_open_requests - share * max_open if max_open else 0.0

    def _drop_oldest(self) -> None:
        """Drops the oldest queued request, which is the least likely to be served in time. Each one occupies
        a client connection; when none is left, new requests are lost unseen."""
        oldest = self.queue.oldest()
        if oldest is not None:
            self._give_up(oldest)

    def _send_queued(self) -> None:
        """Sends as many queued requests as there are free slots. If an untried one cannot be sent, no
        other untried one can; those that were tried may use only some servers, so each is checked."""
        queue = self.queue
        if queue.oldest() is None:
            self.timers.pop(self.check_token, None)
            self.next_check_ms = 0.0
            return
        aside: list[Entry[Request]] = []
        while len(aside) < MAX_SCANNED:
            if not self.flow.has_slot(self.now_ms):
                self.resume_ms = min(self.resume_ms, self.flow.paused_until_ms)
                break
            top = queue.pop(self.now_ms, untried=not self.untried_blocked)
            if top is None:
                break
            if self._try_send(top[2]) is None:
                aside.append(top)
        queue.put_back(aside)
        # Without other traffic, no event would show that a pause is over.
        waiting = self.now_ms < self.next_check_ms <= self.resume_ms + MIN_CHECK_DELAY_MS
        if self.now_ms < self.resume_ms < inf and not waiting:
            self.next_check_ms = max(self.resume_ms, self.now_ms + MIN_CHECK_DELAY_MS)
            self.timers.pop(self.check_token, None)
            self.check_token = self._set_timer(self.next_check_ms - self.now_ms, self._check_queue)

    def _worthless_from_ms(self, request: Request) -> float:
        """Returns when an answer becomes worthless; later work would load full servers for nothing."""
        cls = request.cls
        if cls is None or cls.late_worth or cls.streamed:
            return request.deadline_ms
        return min(request.deadline_ms, request.arrived_ms + self._aim_ms(cls, request))

    @staticmethod
    def _aim_ms(cls: RequestClass, request: Request) -> float:
        return min(cls.deadline_ms, cls.aim_ms + cls.aim_stretch * request.work)

    def _may_send(self, request: Request, endpoint: Endpoint) -> bool:
        """Returns whether the request may be sent to this endpoint now. Every send passes this check."""
        limits = self.settings.limits
        if request.done or request.streaming or len(request.attempts) >= limits.max_attempts:
            return False
        if request.in_flight and not limits.parallel_attempts:
            return False
        # No new work for a server that is draining or gone.
        if endpoint.listed.state is not EndpointState.READY or endpoint.cordoned:
            return False
        # The effect of a request must not happen twice.
        ran = request.first_possible_run() if request.attempts else None
        if ran is not None:
            if not request.retryable() or self.now_ms >= request.dedup_until_ms():
                return False
            if not deduplicates(request.cls, ran.endpoint.listed, endpoint.listed):
                return False
        return self._has_cold_credit(request, endpoint)

    def _has_cold_credit(self, request: Request, endpoint: Endpoint) -> bool:
        """Returns whether the server is warm or has credit for the request. A server that has just started
        fails under a warm server's share of the load, and stays down."""
        if endpoint.cold_until_ms <= self.now_ms:
            return True
        safety, warmth = self.settings.safety, endpoint.warmth(self.now_ms)
        # The rate of a warm server is this proxy's part of a server's capacity; the other proxies limit
        # themselves in the same way. Credit is capped at half a window, to prevent bursts. It starts at a
        # random part of one request: from full, the proxies' first requests would add up to an overload; from
        # zero, a server that few proxies use would get nothing until it is warm.
        rate = COLD_LOAD_SHARE * safety.overload_multiple * warmth * self.warm_rate() * self.share
        # That rate may be from a smaller window. In a larger one more proxies share each server.
        rate *= min(1.0, self.peak_window / self._window_size())
        if endpoint.cold_credit_ms is None:
            initial = self.random.random() * request.work * self.share
            initial = initial if endpoint.restored_credit is None else endpoint.restored_credit * self.share
            endpoint.cold_credit, endpoint.cold_credit_ms = initial, self.now_ms
        max_credit = max(rate * safety.overload_window_ms / 2, request.work)
        earned = rate * (self.now_ms - endpoint.cold_credit_ms)
        endpoint.cold_credit = min(max_credit, endpoint.cold_credit + earned)
        endpoint.cold_credit_ms = self.now_ms
        if endpoint.cold_credit >= request.work:
            return True
        if rate > 0:
            self.resume_ms = min(self.resume_ms, self.now_ms + (request.work - endpoint.cold_credit) / rate)
        return False

    def warm_rate(self) -> float:
        """Work per millisecond that a warm server gets, or recently got, from this proxy.

        In an overload little is sent to warm servers; with that as the measure, the cold ones, which could
        relieve them, would get nothing. So the recent peak counts, decaying over the warm-up time. If no
        server is or was warm, the servers are assumed to be built for all arriving work.
        """
        rate = self.work_rate.per_ms(self.now_ms)
        if self.restored_peak_rate:
            self.peak_rate, self.peak_ms, self.restored_peak_rate = self.restored_peak_rate, self.now_ms, 0.0
            self.peak_window = self._window_size()
        if not rate and not self.peak_rate:
            mean = sum(c.mean_ms for c in self.latencies.values()) / max(1, len(self.latencies))
            return self.arrivals.per_ms(self.now_ms) * mean / max(1.0, self.window_count)
        remaining = 1 - (self.now_ms - self.peak_ms) / max(1.0, self.settings.safety.cold_ms)
        self.peak_rate, self.peak_ms = self.peak_rate * max(0.0, remaining), self.now_ms
        if rate >= self.peak_rate:
            self.peak_rate, self.peak_window = rate, self._window_size()
        return self.peak_rate

    def _send(self, request: Request, endpoint: Endpoint) -> None:
        if endpoint.cold_until_ms > self.now_ms:
            endpoint.cold_credit -= request.work
        else:
            # The last warm server of a small window gets the load of all; with that as the measure, the
            # proxies would overload the cold servers together.
            min_count = MIN_WINDOW if self.many_proxies else 1.0
            self.work_rate.add(self.now_ms, request.work / max(min_count, self.window_warm))
        if endpoint.unused:
            endpoint.unused = False
            self.membership.unused.pop(endpoint.listed.name, None)
        request.queue_number = 0
        self._drop_timer(request)
        attempt = Attempt(endpoint, self.now_ms)
        request.attempts.append(attempt)
        # Otherwise a slow connection could deliver the request after servers stop deduplicating it.
        within_ms = inf if request.uploading else request.dedup_until_ms() - self.now_ms
        request.in_flight += 1
        timeout_ms = 0.0
        if not request.uploading:
            self._count_in_flight(attempt)
            timeout_ms = self._worthless_from_ms(request) - self.now_ms
        self.actions.append(Send(request.id, endpoint.listed.name, timeout_ms, within_ms))

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        request.in_flight -= 1
        if event.outcome is Outcome.OK:
            self.budget.earn()
        self._learn(request, attempt, event.outcome, event.latency_ms, self._reported_slowness(event.report))
        if event.answered:
            self._finish(request)
        elif request.done:
            self._drop_if_over(request)
        elif event.body_consumed:
            self._give_up(request)
        elif not request.in_flight and not request.streaming:
            self._retry(request)

    def _target(self) -> float:
        """A server slows down for all classes alike, so the class with the least slack sets the target."""
        targets = [c.target() for c in self.latencies.values() if c.seen]
        return min(targets, default=MIN_SLOWNESS)

    def _reported_slowness(self, report: tuple[float, ...] | None) -> float:
        """Factor by which queueing at the server, as it reports, stretches latencies; 1 if unknown. A proxy
        that starts during an overload would otherwise take the latencies it sees for normal."""
        fields = self.settings.report_fields
        if report is None or "inflight" not in fields or "queue" not in fields:
            return 1.0
        queue, waiting = report[fields.index("inflight")], report[fields.index("queue")]
        return queue / max(1.0, queue - waiting) if waiting > 0 else 1.0

    def _learn(
        self, request: Request, attempt: Attempt, outcome: Outcome, latency_ms: float, reported: float
    ) -> None:
        """Updates estimates of the server from the end of an attempt, or from the start of its response."""
        cls = request.cls
        if not attempt.working:  # its response had started, or the server never had the whole request
            if outcome in (Outcome.REJECTED, *BROKEN) and not request.streaming and cls is not None:
                self._record_failure(attempt.endpoint, self.latencies[cls.name], outcome)
            return
        attempt.working = False
        attempt.endpoint.in_flight -= 1
        # Beside a latency of zero every later one looks too slow, and no server would get requests.
        untimed = outcome in TIMED and latency_ms < MIN_LATENCY_MS
        if outcome in NO_EVIDENCE or cls is None or untimed:
            self.flow.record_end(self.now_ms, latency_ms, None)
            return
        class_latency = self.latencies[cls.name]
        good_ms = class_latency.midpoint_ms()
        # A cold server is slow by nature; that must not close the pooled limit while warm servers idle.
        warmth = attempt.endpoint.warmth(self.now_ms)
        slow = warmth * class_latency.slowness(latency_ms) / self._target() if outcome in TIMED else None
        self.flow.record_end(self.now_ms, class_latency.base_ms, slow)
        if outcome is Outcome.OK:
            slowness = class_latency.slowness(latency_ms)
            class_latency.add(latency_ms)
            on_time = latency_ms <= self._aim_ms(cls, request)
            attempt.endpoint.learn(self.now_ms, 1.0 if on_time else cls.late_worth, slowness)
        else:
            # A server that fails fast must not look fast: a failure never counts as faster than normal.
            attempt.endpoint.learn(self.now_ms, 0.0, max(1.0, class_latency.slowness(latency_ms)))
        if outcome in SERVED:
            attempt.endpoint.record_response(self.now_ms, latency_ms)
        if outcome in TIMED:
            load_ratio = max(class_latency.slowness(latency_ms), reported) / self._target()
            min_limit = MIN_LIMIT if self.many_proxies else 1.0
            attempt.endpoint.adapt_limit(self.now_ms, min(latency_ms, good_ms), load_ratio, min_limit)
        else:
            self._record_failure(attempt.endpoint, class_latency, outcome)

    def _record_failure(self, endpoint: Endpoint, latency: ClassLatency, outcome: Outcome) -> None:
        endpoint.record_failure(self.now_ms, latency.base_ms, self.longest_deadline_ms / 2, outcome in BROKEN)

    def _on_stream(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.done:
            request.streaming = True  # no deadline applies to a streaming response
            self._drop_timer(request)
            if 0 <= event.attempt < len(request.attempts):
                # The client may read slowly; the server has done its work by now.
                self._learn(request, request.attempts[event.attempt], Outcome.OK, event.latency_ms, 1.0)

    def _retry(self, request: Request) -> None:
        more = len(request.attempts) < self.settings.limits.max_attempts
        if not (more and request.retryable() and self._schedule_retry(request)):
            self._give_up(request)

    def _schedule_retry(self, request: Request) -> bool:
        """Spends tokens on a retry after the backoff; returns False if time or tokens do not suffice."""
        wait = backoff_ms(request.previous_wait_ms, self.random)
        sleep = min(wait, self._worthless_from_ms(request) - self.now_ms - DEADLINE_MARGIN_MS)
        if self.now_ms + sleep >= request.dedup_until_ms():
            return False
        if sleep <= 0 or not self.budget.spend():
            return False
        request.previous_wait_ms = wait
        request.timer = self._set_timer(sleep, partial(self._on_request_timer, request, self._dispatch))
        return True

    def _on_request_timer(self, request: Request, then: Callable[[Request], None]) -> None:
        request.timer, request.queue_number = None, 0
        then(request)

    def _give_up(self, request: Request) -> None:
        """Ends the request with `Refuse`, which permits a retry, if no attempt may have run; else `Fail`."""
        ran = request.first_possible_run() is not None
        self.actions.append(Fail(request.id) if ran else Refuse(request.id, self._retry_after_ms()))
        self._finish(request)

    def _retry_after_ms(self) -> float:
        """The first backoff wait, where sites pass it to clients: refused requests that are retried at once
        meet the same overload again."""
        limits = self.settings.limits
        return min(BACKOFF_BASE_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0

    def _finish(self, request: Request) -> None:
        request.done, request.queue_number = True, 0
        self._drop_timer(request)
        self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.in_flight:
            self.requests.pop(request.id, None)

    # Timers

    def _set_timer(self, delay_ms: float, call: Callable[[], None]) -> int:
        self.last_token += 1
        self.timers[self.last_token] = call
        self.actions.append(SetTimer(delay_ms, self.last_token))
        return self.last_token

    def _drop_timer(self, request: Request) -> None:
        """Forgets a timer. The proxy cannot cancel it; its event is ignored."""
        if request.timer is not None:
            del self.timers[request.timer]
            request.timer = None

    def _on_timer(self, event: TimerFired) -> None:
        call = self.timers.pop(event.token, None)
        if call is not None:
            call()

    def _decay_estimates(self) -> None:
        """Decays estimates over four times the longest deadline, after which their cause is over."""
        if self.decaying:
            self._decay_some()
            return
        if self.decayed_ms is None:
            self.decayed_ms = self.now_ms
        share = (self.now_ms - self.decayed_ms) / (4 * self.longest_deadline_ms)
        if share < 0.01:
            return
        self.decayed_ms = self.now_ms
        self.decaying = self.membership.ready.copy()
        self.membership.cold_share(self.now_ms)  # drops warm ones from the index of cold servers
        self.decay = (min(1.0, share), *self.membership.all_means.means())
        self._decay_some()

    def _decay_some(self) -> None:
        """Decays some endpoints per call, so that a long list does not delay a request."""
        for endpoint in self.decaying[-DECAY_BATCH:]:
            endpoint.decay_towards(*self.decay)
        del self.decaying[-DECAY_BATCH:]
