"""Messages as attrs classes, encoded by Avro schemas that are derived from their fields.

A frame: length of what follows (4 bytes, big-endian), protocol version (1 byte), type (2 bytes), Avro body.

Version rule: a message's fields never change once released. A changed message gets a new type; a frame of an
unknown type or of another protocol version is skipped, so that old and new processes can talk.
"""

from __future__ import annotations

import io
import struct
import types
import typing
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import attrs
from fastavro import parse_schema, schemaless_reader, schemaless_writer

from cloverrouter.messages.errors import FrameTooLarge, MalformedFrame

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 64 * 1024 * 1024
HEADER = struct.Struct(">IBH")
_BODY_HEADER_BYTES = 3  # version and type, counted in the length

_PRIMITIVES = {str: "string", bytes: "bytes", int: "long", float: "double", bool: "boolean"}

T = TypeVar("T")
Pack = Callable[[Any], Any]


@attrs.frozen(slots=True)
class _Kind:
    """One message type: how its instances become Avro data and back."""

    cls: type
    type_id: int
    schema: Any


_kinds_by_id: dict[int, _Kind] = {}
_kinds_by_class: dict[type, _Kind] = {}


@typing.dataclass_transform(frozen_default=True)
def nested(cls: type[T]) -> type[T]:
    """A frozen attrs class that may be a field of messages, and is none itself."""
    return attrs.frozen(slots=True)(cls)


@typing.dataclass_transform(frozen_default=True)
def message(type_id: int) -> Callable[[type[T]], type[T]]:
    """Class decorator: makes a frozen attrs class, and registers it under a type number (1 to 65,535) that no
    other message has.

    Fields may be str, bytes, int, float, bool, ``T | None``, ``tuple[T, ...]``, ``dict[str, T]`` and
    classes decorated by `nested`.
    """

    def register(cls: type[T]) -> type[T]:
        frozen = attrs.frozen(slots=True)(cls)
        if type_id in _kinds_by_id:
            raise ValueError(f"message type {type_id} is taken by {_kinds_by_id[type_id].cls.__name__}")
        schema = parse_schema(_record_schema(frozen, set()))
        kind = _Kind(frozen, type_id, schema)
        _kinds_by_id[type_id] = _kinds_by_class[frozen] = kind
        return frozen

    return register


def _record_schema(cls: type, named: set[str]) -> dict[str, Any] | str:
    if cls.__name__ in named:
        return cls.__name__
    named.add(cls.__name__)
    hints = typing.get_type_hints(cls)
    fields = [
        {"name": field.name, "type": _type_schema(hints[field.name], named)} for field in attrs.fields(cls)
    ]
    return {"type": "record", "name": cls.__name__, "fields": fields}


def _type_schema(hint: Any, named: set[str]) -> Any:
    if hint in _PRIMITIVES:
        return _PRIMITIVES[hint]
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        (inner,) = [argument for argument in arguments if argument is not type(None)]
        return ["null", _type_schema(inner, named)]
    if origin is tuple:
        return {"type": "array", "items": _type_schema(arguments[0], named)}
    if origin is dict:
        return {"type": "map", "values": _type_schema(arguments[1], named)}
    if attrs.has(hint):
        return _record_schema(hint, named)
    raise TypeError(f"a message can't have a field of type {hint}")


def _unstructure(value: Any) -> Any:
    if attrs.has(type(value)):
        return {name: _unstructure(getattr(value, name)) for name in _field_names(type(value))}
    if isinstance(value, tuple):
        return [_unstructure(item) for item in value]
    if isinstance(value, dict):
        return {key: _unstructure(item) for key, item in value.items()}
    return value


_names_cache: dict[type, tuple[str, ...]] = {}
_hints_cache: dict[type, dict[str, Any]] = {}


def _field_names(cls: type) -> tuple[str, ...]:
    names = _names_cache.get(cls)
    if names is None:
        names = _names_cache[cls] = tuple(field.name for field in attrs.fields(cls))
    return names


def _structure(hint: Any, value: Any) -> Any:
    if value is None or hint in _PRIMITIVES:
        return value
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        (inner,) = [argument for argument in arguments if argument is not type(None)]
        return _structure(inner, value)
    if origin is tuple:
        return tuple(_structure(arguments[0], item) for item in value)
    if origin is dict:
        return {key: _structure(arguments[1], item) for key, item in value.items()}
    hints = _hints_cache.get(hint)
    if hints is None:
        hints = _hints_cache[hint] = typing.get_type_hints(hint)
    return hint(**{name: _structure(hints[name], value[name]) for name in _field_names(hint)})


def encode(instance: object) -> bytes:
    """The frame of a message."""
    kind = _kinds_by_class[type(instance)]
    body = io.BytesIO()
    schemaless_writer(body, kind.schema, _unstructure(instance))
    data = body.getvalue()
    return HEADER.pack(len(data) + _BODY_HEADER_BYTES, PROTOCOL_VERSION, kind.type_id) + data


def _decode(type_id: int, body: bytes) -> object | None:
    kind = _kinds_by_id.get(type_id)
    if kind is None:
        return None
    stream = io.BytesIO(body)
    try:
        instance: object = _structure(kind.cls, schemaless_reader(stream, kind.schema, None))
    except Exception as error:  # fastavro raises whatever its parts raise
        raise MalformedFrame(f"{kind.cls.__name__}: {type(error).__name__}: {error}") from error
    if stream.tell() != len(body):
        raise MalformedFrame(f"{kind.cls.__name__}: {len(body) - stream.tell()} bytes too many")
    return instance


class Decoder:
    """Frames out of a stream of bytes that may be split anywhere."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> Iterator[object]:
        """The messages that are whole by now. Raises `MessageError`, after which nothing more may be fed."""
        self._buffer += data
        while len(self._buffer) >= HEADER.size:
            length, version, type_id = HEADER.unpack_from(self._buffer)
            if length < _BODY_HEADER_BYTES or length > self._max_frame_bytes:
                raise FrameTooLarge(f"a frame of {length} bytes; 3 to {self._max_frame_bytes} are allowed")
            end = length + HEADER.size - _BODY_HEADER_BYTES
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            if version != PROTOCOL_VERSION:
                continue
            found = _decode(type_id, body)
            if found is not None:
                yield found


def messages_of(module: str) -> tuple[type, ...]:
    """The message classes that a module defines, by its full name."""
    return tuple(cls for cls in _kinds_by_class if cls.__module__ == module)
