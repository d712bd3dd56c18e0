"""`config`: the configuration in force, how a file differs from it, and bringing a file into force."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cyclopts import App

from cloverrouter.cli import node_calls, usage
from cloverrouter.cli.node_calls import Json, Node, Reply
from cloverrouter.cli.tables import text_of

PATH = "/-/configuration"
TRIES = 4
PAUSE_S = 0.5
CHANGE_SECTIONS = ("upsert", "delete")

config = App(
    name="config",
    help="The configuration in force: show it, compare a file with it, bring a file into force.",
)


def _read_file(path: Path) -> dict[str, Any]:
    try:
        told = json.loads(path.read_text())
    except OSError as error:
        raise usage.UsageError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise usage.UsageError(f"{path}: no JSON: {error}") from error
    if not isinstance(told, dict):
        raise usage.UsageError(f"{path}: found {type(told).__name__}, allowed is an object")
    return told


def _current(node: str) -> dict[str, Any]:
    """What is in force; version 0 and nothing else before the first."""
    reply = node_calls.call(node, "GET", PATH)
    if reply.status == 404:
        return {"version": 0}
    if reply.status != 200 or not isinstance(reply.body, dict):
        raise usage.CommandFailed(f"{node}: {node_calls.refusal(reply)}")
    return reply.body


@config.command
def show(*, node: Node, as_json: Json = False) -> None:
    """The newest configuration.

    Parameters
    ----------
    node
        HOST:PORT of any node's control-plane address.
    as_json
        As it would be brought.
    """
    told = node_calls.read(node, PATH)
    usage.say(json.dumps(told, indent=1) if as_json else text_of(told))


@config.command
def diff(file: Path, /, *, node: Node) -> None:
    """What a file would change. Exits 0 if nothing, 1 if something.

    Parameters
    ----------
    file
        A whole configuration in JSON.
    node
        HOST:PORT of any node's control-plane address.
    """
    lines = list(differences(_current(node), _read_file(file)))
    for line in lines:
        usage.say(line)
    if any(not line.startswith("version") for line in lines):
        raise SystemExit(usage.FOUND)


def differences(old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    """One line for each item added (+), removed (-) or changed (~), told by its name if it has one."""
    for section in dict.fromkeys((*old, *new)):
        one, other = old.get(section), new.get(section)
        if one == other:
            continue
        if not (_is_named(one) and _is_named(other)):
            yield f"{section}: {json.dumps(one)} -> {json.dumps(other)}"
            continue
        before = {item["name"]: item for item in one or ()}
        after = {item["name"]: item for item in other or ()}
        yield from (f"- {section} {name}" for name in before if name not in after)
        yield from (f"+ {section} {name}: {json.dumps(after[name])}" for name in after if name not in before)
        yield from (
            f"~ {section} {name}: {_changed_fields(before[name], after[name])}"
            for name in after
            if name in before and before[name] != after[name]
        )


def _is_named(items: Any) -> bool:
    if items is None:
        return True
    return isinstance(items, list) and all(isinstance(item, dict) and "name" in item for item in items)


def _changed_fields(old: dict[str, Any], new: dict[str, Any]) -> str:
    names = [name for name in dict.fromkeys((*old, *new)) if old.get(name) != new.get(name)]
    return ", ".join(f"{name} {json.dumps(old.get(name))} -> {json.dumps(new.get(name))}" for name in names)


@config.command
def apply(file: Path, /, *, node: Node, if_match: int | None = None) -> None:
    """Bring a configuration, or a change of one, into force; returns when it is acknowledged.

    An order without a clear answer is sent again as it is; one that has been taken is acknowledged again.

    Exits 0 if it is acknowledged, 1 if another version is in force or no clear answer came, 2 if invalid.

    Parameters
    ----------
    file
        In JSON: a whole configuration, or a change with `upsert` or `delete`.
    node
        HOST:PORT of any node's control-plane address.
    if_match
        The version that it builds on; default the one in force.
    """
    told = _read_file(file)
    builds_on = if_match if if_match is not None else int(_current(node).get("version", 0))
    method = "PATCH" if any(section in told for section in CHANGE_SECTIONS) else "PUT"
    reply = _ordered(node, method, json.dumps(told).encode(), builds_on)
    if reply.status == 200:
        usage.say(f"version {told.get('version')} is in force")
    elif reply.status == 412:
        raise usage.CommandFailed(f"{file}: another version than {builds_on} is in force, nothing is changed")
    elif 400 <= reply.status < 500:
        raise usage.UsageError(f"{file}: {node_calls.refusal(reply)}")
    else:
        raise usage.CommandFailed(
            f"{node}: {node_calls.refusal(reply)}\n"
            "the order may or may not be in force; it is safe to apply the same file again"
            f" with --if-match {builds_on}"
        )


def _ordered(node: str, method: str, body: bytes, builds_on: int) -> Reply:
    """The first clear answer, or the last of several unclear ones. Raises CommandFailed if none came."""
    for number in range(1, TRIES + 1):
        try:
            reply = node_calls.call(node, method, PATH, body, builds_on)
        except usage.CommandFailed:
            if number == TRIES:
                raise
        else:
            if reply.status not in (408, 429) and reply.status < 500:
                return reply
        if number < TRIES:
            time.sleep(PAUSE_S * number)
    return reply
