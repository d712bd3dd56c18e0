"""Public types shared by a client proxy and its balancer: settings, events and actions.

Times are milliseconds on one monotonic clock chosen by the proxy; durations also end in ``_ms``. Ids of
requests, endpoints, zones and cells are opaque: they are compared and passed back, never parsed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    SAFE = "safe"  # always
    KEYED = "keyed"  # only to endpoints of the deduplication scope, within the deduplication window
    UNSAFE = "unsafe"  # never


class DedupScope(Enum):
    """Which endpoints share the deduplication of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "rejected"  # rejected before execution
    TIMEOUT = "timeout"  # may have run and may still be running
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # connection lost after the request was sent; may have run
    SPOILT = "spoilt"  # an unusable response; the request ran
    CANCELLED = "cancelled"  # cancelled by the balancer; may have run
    NOT_SENT = "not_sent"  # the proxy did not send it


class EndpointState(Enum):
    """State of an endpoint in the discovery list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an `EndpointsListed` event carries."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # the whole list; endpoints missing from it are gone
    RESTORED = "restored"  # the whole list as stored before a restart, possibly outdated
    FAILED = "failed"  # a discovery call failed or the subscription broke; the list is empty


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Latency target, value and retry rules of a class of requests."""

    name: str
    aim_ms: float  # an answer within this earns the full worth
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # fraction of the worth earned by an answer between aim and deadline
    aim_stretch: float = 0.0  # extends the aim by this multiple of the request's work
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site allows the proxy to do."""

    max_attempts: int = 3
    parallel_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False  # proxies may exchange what they observe
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    max_open: int = 0  # open client requests this proxy can accept, further ones cannot reach it; 0: unknown


@dataclass(frozen=True, slots=True)
class Safety:
    """Parameters of the rules on draining, discovery and cold endpoints."""

    cold_share: float = 1.0  # an endpoint starts with at least this fraction of its capacity
    cold_ms: float = 0.0  # and is warm after this at the latest
    overload_multiple: float = 3.0  # a cold endpoint that is sent more than this multiple of its capacity
    overload_window_ms: float = 1000.0  # for this long is overloaded and fails
    # Without a subscription, discovery must be polled at least this often
    max_poll_interval_ms: float = 10_000.0
    drain_grace_ms: float = 500.0  # sends are still allowed for this long after the drain notice


@dataclass(frozen=True, slots=True)
class Prices:
    """Penalties subtracted from the score of the site."""

    cross_zone: float = 0.0  # an attempt that crosses zones, per first attempt
    probe: float = 0.0  # a probe, per first attempt
    waste: float = 0.0  # work that led to no answer, as a fraction of the work offered
    late_fail: float = 0.0  # worth of requests that ended unanswered after their aim


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its request quota."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one balancer. Raises ValueError for inconsistent values."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    proxies: int = 1  # client proxies that send to the same endpoints, including this one
    # Index of this proxy, from 0; None: unknown, its ring position is drawn at random
    proxy_index: int | None = None
    # Where this proxy's servers begin on the ring, 0 to 1; None: derived from the index
    ring_position: float | None = None
    subscribe: bool = False  # discovery pushes changes only after a subscription
    report_fields: tuple[str, ...] = ()  # the fields of a load report, in order
    worth_by_work: bool = False  # worth counts per unit of work instead of per request
    limits: Limits = field(default_factory=Limits)
    safety: Safety = field(default_factory=Safety)
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # fraction of its worth that a request over its tenant's quota keeps

    def __post_init__(self) -> None:
        for cls in self.classes:
            if cls.deadline_ms <= 0 or cls.aim_ms <= 0:
                raise ValueError(f"class {cls.name!r}: aim and deadline must be positive")
        if len({cls.name for cls in self.classes}) != len(self.classes):
            raise ValueError("two classes share a name")
        if self.proxies < 1:
            raise ValueError("proxies must be at least 1, including this one")
        if self.proxy_index is not None and not 0 <= self.proxy_index < self.proxies:
            raise ValueError("proxy_index must be from 0 to proxies - 1")
        if self.ring_position is not None and not 0 <= self.ring_position < 1:
            raise ValueError("ring_position must be at least 0 and below 1")
        if self.limits.max_attempts < 1:
            raise ValueError("limits.max_attempts must be at least 1")
        if not 0 < self.safety.cold_share <= 1:
            raise ValueError("safety.cold_share must be above 0 and at most 1")
        if min(self.safety.overload_multiple, self.safety.overload_window_ms) <= 0:
            raise ValueError("safety.overload_multiple and safety.overload_window_ms must be positive")
        if self.safety.drain_grace_ms < 0:
            raise ValueError("safety.drain_grace_ms must not be negative")

    @property
    def ring_start(self) -> float | None:
        """Position on the ring where this proxy's servers begin, or None if it is not configured."""
        if self.ring_position is not None or self.proxy_index is None:
            return self.ring_position
        return self.proxy_index / self.proxies


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of the discovery list."""

    name: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    state: EndpointState = EndpointState.READY
    started_ms: float | None = None  # None: a long time ago


START_TOLERANCE_MS = 1000.0


@dataclass(frozen=True, slots=True)
class EndpointEstimates:
    """What a balancer learned about one endpoint, handed over to its successor."""

    name: str
    started_ms: float | None
    earned: float
    slowness: float
    limit: float
    latency_ms: float
    cold_credit: float | None  # work it may still be sent while cold; None: not computed yet

    def is_same_process(self, started_ms: float | None) -> bool:
        """Returns whether the record is about the process that started at `started_ms`.

        Two processes derive start times from clocks that differ slightly, hence the tolerance.
        """
        if started_ms is None or self.started_ms is None:
            return started_ms is self.started_ms
        return abs(started_ms - self.started_ms) <= START_TOLERANCE_MS


@dataclass(frozen=True, slots=True)
class LatencyEstimates:
    """What a balancer learned about one request class, handed over to its successor."""

    name: str
    mean_ms: float
    base_ms: float
    slow_ratio: float
    seen: int


@dataclass(frozen=True, slots=True)
class BalancerState:
    """State handed over to the balancer that takes over on the same clock: operators' cordons, the counters
    that the rules apply to both balancers together, and learned estimates."""

    cordons: tuple[str, ...] = ()
    listed: tuple[str, ...] = ()  # every endpoint that was ever listed
    back_ms: tuple[tuple[str, float], ...] = ()  # when each cordon ended
    tokens: float = 0.0
    peak_rate: float = 0.0
    flow_limit: float = 0.0
    endpoints: tuple[EndpointEstimates, ...] = ()
    classes: tuple[LatencyEstimates, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointCounts:
    """Number of listed endpoints and how many of them are excluded."""

    listed: int
    avoided: int  # listed endpoints that get no requests now, excluded by the balancer or by an operator


# Events: from the proxy to the balancer.


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """A list of endpoints from discovery."""

    kind: ListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


@dataclass(slots=True)  # not frozen: created for each request
class RequestArrived:
    """A client request has arrived."""

    request_id: int
    class_name: str
    deadline_ms: float | None = None  # a point in time; None: the deadline of the class applies
    tenant: str | None = None
    key: str | None = None
    work_hint_ms: float | None = None
    repeat: bool = False  # marked as a retry by its client
    uploading: bool = False  # the body is still arriving: time counts from `RequestCompleted`


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a request that arrived with `uploading` was received; its time starts now."""

    request_id: int
    deadline_ms: float | None = None  # as in `RequestArrived`


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response has started; the attempt can no longer be retried."""

    request_id: int
    attempt: int
    latency_ms: float


@dataclass(slots=True)  # not frozen: created for each request
class AttemptEnded:
    """An attempt has ended."""

    request_id: int
    attempt: int
    outcome: Outcome
    latency_ms: float
    answered: bool = False  # the client needs no further answer
    report: tuple[float, ...] | None = None
    body_consumed: bool = False  # part of the body was consumed, so the request cannot be sent again


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected and needs no answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended."""

    endpoint: str
    outcome: Outcome
    latency_ms: float
    report: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class Cordon:
    """An operator excludes an endpoint regardless of the discovery lists, or ends that. Answered by
    `CordonResult`."""

    endpoint: str
    on: bool


