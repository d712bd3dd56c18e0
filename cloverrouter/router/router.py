"""The data plane of one proxy: requests come in as exchanges and go out to servers by a connection pool."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from random import Random

from cloverrouter.control.configuration import Configuration, Route
from cloverrouter.control.routing import RoutingTable
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
from cloverrouter.router.admitted import Admitted
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.flight import Flight
from cloverrouter.router.flight_host import HostedFlight
from cloverrouter.router.headers import ATTEMPT_ID, has_one_id
from cloverrouter.router.intake import Intake, TurnedAway
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
from cloverrouter.router.verdict import End, Verdict

SERVER_ERRORS = 500


class Router:
    """Handles the requests of clients. Everything that it needs from outside is handed to it.

    `zone` is the proxy's own; `random` is used for draws and jitter only.
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
        self.on_trouble: Callable[[str], None] = lambda instance_id: None
        """Called with the id of an instance that failed a request."""
        self.is_behind = False
        """Newer configurations are known to be in force, and this process has not got any for too long."""
        self.keys_hold_until = math.inf
        """No key is taken later than that: it may have been taken away, and this proxy would not know."""
        self._leave: ShutdownWindow | None = None
        self._longest = LongestAnswers()
        self._pool = pool
        self._quota = quota
        self._log = log
        self._configuration: Configuration | None = None
        self._intake: Intake | None = None
        self._placements: dict[str, ServicePlacement] = {}
        self._flights: set[HostedFlight] = set()
        self._waiting: dict[str, dict[HostedFlight, None]] = {}
        self._keys = 0
        self._started_at = clock()
        self._fleet_size = 1

    # What the daemon tells and asks

    def configure(self, configuration: Configuration, table: RoutingTable | None = None) -> None:
        """A configuration is in force from now on; requests under way keep the route that they have."""
        self._configuration = configuration
        known = self._intake.deadlines if self._intake is not None else {}
        self._intake = Intake(
            configuration,
            table if table is not None else RoutingTable(configuration),
            self._usable,
            self.random.random,
            self.options,
            known,
        )
        for service in configuration.services:
            kv_tokens = service.engine.kv_cache_tokens if service.engine is not None else None
            self.placement(service.name).configure(kv_tokens)

    def fleet_changed(self, size: int) -> None:
        """So many proxies carry the traffic."""
        self._fleet_size = size
        for placement in self._placements.values():
            placement.fleet_changed(size)

    def servers_changed(self, servers: Iterable[Server]) -> None:
        """Servers were added or changed. Nothing new goes to one that isn't ready, from now on."""
        for server in servers:
            self.placement(server.service).update_server(server)
        for placement in self._placements.values():
            placement.prune()
        self._pool.keep_only(
            {address for one in self._placements.values() for address in one.servers.addresses()}
        )

    def warned(self, ids: Iterable[str], span_s: float) -> None:
        """Other proxies found these instances failing."""
        now = self.clock()
        for placement in self._placements.values():
            placement.apply_warning(ids, span_s, now)

    def placement_news(self) -> PlacementNews | None:
        """What to tell other proxies of servers and requests."""
        return placement_exchange.outgoing_update(self._placements, self.clock())

    def placement_told(self, told: PlacementNews) -> None:
        """Another proxy tells of servers and requests."""
        placement_exchange.apply_update(told, self._placements, self.clock())

    def report_overdue(self) -> None:
        """Tell of the servers that seem not to answer."""
        now = self.clock()
        for placement in self._placements.values():
            for instance_id in placement.overdue(now):
                self.on_trouble(instance_id)

    def quota_woken(self, tenant: str) -> None:
        """Something came for the quota of a tenant: requests that wait for it ask again."""
        for flight in self._waiting.pop(tenant, {}):
            flight.quota_woken()

    def leave(self, ends_at: float) -> None:
        """The process ends then. Answers end their connections from now on, and nothing is begun that might
        not be over by that time."""
        self._leave = ShutdownWindow(self.clock(), ends_at)

    def end_flights(self) -> None:
        """The process ends now: what is still under way is given the answer that is true of it."""
        for flight in list(self._flights):
            flight.cut_off()

    @property
    def draining(self) -> bool:
        """Whether the process was told to end."""
        return self._leave is not None

    @property
    def in_flight(self) -> int:
        """Requests that are not answered yet."""
        return len(self._flights)

    def ready(self) -> bool:
        """Whether clients should come here: configured, and with servers for most services with routes."""
        if self._configuration is None or self.draining or self.is_behind:
            return False
        services = {
            name for route in self._configuration.routes for name, weight in route.targets if weight > 0
        }
        usable = sum(1 for name in services if self._usable(name))
        return usable * 2 >= len(services)

    def _usable(self, service: str) -> bool:
        placement = self._placements.get(service)
        return placement is not None and bool(placement.servers.ready)

    # A request's way: route, tenant, admission; the rest is the flight's

    def handle(self, exchange: Exchange) -> None:
        """Answer an exchange, now or later."""
        request = exchange.request
        if not has_one_id(request):
            self._respond(exchange, answers.BAD_REQUEST)
            return
        if self._intake is None:
            wait_s = unconfigured_retry_after_s(self.clock() - self._started_at, self.random.random())
            self._respond(exchange, answers.UNAVAILABLE, answers.retry_after(wait_s))
            return
        found = self._intake.admit(request, self.clock() <= self.keys_hold_until)
        if isinstance(found, TurnedAway):
            wait = found.retry_after_s
            self._respond(exchange, found.status, answers.retry_after(wait) if wait is not None else None)
            return
        flight = Flight(self, exchange, found)
        self._flights.add(flight)
        flight.start()

    def _respond(self, exchange: Exchange, status: int, headers: Headers | None = None) -> None:
        """Turn a request away that has no flight."""
        self.recorder.turned_away(exchange.request.header(ATTEMPT_ID) or b"", status)
        exchange.respond(status, headers or [], b"", self.draining)

    # For flights

    def placement(self, service: str) -> ServicePlacement:
        """The servers of a service."""
        found = self._placements.get(service)
        if found is None:
            found = self._placements[service] = ServicePlacement(
                self.random.random, self.zone, options=self.options
            )
            found.fleet_changed(self._fleet_size)
        return found

    def may_begin(self, admitted: Admitted) -> bool:
        """Whether the request may be sent to a server: always, but in a process that ends soon."""
        if self._leave is None:
            return True
        now, route = self.clock(), admitted.route
        expectation = Expectation(admitted.deadline, self._longest_s(route, now), route.can_resume)
        return may_begin(self._leave, now, expectation)

    def _longest_s(self, route: Route, now: float) -> float | None:
        """The longest that a request on the route took lately, or is taking now."""
        ages = [now - one.arrived_at for one in self._flights if one.admitted.route.name == route.name]
        known = self._longest.of(route.name, now)
        return known if known is None else max([known, *ages])

    def answered(self, flight: HostedFlight) -> None:
        """A server's whole answer went to the client."""
        now = self.clock()
        self._longest.note(flight.admitted.route.name, now - flight.arrived_at, now)

    def next_key(self) -> int:
        """A number for an attempt."""
        self._keys += 1
        return self._keys

    def send(
        self, attempt: Attempt, message: bytes, request_id: bytes, refresh: Callable[[], bytes | None]
    ) -> Call:
        """Start a send; `refresh` gives the message for a connection that came up later, if it is wanted."""
        address = attempt.standing.server.address
        return self._pool.send(address, message, attempt, request_id, ATTEMPT_ID, refresh)

    def quota_wait(self, admitted: Admitted, again: bool) -> float:
        """Count a request for its tenant, if it has a quota: 0.0, or seconds after which to ask again."""
        tenant = admitted.tenant
        if tenant is None or tenant.rate_per_s is None:
            return 0.0
        return self._quota.admit(tenant.name, admitted.tokens, self.clock(), again=again)

    def waits_for_quota(self, flight: HostedFlight, tenant: str) -> None:
        """The flight is to hear of news about its tenant's quota."""
        self._waiting.setdefault(tenant, {})[flight] = None

    def refund(self, admitted: Admitted) -> None:
        """A request that was counted for its tenant never ran."""
        tenant = admitted.tenant
        if tenant is not None and tenant.rate_per_s is not None:
            self._quota.refund(tenant.name, admitted.tokens)

    def began(self, attempt: Attempt, admitted: Admitted) -> None:
        """The first part of an answer's body came: how long did the server take?"""
        if attempt.sent_at is None or not admitted.prompt.parts:
            return
        now = self.clock()
        took_ms = (now - attempt.sent_at) * 1000
        model = self.placement(admitted.service).first_token
        attempt.standing.record_delay(took_ms - model.expected_ms(attempt.missing_tokens), now)
        model.learn(attempt.missing_tokens, took_ms)

    def _learn_time(self, attempt: Attempt, admitted: Admitted, now: float) -> None:
        """How long a server without a model took for a whole answer."""
        assert attempt.sent_at is not None
        took_ms = (now - attempt.sent_at) * 1000
        model = self.placement(admitted.service).first_token
        attempt.standing.record_delay(took_ms - model.expected_ms(0), now)
        model.learn(0, took_ms)

    def succeeded(self, attempt: Attempt, admitted: Admitted) -> None:
        """The server's own answer is whole."""
        now = self.clock()
        attempt.standing.record_success(now)
        self.budget.earn(admitted.service)
        if not admitted.prompt.parts and attempt.sent_at is not None and not admitted.route.affinity:
            self._learn_time(attempt, admitted, now)

    def failed(self, attempt: Attempt, end: End, admitted: Admitted) -> None:
        """An attempt ended without an answer of worth."""
        standing = attempt.standing
        if attempt.verdict is Verdict.MISPLACED:
            self._log("another instance has the address", instance=standing.server.id)
            self.placement(admitted.service).servers.remove_displaced(standing)
        elif end in (End.UNREACHED, End.LOST, End.SPOILT):
            standing.record_lost_connection(self.clock())
            self.on_trouble(standing.server.id)
        elif end is End.FAILED and attempt.status >= SERVER_ERRORS:
            standing.record_error(self.clock())
            self.on_trouble(standing.server.id)
        elif end is not End.UNSENT:
            standing.reduce_payoff(self.clock())

    def timed_out(self, attempt: Attempt) -> None:
        """A server did not answer in time."""
        if attempt.heard_at is None:
            attempt.standing.record_no_answer(self.clock())
            self.on_trouble(attempt.standing.server.id)
        else:
            attempt.standing.reduce_payoff()

    def landed(self, flight: HostedFlight) -> None:
        """A flight is over."""
        self._flights.discard(flight)
        tenant = flight.admitted.tenant
        if tenant is not None and tenant.name in self._waiting:
            self._waiting[tenant.name].pop(flight, None)
