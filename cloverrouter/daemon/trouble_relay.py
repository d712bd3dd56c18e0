"""Sends reports of failing servers and idle connection resets to the head, and its warnings to proxies."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.traffic import Traffic
from cloverrouter.placement.failure_reports import FailureAggregator
from cloverrouter.placement.idle_resets import IdleResetAggregator
from cloverrouter.placement.trouble_messages import RestReport, RestWarning, TroubleReport, TroubleWarning


class TroubleRelay:
    """Sends this proxy's reports to the head; as head, aggregates reports and warns all proxies.

    `head` returns the head's address, `lease_until` the end of this machine's lease as head or None, and
    `proxies` the addresses of all proxies.
    """

    def __init__(
        self,
        own_ip: str,
        traffic: Traffic,
        send: Callable[[str, object], None],
        head: Callable[[], str | None],
        lease_until: Callable[[], float | None],
        proxies: Callable[[], Iterable[str]],
        log: Log,
    ) -> None:
        self._own_ip = own_ip
        self._traffic = traffic
        self._send = send
        self._head = head
        self._lease_until = lease_until
        self._proxies = proxies
        self._log = log
        self._failure_aggregator = FailureAggregator(lambda: traffic.fleet_size)
        self._idle_reset_aggregator = IdleResetAggregator()

    def report(self, now: float) -> None:
        """Sends the failures and idle resets seen here to the head."""
        head = self._head()
        for report in (self._traffic.failures.flush(now), self._traffic.idle_resets.flush(now)):
            if report is None or not head:
                continue
            if head == self._own_ip:
                self.receive(now, head, report)
            else:
                self._send(head, report)

    def receive(self, now: float, ip: str, message: object) -> None:
        """Handles a report or a warning. A warning from a machine other than the present head is ignored."""
        if isinstance(message, TroubleWarning | RestWarning):
            if ip == self._head():
                self._traffic.apply_warning(message)
        elif not self._leads(now):
            return
        elif isinstance(message, TroubleReport):
            for warning in self._failure_aggregator.receive(now, ip, message):
                self._log.change("servers-failing", instances=warning.ids, zone=warning.zone)
                self._broadcast_warning(warning)
        elif isinstance(message, RestReport):
            found = self._idle_reset_aggregator.receive(now, ip, message)
            if found is not None:
                self._log.change("connections-forgotten", limit_ms=found.limit_ms)
                self._broadcast_warning(found)

    def _leads(self, now: float) -> bool:
        until = self._lease_until()
        return until is not None and now < until

    def _broadcast_warning(self, warning: TroubleWarning | RestWarning) -> None:
        self._traffic.apply_warning(warning)
        for proxy in self._proxies():
            self._send(proxy, warning)
