"""Canonical form of replica states: times, epochs, rounds and attempts are relative.

Each value (a core, a message, a disk) is walked once and reduced to a template: its shape and its *marks*,
the numbers that are only meaningful relative to others. Adding a constant to the counters of all epochs, to
all rounds of an epoch, to all attempts of a replica or to all times does not change the behaviour. So epochs
count from the highest one in the world, rounds from the newest of their epoch, and times from now.

The form leaves out fields that only serve bookkeeping, and limits times to `LONG_AGO_S` in the past, which is
longer than any timeout of the cores that matters within a history.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

import attrs
import xxhash

from cloverrouter.coordination.disk import DiskQueue
from cloverrouter.coordination.messages import Canvass, Support
from cloverrouter.coordination.pending_calls import PendingRead
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.rounds import HeartbeatRounds
from cloverrouter.coordination.views import GENESIS_EPOCH, PROPOSER_BITS, decode_view
from cloverrouter.explore.coordination.cores import IMMUTABLE_TYPES, MIN_TIME_S, CoreStates
from cloverrouter.explore.coordination.timing import LONG_AGO_S
from cloverrouter.store import Meta
from cloverrouter.store.records import Ballot

NOW = 2 * MIN_TIME_S  # an arbitrary time above `MIN_TIME_S`

EPOCH_FIELDS = {
    "epoch",
    "promised",
    "synced",
    "view_epoch",
    "seen_epoch",
    "round_epoch",
    "base_epoch",
    "from_synced",
    "_link_epoch",
}
EPOCH_FIRST_FIELDS = {
    "_promise_due",
    "_report_due",
    "_inactive_since",
}  # tuples that start with an epoch
ZERO_IS_LONG_AGO_FIELDS = {"view_sent_at", "repaired_at"}  # 0 means never
NOT_BEFORE_FIELDS = {"_no_election_before", "_retry_at"}  # earliest times, no effect once passed
SKIPPED_FIELDS = {
    "_handlers",
    "_config",
    "config",
    "random",
    "_random",
    "_newest",
    "_cached",
    "_last_reported",
    "_token",
    "_context",
    "_roster",
    "_pending",
}
REPLICA_PARTS = {"_context", "_roster", "_pending"}  # kept for the replica; its components only refer to them

Mark = tuple[str, Any, Any]


class Template:
    """The shape of a value, as a hash, and its marks."""

    __slots__ = ("attempts", "epoch", "marks", "rounds", "shape")

    def __init__(self, shape: tuple[Any, ...], marks: tuple[Mark, ...]) -> None:
        self.shape = xxhash.xxh3_128_intdigest(repr(shape).encode())
        self.marks = marks
        self.epoch = max((value for kind, value, _ in marks if kind == "epoch"), default=0)
        self.rounds = [(of, value) for kind, value, of in marks if kind == "round"]
        self.attempts = [(of, value) for kind, value, of in marks if kind == "attempt"]


class _Walk:
    """Collects shape and marks in one walk over a value."""

    def __init__(self, cache: TemplateCache, root: object) -> None:
        self._template_cache = cache
        self.root = root
        self.shape: list[Any] = []
        self.marks: list[Mark] = []
        self.head_epoch = 0
        self.me = ""

    def mark(self, kind: str, value: Any, of: Any = None) -> None:
        self.marks.append((kind, value, of))
        self.shape.append(kind)

    def value(self, name: str, value: Any) -> None:
        if isinstance(value, bool) or value is None or isinstance(value, str | bytes):
            self.shape.append(value)
        elif isinstance(value, float):
            self._float(name, value)
        elif isinstance(value, int):
            self._int(name, value)
        elif isinstance(value, Enum):
            self.shape.append(value.name)
        elif isinstance(value, dict):
            self._dict(name, value)
        elif isinstance(value, list | tuple | set | frozenset) or type(value).__name__ == "deque":
            self._sequence(name, value)
        elif type(value) in IMMUTABLE_TYPES and not self.is_root(value):
            self._add_template(self._template_cache.interned(value))
        else:
            self._object(value)

    def is_root(self, value: Any) -> bool:
        """Returns whether the walk started at this value."""
        return value is self.root

    def _add_template(self, template: Template) -> None:
        self.shape.append(template.shape)
        self.marks += template.marks

    def _float(self, name: str, value: float) -> None:
        if name in ZERO_IS_LONG_AGO_FIELDS and not value:
            self.shape.append(-LONG_AGO_S)
        elif name in NOT_BEFORE_FIELDS:
            self.shape.append(max(value - NOW, 0.0))
        else:
            self.shape.append(max(value - NOW, -LONG_AGO_S) if value > MIN_TIME_S else value)

    def _int(self, name: str, value: int) -> None:
        if name in EPOCH_FIELDS:
            self.mark("epoch", value)
        elif name == "ticket":
            self.mark("ticket", value)
        else:
            self.shape.append(value)

    def _dict(self, name: str, value: dict[Any, Any]) -> None:
        self.shape.append(len(value))
        for key in sorted(value):
            self.value("epoch" if name == "_prefix_seqs" else name, key)
            self.value(name, value[key])

    def _sequence(self, name: str, value: Any) -> None:
        row = sorted(value) if isinstance(value, set | frozenset) else list(value)
        self.shape.append(len(row))
        for position, entry in enumerate(row):
            self.value("epoch" if name in EPOCH_FIRST_FIELDS and position == 0 else name, entry)

    def _object(self, value: Any) -> None:
        self.shape.append(type(value).__name__)
        if isinstance(value, Replica):
            self.me = value.me.identity
            self.head_epoch = value._head.view.epoch if value._head is not None else 0
        if isinstance(value, HeartbeatRounds):
            self._rounds(value)
            return
        for name, field in _fields(value):
            if name not in SKIPPED_FIELDS or (name in REPLICA_PARTS and isinstance(value, Replica)):
                self._field(value, name, field)

    def _field(self, owner: Any, name: str, value: Any) -> None:
        if name == "view" and isinstance(owner, Meta):
            self.value("view", decode_view(value) if value else None)
        elif name == "voters" and isinstance(owner, Ballot):
            self.value("voters", decode_view(value) if value else None)
        elif name == "_write_started_at" and isinstance(owner, DiskQueue) and owner._in_flight is None:
            self.shape.append(None)
        elif name == "round" and value is not None:
            self.mark("round", value, self._epoch_of_round(owner))
        elif name in ("attempt", "_attempt", "_attempts"):
            self.mark("attempt", value, self._sender_of(owner))
        else:
            self.value(name, value)

    def _epoch_of_round(self, owner: Any) -> int:
        if isinstance(owner, PendingRead):
            return self.head_epoch
        epoch: int = getattr(owner, "round_epoch", 0) or getattr(owner, "epoch", 0)
        return epoch

    def _sender_of(self, owner: Any) -> str:
        if isinstance(owner, Canvass):
            return owner.sender
        return owner.receiver if isinstance(owner, Support) else self.me

    def _rounds(self, rounds: HeartbeatRounds) -> None:
        epoch = rounds._view.epoch
        for number in (rounds.newest, rounds.confirmed, rounds._no_lease_round):
            self.mark("round", number, epoch)
        for identity, number in sorted(rounds._acked_round.items()):
            self.shape.append(identity)
            self.mark("round", number, epoch)
        for number, begun in sorted(rounds._started_at.items()):
            if number > rounds.confirmed:  # earlier rounds are never read again
                self.mark("round", number, epoch)
                self.value("at", begun)
        for at in (rounds.confirmed_started_at, rounds._quorum_seen_at, rounds._lease_from):
            self.value("at", at)


def _fields(value: Any) -> Iterable[tuple[str, Any]]:
    if attrs.has(type(value)):
        return [(field.name, getattr(value, field.name)) for field in attrs.fields(type(value))]
    return sorted(vars(value).items())


class TemplateCache:
    """Caches the templates of all core states and all immutable values."""

    def __init__(self, cores: CoreStates) -> None:
        self._cores = cores
        self._core_templates: dict[int, Template] = {}
        self._interned_templates: dict[int, Template] = {}

    def core(self, number: int) -> Template:
        """Returns the template of a core state."""
        found = self._core_templates.get(number)
        if found is None:
            found = self._core_templates[number] = self._walk(self._cores.load(number, NOW))
        return found

    def interned(self, value: object) -> Template:
        """Returns the template of an immutable value such as a message or a disk."""
        number = self._cores.interned.number(value)
        found = self._interned_templates.get(number)
        if found is None:
            found = self._interned_templates[number] = self._walk(value)
        return found

    def _walk(self, value: object) -> Template:
        walk = _Walk(self, value)
        walk.value("", value)
        return Template(tuple(walk.shape), tuple(walk.marks))


class Baseline:
    """The reference values of one world: the highest epoch counter, rounds and attempts."""

    def __init__(self, templates: Iterable[Template], ticket: Callable[[int], Any]) -> None:
        self._ticket = ticket
        self._count = 0
        self._rounds: dict[int, int] = {}
        self._attempts: dict[str, int] = {}
        for template in templates:
            self._count = max(self._count, template.epoch >> PROPOSER_BITS)
            for epoch, number in template.rounds:
                self._rounds[epoch] = max(number, self._rounds.get(epoch, 0))
            for sender, number in template.attempts:
                self._attempts[sender] = max(number, self._attempts.get(sender, 0))

    def resolve(self, template: Template) -> tuple[Any, ...]:
        """Returns a value with its marks relative to this world.

        No relative number is negative, as -1 and -2 have the same hash in Python.
        """
        return template.shape, *[self._relative(kind, value, of) for kind, value, of in template.marks]

    def _relative(self, kind: str, value: Any, of: Any) -> Any:
        if kind == "epoch":
            if value <= GENESIS_EPOCH:
                return value
            return self._count - (value >> PROPOSER_BITS), value & ((1 << PROPOSER_BITS) - 1)
        if kind == "round":
            return self._rounds[of] - value if value else None
        if kind == "attempt":
            return self._attempts[of] - value
        return self._ticket(value)
