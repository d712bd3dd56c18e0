"""The data plane of one process: router, connections to servers, quotas and retry budgets."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable
from random import Random

from cloverrouter.control.configuration import Configuration, Limits
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.quota_port import QuotaPort
from cloverrouter.daemon.request_traces import RequestTraces
from cloverrouter.daemon.settings import Settings
from cloverrouter.daemon.settings_checks import parse_address
from cloverrouter.http.client import ConnectionPool
from cloverrouter.http.server import Server as HttpServer
from cloverrouter.http.server import ServerLimits
from cloverrouter.placement.failure_reports import FailureReporter
from cloverrouter.placement.idle_resets import IdleResetReporter
from cloverrouter.placement.quota import QuotaHolder
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit
from cloverrouter.placement.retries import RetryBudgets
from cloverrouter.placement.servers import Server
from cloverrouter.placement.trouble_messages import RestWarning, TroubleWarning
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.router import Router

CONNECT_TIMEOUT_S = 0.4
UPSTREAM_IDLE_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 3.0
REPORT_DELAY_S = 0.01  # batches failures that occur together into one report
INITIAL_FLEET_SIZE = 16  # proxies that share retry budgets, until the control plane knows the number


def _do_nothing() -> None:
    return None


class Traffic:
    """The data plane. The control plane passes configurations, servers and warnings to it."""

    def __init__(self, settings: Settings, random: Random, log: Log) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._sender: Callable[[str, object], None] | None = None
        bounds = settings.bounds
        self.quota_rules = QuotaRules(bounds.quota_period_s, bounds.quota_overshoot, bounds.quota_tolerance)
        incarnation = int.from_bytes(os.urandom(6), "big")
        holder = QuotaHolder(incarnation, self._loop.time(), self.quota_rules)
        self.quota = QuotaPort(holder, self._send, self._on_quota_update)
        self.budgets = RetryBudgets(
            bounds.retry_allowance,
            bounds.retry_budget_ratio,
            bounds.retry_window_s,
            INITIAL_FLEET_SIZE,
            self._loop.time,
            random,
        )
        self._pool = ConnectionPool(
            max_connections=settings.file_descriptors // 2,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=UPSTREAM_IDLE_TIMEOUT_S,
        )
        self.traces = RequestTraces(self._loop.time, log)
        self.router = Router(
            self._loop.time,
            self._loop.call_later,
            random,
            self._pool,
            settings.zone,
            RouterBounds(),
            self.quota,
            self.budgets,
            log.request,
            self.traces,
        )
        self.failures = FailureReporter(settings.zone)
        self.router.on_server_failure = self._on_server_failure
        self.idle_resets = IdleResetReporter()
        self._pool.on_idle_reset = self._on_idle_reset
        self.on_report_due: Callable[[], None] = _do_nothing
        """Called shortly after `failures` or `idle_resets` has recorded something to report."""
        self._is_report_scheduled = False
        self.frontend: HttpServer | None = None
        self._client_limits: Limits | None = None
        self.limits: dict[str, TenantLimit] = {}
        self.fleet_size = 0  # 0: not known yet

    def set_sender(self, send: Callable[[str, object], None]) -> None:
        """Sets the function that sends messages to other machines."""
        self._sender = send

    def _send(self, ip: str, message: object) -> None:
        if self._sender is not None:
            self._sender(ip, message)

    def _on_quota_update(self, tenant: str) -> None:
        self.router.on_quota_update(tenant)

    def configure(self, configuration: Configuration) -> None:
        """Puts a configuration in force."""
        self.router.configure(configuration)
        self.limits = {
            tenant.name: TenantLimit(tenant.rate_per_s or 0.0, tenant.burst_size or 0.0)
            for tenant in configuration.tenants
        }
        self.quota.holder.configure(self.limits, self.fleet_size)
        self._client_limits = configuration.limits
        self._apply_client_limits()

    def serve_clients(self, frontend: HttpServer) -> None:
        """Sets the server that clients connect to and applies the configured limits to it."""
        self.frontend = frontend
        self._apply_client_limits()

    def _apply_client_limits(self) -> None:
        limits, frontend = self._client_limits, self.frontend
        if limits is None or frontend is None:
            return
        frontend.limits = ServerLimits(
            head_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            head_timeout_s=limits.header_timeout_ms / 1000,
            body_timeout_s=BODY_TIMEOUT_S,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
            max_connections=frontend.limits.max_connections,
        )

    def fleet_changed(self, size: int) -> None:
        """Applies the number of proxies that the control plane knows."""
        self.fleet_size = size
        self.router.fleet_changed(size)
        self.quota.holder.configure(self.limits, size)
        self.budgets.resize(size)

    def _on_server_failure(self, instance_id: str) -> None:
        self.failures.record_failure(instance_id)
        self._schedule_report()

    def _on_idle_reset(self, idle_s: float) -> None:
        self.idle_resets.record_reset(idle_s)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            self._loop.call_later(REPORT_DELAY_S, self._report)

    def _report(self) -> None:
        self._is_report_scheduled = False
        self.on_report_due()

    def apply_warning(self, warning: TroubleWarning | RestWarning) -> None:
        """Applies a warning that several proxies saw servers fail or reset idle connections."""
        if isinstance(warning, RestWarning):
            self._pool.limit_reuse(warning.limit_ms / 1000, warning.for_ms / 1000)
        elif warning.zone in ("", self._settings.zone):
            self.router.apply_warning(warning.ids, warning.for_ms / 1000)

    def instances_changed(self, instances: Iterable[Instance], is_silent: Callable[[str], bool]) -> None:
        """Applies new, changed and removed servers."""
        servers = (_server(instance, is_silent(instance.id)) for instance in instances)
        self.router.servers_changed([server for server in servers if server is not None])


def _server(instance: Instance, silent: bool) -> Server | None:
    try:
        address = parse_address(instance.address)
    except ValueError:
        return None
    return Server(
        id=instance.id,
        service=instance.service,
        address=address,
        zone=instance.zone,
        capacity=instance.capacity,
        ready=instance.is_live and instance.state is InstanceState.READY,
        warm_at=instance.warm_at,
        silent=silent,
    )
