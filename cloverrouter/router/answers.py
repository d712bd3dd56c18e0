"""Status codes and headers of the answers that the proxy generates itself. None of them carries a server's
signature."""

from __future__ import annotations

from cloverrouter.http.fields import Headers
from cloverrouter.router.headers import RETRY_AFTER

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def retry_after(seconds: float) -> Headers:
    """Returns a `Retry-After` header that tells the client when to retry: seconds, with fractions."""
    return [(RETRY_AFTER, b"%.3f" % max(0.0, seconds))]
