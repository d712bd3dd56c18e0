"""Simulates a fleet of quota holders and their allocators on a fake clock, with load, network and faults, and
records the outcome."""

from __future__ import annotations

import copy
import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random

import attrs

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_note import QuotaNote, Reserves, WriteNote, read_note
from cloverrouter.messages import Decoder, encode
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota import ASK_WAIT_S, QuotaHolder
from cloverrouter.placement.quota_plan import STANDBY_PART, QuotaRules, TenantLimit, allowed_tokens

TICK_S = 0.01
MAX_HOLD_S = 0.06  # a request that has waited for credit for this long is refused
HEAD_LEASE_S = 0.4  # after a head is lost: it may go on for this long, and no other can be elected


@attrs.define
class Proxy:
    """One machine: a holder, and an allocator while it is the head."""

    ip: str
    holder: QuotaHolder
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    frozen_until: float = 0.0
    down_until: float = 0.0
    cut_until: float = 0.0
    allocator: QuotaAllocator | None = None
    confirmed_until: float = 0.0
    note: bytes = b""  # on its disk
    started: float = 0.0  # on its own clock
    incarnation: int = 0
    has_allocated: bool = False  # since its last start
    inbox: deque[tuple[str, object]] = attrs.field(factory=deque)

    def clock(self, now: float) -> float:
        return now * self.clock_rate + self.clock_offset


@attrs.define
class Tally:
    """The requests of one tenant, in tokens where not said otherwise."""

    asked: int = 0
    run: int = 0
    entitled: int = 0  # admitted by a single reference bucket that sees all requests
    entitled_run: int = 0  # the part of these that has run
    reference_level: float = 0.0
    reference_at: float = 0.0
    runs: list[tuple[float, int]] = attrs.field(factory=list)
    waited: int = 0
    requests: int = 0

    def refused_share(self) -> float:
        return 1 - self.entitled_run / self.entitled if self.entitled else 0.0


