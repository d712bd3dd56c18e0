"""What servers keep of the prompts that this proxy sent them: a model of their caches of prompt parts.

A server keeps the parts of a prompt; a part need not be read again while it and all parts before it are
kept for the same model. The parts unused for longest give way.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from zlib import crc32

import attrs

MAX_HEADER_LENGTH = 8_192
SMALL_PREFIX_DIVISOR = 16
"""Shared parts with fewer tokens than the answer may have, divided by this, are no reason for a server."""
MAX_PARTS = 64
MAX_ENTRIES = 4_096
"""Parts that one server's model holds, whatever their tokens."""
_PART = re.compile(r"[ \t]*([0-9a-fA-F]{1,64}):([0-9]{1,9})[ \t]*")
_MASK = 0xFFFFFFFFFFFFFFFF


@attrs.frozen(slots=True)
class Part:
    """A part of a prompt. Its key stands for the part with its model and all parts before it."""

    key: int
    tokens: int


@attrs.frozen(slots=True)
class Prompt:
    """The parts of a prompt in order; empty where nothing is known of it."""

    parts: tuple[Part, ...] = ()
    tokens_out: int = 0
    """Most tokens of the answer; 0 where nothing is told."""

    @property
    def is_decode_heavy(self) -> bool:
        """Whether the answer is longer than the prompt: long prompts beside it make its events late."""
        return self.tokens_out > self.tokens

    @property
    def has_small_shared_prefix(self) -> bool:
        """Whether reading the shared parts again is next to nothing beside writing the answer."""
        shared_tokens = sum([part.tokens for part in self.shared])
        return shared_tokens * SMALL_PREFIX_DIVISOR <= self.tokens_out

    @property
    def subject(self) -> Part | None:
        """The last part that other requests may share; the part after it is the request's own."""
        if not self.parts:
            return None
        return self.parts[-2] if len(self.parts) > 1 else self.parts[0]

    @property
    def shared(self) -> tuple[Part, ...]:
        """All parts that other requests may share."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return sum(part.tokens for part in self.parts)


NO_PROMPT = Prompt()


def parse_prompt(value: str | None, model: str = "", tokens_out: int = 0) -> Prompt:
    """The prompt that a ``Cypresswinch-Prompt-Prefix`` (``ID:TOKENS,...``, ids in hex) names.

    What cannot be read, or is beyond all measure, names nothing: affinity is a help, never a reason to
    refuse.
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
    """64 bits that depend on all bits of a number of 0 or more, and are the same in every process."""
    value = (value ^ (value >> 64)) & _MASK
    value = ((value ^ (value >> 33)) * 0xFF51AFD7ED558CCD) & _MASK
    value = ((value ^ (value >> 33)) * 0xC4CEB9FE1A85EC53) & _MASK
    return value ^ (value >> 33)


class PrefixCache:
    """A model of one server's cache: which parts of what was sent there it keeps, by their last use."""

    def __init__(self, capacity_tokens: int, max_entries: int = MAX_ENTRIES) -> None:
        self.capacity_tokens = capacity_tokens
        self.max_entries = max_entries
        self.tokens = 0
        self._parts: OrderedDict[int, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts)

    def missing_tokens(self, prompt: Prompt) -> int:
        """Tokens that the server would have to read: those from the first part on that it doesn't keep."""
        kept = 0
        for part in prompt.parts:
            if part.key not in self._parts:
                break
            kept += part.tokens
        return prompt.tokens - kept

    def sent(self, prompt: Prompt) -> None:
        """A prompt was sent there: all its parts are the ones used last, the first of them last of all."""
        for part in reversed(prompt.parts):
            self._use(part)
        while self._parts and (self.tokens > self.capacity_tokens or len(self._parts) > self.max_entries):
            _, tokens = self._parts.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """The server lost what it kept."""
        self._parts.clear()
        self.tokens = 0

    def _use(self, part: Part) -> None:
        before = self._parts.pop(part.key, 0)
        self._parts[part.key] = part.tokens
        self.tokens += part.tokens - before
