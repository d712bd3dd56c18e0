"""Text in the values of header fields, and in paths.

A field value carries visible ASCII and single spaces between it unchanged. Recipients strip other blanks, and
read other bytes in an encoding of their choice (RFC 9110, 5.5). Any other text is percent-encoded as UTF-8
(RFC 3986), so that each text has a value of its own, from which percent-decoding gives it back.
"""

from __future__ import annotations

import re
from urllib.parse import quote, unquote_to_bytes

_PLAIN_TEXT = re.compile(r"[!-~]+(?: [!-~]+)*")
_NOT_ESCAPED = "".join(map(chr, range(0x21, 0x7F))).replace("%", "")


def is_plain(text: str) -> bool:
    """Returns whether a field value carries the text unchanged."""
    return _PLAIN_TEXT.fullmatch(text) is not None


def encode_field_text(text: str) -> bytes:
    """Returns the field value for a text. Different texts have different values, and none raises an error:
    halves of surrogate pairs are encoded like characters."""
    if "%" not in text and is_plain(text):
        return text.encode("ascii")
    return quote(text, safe=_NOT_ESCAPED, errors="surrogatepass").encode("ascii")


def decode_field_text(value: bytes) -> str:
    """Returns the text of a value made by `encode_field_text`. Raises `UnicodeDecodeError` for others."""
    return unquote_to_bytes(value).decode("utf-8", "surrogatepass")


def read_text(value: bytes) -> str:
    """Returns bytes that a client sent as text: UTF-8, or else Latin-1."""
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


def read_percent_encoded(value: bytes) -> str:
    """Returns percent-encoded bytes that a client sent as text: UTF-8, or else Latin-1."""
    return read_text(unquote_to_bytes(value))
