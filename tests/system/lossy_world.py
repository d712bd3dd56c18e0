"""Simulation of pure cores: a fake clock, links with delay, loss and partitions, and machines that stop and
restart."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send

TICK_S = 0.05


class Core(Protocol):
    """A pure core driven by the world: events and the time in, effects out."""

    def start(self, now: float) -> Iterable[Any]: ...

    def tick(self, now: float) -> Iterable[Any]: ...

    def receive(self, now: float, sender_ip: str, message: Any) -> Iterable[Any]: ...


class World:
    """Runs cores by their addresses. All randomness comes from the seed; the clock moves only in `run`."""

    def __init__(
        self, seed: int = 1, *, delay: tuple[float, float] = (0.0005, 0.003), loss: float = 0.0
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.delay = delay
        self.loss = loss
        self.counts_bytes = False
        self.cores: dict[str, Core] = {}
        self.effects: list[tuple[float, str, Any]] = []
        self.messages: Counter[str] = Counter()
        self.messages_between: Counter[tuple[str, str]] = Counter()
        self.bytes: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.on_effect: Callable[[str, Any], None] | None = None
        self._groups: list[set[str]] = []
        self._lives: dict[str, int] = defaultdict(int)
        self._frozen: set[str] = set()
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Calls `action` at that time."""
        heapq.heappush(self._queue, (time, next(self._numbers), action))

    def add(self, ip: str, core: Core, after: float = 0.0) -> None:
        """Starts or restarts a machine with this core; anything pending from its earlier process is lost."""
        self._lives[ip] += 1
        life = self._lives[ip]
        self._frozen.discard(ip)

        def start() -> None:
            if self._lives[ip] != life:
                return
            self.cores[ip] = core
            self.take(ip, core.start(self.now))
            self.at(self.now + self.random.uniform(0, TICK_S), lambda: self._tick(ip, life))

        self.at(self.now + after, start)

    def stop(self, ip: str) -> None:
        """Stops the machine."""
        self._lives[ip] += 1
        self.cores.pop(ip, None)

    def freeze(self, ip: str) -> None:
        """Freezes the machine until `thaw`; messages to it are lost."""
        self._frozen.add(ip)

    def thaw(self, ip: str) -> None:
        self._frozen.discard(ip)

    def cut(self, *groups: Iterable[str]) -> None:
        """Partitions the network: only machines of the same group reach one another; those in no group reach
        all."""
        self._groups = [set(group) for group in groups]

    def join(self) -> None:
        """Ends all partitions."""
        self._groups = []

    def run(self, until: float) -> None:
        """Advances the clock to `until`."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = 0.01) -> float:
        """Advances until the condition holds; returns how long that took. Fails after `limit` seconds."""
        start = self.now
        while not condition():
            assert self.now - start < limit, f"not so after {limit} s"
            self.run(self.now + step)
        return self.now - start

    def take(self, ip: str, effects: Iterable[Any]) -> None:
        """Carries out the effects of the core at `ip`."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(ip, effect)
                continue
            self.effects.append((self.now, ip, effect))
            if self.on_effect is not None:
                self.on_effect(ip, effect)

    def seen(self, ip: str, kind: type) -> list[Any]:
        """Returns the effects of that type that the machine has produced."""
        return [effect for _, at, effect in self.effects if at == ip and isinstance(effect, kind)]

    def reaches(self, a: str, b: str) -> bool:
        sides = [next((n for n, group in enumerate(self._groups) if ip in group), -1) for ip in (a, b)]
        return sides[0] == sides[1] or -1 in sides

    def _tick(self, ip: str, life: int) -> None:
        if self._lives[ip] != life:
            return
        if ip not in self._frozen:
            self.take(ip, self.cores[ip].tick(self.now))
        self.at(self.now + TICK_S, lambda: self._tick(ip, life))

    def _send(self, ip: str, send: Send) -> None:
        self.messages[ip] += 1
        self.messages_between[ip, send.ip] += 1
        if self.counts_bytes:
            size = len(encode(send.message))
            self.bytes[ip] += size
            self.bytes_by_kind[type(send.message).__name__] += size
        if self.random.random() < self.loss and send.ip != ip:
            return
        delay = 0.0 if send.ip == ip else self.random.uniform(*self.delay)
        self.at(self.now + delay, lambda: self._deliver(ip, send))

    def _deliver(self, sender_ip: str, send: Send) -> None:
        core = self.cores.get(send.ip)
        if core is None or send.ip in self._frozen or not self.reaches(sender_ip, send.ip):
            return
        self.take(send.ip, core.receive(self.now, sender_ip, send.message))
