"""The answers that a proxy gives itself. None of them carries a server's stamp."""

from __future__ import annotations

from cloverrouter.http.fields import Headers
from cloverrouter.router.headers import RETRY_AFTER

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMED_OUT = 504


def retry_after(seconds: float) -> Headers:
    """Tells the client when to come back: seconds, with fractions."""
    return [(RETRY_AFTER, b"%.3f" % max(0.0, seconds))]
