"""Updates of the configuration, as sent along the chain and to the proxies, and their application to a state.

An update with a full configuration can be applied to any earlier version, a patch only to the version that it
builds on.
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
    """The whole configuration was replaced."""

    version: int
    base: int
    """The previous version."""
    digest: bytes
    """The digest of the order; empty if the update only transfers the state."""
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


def decode_message(frame: bytes, kind: type[T]) -> T:
    """Returns the only message of a frame. Raises `MessageError` if it is not exactly one of that type."""
    found = _single_message(frame)
    if not isinstance(found, kind):
        raise MalformedFrame(f"found {type(found).__name__}, wanted {kind.__name__}")
    return found


def decode_update(frame: bytes) -> Update:
    """Returns the only update of a frame. Raises `MessageError` if it is not exactly one update."""
    found = _single_message(frame)
    if not isinstance(found, Update):
        raise MalformedFrame(f"found {type(found).__name__}, wanted an update")
    return found


def _single_message(frame: bytes) -> object:
    found = list(Decoder().feed(frame))
    if len(found) != 1:
        raise MalformedFrame(f"found {len(found)} whole messages, wanted one")
    return found[0]


def apply_update(state: ConfigurationState, update: Update) -> ConfigurationState:
    """Returns the state after an update. Raises `UpdateOutOfOrder` if it doesn't fit the state's version."""
    if update.version <= state.version:
        raise UpdateOutOfOrder(f"version {update.version} after {state.version}")
    if isinstance(update, ConfigurationReplaced):
        return state.replaced(_object(update.document))
    if update.base != state.version:
        raise UpdateOutOfOrder(f"a patch of version {update.base} for version {state.version}")
    return state.patched(_object(update.patch))


def apply_frame(state: ConfigurationState, frame: bytes) -> ConfigurationState:
    """Returns the state after an encoded update. Raises `UpdateOutOfOrder` or `MessageError`."""
    return apply_update(state, decode_update(frame))


def full_update(state: ConfigurationState) -> bytes:
    """Returns the encoded update that turns any earlier state into this one."""
    return encode(ConfigurationReplaced(state.version, 0, b"", state.json()))


def _object(data: bytes) -> dict[str, Any]:
    return dict(json.loads(data))