class World:
    """Simulates the fleet. `loss` and `doubled` are the shares of datagrams that are lost and duplicated;
    latency is drawn for each one."""

    def __init__(
        self,
        seed: int,
        proxies: int,
        limits: dict[str, TenantLimit],
        *,
        loss: float = 0.0,
        doubled: float = 0.0,
        latency_s: float = 0.003,
        stalls: float = 0.0,
        drift: float = 0.0,
        rules: QuotaRules | None = None,
        encoded: bool = False,
        notes: bool = False,
    ) -> None:
        self.notes = notes
        self.random = Random(seed)
        self.rules = rules or QuotaRules()
        self.limits = limits
        self.now = 100.0
        self.loss, self.doubled, self.latency_s, self.stalls = loss, doubled, latency_s, stalls
        self.encoded = encoded
        self.sent_bytes = self.sent = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.tallies = {tenant: Tally(reference_at=self.now) for tenant in limits}
        self.fleet_size = proxies
        self.proxies: list[Proxy] = []
        for index in range(proxies):
            rate = 1 + self.random.uniform(-drift, drift)
            proxy = Proxy(f"10.0.0.{index}", QuotaHolder(0, 0.0), rate, self.random.uniform(0, 1000))
            self.proxies.append(proxy)
            self.start(proxy)
        self.by_ip = {proxy.ip: proxy for proxy in self.proxies}
        self.head: Proxy | None = None
        self.epoch = 0
        self.elect_from = 0.0
        self.elect(self.proxies[0])
        self.at(self.now, self._tick)

    # time

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # faults

    def alive(self, proxy: Proxy) -> bool:
        return self.now >= proxy.down_until

    def awake(self, proxy: Proxy) -> bool:
        return self.alive(proxy) and self.now >= proxy.frozen_until

    def reaches(self, one: Proxy, other: Proxy) -> bool:
        return one is other or (self.now >= one.cut_until and self.now >= other.cut_until)

    def start(self, proxy: Proxy) -> None:
        proxy.holder = QuotaHolder(self.random.getrandbits(48), proxy.clock(self.now), self.rules)
        proxy.holder.configure(self.limits, self.fleet_size)
        proxy.inbox.clear()
        proxy.allocator = None
        proxy.started = proxy.clock(self.now)
        proxy.has_allocated = False

    def restart(self, proxy: Proxy, down_s: float) -> None:
        proxy.down_until = self.now + down_s
        proxy.allocator = None
        proxy.incarnation += 1
        proxy.inbox.clear()
        if self.head is proxy:
            self.lose_head()
        self.at(proxy.down_until, lambda: self._restarted(proxy))

    def _restarted(self, proxy: Proxy) -> None:
        if not self.alive(proxy):
            return
        self.start(proxy)
        self._tell_head(proxy)

    def lose_head(self) -> None:
        """Ends the confirmation of the head by a majority."""
        if self.head is not None:
            self.head.confirmed_until = self.now + HEAD_LEASE_S
            self.elect_from = self.now + HEAD_LEASE_S
        self.head = None

    def elect(self, proxy: Proxy) -> None:
        """Elects a new head, as soon as the one before certainly is no head any more."""
        self.lose_head()
        if not self.awake(proxy) or self.now < proxy.cut_until:
            self.at(self.now + 0.5, lambda: self._elect_another(proxy))
        elif self.now < self.elect_from:
            self.at(self.elect_from, lambda: self._elect_another(proxy))
        else:
            self._install(proxy)

    def _elect_another(self, proxy: Proxy) -> None:
        if self.head is None:
            self.elect(proxy if self.awake(proxy) else self.random.choice(self.proxies))

    def _install(self, proxy: Proxy) -> None:
        read = read_note(proxy.note, proxy.ip, self.epoch) if self.notes else None
        self.epoch += 1
        clock = proxy.clock(self.now)
        begins_with = read.left if read is not None else None
        lent_until = proxy.started if begins_with is not None and not proxy.has_allocated else None
        reserves = Reserves(proxy.ip) if self.notes else None
        proxy.allocator = QuotaAllocator(self.epoch, clock, self.rules, begins_with, reserves, lent_until)
        proxy.has_allocated = True
        proxy.allocator.configure(self.limits, self.fleet_size)
        self._lead(proxy)

    def change_view(self) -> None:
        """Starts a new epoch under the same head."""
        if self.head is None or self.head.allocator is None:
            return
        self.epoch += 1
        self.head.allocator.next_epoch(self.epoch)
        self._lead(self.head)

    def _lead(self, proxy: Proxy) -> None:
        proxy.confirmed_until = float("inf")
        self.head = proxy
        for other in self.proxies:
            self.at(self.now + self.random.uniform(0, 0.1), lambda other=other: self._tell_head(other))  # type: ignore[misc]

    def _tell_head(self, proxy: Proxy) -> None:
        if self.head is not None and self.awake(proxy) and self.reaches(proxy, self.head):
            proxy.holder.head_changed(self.head.ip, self.epoch)
            self._retire(proxy)

    def _retire(self, proxy: Proxy) -> None:
        """Makes a former head hand over to the new one."""
        if proxy.allocator is None or self.head is None or proxy is self.head:
            return
        last = proxy.clock(min(self.now, proxy.confirmed_until))
        handover = proxy.allocator.hand_over(last, self.head.ip, self.epoch)
        proxy.allocator = None
        self._send(proxy, [handover])

    def configure(self, limits: dict[str, TenantLimit], spread_s: float = 1.0) -> None:
        """Gives every proxy the new limits within `spread_s`."""
        self.limits = limits
        for tenant in limits:
            self.tallies.setdefault(tenant, Tally(reference_at=self.now))
        for proxy in self.proxies:
            self.at(self.now + self.random.uniform(0, spread_s), lambda p=proxy: self._configured(p, limits))  # type: ignore[misc]

    def _configured(self, proxy: Proxy, limits: dict[str, TenantLimit]) -> None:
        proxy.holder.configure(limits, self.fleet_size)
        if proxy.allocator is not None:
            proxy.allocator.configure(limits, self.fleet_size)

    # network

    def _send(self, source: Proxy, effects: list[object]) -> None:
        for effect in effects:
            if not isinstance(effect, Send):
                continue
            target = self.by_ip[effect.ip]
            message = effect.message
            if self.encoded:
                data = encode(message)
                self.sent_bytes += len(data)
                (message,) = Decoder().feed(data)
            self.sent += 1
            copies = 2 if self.random.random() < self.doubled else 1
            for _ in range(copies):
                if source is not target and self.random.random() < self.loss:
                    continue
                delay = 0.0002 if source is target else self.latency_s * self.random.uniform(0.7, 3)
                if self.random.random() < self.stalls:
                    delay *= 30
                self.at(self.now + delay, lambda s=source, t=target, m=message: self._arrive(s, t, m))  # type: ignore[misc]

    def _arrive(self, source: Proxy, target: Proxy, message: object) -> None:
        if not self.alive(target) or not self.reaches(source, target):
            return
        target.inbox.append((source.ip, message))
        if self.awake(target):
            self._read(target)

    def _read(self, proxy: Proxy) -> None:
        while proxy.inbox:
            ip, message = proxy.inbox.popleft()
            clock = proxy.clock(self.now)
            self._send(proxy, list(proxy.holder.receive(clock, ip, message)))
            if proxy.allocator is not None and self.now < proxy.confirmed_until:
                self._send(proxy, list(proxy.allocator.receive(clock, ip, message)))
                self._note(proxy)

    def _tick(self) -> None:
        for proxy in self.proxies:
            if not self.awake(proxy):
                continue
            self._read(proxy)
            if proxy.allocator is not None and self.now < proxy.confirmed_until:
                self._send(proxy, list(proxy.allocator.tick(proxy.clock(self.now))))
                self._note(proxy)
            self._send(proxy, list(proxy.holder.tick(proxy.clock(self.now))))
        self.check()
        if int(self.now * 100) % 50 == 0:
            for proxy in self.proxies:
                self._tell_head(proxy)
        self.at(self.now + TICK_S, self._tick)

    # disks

    def _note(self, proxy: Proxy) -> None:
        """Writes the note that is due; a power loss before the write completes loses it."""
        due = proxy.allocator.note_due(proxy.clock(self.now)) if proxy.allocator is not None else None
        if due is not None:
            incarnation, allocator = proxy.incarnation, proxy.allocator
            takes_s = self.random.uniform(0.001, 0.01) * (30 if self.random.random() < 0.05 else 1)
            self.at(self.now + takes_s, lambda: self._note_written(proxy, allocator, incarnation, due))

    def _note_written(
        self, proxy: Proxy, allocator: QuotaAllocator | None, incarnation: int, kept: WriteNote
    ) -> None:
        if proxy.incarnation != incarnation:
            return
        proxy.note = encode(kept.note)
        if allocator is not None and allocator is proxy.allocator:
            leads = self.now < proxy.confirmed_until
            note: QuotaNote = kept.note
            self._send(proxy, list(allocator.note_written(proxy.clock(self.now), note, leads)))
            if leads:
                self._note(proxy)

    def check(self) -> None:
        """Asserts that never more of a rate is in use than there is."""
        used = 0.0
        for proxy in self.proxies:
            if not self.alive(proxy):
                continue
            clock = proxy.clock(self.now)
            used += proxy.holder.stands_by(clock) * STANDBY_PART / self.fleet_size
            if proxy.allocator is not None and self.now < proxy.confirmed_until:
                looked_at = proxy.allocator if self.awake(proxy) else copy.deepcopy(proxy.allocator)
                used += max((pool.pool_rate_part for pool in looked_at.figures(clock).values()), default=0.0)
        assert used <= 1 + 1e-9, f"{used} of the rate is in use"

    # load

    def request(self, tenant: str, tokens: int, proxy: Proxy) -> None:
        """Sends one request; the client of a proxy that is down or frozen tries another one."""
        if not self.awake(proxy):
            proxy = self.random.choice(self.proxies)
            if not self.awake(proxy):
                return
        tally = self.tallies[tenant]
        tally.requests += 1
        tally.asked += tokens
        self._ask(tenant, tokens, proxy, self.now, self._is_entitled(tenant, tokens), False)

    def _is_entitled(self, tenant: str, tokens: int) -> bool:
        tally, limit = self.tallies[tenant], self.limits[tenant]
        filled = tally.reference_level + (self.now - tally.reference_at) * limit.rate
        tally.reference_level = min(filled, limit.burst)
        tally.reference_at = self.now
        if tally.reference_level < tokens:
            return False
        tally.reference_level -= tokens
        tally.entitled += tokens
        return True

    def _ask(self, tenant: str, tokens: int, proxy: Proxy, since: float, entitled: bool, again: bool) -> None:
        if not self.awake(proxy):
            return
        clock = proxy.clock(self.now)
        wait = proxy.holder.admit(tenant, tokens, clock, again=again)
        tally = self.tallies[tenant]
        if wait == 0.0:
            tally.run += tokens
            tally.entitled_run += tokens * entitled
            tally.runs.append((self.now, tokens))
            return
        self._send(proxy, list(proxy.holder.flush(clock)))
        if wait > ASK_WAIT_S or self.now - since > MAX_HOLD_S:
            return
        tally.waited += not again
        self.at(self.now + 0.008, lambda: self._ask(tenant, tokens, proxy, since, entitled, True))

    def worst_window(self, tenant: str) -> float:
        """Returns the largest number of tokens run in any window, as a share of what the rule allows."""
        allowed = allowed_tokens(self.limits[tenant], self.rules)
        inside: deque[tuple[float, int]] = deque()
        total = worst = 0
        for at, tokens in self.tallies[tenant].runs:
            inside.append((at, tokens))
            total += tokens
            while inside[0][0] < at - self.rules.window_s:
                total -= inside.popleft()[1]
            worst = max(worst, total)
        return worst / allowed


@attrs.define
class Load:
    """A tenant's clients: requests by a Poisson process whose rate and distribution over the proxies
    change."""

    world: World
    tenant: str
    tokens_per_s: float
    mean_tokens: int = 9_000
    weights: list[float] = attrs.field(factory=list)
    factor: float = 1.0  # current factor on the rate

    def __attrs_post_init__(self) -> None:
        self._shift()
        self._next()

    def _shift(self) -> None:
        random = self.world.random
        self.weights = [random.paretovariate(1.5) for _ in self.world.proxies]
        self.world.at(self.world.now + random.uniform(2, 8), self._shift)

    def _next(self) -> None:
        rate = self.tokens_per_s * self.factor / self.mean_tokens
        self.world.at(self.world.now + self.world.random.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        random = self.world.random
        size = int(self.mean_tokens * random.choice((0.1, 0.6, 0.9, 1.0, 1.0, 1.1, 1.3, 2.0)))
        proxy = random.choices(self.world.proxies, self.weights)[0]
        self.world.request(self.tenant, max(size, 200), proxy)
        self._next()
