"""The data plane of one proxy: takes client requests as exchanges and sends them to servers by a
connection pool."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from random import Random

from cloverrouter.control.configuration import Configuration, Route
from cloverrouter.control.routing import RoutingTable
from cloverrouter.http.body import Blocks
from cloverrouter.http.client import Call
from cloverrouter.http.fields import Headers
from cloverrouter.http.server import Exchange
from cloverrouter.placement import placement_exchange
from cloverrouter.placement.admission import unconfigured_retry_after_s
from cloverrouter.placement.options import IN_USE, PlacementOptions
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.placement.placement_messages import PlacementNews
from cloverrouter.placement.servers import Server
from cloverrouter.placement.shutdown import (
    Expectation,
    LongestAnswers,
    ShutdownWindow,
    may_begin,
)
from cloverrouter.router import answers
from cloverrouter.router.active_request import ActiveRequest
from cloverrouter.router.admitted_request import AdmittedRequest
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.headers import ATTEMPT_ID, has_single_attempt_id
from cloverrouter.router.ports import (
    NO_RECORD,
    Budget,
    CallLater,
    Clock,
    Log,
    Pool,
    Quota,
    Recorder,
    no_log,
)
from cloverrouter.router.request_admission import Rejection, RequestAdmission
from cloverrouter.router.request_host import HostedRequest
from cloverrouter.router.verdict import End, Verdict

FIRST_SERVER_ERROR = 500


class Router:
    """Handles the requests of clients. All its dependencies are passed in.

    `zone` is the proxy's own zone; `random` is used only for random choices and jitter.
    """

    def __init__(
        self,
        clock: Clock,
        call_later: CallLater,
        random: Random,
        pool: Pool,
        zone: str,
        bounds: RouterBounds,
        quota: Quota,
        budget: Budget,
        log: Log = no_log,
        recorder: Recorder = NO_RECORD,
        options: PlacementOptions = IN_USE,
    ) -> None:
        self.options = options
        self.clock = clock
        self.call_later = call_later
        self.random = random
        self.zone = zone
        self.bounds = bounds
        self.budget = budget
        self.recorder = recorder
        self.on_server_failure: Callable[[str], None] = lambda instance_id: None
        """Called with the id of an instance that failed a request."""
        self.is_behind = False
        """Newer configurations are known to be in force, but this process has not received one for too
        long."""
        self.keys_valid_until = math.inf
        """API keys are accepted until this time on the monotonic clock. Later a key may have been revoked
        without this proxy having learned of it."""
        self._shutdown: ShutdownWindow | None = None
        self._longest_answers = LongestAnswers()
        self._pool = pool
        self._quota = quota
        self._log = log
        self._configuration: Configuration | None = None
        self._admission: RequestAdmission | None = None
        self._placements: dict[str, ServicePlacement] = {}
        self._active_requests: set[HostedRequest] = set()
        self._waiting_for_quota: dict[str, dict[HostedRequest, None]] = {}
        self._attempt_count = 0
        self._started_at = clock()
        self._fleet_size = 1

    # Interface for the daemon

    def configure(self, configuration: Configuration, table: RoutingTable | None = None) -> None:
        """Puts a configuration into force; requests in progress keep their route."""
        self._configuration = configuration
        deadlines = self._admission.deadlines if self._admission is not None else {}
        self._admission = RequestAdmission(
            configuration,
            table if table is not None else RoutingTable(configuration),
            self._has_ready_server,
            self.random.random,
            self.options,
            deadlines,
        )
        for service in configuration.services:
            kv_tokens = service.engine.kv_cache_tokens if service.engine is not None else None
            self.placement(service.name).configure(kv_tokens)

    def fleet_changed(self, size: int) -> None:
        """Sets the number of proxies that share the traffic."""
        self._fleet_size = size
        for placement in self._placements.values():
            placement.fleet_changed(size)

    def servers_changed(self, servers: Iterable[Server]) -> None:
        """Adds or updates servers. New requests are sent only to ready ones from now on."""
        for server in servers:
            self.placement(server.service).update_server(server)
        for placement in self._placements.values():
            placement.prune()
        self._pool.keep_only(
            {address for one in self._placements.values() for address in one.servers.addresses()}
        )

    def apply_warning(self, ids: Iterable[str], span_s: float) -> None:
        """Avoids instances that other proxies found failing, for about `span_s` seconds."""
        now = self.clock()
        for placement in self._placements.values():
            placement.apply_warning(ids, span_s, now)

    def outgoing_placement_update(self) -> PlacementNews | None:
        """Returns the update about servers and requests for other proxies; None if there is none."""
        return placement_exchange.outgoing_update(self._placements, self.clock())

    def apply_placement_update(self, update: PlacementNews) -> None:
        """Applies an update about servers and requests from another proxy."""
        placement_exchange.apply_update(update, self._placements, self.clock())

    def report_overdue(self) -> None:
        """Reports the servers that seem not to answer."""
        now = self.clock()
        for placement in self._placements.values():
            for instance_id in placement.overdue(now):
                self.on_server_failure(instance_id)

    def on_quota_update(self, tenant: str) -> None:
        """Lets requests that wait for the tenant's quota ask again after an update."""
        for active_request in self._waiting_for_quota.pop(tenant, {}):
            active_request.on_quota_update()

    def begin_shutdown(self, ends_at: float) -> None:
        """Begins the shutdown; the process ends at `ends_at`. From now on answers close their connections,
        and a request is sent only if it is expected to finish by then."""
        self._shutdown = ShutdownWindow(self.clock(), ends_at)

    def end_requests(self) -> None:
        """Ends all requests in progress when the process ends, each with an answer that tells whether it
        may have run."""
        for active_request in list(self._active_requests):
            active_request.end_now()

    @property
    def draining(self) -> bool:
        """Whether the process is shutting down."""
        return self._shutdown is not None

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._active_requests)

    def ready(self) -> bool:
        """Returns whether clients should be sent here: the proxy is configured, and at least half of the
        services with routes have a ready server."""
        if self._configuration is None or self.draining or self.is_behind:
            return False
        services = {
            name for route in self._configuration.routes for name, weight in route.targets if weight > 0
        }
        usable = sum(1 for name in services if self._has_ready_server(name))
        return usable * 2 >= len(services)

    def _has_ready_server(self, service: str) -> bool:
        placement = self._placements.get(service)
        return placement is not None and bool(placement.servers.ready)

    # Routing and admission of requests; the rest is done by `ActiveRequest`

    def handle(self, exchange: Exchange) -> None:
        """Answers an exchange, now or later."""
        request = exchange.request
        if not has_single_attempt_id(request):
            self._respond(exchange, answers.BAD_REQUEST)
            return
        if self._admission is None:
            wait_s = unconfigured_retry_after_s(self.clock() - self._started_at, self.random.random())
            self._respond(exchange, answers.SERVICE_UNAVAILABLE, answers.retry_after(wait_s))
            return
        result = self._admission.admit(request, self.clock() <= self.keys_valid_until)
        if isinstance(result, Rejection):
            wait = result.retry_after_s
            self._respond(exchange, result.status, answers.retry_after(wait) if wait is not None else None)
            return
        active_request = ActiveRequest(self, exchange, result)
        self._active_requests.add(active_request)
        active_request.start()

    def _respond(self, exchange: Exchange, status: int, headers: Headers | None = None) -> None:
        """Answers a request that was not admitted."""
        self.recorder.turned_away(exchange.request.header(ATTEMPT_ID) or b"", status)
        exchange.respond(status, headers or [], b"", self.draining)

    # Interface for active requests (`RequestHost`)

    def placement(self, service: str) -> ServicePlacement:
        """Returns the placement of a service, which picks its servers."""
        found = self._placements.get(service)
        if found is None:
            found = self._placements[service] = ServicePlacement(
                self.random.random, self.zone, options=self.options
            )
            found.fleet_changed(self._fleet_size)
        return found

    def may_begin(self, admitted: AdmittedRequest) -> bool:
        """Returns whether the request may be sent to a server: always, unless the process is shutting
        down."""
        if self._shutdown is None:
            return True
        now, route = self.clock(), admitted.route
        expectation = Expectation(admitted.deadline, self._longest_s(route, now), route.can_resume)
        return may_begin(self._shutdown, now, expectation)

    def _longest_s(self, route: Route, now: float) -> float | None:
        """Returns the longest duration of recent and current requests on the route, in seconds; None if
        there are no recent ones."""
        ages = [
            now - one.arrived_at for one in self._active_requests if one.admitted.route.name == route.name
        ]
        recent_s = self._longest_answers.of(route.name, now)
        return recent_s if recent_s is None else max([recent_s, *ages])

    def on_answered(self, active_request: HostedRequest) -> None:
        """Records that a server's complete answer was forwarded to the client."""
        now = self.clock()
        self._longest_answers.note(active_request.admitted.route.name, now - active_request.arrived_at, now)

    def next_attempt_number(self) -> int:
        """Returns the number for a new attempt."""
        self._attempt_count += 1
        return self._attempt_count

    def send(
        self,
        attempt: Attempt,
        message: bytes,
        request_id: bytes,
        refresh: Callable[[], bytes | None],
        body: Blocks,
    ) -> Call:
        """Starts a send; `refresh` returns the message for a connection that was established later, or
        None if the send is no longer wanted."""
        address = attempt.server_state.server.address
        return self._pool.send(address, message, attempt, request_id, ATTEMPT_ID, refresh, body)

    def charge_quota(self, admitted: AdmittedRequest, again: bool) -> float:
        """Charges a request against its tenant's quota, if it has one: returns 0.0, or the seconds after
        which to ask again."""
        tenant = admitted.tenant
        if tenant is None or tenant.rate_per_s is None:
            return 0.0
        return self._quota.admit(tenant.name, admitted.tokens, self.clock(), again=again)

    def register_quota_waiter(self, active_request: HostedRequest, tenant: str) -> None:
        """Registers the request for updates of its tenant's quota."""
        self._waiting_for_quota.setdefault(tenant, {})[active_request] = None

    def refund(self, admitted: AdmittedRequest) -> None:
        """Refunds a request that was charged against its tenant's quota but never ran."""
        tenant = admitted.tenant
        if tenant is not None and tenant.rate_per_s is not None:
            self._quota.refund(tenant.name, admitted.tokens)

    def on_first_data(self, attempt: Attempt, admitted: AdmittedRequest) -> None:
        """Learns how long the server took to send the first data of an answer's body."""
        if attempt.sent_at is None or not admitted.prompt.parts:
            return
        now = self.clock()
        took_ms = (now - attempt.sent_at) * 1000
        model = self.placement(admitted.service).first_token
        attempt.server_state.record_delay(took_ms - model.expected_ms(attempt.missing_tokens), now)
        model.learn(attempt.missing_tokens, took_ms)

    def _learn_answer_time(self, attempt: Attempt, admitted: AdmittedRequest, now: float) -> None:
        """Learns from the duration of a complete answer of a server without a model."""
        assert attempt.sent_at is not None
        took_ms = (now - attempt.sent_at) * 1000
        model = self.placement(admitted.service).first_token
        attempt.server_state.record_delay(took_ms - model.expected_ms(0), now)
        model.learn(0, took_ms)

    def on_success(self, attempt: Attempt, admitted: AdmittedRequest) -> None:
        """Records a complete successful answer of the server."""
        now = self.clock()
        attempt.server_state.record_success(now)
        self.budget.earn(admitted.service)
        if not admitted.prompt.parts and attempt.sent_at is not None and not admitted.route.affinity:
            self._learn_answer_time(attempt, admitted, now)

    def on_failure(self, attempt: Attempt, end: End, admitted: AdmittedRequest) -> None:
        """Records an attempt that ended without a successful answer."""
        server_state = attempt.server_state
        if attempt.verdict is Verdict.MISPLACED:
            self._log("another instance has the address", instance=server_state.server.id)
            self.placement(admitted.service).servers.remove_displaced(server_state)
        elif end in (End.UNREACHED, End.LOST, End.SPOILT):
            server_state.record_lost_connection(self.clock())
            self.on_server_failure(server_state.server.id)
        elif end is End.FAILED and attempt.status >= FIRST_SERVER_ERROR:
            server_state.record_error(self.clock())
            self.on_server_failure(server_state.server.id)
        elif end is not End.UNSENT:
            server_state.reduce_payoff(self.clock())

    def on_timeout(self, attempt: Attempt) -> None:
        """Records that a server did not answer before the deadline."""
        if attempt.last_received_at is None:
            attempt.server_state.record_no_answer(self.clock())
            self.on_server_failure(attempt.server_state.server.id)
        else:
            attempt.server_state.reduce_payoff()

    def on_finished(self, active_request: HostedRequest) -> None:
        """Removes a request that has ended."""
        self._active_requests.discard(active_request)
        tenant = active_request.admitted.tenant
        if tenant is not None and tenant.name in self._waiting_for_quota:
            self._waiting_for_quota[tenant.name].pop(active_request, None)
