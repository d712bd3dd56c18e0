"""Messages as attrs classes, encoded by Avro schemas that are derived from their fields.

A frame: length of what follows (4 bytes, big-endian), protocol version (1 byte), type (2 bytes), Avro body.

Version rule: a message's fields never change once released. A changed message gets a new type; a frame of an
unknown type or of another protocol version is skipped, so that old and new processes can talk.
"""

from __future__ import annotations

import functools
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


@attrs.define(slots=False, eq=False)
class _Kind:
    """One message type: how its instances become Avro data and back."""

    cls: type
    type_id: int

    @functools.cached_property
    def schema(self) -> Any:
        """Avro's, parsed. Made when a message of the kind first comes or goes, as are the two below."""
        return parse_schema(_record_schema(self.cls, set()))

    @functools.cached_property
    def pack(self) -> Pack:
        """From an instance to Avro data."""
        return _record_packer(self.cls)

    @functools.cached_property
    def unpack(self) -> Pack:
        """From Avro data to an instance."""
        return _record_unpacker(self.cls)


_kinds_by_id: dict[int, _Kind] = {}
_kinds_by_class: dict[type, _Kind] = {}


@typing.dataclass_transform(frozen_default=True)
def nested(cls: type[T]) -> type[T]:
    """A frozen attrs class that may be a field of messages, and is none itself."""
    return _frozen(cls)


def _frozen(cls: type[T]) -> type[T]:
    """attrs' methods are compiled anew at each start of a process, so these three are shared instead."""
    cls.__eq__ = _equals  # type: ignore[method-assign]
    cls.__hash__ = _hash  # type: ignore[method-assign]
    cls.__repr__ = _shown  # type: ignore[method-assign]
    return attrs.frozen(slots=True, eq=False, repr=False)(cls)


def _values(instance: Any) -> tuple[Any, ...]:
    return tuple(getattr(instance, name) for name in instance.__match_args__)


def _equals(self: Any, other: object) -> Any:
    if other.__class__ is not self.__class__:
        return NotImplemented
    return _values(self) == _values(other)


def _hash(self: Any) -> int:
    return hash((self.__class__, _values(self)))


def _shown(self: Any) -> str:
    fields = zip(self.__match_args__, _values(self), strict=True)
    return f"{self.__class__.__name__}({', '.join(f'{name}={value!r}' for name, value in fields)})"


@typing.dataclass_transform(frozen_default=True)
def message(type_id: int) -> Callable[[type[T]], type[T]]:
    """Class decorator: makes a frozen attrs class, and registers it under a type number (1 to 65,535) that no
    other message has.

    Fields may be str, bytes, int, float, bool, ``T | None``, ``tuple[T, ...]``, ``dict[str, T]`` and
    classes decorated by `nested`.
    """

    def register(cls: type[T]) -> type[T]:
        frozen = _frozen(cls)
        if type_id in _kinds_by_id:
            raise ValueError(f"message type {type_id} is taken by {_kinds_by_id[type_id].cls.__name__}")
        kind = _Kind(frozen, type_id)
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


def _same(value: Any) -> Any:
    return value


def _packer(hint: Any) -> Pack:
    """From a value of this type to Avro data. `_same` where they are alike."""
    if hint in _PRIMITIVES:
        return _same
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional(_packer(_not_none(arguments)))
    if origin is tuple:
        return _sequence(list, _packer(arguments[0]))
    if origin is dict:
        return _mapping(_packer(arguments[1]))
    return _record_packer(hint)


def _unpacker(hint: Any) -> Pack:
    """From Avro data to a value of this type."""
    if hint in _PRIMITIVES:
        return _same
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional(_unpacker(_not_none(arguments)))
    if origin is tuple:
        return _sequence(tuple, _unpacker(arguments[0]))
    if origin is dict:
        return _mapping(_unpacker(arguments[1]))
    return _record_unpacker(hint)


def _not_none(arguments: tuple[Any, ...]) -> Any:
    (inner,) = [argument for argument in arguments if argument is not type(None)]
    return inner


def _optional(inner: Pack) -> Pack:
    return inner if inner is _same else lambda value: None if value is None else inner(value)


def _sequence(kind: Callable[[Any], Any], inner: Pack) -> Pack:
    return kind if inner is _same else lambda value: kind(map(inner, value))


def _mapping(inner: Pack) -> Pack:
    return _same if inner is _same else lambda value: {key: inner(item) for key, item in value.items()}


def _fields(cls: type) -> tuple[list[str], dict[str, Any]]:
    hints = typing.get_type_hints(cls)
    return [field.name for field in attrs.fields(cls)], hints


def _record_packer(cls: type) -> Pack:
    names, hints = _fields(cls)
    packers = [(name, _packer(hints[name])) for name in names]
    changed = [(name, inner) for name, inner in packers if inner is not _same]

    def pack(value: Any) -> dict[str, Any]:
        data = {name: getattr(value, name) for name in names}
        for name, inner in changed:
            data[name] = inner(data[name])
        return data

    return pack


def _record_unpacker(cls: type) -> Pack:
    names, hints = _fields(cls)
    unpackers = [(name, _unpacker(hints[name])) for name in names]
    changed = [(name, inner) for name, inner in unpackers if inner is not _same]

    def unpack(data: dict[str, Any]) -> Any:
        for name, inner in changed:
            data[name] = inner(data[name])
        return cls(**data)

    return unpack


def encode(instance: object) -> bytes:
    """The frame of a message."""
    kind = _kinds_by_class[type(instance)]
    body = io.BytesIO()
    schemaless_writer(body, kind.schema, kind.pack(instance))
    data = body.getvalue()
    return HEADER.pack(len(data) + _BODY_HEADER_BYTES, PROTOCOL_VERSION, kind.type_id) + data


def _decode(type_id: int, body: bytes) -> object | None:
    kind = _kinds_by_id.get(type_id)
    if kind is None:
        return None
    stream = io.BytesIO(body)
    try:
        instance: object = kind.unpack(schemaless_reader(stream, kind.schema, None))
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
