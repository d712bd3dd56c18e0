"""What proxies tell each other of failing servers and of forgotten connections, by way of the head."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.traffic import Traffic
from cloverrouter.placement.failure_reports import FailureAggregator
from cloverrouter.placement.idle_resets import IdleResetAggregator
from cloverrouter.placement.trouble_messages import RestReport, RestWarning, TroubleReport, TroubleWarning


class TroubleNews:
    """Reports from here to the head, and as head the warnings to all. `head` is the head's address,
    `lead_until` until when that is this machine for sure, `proxies` the addresses of all machines."""

    def __init__(
        self,
        own_ip: str,
        traffic: Traffic,
        send: Callable[[str, object], None],
        head: Callable[[], str | None],
        lead_until: Callable[[], float | None],
        proxies: Callable[[], Iterable[str]],
        log: Log,
    ) -> None:
        self._own_ip = own_ip
        self._traffic = traffic
        self._send = send
        self._head = head
        self._lead_until = lead_until
        self._proxies = proxies
        self._log = log
        self._failing = FailureAggregator(lambda: traffic.fleet_size)
        self._forgetting = IdleResetAggregator()

    def report(self, now: float) -> None:
        """Tell the head what happened here."""
        head = self._head()
        for report in (self._traffic.trouble.flush(now), self._traffic.rests.flush(now)):
            if report is None or not head:
                continue
            if head == self._own_ip:
                self.receive(now, head, report)
            else:
                self._send(head, report)

    def receive(self, now: float, ip: str, message: object) -> None:
        """A report, or a warning of the head. One that was the head is not listened to."""
        if isinstance(message, TroubleWarning | RestWarning):
            if ip == self._head():
                self._traffic.warned(message)
        elif not self._leads(now):
            return
        elif isinstance(message, TroubleReport):
            for warning in self._failing.receive(now, ip, message):
                self._log.change("servers-failing", instances=warning.ids, zone=warning.zone)
                self._warn_all(warning)
        elif isinstance(message, RestReport):
            found = self._forgetting.receive(now, ip, message)
            if found is not None:
                self._log.change("connections-forgotten", limit_ms=found.limit_ms)
                self._warn_all(found)

    def _leads(self, now: float) -> bool:
        until = self._lead_until()
        return until is not None and now < until

    def _warn_all(self, warning: TroubleWarning | RestWarning) -> None:
        self._traffic.warned(warning)
        for proxy in self._proxies():
            self._send(proxy, warning)
