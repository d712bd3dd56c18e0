"""Turns eliot's JSON log lines, from the files of several nodes, into trees of actions and messages.

A line belongs to a task (`task_uuid`) and has a place in it (`task_level`, a list of numbers). An action has
a line at its start and one at its end, distinguished by `action_status`.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import attrs

from cloverrouter.cli.tables import printable

FIELDS_SHOWN_SEPARATELY = frozenset(
    {"task_uuid", "task_level", "timestamp", "action_type", "action_status", "message_type", "node"}
)
BRANCH, LAST_BRANCH, VERTICAL_LINE, BLANK = "├── ", "└── ", "│   ", "    "


@attrs.frozen(slots=True)
class Record:
    """One line of a log. `timestamp` is Unix time in seconds."""

    task: str
    level: tuple[int, ...]
    timestamp: float
    fields: dict[str, Any]

    @property
    def node(self) -> str:
        return str(self.fields.get("node", ""))

    @property
    def status(self) -> str:
        """`started`, `succeeded` or `failed` for the first and last record of an action, else empty."""
        return str(self.fields.get("action_status", ""))

    @property
    def name(self) -> str:
        return str(self.fields.get("action_type") or self.fields.get("message_type") or "message")

    @property
    def details(self) -> str:
        """All fields that have no column of their own, as NAME=VALUE."""
        other_fields = {
            key: value for key, value in self.fields.items() if key not in FIELDS_SHOWN_SEPARATELY
        }
        return " ".join(f"{key}={_format_value(value)}" for key, value in other_fields.items())

    def mentions(self, text: str) -> bool:
        """Returns whether a field, at any depth, has exactly this value."""
        return any(str(value) == text for value in _leaves(self.fields))


def _format_value(value: Any) -> str:
    return printable(value) if isinstance(value, str) else json.dumps(value)


def _leaves(value: Any) -> Iterator[Any]:
    if isinstance(value, dict):
        for item in value.values():
            yield from _leaves(item)
    elif isinstance(value, list):
        for item in value:
            yield from _leaves(item)
    else:
        yield value


def read(lines: Iterable[str]) -> tuple[list[Record], int]:
    """Returns the log records among the lines, and the number of other lines that are not empty."""
    records, ignored_count = [], 0
    for line in lines:
        record = _record(line)
        if record is not None:
            records.append(record)
        elif line.strip():
            ignored_count += 1
    return records, ignored_count


def _record(line: str) -> Record | None:
    try:
        fields = json.loads(line)
        level = tuple(int(number) for number in fields["task_level"])
        return Record(str(fields["task_uuid"]), level, float(fields["timestamp"]), fields)
    except (ValueError, KeyError, TypeError):
        return None


def tasks(records: Iterable[Record], mentioning: str | None = None) -> list[list[Record]]:
    """Groups records by task: each task sorted by level, the earliest task first.

    If a text is given, only the tasks with a record that mentions it.
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
    """An action or a message in the tree, with the actions and messages inside it."""

    start: Record
    end: Record | None = None  # the last record of an action
    children: list[_Branch] = attrs.field(factory=list)


def tree(task: list[Record]) -> list[str]:
    """Renders a task as a tree, one line of text per action or message."""
    roots = _build_branches(task)
    head = task[0]
    lines = [f"{_time_of_day(head.timestamp)}  {head.node}  task {head.task}".replace("    ", "  ")]
    lines.extend(_render(roots, "", head.timestamp))
    return lines


def _build_branches(task: list[Record]) -> list[_Branch]:
    """Nests records by their level: those below the level of an action's start become its children."""
    roots: list[_Branch] = []
    open_actions: dict[tuple[int, ...], _Branch] = {}
    for record in task:
        parent = open_actions.get(record.level[:-1])
        if record.status in ("succeeded", "failed") and parent is not None:
            parent.end = record
            continue
        branch = _Branch(record)
        container = parent
        if record.status == "started":
            open_actions[record.level[:-1]] = branch
            container = open_actions.get(record.level[:-2]) if len(record.level) > 1 else None
        (container.children if container is not None else roots).append(branch)
    return roots


def _render(branches: list[_Branch], indent: str, start_s: float) -> Iterator[str]:
    for branch in branches:
        is_last = branch is branches[-1]
        yield f"{indent}{LAST_BRANCH if is_last else BRANCH}{_describe(branch, start_s)}"
        yield from _render(branch.children, indent + (BLANK if is_last else VERTICAL_LINE), start_s)


def _describe(branch: _Branch, start_s: float) -> str:
    start, end = branch.start, branch.end
    parts = [f"{start.name}", f"+{1000 * (start.timestamp - start_s):.1f} ms", start.details]
    if end is not None:
        parts.append(f"-> {end.status} after {1000 * (end.timestamp - start.timestamp):.1f} ms")
        parts.append(end.details)
    elif start.status == "started":
        parts.append("-> no end in these files")
    return "  ".join(part for part in parts if part)


def line(record: Record) -> str:
    """Renders a record as one line of text."""
    parts = [_time_of_day(record.timestamp), record.node, record.name, record.status, record.details]
    return "  ".join(part for part in parts if part)


def _time_of_day(timestamp: float) -> str:
    return datetime.fromtimestamp(timestamp, UTC).isoformat(sep=" ", timespec="milliseconds")[:23]
