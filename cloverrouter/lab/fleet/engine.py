"""Simulated inference engine, without clock or sockets: batching, chunked prefill, prefix cache.

The engine works in steps. In a step each running request whose prefill is complete generates
`tokens_per_step` tokens, and up to `prefill_tokens_per_step` prompt tokens of other requests are processed.
Running requests and cached prompt parts share the memory; the least recently used of the unused parts is
evicted first.
"""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen(slots=True)
class EngineShape:
    """The capacity and speed of an engine. Times in milliseconds."""

    capacity: int = 8
    queue_limit: int = 8
    kv_cache_tokens: int = 60_000
    step_ms: float = 6.0
    step_ms_per_running: float = 0.5
    prefill_tokens_per_step: int = 1_000
    tokens_per_step: int = 5


@attrs.frozen(slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share, and its size in tokens."""

    part_id: str
    tokens: int


@attrs.frozen(slots=True)
class GenerationRequest:
    """A prompt by its parts, the number of tokens to generate, and how many a resumed stream already has."""

    request_id: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    already_generated: int = 0
    priority: int = 5

    @property
    def prompt_tokens(self) -> int:
        """Returns the length of the prompt in tokens."""
        return sum(part.tokens for part in self.parts)


class Admission(Enum):
    """The result of a submission."""

    ACCEPTED = "accepted"
    FULL = "full"


@attrs.define(slots=True, eq=False)
class _Running:
    request: GenerationRequest
    number: int
    generated: int
    pending_prefill_tokens: int = 0
    private_tokens: int = 0  # memory of its own, beside the cached parts that it uses
    pinned_keys: tuple[tuple[str, ...], ...] = ()


@attrs.define(slots=True)
class _Cached:
    tokens: int
    used_at: int
    user_count: int = 0


@attrs.frozen(slots=True)
class Progress:
    """The tokens that a request has generated so far, including those before a resumption."""

    request_id: str
    generated: int
    done: bool


class Engine:
    """One model server's engine. Call `end_step` after the duration that `begin_step` returned."""

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self._waiting: list[_Running] = []
        self._running: list[_Running] = []
        self._cache: dict[tuple[str, ...], _Cached] = {}
        self._submitted = 0
        self._steps = 0
        self.prefilled_tokens = 0
        self.reused_tokens = 0

    def submit(self, request: GenerationRequest) -> Admission:
        """Queues a request, or refuses it if the queue is full or the request exceeds the memory."""
        if request.prompt_tokens + request.output_tokens > self.shape.kv_cache_tokens:
            return Admission.FULL
        if len(self._running) + len(self._waiting) >= self.shape.capacity + self.shape.queue_limit:
            return Admission.FULL
        self._submitted += 1
        self._waiting.append(_Running(request, self._submitted, request.already_generated))
        return Admission.ACCEPTED

    def cancel(self, request_id: str) -> None:
        """Drops a waiting or running request."""
        self._waiting = [item for item in self._waiting if item.request.request_id != request_id]
        for item in [item for item in self._running if item.request.request_id == request_id]:
            self._release(item)

    @property
    def is_idle(self) -> bool:
        """Returns whether no request is running or waiting."""
        return not self._running and not self._waiting

    @property
    def queued(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    @property
    def active(self) -> int:
        """Returns the number of running requests."""
        return len(self._running)

    @property
    def pinned_tokens(self) -> int:
        """Returns the tokens of memory that can't be evicted."""
        return sum(c.tokens for c in self._cache.values() if c.user_count) + sum(
            item.private_tokens for item in self._running
        )

    def begin_step(self) -> float:
        """Admits waiting requests, and returns the duration of the step in milliseconds."""
        self._steps += 1
        self._waiting.sort(key=lambda item: (item.request.priority, item.number))
        while self._waiting and len(self._running) < self.shape.capacity:
            if not self._start(self._waiting[0]):
                break
            self._running.append(self._waiting.pop(0))
        return self.shape.step_ms + self.shape.step_ms_per_running * len(self._running)

    def end_step(self) -> list[Progress]:
        """Returns the progress of each running request, and releases those that are done."""
        self._prefill()
        progress = []
        for item in list(self._running):
            if item not in self._running or item.pending_prefill_tokens:
                continue
            if not self._make_room(self.shape.tokens_per_step, requester=item):
                continue
            item.generated = min(item.request.output_tokens, item.generated + self.shape.tokens_per_step)
            item.private_tokens += self.shape.tokens_per_step
            done = item.generated >= item.request.output_tokens
            progress.append(Progress(item.request.request_id, item.generated, done))
            if done:
                self._release(item)
        return progress

    def _start(self, item: _Running) -> bool:
        """Pins the cached parts and reserves memory for the rest. Returns False if there is too little."""
        keys = _keys(item.request.parts)
        cached_count = 0
        while cached_count < len(keys) and keys[cached_count] in self._cache:
            cached_count += 1
        self._pin(keys[:cached_count])
        pending_prefill_tokens = sum(part.tokens for part in item.request.parts[cached_count:])
        if not self._evict_until_fits(pending_prefill_tokens + self.shape.tokens_per_step):
            self._unpin(keys[:cached_count])
            return False
        for key, part in zip(keys[cached_count:], item.request.parts[cached_count:], strict=True):
            self._cache[key] = _Cached(part.tokens, self._steps, 1)
        item.pinned_keys = keys
        item.pending_prefill_tokens = pending_prefill_tokens
        self.reused_tokens += item.request.prompt_tokens - pending_prefill_tokens
        return True

    def _prefill(self) -> None:
        budget = self.shape.prefill_tokens_per_step
        for item in self._running:
            processed = min(budget, item.pending_prefill_tokens)
            item.pending_prefill_tokens -= processed
            budget -= processed
            self.prefilled_tokens += processed

    def _make_room(self, tokens: int, requester: _Running) -> bool:
        """Makes room for more tokens of a running request by preempting the newest of the lowest priority."""
        while not self._evict_until_fits(tokens):
            last = max(self._running, key=lambda item: (item.request.priority, item.number))
            self._release(last)
            self._waiting.append(_Running(last.request, last.number, last.generated))
            if last is requester:
                return False
        return True

    def _evict_until_fits(self, tokens: int) -> bool:
        """Evicts unused cached parts as needed, and returns whether so many tokens fit."""
        used_tokens = sum(c.tokens for c in self._cache.values()) + sum(
            r.private_tokens for r in self._running
        )
        while used_tokens + tokens > self.shape.kv_cache_tokens:
            unpinned = [key for key, cached in self._cache.items() if not cached.user_count]
            if not unpinned:
                return False
            # Among the least recently used the deepest part goes first: a part is useless without its prefix.
            oldest = min(unpinned, key=lambda key: (self._cache[key].used_at, -len(key)))
            used_tokens -= self._cache.pop(oldest).tokens
        return True

    def _pin(self, keys: tuple[tuple[str, ...], ...]) -> None:
        for key in keys:
            self._cache[key].user_count += 1
            self._cache[key].used_at = self._steps

    def _unpin(self, keys: tuple[tuple[str, ...], ...]) -> None:
        for key in keys:
            self._cache[key].user_count -= 1
            self._cache[key].used_at = self._steps

    def _release(self, item: _Running) -> None:
        self._running.remove(item)
        self._unpin(item.pinned_keys)
        if item.pending_prefill_tokens:
            self._evict_unprocessed_parts(item)

    def _evict_unprocessed_parts(self, item: _Running) -> None:
        """Removes the parts of a prompt whose prefill is incomplete from the cache."""
        remaining = item.pending_prefill_tokens
        for key in reversed(item.pinned_keys):
            if remaining <= 0:
                return
            if key in self._cache and not self._cache[key].user_count:
                remaining -= self._cache.pop(key).tokens


def _keys(parts: tuple[PromptPart, ...]) -> tuple[tuple[str, ...], ...]:
    """Returns the cache key of each part: the ids of all parts up to and including it."""
    ids = tuple(part.part_id for part in parts)
    return tuple(ids[: end + 1] for end in range(len(ids)))


def parse_prefix(text: str) -> tuple[PromptPart, ...]:
    """Parses a `Cypresswinch-Prompt-Prefix` header. Raises ValueError."""
    parts = []
    for item in filter(None, text.split(",")):
        part_id, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
