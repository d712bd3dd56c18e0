"""Which servers are of no use now, as one proxy of many finds out with the others. No I/O.

One proxy of many meets each server seldom: forty that learn alone of one that hangs lose forty requests
and more to it, and again each time that they try whether it is back. So what one has seen is told to the
others, in small datagrams: a server that took no connection is left out by all; the first that gets an
answer from it says so. Each tries again by itself after a time that is drawn anew, and longer the more
proxies there are, so that few of them pay for finding out.

An attempt that ran out of time shows much less: of hundreds of proxies with a few requests a second each,
none can tell a server that hangs from one that is busy or has lost one answer, and each late answer would
have all leave out a server that works. So it is put as a doubt. Whoever has been answered since that attempt
was sent says so; only if nobody does within a moment is the server left out, by each for itself.

Own evidence comes first: whoever has been answered lately contradicts. Hearsay never makes a server
eligible, it can only leave one out, for a bounded time, and never more than half of the list, whatever
peers say.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from cloverrouter.fleet import news
from cloverrouter.fleet.news import News

# A proxy leaves a server out for this long by itself, and so much longer for each other proxy that may try
# before it; half to one and a half times that, by chance.
ALONE_MS = 1000.0
EACH_MS = 100.0
MOST_MS = 10_000.0
OWN_MS = 500.0  # an own answer this fresh outweighs what peers say
LEFT_OUT_MOST = 0.5  # of the list
DOUBT_MS = 100.0  # in which a doubt may be contradicted: about three times what a datagram takes
AGAIN_MS = 1000.0  # news that was told or heard so lately is not repeated


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether this server is of use; said when that changes."""

    server: str
    reached: bool


@dataclass(frozen=True, slots=True)
class Say:
    """Send this to all peers."""

    data: bytes


Effect = Verdict | Say


class _Server:
    """What is known of one."""

    __slots__ = ("alive_ms", "key", "known_ms", "seen_ms", "told", "told_ms", "until_ms")

    def __init__(self, name: str) -> None:
        self.key = news.key(name)
        self.alive_ms = float("-inf")  # its last answer to us
        self.known_ms = float("-inf")  # the last answer to anybody that all have been told of
        self.until_ms = float("-inf")  # left out until then
        self.seen_ms = float("-inf")  # when what stands was observed, by whomever
        self.told = True  # what the last news of it was, told or heard
        self.told_ms = float("-inf")


