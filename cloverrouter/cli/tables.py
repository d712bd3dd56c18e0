"""Formats JSON values as text for terminal output."""

from __future__ import annotations

import json
import re
from typing import Any

_CONTROL_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029]")


def printable(text: str) -> str:
    """Returns a text, as JSON if it has characters that would move the cursor or end the line."""
    return json.dumps(text) if _CONTROL_CHARACTERS.search(text) else text


def text_of(value: Any) -> str:
    """Returns objects as NAME  VALUE lines, lists of objects as tables, an empty list as (none), and other
    values as JSON."""
    if isinstance(value, dict):
        return "\n".join(_object_lines(value))
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return "\n".join(_table_lines(value))
    if isinstance(value, list) and not value:
        return "(none)"
    return json.dumps(value)


def _object_lines(value: dict[str, Any]) -> list[str]:
    width = max((len(str(key)) for key in value), default=0)
    lines = []
    for key, item in value.items():
        if _is_nested(item):
            lines.append(f"{key}:")
            lines.extend("  " + line for line in text_of(item).splitlines())
        else:
            lines.append(f"{key!s:{width}}  {_cell(item)}")
    return lines


def _is_nested(value: Any) -> bool:
    if isinstance(value, dict):
        return bool(value)
    return isinstance(value, list) and any(isinstance(item, dict) for item in value)


def _table_lines(rows: list[dict[str, Any]]) -> list[str]:
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_cell(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(name), *(len(row[column]) for row in cells)) for column, name in enumerate(names)]
    lines = [names, *cells]
    return ["  ".join(f"{cell:{width}}" for cell, width in zip(line, widths, strict=True)).rstrip()
            for line in lines]  # fmt: skip


def _cell(value: Any) -> str:
    if isinstance(value, str):
        return printable(value)
    if isinstance(value, list) and not _is_nested(value):
        return ", ".join(_cell(item) for item in value) or "-"
    return json.dumps(value)
