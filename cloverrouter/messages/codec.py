"""Encodes messages, which are attrs classes, by Avro schemas that are derived from their fields.

Frame format, integers big-endian: length of the rest of the frame in bytes (4 bytes), protocol version
(1 byte), message type (2 bytes), Avro body.

Compatibility rule: the fields of a released message never change. A message with other fields gets a new type
number. A receiver skips frames of unknown types or of other protocol versions, so that processes of different
releases can communicate.
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
FRAME_HEADER = struct.Struct(">IBH")
_BODY_HEADER_BYTES = 3  # protocol version and message type, which the length field includes

_PRIMITIVES = {str: "string", bytes: "bytes", int: "long", float: "double", bool: "boolean"}

T = TypeVar("T")


@attrs.define(slots=False, eq=False)
class _MessageType:
    """A registered message class with its type number and Avro schema."""

    cls: type
    type_id: int

    @functools.cached_property
    def schema(self) -> Any:
        """The parsed Avro schema, built when a message of this type is first encoded or decoded."""
        return parse_schema(_record_schema(self.cls, set()))


_types_by_id: dict[int, _MessageType] = {}
_types_by_class: dict[type, _MessageType] = {}


@typing.dataclass_transform(frozen_default=True)
def nested(cls: type[T]) -> type[T]:
    """Class decorator: makes a frozen attrs class for fields of messages; it is not a message itself."""
    return _make_frozen(cls)


def _make_frozen(cls: type[T]) -> type[T]:
    """Makes a frozen attrs class with shared `__eq__`, `__hash__` and `__repr__`.

    attrs would generate and compile these three methods for each class at every process start.
    """
    cls.__eq__ = _eq  # type: ignore[method-assign]
    cls.__hash__ = _hash  # type: ignore[method-assign]
    cls.__repr__ = _repr  # type: ignore[method-assign]
    return attrs.frozen(slots=True, eq=False, repr=False)(cls)


def _field_values(instance: Any) -> tuple[Any, ...]:
    return tuple(getattr(instance, name) for name in instance.__match_args__)


def _eq(self: Any, other: object) -> Any:
    if other.__class__ is not self.__class__:
        return NotImplemented
    return _field_values(self) == _field_values(other)


def _hash(self: Any) -> int:
    return hash((self.__class__, _field_values(self)))


def _repr(self: Any) -> str:
    fields = zip(self.__match_args__, _field_values(self), strict=True)
    return f"{self.__class__.__name__}({', '.join(f'{name}={value!r}' for name, value in fields)})"


@typing.dataclass_transform(frozen_default=True)
def message(type_id: int) -> Callable[[type[T]], type[T]]:
    """Class decorator: makes a frozen attrs class and registers it under a unique type number (1 to 65,535).

    Fields may be str, bytes, int, float, bool, ``T | None``, ``tuple[T, ...]``, ``dict[str, T]`` and
    classes decorated by `nested`. Raises ValueError if another class has the type number.
    """

    def register(cls: type[T]) -> type[T]:
        frozen = _make_frozen(cls)
        if type_id in _types_by_id:
            raise ValueError(
                f"message type {type_id} is already used by {_types_by_id[type_id].cls.__name__}"
            )
        message_type = _MessageType(frozen, type_id)
        _types_by_id[type_id] = _types_by_class[frozen] = message_type
        return frozen

    return register


def _record_schema(cls: type, defined_names: set[str]) -> dict[str, Any] | str:
    if cls.__name__ in defined_names:
        return cls.__name__
    defined_names.add(cls.__name__)
    hints = typing.get_type_hints(cls)
    fields = [
        {"name": field.name, "type": _type_schema(hints[field.name], defined_names)}
        for field in attrs.fields(cls)
    ]
    return {"type": "record", "name": cls.__name__, "fields": fields}


def _type_schema(hint: Any, defined_names: set[str]) -> Any:
    if hint in _PRIMITIVES:
        return _PRIMITIVES[hint]
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        (value_hint,) = [argument for argument in arguments if argument is not type(None)]
        return ["null", _type_schema(value_hint, defined_names)]
    if origin is tuple:
        return {"type": "array", "items": _type_schema(arguments[0], defined_names)}
    if origin is dict:
        return {"type": "map", "values": _type_schema(arguments[1], defined_names)}
    if attrs.has(hint):
        return _record_schema(hint, defined_names)
    raise TypeError(f"a message field cannot have the type {hint}")


Converter = Callable[[Any], Any]
"""Converts a field's value to Avro data or back. None stands for a value that needs no conversion."""

_packers: dict[type, Converter] = {}
_unpackers: dict[type, Converter] = {}


def _typed_fields(cls: type) -> list[tuple[str, Any]]:
    hints = typing.get_type_hints(cls)
    return [(field.name, hints[field.name]) for field in attrs.fields(cls)]


