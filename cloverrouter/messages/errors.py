"""What can be wrong with bytes of the internal protocol."""

from __future__ import annotations

from cloverrouter.errors import CypresswinchError


class MessageError(CypresswinchError):
    """The bytes are not the internal protocol's. The connection that they came on is of no further use."""


class FrameTooLarge(MessageError):
    """A frame announces more bytes than a frame may have."""


class MalformedFrame(MessageError):
    """A frame's body does not decode as the message that its type names."""