class Sentinel:
    """One proxy's watch over the servers on its list."""

    def __init__(self, instances: int, random: Random) -> None:
        """`instances`: proxies that tell each other, this one included."""
        self._random = random
        self._servers: dict[str, _Server] = {}
        self._names: dict[bytes, str] = {}
        self._out: dict[str, _Server] = {}
        self._doubts: dict[str, float] = {}  # until when they may be contradicted
        self.rest_ms = min(MOST_MS, ALONE_MS + EACH_MS * max(0, instances - 1))
        self.unread = 0  # datagrams that could not be read

    @property
    def left_out(self) -> Iterable[str]:
        return self._out.keys()

    def listed(self, names: Iterable[str]) -> None:
        """These may be sent to, and no others."""
        wanted = dict.fromkeys(names)
        for name in [name for name in self._servers if name not in wanted]:
            del self._names[self._servers.pop(name).key]
            self._out.pop(name, None)
            self._doubts.pop(name, None)
        for name in wanted:
            if name not in self._servers:
                server = self._servers[name] = _Server(name)
                self._names[server.key] = name

    def answered(self, now_ms: float, name: str) -> list[Effect]:
        """It has answered an attempt, with whatever."""
        server = self._servers.get(name)
        if server is None:
            return []
        server.alive_ms = now_ms
        doubted = self._doubts.pop(name, None) is not None
        if server.told and not doubted:
            return []
        return [*self._back(name), *self._say(now_ms, server, True)]

    def refused(self, now_ms: float, name: str) -> list[Effect]:
        """It took no connection."""
        server = self._servers.get(name)
        return self._fault(now_ms, name, server) if server is not None else []

    def unanswered(self, now_ms: float, name: str, sent_ms: float) -> list[Effect]:
        """An attempt that went out at `sent_ms` has run out of time."""
        server = self._servers.get(name)
        if server is None or max(server.alive_ms, server.known_ms) >= sent_ms:
            return []  # it is there, and slow: the module's own figures tell how slow
        if not server.told:  # tried again, and still nothing
            return self._fault(now_ms, name, server)
        if name in self._doubts:
            return []
        self._doubts[name] = now_ms + DOUBT_MS
        return [Say(news.write([News(server.key, False, now_ms - sent_ms, doubt=True)]))]

    def heard(self, now_ms: float, data: bytes) -> list[Effect]:
        """A datagram came."""
        found = news.read(data)
        if found is None:
            self.unread += 1
            return []
        effects: list[Effect] = []
        for item in found:
            name = self._names.get(item.server)
            if name is not None:
                effects += self._hear(now_ms, name, self._servers[name], item)
        return effects

    def _hear(self, now_ms: float, name: str, server: _Server, item: News) -> list[Effect]:
        seen_ms = now_ms - item.age_ms
        if item.doubt:
            return self._hear_doubt(now_ms, name, server, seen_ms)
        if item.reached:
            server.known_ms = max(server.known_ms, seen_ms)
            self._doubts.pop(name, None)
        if seen_ms <= server.seen_ms:
            return []  # late, or a duplicate
        if not item.reached and seen_ms - server.alive_ms < OWN_MS:
            return self._tell(now_ms, server, True)
        server.seen_ms, server.told, server.told_ms = seen_ms, item.reached, now_ms
        return self._back(name) if item.reached else self._leave_out(now_ms, name, server)

    def _hear_doubt(self, now_ms: float, name: str, server: _Server, sent_ms: float) -> list[Effect]:
        if server.known_ms >= sent_ms:
            return []  # whoever doubts it will have heard
        if server.alive_ms >= sent_ms:
            return self._say(now_ms, server, True)
        if server.told:
            self._doubts.setdefault(name, now_ms + DOUBT_MS)
        return []

    def tick(self, now_ms: float) -> list[Effect]:
        """To be called every so often: who has been left out for long enough is tried again, and whom nobody
        spoke for is left out."""
        effects: list[Effect] = []
        for name in [name for name, until_ms in self._doubts.items() if now_ms >= until_ms]:
            del self._doubts[name]
            server = self._servers[name]
            server.seen_ms, server.told, server.told_ms = now_ms, False, now_ms
            effects += self._leave_out(now_ms, name, server)
        over = [name for name, server in self._out.items() if now_ms >= server.until_ms]
        return effects + [effect for name in over for effect in self._back(name)]

    def _fault(self, now_ms: float, name: str, server: _Server) -> list[Effect]:
        effects = self._leave_out(now_ms, name, server)
        return [*effects, *self._tell(now_ms, server, False)]

    def _tell(self, now_ms: float, server: _Server, reached: bool) -> list[Effect]:
        """Say so, unless the others were told lately."""
        if server.told is reached and now_ms - server.told_ms < AGAIN_MS:
            server.seen_ms = now_ms
            return []
        return self._say(now_ms, server, reached)

    def _say(self, now_ms: float, server: _Server, reached: bool) -> list[Effect]:
        """Whatever they were told: they may hold the opposite."""
        server.seen_ms, server.told, server.told_ms = now_ms, reached, now_ms
        if reached:
            server.known_ms = now_ms
        return [Say(news.write([News(server.key, reached, 0.0)]))]

    def _leave_out(self, now_ms: float, name: str, server: _Server) -> list[Effect]:
        if name not in self._out and len(self._out) + 1 > LEFT_OUT_MOST * len(self._servers):
            return []
        server.until_ms = now_ms + self.rest_ms * (0.5 + self._random.random())
        if name in self._out:
            return []
        self._out[name] = server
        return [Verdict(name, False)]

    def _back(self, name: str) -> list[Effect]:
        return [Verdict(name, True)] if self._out.pop(name, None) is not None else []
