"""Errors raised while decoding the internal protocol."""

from __future__ import annotations

from cloverrouter.errors import CypresswinchError


class MessageError(CypresswinchError):
    """The received bytes violate the internal protocol. The connection must be closed."""


class FrameTooLarge(MessageError):
    """The length in a frame's header is outside the allowed range."""


class MalformedFrame(MessageError):
    """A frame's body cannot be decoded as a message of the frame's type."""
