"""Failure detection: which servers are unreachable, as one of many proxies finds out with its peers. No I/O.

Each of many proxies sends to a given server only rarely. Forty proxies that detect a hung server on their own
lose forty requests and more to it, and again each time they try whether it has recovered. So proxies send
their observations to their peers in small datagrams: a server that accepts no connection is excluded by all,
and the first proxy that gets an answer from it says so. Each proxy tries an excluded server again after a
random time, which is longer the more proxies there are, so that few of them lose a request to find out.

A timed-out attempt is weaker evidence: of hundreds of proxies with a few requests a second each, none can
tell a hung server from a busy one or from one lost answer, and each late answer would make all proxies
exclude a working server. So a timeout is sent as a suspicion. A proxy that had an answer after the suspected
attempt was sent refutes it; only if none does so in time does each proxy exclude the server.

A proxy's own evidence takes precedence: one that had an answer recently refutes a report. Reports from peers
never make a server eligible. They can only exclude one, for a bounded time, and never more than half of the
list, whatever peers send.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from cloverrouter.fleet import health_reports
from cloverrouter.fleet.health_reports import HealthReport

# The time for which a server is excluded: a base, plus a part for each peer that may try it first, multiplied
# by a random factor from 0.5 to 1.5.
BASE_EXCLUSION_MS = 1000.0
EXCLUSION_PER_PEER_MS = 100.0
MAX_EXCLUSION_MS = 10_000.0
OWN_ANSWER_FRESH_MS = 500.0  # an own answer not older than this outweighs peers' reports
MAX_EXCLUDED_SHARE = 0.5  # of the listed servers
SUSPICION_TIMEOUT_MS = 100.0  # in which a suspicion may be refuted: about three times a datagram's delay
REPEAT_INTERVAL_MS = 1000.0  # a report that was sent or received within this time is not sent again


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """A server has become reachable or unreachable."""

    server: str
    reachable: bool


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Send this datagram to all peers."""

    data: bytes


Effect = ReachabilityChanged | SendToPeers


class _Server:
    """What is known of one server."""

    __slots__ = (
        "confirmed_ms",
        "excluded_until_ms",
        "key",
        "last_answer_ms",
        "observed_ms",
        "reported_ms",
        "reported_reachable",
    )

    def __init__(self, name: str) -> None:
        self.key = health_reports.server_key(name)
        self.last_answer_ms = float("-inf")  # to this proxy
        self.confirmed_ms = float("-inf")  # the latest answer to any proxy that all were told of
        self.excluded_until_ms = float("-inf")
        self.observed_ms = float("-inf")  # when the current state was observed, by any proxy
        self.reported_reachable = True  # the latest report, sent or received
        self.reported_ms = float("-inf")


