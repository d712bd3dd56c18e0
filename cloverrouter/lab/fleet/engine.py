"""A model server's inside, without clock or sockets: batches, prefill in pieces, a cache of prompt parts.

The engine works in steps. In a step each running request whose prompt has been read makes `tokens_per_step`
tokens, and up to `prefill_tokens_per_step` prompt tokens of others are read beside them. Memory is shared by
the running requests and the cached parts; of the parts that no one uses the one unused for longest gives way.
"""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen(slots=True)
class EngineShape:
    """What an engine can do. Times in milliseconds."""

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
    """A prompt by its parts, and how many tokens are to be made from which on."""

    request_id: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    already_made: int = 0
    priority: int = 5

    @property
    def prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


class Admission(Enum):
    ACCEPTED = "accepted"
    FULL = "full"


@attrs.define(slots=True, eq=False)
class _Running:
    request: GenerationRequest
    number: int
    made: int
    unread: int = 0
    private_tokens: int = 0  # what it holds beside the cached parts that it uses
    used: tuple[tuple[str, ...], ...] = ()


@attrs.define(slots=True)
class _Cached:
    tokens: int
    used_at: int
    users: int = 0


@attrs.frozen(slots=True)
class Progress:
    """A request has made this many tokens by now, counted from its very first; done if it has them all."""

    request_id: str
    made: int
    done: bool


class Engine:
    """One model server's engine. The caller ends a step `step_duration_ms` after it was begun."""

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
        """Takes a request, or refuses it: too many wait, or it is larger than the memory."""
        if request.prompt_tokens + request.output_tokens > self.shape.kv_cache_tokens:
            return Admission.FULL
        if len(self._running) + len(self._waiting) >= self.shape.capacity + self.shape.queue_limit:
            return Admission.FULL
        self._submitted += 1
        self._waiting.append(_Running(request, self._submitted, request.already_made))
        return Admission.ACCEPTED

    def cancel(self, request_id: str) -> None:
        """Drops a request, wherever it is."""
        self._waiting = [item for item in self._waiting if item.request.request_id != request_id]
        for item in [item for item in self._running if item.request.request_id == request_id]:
            self._release(item)

    @property
    def is_idle(self) -> bool:
        return not self._running and not self._waiting

    @property
    def queued(self) -> int:
        return len(self._waiting)

    @property
    def active(self) -> int:
        return len(self._running)

    @property
    def busy_tokens(self) -> int:
        """Memory that can't give way."""
        return sum(c.tokens for c in self._cache.values() if c.users) + sum(
            item.private_tokens for item in self._running
        )

    def begin_step(self) -> float:
        """Lets in who waits, and says how long the step takes, in milliseconds."""
        self._steps += 1
        self._waiting.sort(key=lambda item: (item.request.priority, item.number))
        while self._waiting and len(self._running) < self.shape.capacity:
            if not self._start(self._waiting[0]):
                break
            self._running.append(self._waiting.pop(0))
        return self.shape.step_ms + self.shape.step_ms_per_running * len(self._running)

    def end_step(self) -> list[Progress]:
        """What each running request has made; those that are done are gone."""
        self._prefill()
        progress = []
        for item in list(self._running):
            if item not in self._running or item.unread:
                continue
            if not self._room(self.shape.tokens_per_step, keep=item):
                continue
            item.made = min(item.request.output_tokens, item.made + self.shape.tokens_per_step)
            item.private_tokens += self.shape.tokens_per_step
            done = item.made >= item.request.output_tokens
            progress.append(Progress(item.request.request_id, item.made, done))
            if done:
                self._release(item)
        return progress

    def _start(self, item: _Running) -> bool:
        """Takes the parts that are kept, and memory for the rest; False if there is none."""
        keys = _keys(item.request.parts)
        kept = 0
        while kept < len(keys) and keys[kept] in self._cache:
            kept += 1
        self._use(keys[:kept])
        unread = sum(part.tokens for part in item.request.parts[kept:])
        if not self._free(unread + self.shape.tokens_per_step):
            self._unuse(keys[:kept])
            return False
        for key, part in zip(keys[kept:], item.request.parts[kept:], strict=True):
            self._cache[key] = _Cached(part.tokens, self._steps, 1)
        item.used = keys
        item.unread = unread
        self.reused_tokens += item.request.prompt_tokens - unread
        return True

    def _prefill(self) -> None:
        budget = self.shape.prefill_tokens_per_step
        for item in self._running:
            read = min(budget, item.unread)
            item.unread -= read
            budget -= read
            self.prefilled_tokens += read

    def _room(self, tokens: int, keep: _Running) -> bool:
        """Makes room for more tokens of a running request; the newest of the least urgent gives way to it."""
        while not self._free(tokens):
            last = max(self._running, key=lambda item: (item.request.priority, item.number))
            self._release(last)
            self._waiting.append(_Running(last.request, last.number, last.made))
            if last is keep:
                return False
        return True

    def _free(self, tokens: int) -> bool:
        """Whether so many tokens fit, after cached parts that no one uses have given way."""
        held = sum(c.tokens for c in self._cache.values()) + sum(r.private_tokens for r in self._running)
        while held + tokens > self.shape.kv_cache_tokens:
            idle = [key for key, cached in self._cache.items() if not cached.users]
            if not idle:
                return False
            # Of those unused for longest the deepest part goes first: a part counts only with all before it.
            oldest = min(idle, key=lambda key: (self._cache[key].used_at, -len(key)))
            held -= self._cache.pop(oldest).tokens
        return True

    def _use(self, keys: tuple[tuple[str, ...], ...]) -> None:
        for key in keys:
            self._cache[key].users += 1
            self._cache[key].used_at = self._steps

    def _unuse(self, keys: tuple[tuple[str, ...], ...]) -> None:
        for key in keys:
            self._cache[key].users -= 1
            self._cache[key].used_at = self._steps

    def _release(self, item: _Running) -> None:
        self._running.remove(item)
        self._unuse(item.used)
        if item.unread:
            self._forget_unread(item)

    def _forget_unread(self, item: _Running) -> None:
        """A prompt that was not read to its end leaves no part of its own behind."""
        left = item.unread
        for key in reversed(item.used):
            if left <= 0:
                return
            if key in self._cache and not self._cache[key].users:
                left -= self._cache.pop(key).tokens


def _keys(parts: tuple[PromptPart, ...]) -> tuple[tuple[str, ...], ...]:
    """For each part, the ids up to and with it: what has to be the same for it to be the same."""
    ids = tuple(part.part_id for part in parts)
    return tuple(ids[: end + 1] for end in range(len(ids)))


def parse_prefix(text: str) -> tuple[PromptPart, ...]:
    """The parts in a `Cypresswinch-Prompt-Prefix` header. Raises ValueError."""
    parts = []
    for item in filter(None, text.split(",")):
        part_id, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
