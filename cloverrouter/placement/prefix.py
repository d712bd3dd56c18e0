"""Models the prefix caches of the servers from the prompts that this proxy sent them.

A server caches the parts of a prompt. A part need not be prefilled again while it and all parts before it are
cached for the same model. The least recently used parts are evicted.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from zlib import crc32

import attrs

MAX_HEADER_LENGTH = 8_192
SMALL_PREFIX_DIVISOR = 16
"""Shared parts with fewer tokens than the maximum length of the answer divided by this don't influence the
choice of a server."""
MAX_PARTS = 64
MAX_ENTRIES = 4_096
"""Maximum number of parts in the model of one server, whatever their tokens."""
_PART = re.compile(r"[ \t]*([0-9a-fA-F]{1,64}):([0-9]{1,9})[ \t]*")
_MASK = 0xFFFFFFFFFFFFFFFF


@attrs.frozen(slots=True)
class Part:
    """A part of a prompt. Its key identifies the part together with its model and all parts before it."""

    key: int
    tokens: int


@attrs.frozen(slots=True)
class Prompt:
    """The parts of a prompt in order; empty if nothing is known of it."""

    parts: tuple[Part, ...] = ()
    tokens_out: int = 0
    """Maximum number of tokens of the answer; 0 if unknown."""

    @property
    def is_decode_heavy(self) -> bool:
        """Whether the answer may be longer than the prompt. Long prompts on the same server delay the events
        of such an answer."""
        return self.tokens_out > self.tokens

    @property
    def has_small_shared_prefix(self) -> bool:
        """Whether prefilling the shared parts again is negligible compared with generating the answer."""
        shared_tokens = sum([part.tokens for part in self.shared])
        return shared_tokens * SMALL_PREFIX_DIVISOR <= self.tokens_out

    @property
    def affinity_part(self) -> Part | None:
        """The last part that other requests may share, which determines the affinity; the part after it
        belongs to this request alone. None without parts."""
        if not self.parts:
            return None
        return self.parts[-2] if len(self.parts) > 1 else self.parts[0]

    @property
    def shared(self) -> tuple[Part, ...]:
        """All parts that other requests may share."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """Number of tokens of all parts."""
        return sum(part.tokens for part in self.parts)


NO_PROMPT = Prompt()


def parse_prompt(value: str | None, model: str = "", tokens_out: int = 0) -> Prompt:
    """Parses the value of a ``Cypresswinch-Prompt-Prefix`` header (``ID:TOKENS,...``, ids in hex).

    Returns `NO_PROMPT` for a value that is malformed or beyond the limits: affinity is an optimization and
    never a reason to refuse a request.
    """
    if not value or len(value) > MAX_HEADER_LENGTH:
        return NO_PROMPT
    pieces = value.split(",")
    if len(pieces) > MAX_PARTS:
        return NO_PROMPT
    parts = []
    chain = crc32(model.encode())
    for piece in pieces:
        found = _PART.fullmatch(piece)
        if found is None:
            return NO_PROMPT
        chain = mix(chain ^ mix(int(found[1], 16)))
        parts.append(Part(chain, int(found[2])))
    return Prompt(tuple(parts), tokens_out)


def mix(value: int) -> int:
    """Returns a 64-bit hash of a non-negative number; it depends on all bits and is the same in every
    process."""
    value = (value ^ (value >> 64)) & _MASK
    value = ((value ^ (value >> 33)) * 0xFF51AFD7ED558CCD) & _MASK
    value = ((value ^ (value >> 33)) * 0xC4CEB9FE1A85EC53) & _MASK
    return value ^ (value >> 33)


class PrefixCache:
    """A model of one server's prefix cache: the parts of the prompts sent there, in LRU order."""

    def __init__(self, capacity_tokens: int, max_entries: int = MAX_ENTRIES) -> None:
        self.capacity_tokens = capacity_tokens
        self.max_entries = max_entries
        self.tokens = 0
        self._parts: OrderedDict[int, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts)

    def missing_tokens(self, prompt: Prompt) -> int:
        """Returns the number of tokens to prefill: those from the first part on that is not cached."""
        kept = 0
        for part in prompt.parts:
            if part.key not in self._parts:
                break
            kept += part.tokens
        return prompt.tokens - kept

    def record_sent(self, prompt: Prompt) -> None:
        """Inserts all parts of a prompt as the most recently used ones, the first part as the very latest,
        and evicts what exceeds the capacity."""
        for part in reversed(prompt.parts):
            self._use(part)
        while self._parts and (self.tokens > self.capacity_tokens or len(self._parts) > self.max_entries):
            _, tokens = self._parts.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """Empties the model, since the server lost its cache."""
        self._parts.clear()
        self.tokens = 0

    def _use(self, part: Part) -> None:
        before = self._parts.pop(part.key, 0)
        self._parts[part.key] = part.tokens
        self.tokens += part.tokens - before
