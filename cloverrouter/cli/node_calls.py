"""HTTP calls to the control-plane address of a running node."""

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

MAX_REDIRECTS = 2
TIMEOUT_S = 10.0


@attrs.frozen(slots=True)
class Reply:
    """A node's answer; `body` is its decoded JSON, its text if it is not JSON, or None if it is empty."""

    status: int
    body: Any


def call(node: str, method: str, path: str, body: bytes | None = None, if_match: int | None = None) -> Reply:
    """Makes one call, without retries. Raises UsageError for a malformed address, CommandFailed if no answer
    comes."""
    headers = {"Accept": "application/json"}
    if body is not None:
        headers["Content-Type"] = "application/json"
    if if_match is not None:
        headers["If-Match"] = str(if_match)
    retries = urllib3.Retry(total=MAX_REDIRECTS, connect=0, read=0, redirect=MAX_REDIRECTS, status=0, other=0)
    try:
        with urllib3.PoolManager(timeout=TIMEOUT_S) as pool:
            answer = pool.request(
                method, f"http://{_address(node)}{path}", body=body, headers=headers, retries=retries
            )
    except urllib3.exceptions.HTTPError as error:
        raise usage.CommandFailed(f"{node}: {_failure_reason(error)}") from error
    return Reply(answer.status, _decode_body(answer.data))


def _address(node: str) -> str:
    host, separator, port = node.rpartition(":")
    if not (host and separator and port.isdecimal()):
        raise usage.UsageError(f"--node: found {node!r}, allowed is HOST:PORT of a control-plane address")
    return node


def _failure_reason(error: Exception) -> str:
    """Returns why no answer came, without the text that urllib3 wraps around the cause."""
    reason = getattr(error, "reason", None) or error
    if isinstance(reason, urllib3.exceptions.NewConnectionError):
        return "connection refused" if "refused" in str(reason) else "connection failed"
    if isinstance(reason, urllib3.exceptions.TimeoutError):
        return f"no answer within {TIMEOUT_S:g} s"
    return str(reason)


def _decode_body(data: bytes) -> Any:
    try:
        return json.loads(data) if data else None
    except ValueError:
        return data.decode("utf-8", "replace")


def read(node: str, path: str) -> Any:
    """Returns the body of a GET. Raises CommandFailed for any status but 200."""
    reply = call(node, "GET", path)
    if reply.status != 200:
        raise usage.CommandFailed(f"{node}: {error_text(reply)}")
    return reply.body


def error_text(reply: Reply) -> str:
    """Returns the status and message of an error answer, with all findings that it lists."""
    body = reply.body
    if not isinstance(body, dict):
        return f"status {reply.status}: {body or 'no body'}"
    text = str(body.get("error-message") or json.dumps(body))
    return "\n  ".join([f"status {reply.status}: {text}", *map(str, body.get("findings", ()))])
