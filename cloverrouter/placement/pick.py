"""Chooses the server for a request.

The base is the power of two choices: of two random servers, the one with the higher payoff / (1 + own
requests in flight). If requests share prompt prefixes, the two candidates are not random. They come from a
ranking of the servers by rendezvous hashing of the last shared part, which is the same at all proxies without
communication. The comparison then also counts the prefill time of the tokens that are missing from the
server's cache, and the first server of the ranking (the "home", which caches the shared prefix) has an
advantage.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import Enum

from cloverrouter.placement.draws import Draws, Random
from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.load_bound import LoadBound
from cloverrouter.placement.options import IN_USE, PlacementOptions
from cloverrouter.placement.prefix import PrefixCache, Prompt, mix
from cloverrouter.placement.reserved_servers import ReservedServers
from cloverrouter.placement.servers import Server, ServerState, ServiceServers

HOME_ADVANTAGE = 2.0
"""How many times better the second server of the order must look to get the request instead of the home."""
HOME_MISSING_SHARE = 0.2
"""Share of the shared tokens expected to be missing at the home if this proxy has not sent them there: other
proxies have."""
EXPECTED_TTFT_WEIGHT = 2.0
"""Number of requests in flight as which a wait of one mean time to the first token is counted."""
MAX_ORDERS = 2_048
ORDER_LENGTH = 8
"""Number of servers of an order that are cached for later requests with the same affinity key."""
DEFAULT_KV_TOKENS = 200_000


class _Layout(Enum):
    """Position of the reserved servers in an order."""

    EVEN = 0
    RESERVED_FIRST = 1
    RESERVED_LAST = 2


class ServicePlacement:
    """Places the requests of one service.

    `random` returns numbers from 0 up to 1; `zone` is the proxy's own; `kv_tokens` is the capacity of one
    server's prefix cache in tokens, None for servers without a model.
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
        self._load_bound = LoadBound(self.servers, self.first_token, options)
        self._draws = Draws(random, zone, self.first_token, self._load_bound, options)
        self._kv_tokens = kv_tokens
        self._caches: dict[str, PrefixCache] = {}
        self._orders: OrderedDict[tuple[int, _Layout], list[ServerState]] = OrderedDict()
        self._orders_generation = -1
        self.reserved = ReservedServers()

    def configure(self, kv_tokens: int | None) -> None:
        """Applies changed settings of the service."""
        self._kv_tokens = kv_tokens
        for cache in self._caches.values():
            cache.capacity_tokens = kv_tokens or DEFAULT_KV_TOKENS

    def fleet_changed(self, size: int) -> None:
        """Sets the number of proxies that send to the same servers."""
        self.reserved.fleet_size = size
        self._load_bound.fleet_changed(size)

    def update_server(self, server: Server) -> None:
        """Adds or updates a server of this service."""
        self.servers.update_server(server)

    def prune(self) -> None:
        """Drops the servers that have left. To be called after one or more updates."""
        for removed in self.servers.remove_departed():
            self._caches.pop(removed, None)

    def pick(
        self, prompt: Prompt, tried: Collection[str], now: float, no_retry: bool = False
    ) -> ServerState | None:
        """Returns the server for a request, excluding those already tried; None if no other is ready.
        `no_retry`: the request must not be retried if it fails."""
        ready = [one for one in self.servers.ready if one.server.id not in tried]
        if len(ready) < 2:
            return ready[0] if ready else None
        self.reserved.record_request(prompt, now)
        if (
            prompt.is_decode_heavy
            and self._options.reserved_growth
            and self.reserved.adapt(now, self.first_token.mean_ttft_ms)
        ):
            self._orders.clear()
        if prompt.tokens_out and prompt.has_small_shared_prefix and self._options.nearby_streams:
            usable = self.servers.usable(ready, now, no_retry) or ready
            return self._draws.less_loaded(self._nearby_servers(usable, now), now)
        candidates = self._candidates(prompt, tried, now, no_retry) if prompt.parts else []
        if not candidates:
            usable = self.servers.usable(ready, now, no_retry)
            return self._draws.better(usable or ready, now)
        return self._better(candidates, prompt, now)

    def apply_warning(self, ids: Iterable[str], span_s: float, now: float) -> None:
        """Avoids these servers, which other proxies found failing, for about `span_s` seconds."""
        for instance_id in ids:
            state = self.servers.states.get(instance_id)
            if state is not None:
                state.apply_warning(now, now + span_s * (0.75 + 0.5 * self._random()))

    def overdue(self, now: float) -> list[str]:
        """Returns the ids of the servers with overdue requests, or none if these are many."""
        return [one.server.id for one in self.servers.few_overdue(now)]

    def has_few_overdue(self, now: float) -> bool:
        """Whether there are other servers, and requests are overdue at a few of them at most."""
        found = sum([one.has_overdue_request(now) for one in self.servers.ready])
        return len(self.servers.ready) > 1 and found <= self.servers.max_overdue

    def record_sent(self, state: ServerState, prompt: Prompt) -> None:
        """Records that the prompt was sent to the server, which will cache its parts."""
        if prompt.parts:
            self._cache(state).record_sent(prompt)

    def missing_tokens(self, state: ServerState, prompt: Prompt) -> int:
        """Returns the number of prompt tokens that the server is expected to prefill."""
        if not prompt.parts:
            return 0
        if not self._options.cache_model:
            return prompt.parts[-1].tokens
        missing = self._cache(state).missing_tokens(prompt)
        own = prompt.parts[-1].tokens
        if missing > own and state is self.order(prompt)[0]:
            return own + int(HOME_MISSING_SHARE * (missing - own))
        return missing

    def order(self, prompt: Prompt) -> list[ServerState]:
        """Returns the first servers of the order for the prompt's affinity key. The order is the same at all
        proxies that know the same servers and kinds of request."""
        if self._orders_generation != self.servers.generation:
            self._servers_changed()
        affinity_part = prompt.affinity_part
        key = (affinity_part.key if affinity_part is not None else 0, self._layout(prompt))
        cached = self._orders.get(key)
        if cached is not None:
            self._orders.move_to_end(key)
            return cached
        order = self._orders[key] = self._arrange(*key)[:ORDER_LENGTH]
        if len(self._orders) > MAX_ORDERS:
            self._orders.popitem(last=False)
        return order

    def _layout(self, prompt: Prompt) -> _Layout:
        """Returns the position of the reserved servers in the order."""
        if not prompt.tokens_out or not self._reserves_servers:
            return _Layout.EVEN
        if prompt.is_decode_heavy:
            return _Layout.RESERVED_FIRST
        return _Layout.RESERVED_LAST if self.reserved.is_avoided_by(prompt) else _Layout.EVEN

    def _arrange(self, key: int, layout: _Layout) -> list[ServerState]:
        ranked = self._ranked(key)
        if layout is _Layout.EVEN:
            return ranked
        reserved = [one for one in ranked if one in self.reserved]
        others = [one for one in ranked if one not in self.reserved]
        return reserved + others if layout is _Layout.RESERVED_FIRST else others + reserved

    def _ranked(self, key: int) -> list[ServerState]:
        return sorted(self.servers.ready, key=lambda one: mix(key ^ one.seed), reverse=True)

    def _candidates(
        self, prompt: Prompt, tried: Collection[str], now: float, no_retry: bool
    ) -> list[ServerState]:
        """Returns the first two servers of the order that are below their load bound; if there are none, the
        first two that are usable. A reserved server is not compared with another one: the order has decided
        between them."""
        untried = [one for one in self.order(prompt) if one.server.id not in tried]
        usable = self.servers.usable(untried, now, no_retry)
        with_room = self._load_bound.below_bound(usable, now)
        candidates = self._with_free_slots(with_room or usable, now)[:2]
        if len(candidates) == 2 and self._layout(prompt) is not _Layout.EVEN:
            home, other = candidates
            if (home in self.reserved) != (other in self.reserved):
                return [home]
        return candidates

    def _nearby_servers(self, usable: list[ServerState], now: float) -> list[ServerState]:
        """Returns the candidates for a long answer with a small shared prefix: servers below their load
        bound, the reserved ones if there are any, and of these the ones in the proxy's own zone if there are
        at least two and about as many as a zone's share. Cached prefixes matter little for such requests,
        while their long answers would cross zones."""
        if self._orders_generation != self.servers.generation:
            self._servers_changed()
        chosen = self._draws.with_free_slots(self._load_bound.below_bound(usable, now), now) or usable
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

    def _with_free_slots(self, ordered: list[ServerState], now: float) -> list[ServerState]:
        """If the first server reported that it is full, returns those that reported free slots, if there are
        any. If all are full, the order stays: moving on would only prefill the parts once more elsewhere."""
        if not self._options.reported_loads or not ordered or not ordered[0].is_full(now):
            return ordered
        return [one for one in ordered if one.has_free_slots(now)] or ordered

    def _better(self, candidates: list[ServerState], prompt: Prompt, now: float) -> ServerState:
        home = candidates[0]
        if len(candidates) == 1:
            return home
        other = candidates[1]
        advantage = HOME_ADVANTAGE if self._options.home_advantage else 1.0
        ahead = self._value(other, prompt, now) > advantage * self._value(home, prompt, now)
        return other if ahead else home

    def _value(self, state: ServerState, prompt: Prompt, now: float) -> float:
        """Returns payoff / (1 + own requests in flight), with the expected time to the first token counted as
        additional requests."""
        load = 1.0 + state.in_flight
        mean_ttft_ms = self.first_token.mean_ttft_ms
        prefill_ms = self.first_token.prefill_ms(self.missing_tokens(state, prompt))
        expected_ms = prefill_ms + self._load_bound.delay_ms(state, now)
        return state.expected_payoff(now) / (load + EXPECTED_TTFT_WEIGHT * expected_ms / mean_ttft_ms)

    def _cache(self, state: ServerState) -> PrefixCache:
        cache = self._caches.get(state.server.id)
        if cache is None:
            cache = self._caches[state.server.id] = PrefixCache(self._kv_tokens or DEFAULT_KV_TOKENS)
        return cache