class FailureDetector:
    """The failure detector of one proxy. Times are in milliseconds of one monotonic clock."""

    def __init__(self, instances: int, random: Random) -> None:
        """`instances`: the proxies that send each other reports, this one included."""
        self._random = random
        self._servers: dict[str, _Server] = {}
        self._names: dict[bytes, str] = {}
        self._excluded: dict[str, _Server] = {}
        self._suspected_until_ms: dict[str, float] = {}  # until when a suspicion may be refuted
        self.exclusion_ms = min(
            MAX_EXCLUSION_MS, BASE_EXCLUSION_MS + EXCLUSION_PER_PEER_MS * max(0, instances - 1)
        )
        self.malformed_datagrams = 0

    @property
    def excluded(self) -> Iterable[str]:
        return self._excluded.keys()

    def set_servers(self, names: Iterable[str]) -> None:
        """Sets the servers that may be sent to."""
        wanted = dict.fromkeys(names)
        for name in [name for name in self._servers if name not in wanted]:
            del self._names[self._servers.pop(name).key]
            self._excluded.pop(name, None)
            self._suspected_until_ms.pop(name, None)
        for name in wanted:
            if name not in self._servers:
                server = self._servers[name] = _Server(name)
                self._names[server.key] = name

    def record_answer(self, now_ms: float, name: str) -> list[Effect]:
        """Records an answer to an attempt, of any status."""
        server = self._servers.get(name)
        if server is None:
            return []
        server.last_answer_ms = now_ms
        was_suspected = self._suspected_until_ms.pop(name, None) is not None
        if server.reported_reachable and not was_suspected:
            return []
        return [*self._readmit(name), *self._send_report(now_ms, server, True)]

    def record_refusal(self, now_ms: float, name: str) -> list[Effect]:
        """Records that the server accepted no connection."""
        server = self._servers.get(name)
        return self._record_failure(now_ms, name, server) if server is not None else []

    def record_timeout(self, now_ms: float, name: str, sent_ms: float) -> list[Effect]:
        """Records that an attempt sent at `sent_ms` has timed out."""
        server = self._servers.get(name)
        if server is None or max(server.last_answer_ms, server.confirmed_ms) >= sent_ms:
            return []  # reachable but slow: the balancer's own estimates account for that
        if not server.reported_reachable:  # tried again without an answer
            return self._record_failure(now_ms, name, server)
        if name in self._suspected_until_ms:
            return []
        self._suspected_until_ms[name] = now_ms + SUSPICION_TIMEOUT_MS
        return [
            SendToPeers(
                health_reports.encode([HealthReport(server.key, False, now_ms - sent_ms, suspected=True)])
            )
        ]

    def receive(self, now_ms: float, data: bytes) -> list[Effect]:
        """Handles a datagram from a peer."""
        reports = health_reports.decode(data)
        if reports is None:
            self.malformed_datagrams += 1
            return []
        effects: list[Effect] = []
        for report in reports:
            name = self._names.get(report.server_key)
            if name is not None:
                effects += self._apply_report(now_ms, name, self._servers[name], report)
        return effects

    def _apply_report(self, now_ms: float, name: str, server: _Server, report: HealthReport) -> list[Effect]:
        observed_ms = now_ms - report.age_ms
        if report.suspected:
            return self._apply_suspicion(now_ms, name, server, observed_ms)
        if report.reachable:
            server.confirmed_ms = max(server.confirmed_ms, observed_ms)
            self._suspected_until_ms.pop(name, None)
        if observed_ms <= server.observed_ms:
            return []  # late, or a duplicate
        if not report.reachable and observed_ms - server.last_answer_ms < OWN_ANSWER_FRESH_MS:
            return self._report(now_ms, server, True)
        server.observed_ms, server.reported_reachable, server.reported_ms = (
            observed_ms,
            report.reachable,
            now_ms,
        )
        return self._readmit(name) if report.reachable else self._exclude(now_ms, name, server)

    def _apply_suspicion(self, now_ms: float, name: str, server: _Server, sent_ms: float) -> list[Effect]:
        if server.confirmed_ms >= sent_ms:
            return []  # already refuted by a report that was sent to all
        if server.last_answer_ms >= sent_ms:
            return self._send_report(now_ms, server, True)
        if server.reported_reachable:
            self._suspected_until_ms.setdefault(name, now_ms + SUSPICION_TIMEOUT_MS)
        return []

    def tick(self, now_ms: float) -> list[Effect]:
        """Excludes servers whose suspicion nobody has refuted in time, and readmits those whose exclusion has
        expired. To be called regularly."""
        effects: list[Effect] = []
        for name in [name for name, until_ms in self._suspected_until_ms.items() if now_ms >= until_ms]:
            del self._suspected_until_ms[name]
            server = self._servers[name]
            server.observed_ms, server.reported_reachable, server.reported_ms = now_ms, False, now_ms
            effects += self._exclude(now_ms, name, server)
        expired = [name for name, server in self._excluded.items() if now_ms >= server.excluded_until_ms]
        return effects + [effect for name in expired for effect in self._readmit(name)]

    def _record_failure(self, now_ms: float, name: str, server: _Server) -> list[Effect]:
        effects = self._exclude(now_ms, name, server)
        return [*effects, *self._report(now_ms, server, False)]

    def _report(self, now_ms: float, server: _Server, reachable: bool) -> list[Effect]:
        """Sends a report unless the same one was sent or received recently."""
        if server.reported_reachable is reachable and now_ms - server.reported_ms < REPEAT_INTERVAL_MS:
            server.observed_ms = now_ms
            return []
        return self._send_report(now_ms, server, reachable)

    def _send_report(self, now_ms: float, server: _Server, reachable: bool) -> list[Effect]:
        """Sends a report whatever was reported before: peers may believe the opposite."""
        server.observed_ms, server.reported_reachable, server.reported_ms = now_ms, reachable, now_ms
        if reachable:
            server.confirmed_ms = now_ms
        return [SendToPeers(health_reports.encode([HealthReport(server.key, reachable, 0.0)]))]

    def _exclude(self, now_ms: float, name: str, server: _Server) -> list[Effect]:
        if name not in self._excluded and len(self._excluded) + 1 > MAX_EXCLUDED_SHARE * len(self._servers):
            return []
        server.excluded_until_ms = now_ms + self.exclusion_ms * (0.5 + self._random.random())
        if name in self._excluded:
            return []
        self._excluded[name] = server
        return [ReachabilityChanged(name, False)]

    def _readmit(self, name: str) -> list[Effect]:
        return [ReachabilityChanged(name, True)] if self._excluded.pop(name, None) is not None else []
