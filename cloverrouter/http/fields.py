"""Header fields and response heads, as bytes."""

from __future__ import annotations

Headers = list[tuple[bytes, bytes]]  # lower-case names, stripped values, in the order received

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
# Hop-by-hop headers, which a proxy must not forward. The Connection header may name more.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection",
     b"te", b"trailer", b"transfer-encoding", b"upgrade")
)  # fmt: skip
CLOSE = b"Connection: close\r\n"
_STATUS_LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}


def phrase(status: int) -> str:
    """Returns the reason phrase of a status code."""
    return REASONS.get(status, b"Error").decode()


def status_line(status: int) -> bytes:
    """Returns the HTTP/1.1 status line with its CRLF."""
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d Error\r\n" % status


def first(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first field with this lower-case name, or None."""
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the fields that a proxy forwards.

    Hop-by-hop fields are left out, and so is Content-Length, which the sender of the body sets again.
    """
    named = [value for name, value in headers if name == b"connection"]
    dropped = HOP_BY_HOP
    if named:
        dropped = HOP_BY_HOP.union(part.strip().lower() for part in b",".join(named).split(b","))
    return [field for field in headers if field[0] not in dropped and field[0] != b"content-length"]


def encode_fields(headers: Headers) -> bytes:
    """Encodes each field as a line that ends in CRLF."""
    return b"".join([b"%b: %b\r\n" % field for field in headers])


def encode_response(status: int, body: bytes, fields: bytes = b"", close: bool = False) -> bytes:
    """Encodes a complete response. `fields` are encoded header lines that end in CRLF."""
    return b"%b%bContent-Length: %d\r\n%b\r\n%b" % (
        status_line(status),
        fields,
        len(body),
        CLOSE if close else b"",
        body,
    )
