"""Eliot's JSON lines as trees: actions with what happened inside them, over the files of several nodes.

A line belongs to a task (`task_uuid`) and has a place in it (`task_level`, a list of numbers). An action has
a line at its start and one at its end, told by `action_status`.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import attrs

OWN_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "action_type", "action_status", "message_type", "node"}
)
BRANCH, LAST_BRANCH, TRUNK, NOTHING = "├── ", "└── ", "│   ", "    "


@attrs.frozen(slots=True)
class Record:
    """One line of a log. `timestamp` in seconds since 1970."""

    task: str
    level: tuple[int, ...]
    timestamp: float
    fields: dict[str, Any]

    @property
    def node(self) -> str:
        return str(self.fields.get("node", ""))

    @property
    def status(self) -> str:
        """`started`, `succeeded` or `failed` for the ends of actions, else empty."""
        return str(self.fields.get("action_status", ""))

    @property
    def name(self) -> str:
        return str(self.fields.get("action_type") or self.fields.get("message_type") or "message")

    @property
    def details(self) -> str:
        """All other fields, as NAME=VALUE."""
        told = {key: value for key, value in self.fields.items() if key not in OWN_FIELDS}
        return " ".join(f"{key}={_short(value)}" for key, value in told.items())

    def mentions(self, text: str) -> bool:
        """Whether some field, at any depth, has just this value."""
        return any(str(value) == text for value in _leaves(self.fields))


def _short(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _leaves(value: Any) -> Iterator[Any]:
    if isinstance(value, dict):
        for inner in value.values():
            yield from _leaves(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _leaves(inner)
    else:
        yield value


def read(lines: Iterable[str]) -> tuple[list[Record], int]:
    """The records among some lines, and how many other lines there were."""
    records, others = [], 0
    for line in lines:
        record = _record(line)
        if record is not None:
            records.append(record)
        elif line.strip():
            others += 1
    return records, others


def _record(line: str) -> Record | None:
    try:
        fields = json.loads(line)
        level = tuple(int(number) for number in fields["task_level"])
        return Record(str(fields["task_uuid"]), level, float(fields["timestamp"]), fields)
    except (ValueError, KeyError, TypeError):
        return None


def tasks(records: Iterable[Record], mentioning: str | None = None) -> list[list[Record]]:
    """The records by task, each in the order of its levels, the earliest task first.

    If a text is given, only the tasks in which some record mentions it.
    """
    by_task: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        by_task[record.task].append(record)
    found = [
        sorted(task, key=lambda record: record.level)
        for task in by_task.values()
        if mentioning is None or any(record.mentions(mentioning) for record in task)
    ]
    return sorted(found, key=lambda task: min(record.timestamp for record in task))


@attrs.define(slots=True)
class _Branch:
    """An action or a message in the tree."""

    first: Record
    last: Record | None = None  # the line of an action's end
    inner: list[_Branch] = attrs.field(factory=list)


def tree(task: list[Record]) -> list[str]:
    """A task's lines as a tree, one text line each."""
    roots = _branches(task)
    head = task[0]
    lines = [f"{_time_of_day(head.timestamp)}  {head.node}  task {head.task}".replace("    ", "  ")]
    lines.extend(_drawn(roots, "", head.timestamp))
    return lines


def _branches(task: list[Record]) -> list[_Branch]:
    """Records that start an action hold those whose level lies below theirs."""
    roots: list[_Branch] = []
    open_actions: dict[tuple[int, ...], _Branch] = {}
    for record in task:
        parent = open_actions.get(record.level[:-1])
        if record.status in ("succeeded", "failed") and parent is not None:
            parent.last = record
            continue
        branch = _Branch(record)
        holder = parent
        if record.status == "started":
            open_actions[record.level[:-1]] = branch
            holder = open_actions.get(record.level[:-2]) if len(record.level) > 1 else None
        (holder.inner if holder is not None else roots).append(branch)
    return roots


def _drawn(branches: list[_Branch], indent: str, begun: float) -> Iterator[str]:
    for branch in branches:
        is_last = branch is branches[-1]
        yield f"{indent}{LAST_BRANCH if is_last else BRANCH}{_told(branch, begun)}"
        yield from _drawn(branch.inner, indent + (NOTHING if is_last else TRUNK), begun)


def _told(branch: _Branch, begun: float) -> str:
    first, last = branch.first, branch.last
    parts = [f"{first.name}", f"+{1000 * (first.timestamp - begun):.1f} ms", first.details]
    if last is not None:
        parts.append(f"-> {last.status} after {1000 * (last.timestamp - first.timestamp):.1f} ms")
        parts.append(last.details)
    elif first.status == "started":
        parts.append("-> no end in these files")
    return "  ".join(part for part in parts if part)


def line(record: Record) -> str:
    """A record as one text line."""
    parts = [_time_of_day(record.timestamp), record.node, record.name, record.status, record.details]
    return "  ".join(part for part in parts if part)


def _time_of_day(timestamp: float) -> str:
    return datetime.fromtimestamp(timestamp, UTC).isoformat(sep=" ", timespec="milliseconds")[:23]