def _record_packer(cls: type) -> Converter:
    converter = _packers.get(cls)
    if converter is None:
        converters = [(name, _converter(hint, _record_packer, list)) for name, hint in _typed_fields(cls)]

        def pack(instance: Any) -> dict[str, Any]:
            return {
                name: getattr(instance, name) if convert is None else convert(getattr(instance, name))
                for name, convert in converters
            }

        converter = _packers[cls] = pack
    return converter


def _record_unpacker(cls: type) -> Converter:
    converter = _unpackers.get(cls)
    if converter is None:
        converters = [(name, _converter(hint, _record_unpacker, tuple)) for name, hint in _typed_fields(cls)]

        def unpack(data: Any) -> Any:
            return cls(
                *[data[name] if convert is None else convert(data[name]) for name, convert in converters]
            )

        converter = _unpackers[cls] = unpack
    return converter


def _converter(
    hint: Any, record_converter: Callable[[type], Converter], sequence_type: type
) -> Converter | None:
    """Returns the converter of a field with the type `hint`; None if its values need no conversion.

    `record_converter` makes converters of nested classes. A tuple is converted to `sequence_type`.
    """
    if hint in _PRIMITIVES:
        return None
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        (value_hint,) = [argument for argument in arguments if argument is not type(None)]
        convert = _converter(value_hint, record_converter, sequence_type)
        return None if convert is None else _for_optional(convert)
    if origin is tuple:
        convert = _converter(arguments[0], record_converter, sequence_type)
        return sequence_type if convert is None else _for_items(convert, sequence_type)
    if origin is dict:
        convert = _converter(arguments[1], record_converter, sequence_type)
        return None if convert is None else _for_values(convert)
    return record_converter(hint)


def _for_optional(convert: Converter) -> Converter:
    return lambda value: None if value is None else convert(value)


def _for_items(convert: Converter, sequence_type: type) -> Converter:
    return lambda value: sequence_type([convert(item) for item in value])


def _for_values(convert: Converter) -> Converter:
    return lambda value: {key: convert(item) for key, item in value.items()}


def encode(instance: object) -> bytes:
    """Returns the frame of a message.

    Raises KeyError if the class is not registered by `message`.
    """
    message_type = _types_by_class[type(instance)]
    body = io.BytesIO()
    schemaless_writer(body, message_type.schema, _record_packer(message_type.cls)(instance))
    data = body.getvalue()
    return FRAME_HEADER.pack(len(data) + _BODY_HEADER_BYTES, PROTOCOL_VERSION, message_type.type_id) + data


def _decode(type_id: int, body: bytes) -> object | None:
    message_type = _types_by_id.get(type_id)
    if message_type is None:
        return None
    stream = io.BytesIO(body)
    try:
        instance: object = _record_unpacker(message_type.cls)(
            schemaless_reader(stream, message_type.schema, None)
        )
    except Exception as error:  # fastavro does not wrap the errors of its parts
        raise MalformedFrame(f"{message_type.cls.__name__}: {type(error).__name__}: {error}") from error
    if stream.tell() != len(body):
        raise MalformedFrame(
            f"{message_type.cls.__name__}: {len(body) - stream.tell()} bytes after the message"
        )
    return instance


class Decoder:
    """Decodes messages from a byte stream that arrives in chunks of any size.

    `skipped_frames` counts the frames that were ignored; the caller may reset it.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes
        self.skipped_frames = 0  # frames of unknown message types or of other protocol versions

    def feed(self, data: bytes) -> Iterator[object]:
        """Appends `data` and yields the messages that are complete.

        Raises `MessageError`; after that the decoder must not be used any more.
        """
        self._buffer += data
        while len(self._buffer) >= FRAME_HEADER.size:
            length, version, type_id = FRAME_HEADER.unpack_from(self._buffer)
            if length < _BODY_HEADER_BYTES or length > self._max_frame_bytes:
                raise FrameTooLarge(
                    f"frame length is {length} bytes; 3 to {self._max_frame_bytes} bytes are allowed"
                )
            end = length + FRAME_HEADER.size - _BODY_HEADER_BYTES
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[FRAME_HEADER.size : end])
            del self._buffer[:end]
            decoded = _decode(type_id, body) if version == PROTOCOL_VERSION else None
            if decoded is None:
                self.skipped_frames += 1
            else:
                yield decoded


def metric_labels(cls: type) -> tuple[str, str]:
    """Returns the metric labels `part` and `kind` of a message class.

    These are the class's own `METRIC_LABELS: ClassVar[tuple[str, str]]`, or else the last part of its
    module's name and its class name. A class that was renamed or moved defines `METRIC_LABELS` to keep its
    labels.
    """
    labels: tuple[str, str] = cls.__dict__.get(
        "METRIC_LABELS", (cls.__module__.rpartition(".")[2], cls.__name__)
    )
    return labels


def message_classes_in(module: str) -> tuple[type, ...]:
    """Returns the message classes that a module defines. `module` is its full dotted name."""
    return tuple(cls for cls in _types_by_class if cls.__module__ == module)