@dataclass(frozen=True, slots=True)
class ShareAssigned:
    """Sets the fraction of the proxy's budgets that belongs to this balancer, while another balancer takes
    over or hands over and has the rest. A balancer alone has all of it."""

    share: float
    other_open_requests: int = 0  # requests open at the other balancer


Event = (
    EndpointsListed
    | RequestArrived
    | RequestCompleted
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | Cordon
    | ShareAssigned
)


# Actions: from the balancer to the proxy.


@dataclass(slots=True)  # not frozen: created for each request
class Send:
    """Starts the next attempt of a request; attempts are numbered from 0 in sending order."""

    request_id: int
    endpoint: str
    timeout_ms: float  # 0: no timeout while the request is uploading
    # the attempt is dropped unless its last byte is sent within this time
    send_within_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class SetTimeout:
    """Sets the timeout of an attempt in progress, counted from now."""

    request_id: int
    attempt: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: rejected without execution; a retry by the client is safe."""

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt in progress."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a `TimerFired` event after a delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Checks whether an endpoint is reachable; answered by `ProbeEnded`."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Requests the missed changes and all later ones from discovery."""


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class CordonResult:
    """The answer to `Cordon`."""

    endpoint: str
    on: bool
    known: bool  # False: the endpoint was never listed and nothing changed


Action = Send | SetTimeout | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log | CordonResult
