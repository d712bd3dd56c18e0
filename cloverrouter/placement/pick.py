"""Which server a request goes to.

The base is the design's comparison of two draws by payoff / (1 + own in flight). Where requests share parts
of their prompts, the two candidates are not drawn but come from an order of the servers, by rendezvous
hashing of the last shared part, on which all proxies agree without talking. The comparison then counts the
time that the missing part of the prompt takes to read, and the first of the order, which keeps what is
shared, has an advantage.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import Enum

from cloverrouter.placement.calm import CalmServers
from cloverrouter.placement.draws import Draws, Random
from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.options import IN_USE, PlacementOptions
from cloverrouter.placement.prefix import PrefixCache, Prompt, mix
from cloverrouter.placement.room import Room
from cloverrouter.placement.servers import Server, ServiceServers, Standing

HOME_ADVANTAGE = 2.0
"""How many times better the second of the order must look to get the request."""
HOME_MISSING = 0.2
"""Part of the shared tokens that the first of the order is expected to lack where this proxy sent none there:
others did."""
EXPECTED_WEIGHT = 2.0
"""How many requests under way a wait of the usual time to the first token counts as."""
ORDERS_KEPT = 2_048
ORDER_LENGTH = 8
"""Servers of an order that are kept for the next request of the same subject."""
DEFAULT_KV_TOKENS = 200_000


class _Layout(Enum):
    """Where in an order the servers stand that are kept calm."""

    EVEN = 0
    CALM_FIRST = 1
    CALM_LAST = 2


class ServicePlacement:
    """Places the requests of one service.

    `random` gives numbers from 0 up to 1; `zone` is the proxy's own; `kv_tokens` is what one server's memory
    holds, None for servers without a model.
    """

    def __init__(
        self,
        random: Random,
        zone: str,
        kv_tokens: int | None = None,
        options: PlacementOptions = IN_USE,
    ) -> None:
        self.servers = ServiceServers(options)
        self._options = options
        self.first_token = FirstTokenModel()
        self._random = random
        self._room = Room(self.servers, self.first_token, options)
        self._draws = Draws(random, zone, self.first_token, self._room, options)
        self._kv_tokens = kv_tokens
        self._caches: dict[str, PrefixCache] = {}
        self._orders: OrderedDict[tuple[int, _Layout], list[Standing]] = OrderedDict()
        self._orders_of = -1
        self.calm = CalmServers()

    def configure(self, kv_tokens: int | None) -> None:
        """The service's settings changed."""
        self._kv_tokens = kv_tokens
        for cache in self._caches.values():
            cache.capacity_tokens = kv_tokens or DEFAULT_KV_TOKENS

    def fleet_changed(self, size: int) -> None:
        """So many proxies send to the servers."""
        self.calm.fleet_size = size
        self._room.fleet_changed(size)

    def told(self, server: Server) -> None:
        """A server of this service was added or changed."""
        self.servers.told(server)

    def settle(self) -> None:
        """After one or more servers were told: forget those that have gone."""
        for gone in self.servers.forget_idle():
            self._caches.pop(gone, None)

    def pick(
        self, prompt: Prompt, tried: Collection[str], now: float, careful: bool = False
    ) -> Standing | None:
        """The server for a request, none of those already tried; None if there is no other. `careful` for a
        request that can't be sent again if it fails."""
        ready = [one for one in self.servers.ready if one.server.id not in tried]
        if len(ready) < 2:
            return ready[0] if ready else None
        self.calm.note(prompt, now)
        if prompt.talks and self._options.calm_growth and self.calm.adapt(now, self.first_token.usual_ms):
            self._orders.clear()
        if prompt.tokens_out and prompt.is_light and self._options.nearby_streams:
            usable = self.servers.usable(ready, now, careful) or ready
            return self._draws.less_taken(self._nearby(usable, now), now)
        candidates = self._candidates(prompt, tried, now, careful) if prompt.parts else []
        if not candidates:
            usable = self.servers.usable(ready, now, careful)
            return self._draws.better(usable or ready, now)
        return self._better(candidates, prompt, now)

    def warned(self, ids: Iterable[str], span_s: float, now: float) -> None:
        """Other proxies found these servers failing: leave them alone for about so long."""
        for instance_id in ids:
            standing = self.servers.standings.get(instance_id)
            if standing is not None:
                standing.warned(now, now + span_s * (0.75 + 0.5 * self._random()))

    def overdue(self, now: float) -> list[str]:
        """The few servers at which requests have been waiting for far too long."""
        return [one.server.id for one in self.servers.few_overdue(now)]

    def few_overdue(self, now: float) -> bool:
        """Whether there are other servers, and requests wait for too long at few of them at most."""
        found = sum([one.overdue(now) for one in self.servers.ready])
        return len(self.servers.ready) > 1 and found <= self.servers.few

    def sent(self, standing: Standing, prompt: Prompt) -> None:
        """The prompt went to that server, which will keep its parts."""
        if prompt.parts:
            self._cache(standing).sent(prompt)

    def missing_tokens(self, standing: Standing, prompt: Prompt) -> int:
        """Tokens of the prompt that the server is expected to have to read."""
        if not prompt.parts:
            return 0
        if not self._options.cache_model:
            return prompt.parts[-1].tokens
        missing = self._cache(standing).missing_tokens(prompt)
        own = prompt.parts[-1].tokens
        if missing > own and standing is self.order(prompt)[0]:
            return own + int(HOME_MISSING * (missing - own))
        return missing

    def order(self, prompt: Prompt) -> list[Standing]:
        """The first servers of the order of the prompt's subject, the same at all proxies that know the same
        servers and kinds of requests."""
        if self._orders_of != self.servers.generation:
            self._servers_changed()
        subject = prompt.subject
        key = (subject.key if subject is not None else 0, self._layout(prompt))
        known = self._orders.get(key)
        if known is not None:
            self._orders.move_to_end(key)
            return known
        order = self._orders[key] = self._laid_out(*key)[:ORDER_LENGTH]
        if len(self._orders) > ORDERS_KEPT:
            self._orders.popitem(last=False)
        return order

    def _layout(self, prompt: Prompt) -> _Layout:
        """Where in the order the calm servers stand."""
        if not prompt.tokens_out or not self._keeps_calm:
            return _Layout.EVEN
        if prompt.talks:
            return _Layout.CALM_FIRST
        return _Layout.CALM_LAST if self.calm.spared_by(prompt) else _Layout.EVEN

    def _laid_out(self, key: int, layout: _Layout) -> list[Standing]:
        ranked = self._ranked(key)
        if layout is _Layout.EVEN:
            return ranked
        calm = [one for one in ranked if one in self.calm]
        others = [one for one in ranked if one not in self.calm]
        return calm + others if layout is _Layout.CALM_FIRST else others + calm

    def _ranked(self, key: int) -> list[Standing]:
        return sorted(self.servers.ready, key=lambda one: mix(key ^ one.seed), reverse=True)

    def _candidates(
        self, prompt: Prompt, tried: Collection[str], now: float, careful: bool
    ) -> list[Standing]:
        """The first two of the order that have room; if none has, the first two that may be used at all. Calm
        servers and others are not compared: the order has decided between them."""
        untried = [one for one in self.order(prompt) if one.server.id not in tried]
        usable = self.servers.usable(untried, now, careful)
        with_room = self._room.having(usable, now)
        candidates = self._with_places(with_room or usable, now)[:2]
        if len(candidates) == 2 and self._layout(prompt) is not _Layout.EVEN:
            home, other = candidates
            if (home in self.calm) != (other in self.calm):
                return [home]
        return candidates

    def _nearby(self, usable: list[Standing], now: float) -> list[Standing]:
        """Where a long answer to little that is shared may come from: servers with room, the calm ones if
        there are any, of these the ones in the own zone if they are two at least and no fewer than a zone's
        share. No server keeps much of use for such requests, and it is the answer that would cross zones."""
        if self._orders_of != self.servers.generation:
            self._servers_changed()
        chosen = self._draws.with_places(self._room.having(usable, now), now) or usable
        if self._keeps_calm:
            chosen = [one for one in chosen if one in self.calm] or chosen
        return self._draws.near(chosen)

    @property
    def _keeps_calm(self) -> bool:
        return self.calm.wanted and self._options.calm_servers

    def _servers_changed(self) -> None:
        self._orders.clear()
        self._orders_of = self.servers.generation
        self.calm.servers_changed(self.servers.ready)

    def _with_places(self, ordered: list[Standing], now: float) -> list[Standing]:
        """Where the first told that it is full, those that told that they aren't, if there are any. Danger:
        where all are full, to hand on only makes parts be read again."""
        if not self._options.told_loads or not ordered or not ordered[0].is_full(now):
            return ordered
        return [one for one in ordered if one.has_told_places(now)] or ordered

    def _better(self, candidates: list[Standing], prompt: Prompt, now: float) -> Standing:
        home = candidates[0]
        if len(candidates) == 1:
            return home
        other = candidates[1]
        advantage = HOME_ADVANTAGE if self._options.home_advantage else 1.0
        ahead = self._value(other, prompt, now) > advantage * self._value(home, prompt, now)
        return other if ahead else home

    def _value(self, standing: Standing, prompt: Prompt, now: float) -> float:
        """The design's payoff / (1 + own in flight), where the expected time to the first token counts as
        further requests under way."""
        load = 1.0 + standing.in_flight
        usual_ms = self.first_token.usual_ms
        reading_ms = self.first_token.reading_ms(self.missing_tokens(standing, prompt))
        expected_ms = reading_ms + self._room.delay_ms(standing, now)
        return standing.worth(now) / (load + EXPECTED_WEIGHT * expected_ms / usual_ms)

    def _cache(self, standing: Standing) -> PrefixCache:
        cache = self._caches.get(standing.server.id)
        if cache is None:
            cache = self._caches[standing.server.id] = PrefixCache(self._kv_tokens or DEFAULT_KV_TOKENS)
        return cache
