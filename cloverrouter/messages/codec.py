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


@attrs.define(slots=False, eq=False)
class _Kind:
    """One message type: how its instances become Avro data and back."""

    cls: type
    type_id: int

    @functools.cached_property
    def schema(self) -> Any:
        """Avro's, parsed. Made when a message of the kind first comes or goes."""
        return parse_schema(_record_schema(self.cls, set()))


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


Converter = Callable[[Any], Any]
"""From a field's value to Avro data, or back; None where both are the same."""

_packers: dict[type, Converter] = {}
_unpackers: dict[type, Converter] = {}


def _fields(cls: type) -> list[tuple[str, Any]]:
    hints = typing.get_type_hints(cls)
    return [(field.name, hints[field.name]) for field in attrs.fields(cls)]


def _record_packer(cls: type) -> Converter:
    found = _packers.get(cls)
    if found is None:
        parts = [(name, _converter(hint, _record_packer, list)) for name, hint in _fields(cls)]

        def pack(instance: Any) -> dict[str, Any]:
            return {
                name: getattr(instance, name) if convert is None else convert(getattr(instance, name))
                for name, convert in parts
            }

        found = _packers[cls] = pack
    return found


def _record_unpacker(cls: type) -> Converter:
    found = _unpackers.get(cls)
    if found is None:
        parts = [(name, _converter(hint, _record_unpacker, tuple)) for name, hint in _fields(cls)]

        def unpack(data: Any) -> Any:
            return cls(*[data[name] if convert is None else convert(data[name]) for name, convert in parts])

        found = _unpackers[cls] = unpack
    return found


def _converter(hint: Any, of_record: Callable[[type], Converter], sequence: type) -> Converter | None:
    """How a field of that type is converted; `sequence` is what a tuple becomes."""
    if hint in _PRIMITIVES:
        return None
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        (present,) = [argument for argument in arguments if argument is not type(None)]
        inner = _converter(present, of_record, sequence)
        return None if inner is None else _for_optional(inner)
    if origin is tuple:
        inner = _converter(arguments[0], of_record, sequence)
        return sequence if inner is None else _for_items(inner, sequence)
    if origin is dict:
        inner = _converter(arguments[1], of_record, sequence)
        return None if inner is None else _for_values(inner)
    return of_record(hint)


def _for_optional(inner: Converter) -> Converter:
    return lambda value: None if value is None else inner(value)


def _for_items(inner: Converter, sequence: type) -> Converter:
    return lambda value: sequence([inner(item) for item in value])


def _for_values(inner: Converter) -> Converter:
    return lambda value: {key: inner(item) for key, item in value.items()}


def encode(instance: object) -> bytes:
    """The frame of a message."""
    kind = _kinds_by_class[type(instance)]
    body = io.BytesIO()
    schemaless_writer(body, kind.schema, _record_packer(kind.cls)(instance))
    data = body.getvalue()
    return HEADER.pack(len(data) + _BODY_HEADER_BYTES, PROTOCOL_VERSION, kind.type_id) + data


def _decode(type_id: int, body: bytes) -> object | None:
    kind = _kinds_by_id.get(type_id)
    if kind is None:
        return None
    stream = io.BytesIO(body)
    try:
        instance: object = _record_unpacker(kind.cls)(schemaless_reader(stream, kind.schema, None))
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
        self.skipped = 0  # frames of unknown types, or of other versions of the protocol

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
            found = _decode(type_id, body) if version == PROTOCOL_VERSION else None
            if found is None:
                self.skipped += 1
            else:
                yield found


def metric_labels(cls: type) -> tuple[str, str]:
    """Returns the metric labels `part` and `kind` of a message class.

    They are the class's own `METRIC_LABELS`, or else the last part of its module's name and its own name. A
    class that is renamed or moved keeps its labels by `METRIC_LABELS: ClassVar[tuple[str, str]]`.
    """
    labels: tuple[str, str] = cls.__dict__.get(
        "METRIC_LABELS", (cls.__module__.rpartition(".")[2], cls.__name__)
    )
    return labels


def messages_of(module: str) -> tuple[type, ...]:
    """The message classes that a module defines, by its full name."""
    return tuple(cls for cls in _kinds_by_class if cls.__module__ == module)
