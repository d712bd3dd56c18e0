"""The headers of a request: reading those that concern the proxy, and encoding the request for a server."""

from __future__ import annotations

import math

from cloverrouter.http.field_text import encode_field_text
from cloverrouter.http.fields import HOP_BY_HOP, Headers, encode_fields, first
from cloverrouter.http.request import Request

ATTEMPT_ID = b"cypresswinch-attempt-id"
DEADLINE = b"cypresswinch-deadline-ms"
EXPECTED_INSTANCE = b"cypresswinch-expected-instance"
TENANT = b"cypresswinch-tenant"
SIGNATURE = b"cypresswinch-server-signature"
NOT_EXECUTED = b"cypresswinch-not-executed"
SERVER_LOAD = b"cypresswinch-server-load"
MODEL = b"cypresswinch-model"
TOKEN_USAGE = b"cypresswinch-token-usage"
PROMPT_PREFIX = b"cypresswinch-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
PRIORITY = b"priority"
EXPECT_VERSION = b"expect-version"
AUTHORIZATION = b"authorization"
CONTENT_ENCODING = b"content-encoding"
CONTENT_TYPE = b"content-type"
RETRY_AFTER = b"retry-after"

EVENT_STREAM = b"text/event-stream"
BEARER = b"bearer "
MAX_DEADLINE_MS = 86_400_000.0
# Not forwarded: the router sets them itself, they concern only this connection, they are secret, or only the
# system may send them to servers. A client's `Expect-Version` that no server has would make each server
# answer as if another instance had its address.
_NOT_FORWARDED = frozenset(
    (
        AUTHORIZATION,
        TENANT,
        EXPECTED_INSTANCE,
        EXPECT_VERSION,
        DEADLINE,
        PRIORITY,
        LAST_EVENT_ID,
        b"content-length",
        b"expect",
    )
)
_DROPPED = HOP_BY_HOP | _NOT_FORWARDED | {b"http2-settings"}
# Forwarded even if the client's `Connection` header names them, which would otherwise drop them.
_ALWAYS_KEPT = frozenset((b"host", ATTEMPT_ID, MODEL, TOKEN_USAGE, PROMPT_PREFIX))
_METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


def bearer_key(request: Request) -> bytes | None:
    """Returns the API key in the `Authorization` header; None if there is none."""
    value = request.header(AUTHORIZATION)
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip()


def has_single_attempt_id(request: Request) -> bool:
    """Returns whether the request carries exactly one attempt id, and it is not empty."""
    return request.count(ATTEMPT_ID) == 1 and bool(request.header(ATTEMPT_ID))


def deadline_ms(request: Request) -> float | None:
    """Returns how long the client will wait, in milliseconds; None if it is not stated or cannot be
    parsed."""
    value = request.header(DEADLINE)
    if value is None:
        return None
    try:
        found = float(value)
    except ValueError:
        return None
    if not math.isfinite(found) or found < 0:
        return None
    return min(found, MAX_DEADLINE_MS)


def token_usage(request: Request) -> tuple[int, int] | None:
    """Returns the prompt tokens and the maximum of output tokens that the client states; None if they are
    not stated or cannot be parsed."""
    value = request.header(TOKEN_USAGE)
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 2:
        return None
    counts = [part.strip() for part in parts]
    if not all(count.isdigit() and len(count) <= 12 for count in counts):
        return None
    return int(counts[0]), int(counts[1])


def text(request: Request, name: bytes) -> str | None:
    """Returns the value of a header as text; None if it is missing."""
    value = request.header(name)
    return None if value is None else value.decode("latin-1")


def is_event_stream(headers: Headers) -> bool:
    """Returns whether an answer is an event stream."""
    return any(
        name == CONTENT_TYPE and value[: len(EVENT_STREAM)].lower() == EVENT_STREAM for name, value in headers
    )


def is_unframed(headers: Headers, length: int | None) -> bool:
    """Returns whether only the end of the connection marks the end of an answer."""
    return length is None and first(headers, b"transfer-encoding") is None


def encode_request_head(request: Request, tenant: str | None, priority: int | None) -> bytes:
    """Returns the part that all sends of a request share: the head, up to the point where the headers of
    one send follow. Headers are unchanged except for hop-by-hop headers, secrets and those that the router
    sets."""
    dropped = _dropped(request.headers)
    fields = [field for field in request.headers if field[0] not in dropped]
    if tenant is not None:
        fields.append((TENANT, encode_field_text(tenant)))
    if priority is not None:
        fields.append((PRIORITY, b"%d" % priority))
    size = request.body_size
    if size or request.method in _METHODS_WITH_BODY or request.header(b"content-length") is not None:
        fields.append((b"content-length", b"%d" % size))
    return b"%b %b HTTP/1.1\r\n%b" % (request.method, request.target, encode_fields(fields))


def _dropped(headers: Headers) -> frozenset[bytes]:
    named = [value for name, value in headers if name == b"connection"]
    if not named:
        return _DROPPED
    tokens = {token.strip().lower() for token in b",".join(named).split(b",")}
    return _DROPPED | (tokens - _ALWAYS_KEPT)
