"""`status`, `view`, `servers`, `history`, `trace`: what a running node tells of itself and of the fleet."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote

from cloverrouter.cli import node_calls, usage
from cloverrouter.cli.node_calls import Json, Node
from cloverrouter.cli.tables import text_of


def _tell(value: Any, as_json: bool) -> None:
    usage.say(json.dumps(value) if as_json else text_of(value))


def status(*, node: Node, as_json: Json = False) -> None:
    """What a node tells of itself: readiness, configuration in force, figures.

    Parameters
    ----------
    node
        HOST:PORT of its control-plane address.
    as_json
        The node's own JSON.
    """
    _tell(node_calls.read(node, "/-/status"), as_json)


def view(*, node: Node, as_json: Json = False) -> None:
    """The chain of replicas and its voters, as a node knows them.

    Parameters
    ----------
    node
        HOST:PORT of its control-plane address.
    as_json
        The node's own JSON.
    """
    _tell(node_calls.read(node, "/-/view"), as_json)


def servers(*, node: Node, as_json: Json = False) -> None:
    """The list of servers, as a node knows it.

    Parameters
    ----------
    node
        HOST:PORT of its control-plane address.
    as_json
        The node's own JSON.
    """
    told = node_calls.read(node, "/-/instances")
    _tell(told if as_json else _rows(told), as_json)


def _rows(told: Any) -> Any:
    """Servers by their id as rows of a table."""
    if isinstance(told, dict) and told and all(isinstance(item, dict) for item in told.values()):
        return [{"instance-id": name, **item} for name, item in told.items()]
    return told


def history(*, node: Node, as_json: Json = False) -> None:
    """The latest changes of the configuration.

    Parameters
    ----------
    node
        HOST:PORT of its control-plane address.
    as_json
        The node's own JSON.
    """
    told = node_calls.read(node, "/-/history")
    _tell(told if as_json else _dated(told), as_json)


def _dated(told: Any) -> Any:
    """Changes with their time as a date, UTC, where it is in seconds since 1970."""
    if not isinstance(told, list):
        return told
    return [{**item, "at": _date(item.get("at"))} for item in told if isinstance(item, dict)]


def _date(at: Any) -> Any:
    if not isinstance(at, int | float):
        return at
    return datetime.fromtimestamp(at, UTC).isoformat(sep=" ", timespec="seconds").removesuffix("+00:00")


def trace(request_id: str, /, *, node: Node, as_json: Json = False) -> None:
    """What a node remembers of a request: each attempt, where it went, how it ended.

    Parameters
    ----------
    request_id
        The attempt id that the client sent.
    node
        HOST:PORT of its control-plane address.
    as_json
        The node's own JSON.
    """
    _tell(node_calls.read(node, f"/-/trace/{quote(request_id, safe='')}"), as_json)
