"""The commands `status`, `view`, `servers`, `history` and `trace`: query a running node."""

from __future__ import annotations

import json
import os
from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote

from cloverrouter.cli import node_calls, usage
from cloverrouter.cli.node_calls import Json, Node
from cloverrouter.cli.tables import text_of


def _print_answer(value: Any, as_json: bool) -> None:
    usage.print_line(json.dumps(value) if as_json else text_of(value))


def status(*, node: Node, as_json: Json = False) -> None:
    """Show a node's readiness, current configuration and metrics.

    Parameters
    ----------
    node
        HOST:PORT of the node's control-plane address.
    as_json
        Print the node's JSON unchanged.
    """
    _print_answer(node_calls.read(node, "/-/status"), as_json)


def view(*, node: Node, as_json: Json = False) -> None:
    """Show the replica chain and its voters, as a node knows them.

    Parameters
    ----------
    node
        HOST:PORT of the node's control-plane address.
    as_json
        Print the node's JSON unchanged.
    """
    _print_answer(node_calls.read(node, "/-/view"), as_json)


def servers(*, node: Node, as_json: Json = False) -> None:
    """Show the list of servers, as a node knows it.

    Parameters
    ----------
    node
        HOST:PORT of the node's control-plane address.
    as_json
        Print the node's JSON unchanged.
    """
    instances = node_calls.read(node, "/-/instances")
    _print_answer(instances if as_json else _table_rows(instances), as_json)


def _table_rows(instances: Any) -> Any:
    """Returns instances keyed by id as a list of table rows; any other value unchanged."""
    if (
        isinstance(instances, dict)
        and instances
        and all(isinstance(item, dict) for item in instances.values())
    ):
        return [{"instance-id": name, **item} for name, item in instances.items()]
    return instances


def history(*, node: Node, as_json: Json = False) -> None:
    """Show the latest changes of the configuration.

    Parameters
    ----------
    node
        HOST:PORT of the node's control-plane address.
    as_json
        Print the node's JSON unchanged.
    """
    changes = node_calls.read(node, "/-/history")
    _print_answer(changes if as_json else _with_readable_times(changes), as_json)


def _with_readable_times(changes: Any) -> Any:
    """Returns changes with a numeric `at` (Unix time in seconds) replaced by a UTC date; any other value
    unchanged."""
    if not isinstance(changes, list):
        return changes
    return [
        {**change, "at": _readable_time(change.get("at"))} for change in changes if isinstance(change, dict)
    ]


def _readable_time(timestamp: Any) -> Any:
    if not isinstance(timestamp, int | float):
        return timestamp
    return (
        datetime.fromtimestamp(timestamp, UTC).isoformat(sep=" ", timespec="seconds").removesuffix("+00:00")
    )


def trace(request_id: str, /, *, node: Node, as_json: Json = False) -> None:
    """Show the trace of a request that a node holds: each attempt, its server and its outcome.

    Parameters
    ----------
    request_id
        The attempt id sent by the client.
    node
        HOST:PORT of the node's control-plane address.
    as_json
        Print the node's JSON unchanged.
    """
    _print_answer(node_calls.read(node, f"/-/trace/{quote(os.fsencode(request_id), safe='')}"), as_json)
