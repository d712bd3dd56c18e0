"""Header fields and the heads of answers, as bytes."""

from __future__ import annotations

Headers = list[tuple[bytes, bytes]]  # names in lower case, values stripped, in the order received

REASONS = {
    200: b"OK",
    201: b"Created",
    204: b"No Content",
    304: b"Not Modified",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# They concern one connection only; `Connection` may name more of them.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection",
     b"te", b"trailer", b"transfer-encoding", b"upgrade")
)  # fmt: skip
CLOSE = b"Connection: close\r\n"
_STATUS_LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}


def phrase(status: int) -> str:
    """The words for a status."""
    return REASONS.get(status, b"Error").decode()


def status_line(status: int) -> bytes:
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d Error\r\n" % status


def first(headers: Headers, name: bytes) -> bytes | None:
    """The value of the first field of that name."""
    for own, value in headers:
        if own == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """The fields that a proxy passes on: without those of one connection, and without the length, which is
    told anew by whoever sends the body."""
    named = [value for name, value in headers if name == b"connection"]
    dropped = HOP_BY_HOP
    if named:
        dropped = HOP_BY_HOP.union(part.strip().lower() for part in b",".join(named).split(b","))
    return [field for field in headers if field[0] not in dropped and field[0] != b"content-length"]


def encode_fields(headers: Headers) -> bytes:
    return b"".join([b"%b: %b\r\n" % field for field in headers])


def encode_answer(status: int, body: bytes, fields: bytes = b"", close: bool = False) -> bytes:
    """A whole answer; `fields` are lines that end in CRLF."""
    return b"%b%bContent-Length: %d\r\n%b\r\n%b" % (
        status_line(status),
        fields,
        len(body),
        CLOSE if close else b"",
        body,
    )
