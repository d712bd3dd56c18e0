"""Calls to a running node's control-plane address."""

from __future__ import annotations

import json
from typing import Annotated, Any

import attrs
import urllib3
from cyclopts import Parameter

from cloverrouter.cli import usage

NODE_VARIABLE = "CYPRESSWINCH_NODE"
Node = Annotated[str, Parameter(name="--node", env_var=NODE_VARIABLE)]
Json = Annotated[bool, Parameter(name="--json", negative="")]

REDIRECTS = 2
TIMEOUT_S = 10.0


@attrs.frozen(slots=True)
class Reply:
    """A node's answer; `body` as its JSON says, or its text if it is none."""

    status: int
    body: Any


def call(node: str, method: str, path: str, body: bytes | None = None, if_match: int | None = None) -> Reply:
    """One call. Raises UsageError for an address that is none, CommandFailed if no answer comes."""
    headers = {"Accept": "application/json"}
    if body is not None:
        headers["Content-Type"] = "application/json"
    if if_match is not None:
        headers["If-Match"] = str(if_match)
    retries = urllib3.Retry(total=REDIRECTS, connect=0, read=0, redirect=REDIRECTS, status=0, other=0)
    try:
        with urllib3.PoolManager(timeout=TIMEOUT_S) as pool:
            answer = pool.request(
                method, f"http://{_address(node)}{path}", body=body, headers=headers, retries=retries
            )
    except urllib3.exceptions.HTTPError as error:
        raise usage.CommandFailed(f"{node}: {_cause(error)}") from error
    return Reply(answer.status, _decoded(answer.data))


def _address(node: str) -> str:
    host, colon, port = node.rpartition(":")
    if not (host and colon and port.isdecimal()):
        raise usage.UsageError(f"--node: found {node!r}, allowed is HOST:PORT of a control-plane address")
    return node


def _cause(error: Exception) -> str:
    """Why no answer came, without the library's wrapping."""
    reason = getattr(error, "reason", None) or error
    if isinstance(reason, urllib3.exceptions.NewConnectionError):
        return "nothing listens there" if "refused" in str(reason) else "no connection"
    if isinstance(reason, urllib3.exceptions.TimeoutError):
        return f"no answer within {TIMEOUT_S:g} s"
    return str(reason)


def _decoded(data: bytes) -> Any:
    try:
        return json.loads(data) if data else None
    except ValueError:
        return data.decode("utf-8", "replace")


def read(node: str, path: str) -> Any:
    """What a GET tells. Raises CommandFailed for any status but 200."""
    reply = call(node, "GET", path)
    if reply.status != 200:
        raise usage.CommandFailed(f"{node}: {refusal(reply)}")
    return reply.body


def refusal(reply: Reply) -> str:
    """A failed answer in words, with all findings that it lists."""
    body = reply.body
    if not isinstance(body, dict):
        return f"status {reply.status}: {body or 'no body'}"
    text = str(body.get("error-message") or json.dumps(body))
    return "\n  ".join([f"status {reply.status}: {text}", *map(str, body.get("findings", ()))])
