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

from cloverrouter.placement.calm import ReservedServers
from cloverrouter.placement.draws import Draws, Random
from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.options import IN_USE, PlacementOptions
from cloverrouter.placement.prefix import PrefixCache, Prompt, mix
from cloverrouter.placement.room import Room
from cloverrouter.placement.servers import Server, ServiceServers, Standing

HOME_ADVANTAGE = 2.0
"""How many times better the second of the order must look to get the request."""
HOME_MISSING_SHARE = 0.2
"""Part of the shared tokens that the first of the order is expected to lack where this proxy sent none there:
others did."""
EXPECTED_TTFT_WEIGHT = 2.0
"""How many requests under way a wait of the usual time to the first token counts as."""
MAX_ORDERS = 2_048
ORDER_LENGTH = 8
"""Servers of an order that are kept for the next request of the same subject."""
DEFAULT_KV_TOKENS = 200_000


class _Layout(Enum):
    """Where in an order the servers stand that are kept calm."""

    EVEN = 0
    RESERVED_FIRST = 1
    RESERVED_LAST = 2


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
        self._load_bound = Room(self.servers, self.first_token, options)
        self._draws = Draws(random, zone, self.first_token, self._load_bound, options)
        self._kv_tokens = kv_tokens
        self._caches: dict[str, PrefixCache] = {}
        self._orders: OrderedDict[tuple[int, _Layout], list[Standing]] = OrderedDict()
        self._orders_generation = -1
        self.reserved = ReservedServers()

    def configure(self, kv_tokens: int | None) -> None:
        """The service's settings changed."""
        self._kv_tokens = kv_tokens
        for cache in self._caches.values():
            cache.capacity_tokens = kv_tokens or DEFAULT_KV_TOKENS

    def fleet_changed(self, size: int) -> None:
        """So many proxies send to the servers."""
        self.reserved.fleet_size = size
        self._load_bound.fleet_changed(size)

    def told(self, server: Server) -> None:
        """A server of this service was added or changed."""
        self.servers.told(server)

    def settle(self) -> None:
        """After one or more servers were told: forget those that have gone."""
        for removed in self.servers.forget_idle():
            self._caches.pop(removed, None)

    def pick(
        self, prompt: Prompt, tried: Collection[str], now: float, careful: bool = False
    ) -> Standing | None:
        """The server for a request, none of those already tried; None if there is no other. `careful` for a
        request that can't be sent again if it fails."""
        ready = [one for one in self.servers.ready if one.server.id not in tried]
        if len(ready) < 2:
            return ready[0] if ready else None
        self.reserved.record_request(prompt, now)
        if (
            prompt.is_decode_heavy
            and self._options.reserved_growth
            and self.reserved.adapt(now, self.first_token.usual_ms)
        ):
            self._orders.clear()
        if prompt.tokens_out and prompt.has_small_shared_prefix and self._options.nearby_streams:
            usable = self.servers.usable(ready, now, careful) or ready
            return self._draws.less_loaded(self._nearby_servers(usable, now), now)
        candidates = self._candidates(prompt, tried, now, careful) if prompt.parts else []
        if not candidates:
            usable = self.servers.usable(ready, now, careful)
            return self._draws.better(usable or ready, now)
        return self._better(candidates, prompt, now)

    def warned(self, ids: Iterable[str], span_s: float, now: float) -> None:
        """Other proxies found these servers failing: leave them alone for about so long."""
        for instance_id in ids:
            state = self.servers.states.get(instance_id)
            if state is not None:
                state.warned(now, now + span_s * (0.75 + 0.5 * self._random()))

    def overdue(self, now: float) -> list[str]:
        """The few servers at which requests have been waiting for far too long."""
        return [one.server.id for one in self.servers.few_overdue(now)]

    def few_overdue(self, now: float) -> bool:
        """Whether there are other servers, and requests wait for too long at few of them at most."""
        found = sum([one.has_overdue_request(now) for one in self.servers.ready])
        return len(self.servers.ready) > 1 and found <= self.servers.max_overdue

    def sent(self, state: Standing, prompt: Prompt) -> None:
        """The prompt went to that server, which will keep its parts."""
        if prompt.parts:
            self._cache(state).sent(prompt)

    def missing_tokens(self, state: Standing, prompt: Prompt) -> int:
        """Tokens of the prompt that the server is expected to have to read."""
        if not prompt.parts:
            return 0
        if not self._options.cache_model:
            return prompt.parts[-1].tokens
        missing = self._cache(state).missing_tokens(prompt)
        own = prompt.parts[-1].tokens
        if missing > own and state is self.order(prompt)[0]:
            return own + int(HOME_MISSING_SHARE * (missing - own))
        return missing

    def order(self, prompt: Prompt) -> list[Standing]:
        """The first servers of the order of the prompt's subject, the same at all proxies that know the same
        servers and kinds of requests."""
        if self._orders_generation != self.servers.generation:
            self._servers_changed()
        subject = prompt.subject
        key = (subject.key if subject is not None else 0, self._layout(prompt))
        cached = self._orders.get(key)
        if cached is not None:
            self._orders.move_to_end(key)
            return cached
        order = self._orders[key] = self._arrange(*key)[:ORDER_LENGTH]
        if len(self._orders) > MAX_ORDERS:
            self._orders.popitem(last=False)
        return order

    def _layout(self, prompt: Prompt) -> _Layout:
        """Where in the order the calm servers stand."""
        if not prompt.tokens_out or not self._reserves_servers:
            return _Layout.EVEN
        if prompt.is_decode_heavy:
            return _Layout.RESERVED_FIRST
        return _Layout.RESERVED_LAST if self.reserved.is_avoided_by(prompt) else _Layout.EVEN

    def _arrange(self, key: int, layout: _Layout) -> list[Standing]:
        ranked = self._ranked(key)
        if layout is _Layout.EVEN:
            return ranked
        reserved = [one for one in ranked if one in self.reserved]
        others = [one for one in ranked if one not in self.reserved]
        return reserved + others if layout is _Layout.RESERVED_FIRST else others + reserved

    def _ranked(self, key: int) -> list[Standing]:
        return sorted(self.servers.ready, key=lambda one: mix(key ^ one.seed), reverse=True)

    def _candidates(
        self, prompt: Prompt, tried: Collection[str], now: float, careful: bool
    ) -> list[Standing]:
        """The first two of the order that have room; if none has, the first two that may be used at all. Calm
        servers and others are not compared: the order has decided between them."""
        untried = [one for one in self.order(prompt) if one.server.id not in tried]
        usable = self.servers.usable(untried, now, careful)
        with_room = self._load_bound.having(usable, now)
        candidates = self._with_free_slots(with_room or usable, now)[:2]
        if len(candidates) == 2 and self._layout(prompt) is not _Layout.EVEN:
            home, other = candidates
            if (home in self.reserved) != (other in self.reserved):
                return [home]
        return candidates

    def _nearby_servers(self, usable: list[Standing], now: float) -> list[Standing]:
        """Where a long answer to little that is shared may come from: servers with room, the calm ones if
        there are any, of these the ones in the own zone if they are two at least and no fewer than a zone's
        share. No server keeps much of use for such requests, and it is the answer that would cross zones."""
        if self._orders_generation != self.servers.generation:
            self._servers_changed()
        chosen = self._draws.with_free_slots(self._load_bound.having(usable, now), now) or usable
        if self._reserves_servers:
            chosen = [one for one in chosen if one in self.reserved] or chosen
        return self._draws.in_own_zone(chosen)

    @property
    def _reserves_servers(self) -> bool:
        return self.reserved.is_needed and self._options.reserved_servers

    def _servers_changed(self) -> None:
        self._orders.clear()
        self._orders_generation = self.servers.generation
        self.reserved.servers_changed(self.servers.ready)

    def _with_free_slots(self, ordered: list[Standing], now: float) -> list[Standing]:
        """Where the first told that it is full, those that told that they aren't, if there are any. Danger:
        where all are full, to hand on only makes parts be read again."""
        if not self._options.reported_loads or not ordered or not ordered[0].is_full(now):
            return ordered
        return [one for one in ordered if one.has_free_slots(now)] or ordered

    def _better(self, candidates: list[Standing], prompt: Prompt, now: float) -> Standing:
        home = candidates[0]
        if len(candidates) == 1:
            return home
        other = candidates[1]
        advantage = HOME_ADVANTAGE if self._options.home_advantage else 1.0
        ahead = self._value(other, prompt, now) > advantage * self._value(home, prompt, now)
        return other if ahead else home

    def _value(self, state: Standing, prompt: Prompt, now: float) -> float:
        """The design's payoff / (1 + own in flight), where the expected time to the first token counts as
        further requests under way."""
        load = 1.0 + state.in_flight
        usual_ms = self.first_token.usual_ms
        prefill_ms = self.first_token.prefill_ms(self.missing_tokens(state, prompt))
        expected_ms = prefill_ms + self._load_bound.delay_ms(state, now)
        return state.expected_payoff(now) / (load + EXPECTED_TTFT_WEIGHT * expected_ms / usual_ms)

    def _cache(self, state: Standing) -> PrefixCache:
        cache = self._caches.get(state.server.id)
        if cache is None:
            cache = self._caches[state.server.id] = PrefixCache(self._kv_tokens or DEFAULT_KV_TOKENS)
        return cache
