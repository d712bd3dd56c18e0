"""The `config` commands: show the current configuration, compare a file with it, apply a file."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cyclopts import App

from cloverrouter.cli import node_calls, usage
from cloverrouter.cli.node_calls import Json, Node, Reply
from cloverrouter.cli.tables import printable, text_of

PATH = "/-/configuration"
MAX_ATTEMPTS = 4
BACKOFF_STEP_S = 0.5  # the n-th retry waits n times this
CHANGE_SECTIONS = ("upsert", "delete")  # a file with either is a patch, not a whole configuration

config = App(
    name="config",
    help="Show the current configuration, compare a file with it, apply a file.",
)


def _read_file(path: Path) -> dict[str, Any]:
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        raise usage.UsageError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise usage.UsageError(f"{path}: not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise usage.UsageError(f"{path}: found {type(document).__name__}, allowed is an object")
    return document


def _current_configuration(node: str) -> dict[str, Any]:
    """Returns the current configuration, or only version 0 if none has been applied yet."""
    reply = node_calls.call(node, "GET", PATH)
    if reply.status == 404:
        return {"version": 0}
    if reply.status != 200 or not isinstance(reply.body, dict):
        raise usage.CommandFailed(f"{node}: {node_calls.error_text(reply)}")
    return reply.body


@config.command
def show(*, node: Node, as_json: Json = False) -> None:
    """Show the current configuration.

    Parameters
    ----------
    node
        HOST:PORT of any node's control-plane address.
    as_json
        Print it as JSON, in the form that `apply` reads.
    """
    configuration = node_calls.read(node, PATH)
    usage.print_line(json.dumps(configuration, indent=1) if as_json else text_of(configuration))


@config.command
def diff(file: Path, /, *, node: Node) -> None:
    """Show what a file would change. Exits 0 if nothing, 1 if something.

    Parameters
    ----------
    file
        A complete configuration in JSON.
    node
        HOST:PORT of any node's control-plane address.
    """
    lines = list(differences(_current_configuration(node), _read_file(file)))
    for line in lines:
        usage.print_line(line)
    if any(not line.startswith("version") for line in lines):
        raise SystemExit(usage.EXIT_FINDINGS)


def differences(old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    """Yields a line per difference: + added, - removed, ~ changed item of a section with named items, or the
    whole value of any other section."""
    for section in dict.fromkeys((*old, *new)):
        old_items, new_items = old.get(section), new.get(section)
        if old_items == new_items:
            continue
        if not (_is_named(old_items) and _is_named(new_items)):
            yield f"{section}: {json.dumps(old_items)} -> {json.dumps(new_items)}"
            continue
        old_by_name = {item["name"]: item for item in old_items or ()}
        new_by_name = {item["name"]: item for item in new_items or ()}
        yield from (f"- {section} {printable(name)}" for name in old_by_name if name not in new_by_name)
        yield from (
            f"+ {section} {printable(name)}: {json.dumps(new_by_name[name])}"
            for name in new_by_name
            if name not in old_by_name
        )
        yield from (
            f"~ {section} {printable(name)}: {_changed_fields(old_by_name[name], new_by_name[name])}"
            for name in new_by_name
            if name in old_by_name and old_by_name[name] != new_by_name[name]
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
    """Apply a configuration or a patch, and wait until it is acknowledged.

    A request without a conclusive answer is retried unchanged; a request that was already applied is
    acknowledged again.

    Exits 0 if acknowledged, 1 if another version is in force or no conclusive answer came, 2 if invalid.

    Parameters
    ----------
    file
        In JSON: a complete configuration, or a patch with `upsert` or `delete`.
    node
        HOST:PORT of any node's control-plane address.
    if_match
        The version that the change is based on; default the current one.
    """
    document = _read_file(file)
    base_version = if_match if if_match is not None else int(_current_configuration(node).get("version", 0))
    method = "PATCH" if any(section in document for section in CHANGE_SECTIONS) else "PUT"
    reply = _submit(node, method, json.dumps(document).encode(), base_version)
    if reply.status == 200:
        usage.print_line(f"version {document.get('version')} is in force")
    elif reply.status == 412:
        raise usage.CommandFailed(
            f"{file}: another version than {base_version} is in force; nothing was changed"
        )
    elif 400 <= reply.status < 500:
        raise usage.UsageError(f"{file}: {node_calls.error_text(reply)}")
    else:
        raise usage.CommandFailed(
            f"{node}: {node_calls.error_text(reply)}\n"
            "the change may or may not be in force; it is safe to apply the same file again"
            f" with --if-match {base_version}"
        )


def _submit(node: str, method: str, body: bytes, base_version: int) -> Reply:
    """Returns the first conclusive answer (no timeout, rate limit or server error), else the last one.

    Raises CommandFailed if the last attempt got no answer.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        try:
            reply = node_calls.call(node, method, PATH, body, base_version)
        except usage.CommandFailed:
            if attempt == MAX_ATTEMPTS:
                raise
        else:
            if reply.status not in (408, 429) and reply.status < 500:
                return reply
        if attempt < MAX_ATTEMPTS:
            time.sleep(BACKOFF_STEP_S * attempt)
    return reply
