"""What a taken order changes, as it travels along the chain and on to the proxies, and how it is applied.

An update of a whole configuration fits any earlier version; a patch only the version that it builds on.
"""

from __future__ import annotations

import json
from typing import Any, TypeVar

from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.errors import UpdateOutOfOrder
from cloverrouter.messages.codec import Decoder, encode, message
from cloverrouter.messages.errors import MalformedFrame

T = TypeVar("T")


@message(303)
class ConfigurationReplaced:
    """A whole configuration came into force."""

    version: int
    base: int
    """The version before."""
    digest: bytes
    """Of the order that brought it; empty where only the content is handed on."""
    document: bytes
    """JSON."""


@message(304)
class ConfigurationPatched:
    """Items of the configuration were changed by name."""

    version: int
    base: int
    digest: bytes
    patch: bytes
    """JSON."""


Update = ConfigurationReplaced | ConfigurationPatched


def decoded(frame: bytes, kind: type[T]) -> T:
    """The one message of a frame, of that type. Raises `MessageError`."""
    found = _only(frame)
    if not isinstance(found, kind):
        raise MalformedFrame(f"found {type(found).__name__}, wanted {kind.__name__}")
    return found


def decoded_update(frame: bytes) -> Update:
    """The one update of a frame. Raises `MessageError`."""
    found = _only(frame)
    if not isinstance(found, Update):
        raise MalformedFrame(f"found {type(found).__name__}, wanted an update")
    return found


def _only(frame: bytes) -> object:
    found = list(Decoder().feed(frame))
    if len(found) != 1:
        raise MalformedFrame(f"found {len(found)} whole messages, wanted one")
    return found[0]


def applied(state: ConfigurationState, update: Update) -> ConfigurationState:
    """The state after an update. Raises `UpdateOutOfOrder` where it can't follow this state."""
    if update.version <= state.version:
        raise UpdateOutOfOrder(f"version {update.version} after {state.version}")
    if isinstance(update, ConfigurationReplaced):
        return state.replaced(_object(update.document))
    if update.base != state.version:
        raise UpdateOutOfOrder(f"a patch of version {update.base} for version {state.version}")
    return state.patched(_object(update.patch))


def applied_frame(state: ConfigurationState, frame: bytes) -> ConfigurationState:
    """The state after an encoded update."""
    return applied(state, decoded_update(frame))


def whole(state: ConfigurationState) -> bytes:
    """The encoded update that brings any earlier state to this one."""
    return encode(ConfigurationReplaced(state.version, 0, b"", state.json()))


def _object(data: bytes) -> dict[str, Any]:
    return dict(json.loads(data))
