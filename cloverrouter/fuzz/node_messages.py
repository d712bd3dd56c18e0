"""Fuzz target: bytes from other nodes, that is frames, message bodies and the receiving connection."""

from __future__ import annotations

import asyncio
import importlib
import types
import typing
from collections.abc import Sequence
from random import Random
from typing import Any, cast
from zlib import crc32

import attrs

from cloverrouter.daemon.transport import READ_BYTES, Incoming, Transport
from cloverrouter.fuzz.mutation import FRACTIONS, INTEGERS, TEXTS, mutate_bytes, split_randomly
from cloverrouter.fuzz.target import expect
from cloverrouter.messages import Decoder, MessageError, encode
from cloverrouter.messages.codec import FRAME_HEADER, PROTOCOL_VERSION, message_classes_in

# Modules that define messages between nodes, relative to the package.
MODULES = (
    "control.distribution_messages",
    "control.forwarding",
    "control.orders",
    "control.quota_note",
    "control.registry_messages",
    "control.updates",
    "coordination.lease_messages",
    "coordination.messages",
    "coordination.sampling_messages",
    "coordination.views",
    "daemon.view_notice",
    "placement.placement_messages",
    "placement.quota_messages",
    "placement.trouble_messages",
)
INT64_VALUES = tuple(number for number in INTEGERS if -(2**63) <= number < 2**63)
HEADERS = tuple(
    FRAME_HEADER.pack(length, version, kind)
    for length in (0, 2, 3, 4, 2**26, 2**32 - 1)
    for version, kind in ((PROTOCOL_VERSION, 1), (PROTOCOL_VERSION, 65535), (0, 300))
)


def message_classes() -> tuple[type, ...]:
    """Returns the classes of all messages between nodes, in a stable order."""
    modules = [importlib.import_module(f"cloverrouter.{name}") for name in MODULES]
    return tuple(cls for module in modules for cls in message_classes_in(module.__name__))


def example_value(hint: Any, random: Random) -> Any:
    """Returns a random valid value for a message field of the given type."""
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return None if random.random() < 0.3 else example_value(arguments[0], random)
    if origin is tuple:
        return tuple(example_value(arguments[0], random) for _ in range(random.randrange(3)))
    if origin is dict:
        return {f"k{index}": example_value(arguments[1], random) for index in range(random.randrange(3))}
    if attrs.has(hint):
        hints = typing.get_type_hints(hint)
        return hint(*[example_value(hints[field.name], random) for field in attrs.fields(hint)])
    values = {
        str: [text for text in TEXTS if text.isascii()],
        bytes: (b"", b"\x00", b"{}", random.randbytes(20)),
        int: INT64_VALUES,
        float: FRACTIONS,
        bool: (True, False),
    }
    return random.choice(values[hint])


class _Receiver:
    """Records the messages and errors that a real `Transport` reports for one connection."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self.delivered: list[object] = []
        self.errors: list[Exception] = []
        self.owner = self._loop.run_until_complete(self._create_transport())

    async def _create_transport(self) -> Transport:
        return Transport("127.0.0.1", 1, self._on_message, self._on_link, self._on_error)

    def _on_message(self, ip: str, message: object) -> None:
        self.delivered.append(message)

    def _on_link(self, ip: str, is_up: bool) -> None:
        """Ignores changes of link state."""

    def _on_error(self, ip: str, error: Exception) -> None:
        self.errors.append(error)

    def connect(self, transport: _Connection) -> Incoming:
        """Clears the records and returns a new incoming connection."""
        self.delivered.clear()
        self.errors.clear()
        connection = Incoming(self.owner)
        connection.connection_made(cast(Any, transport))
        return connection

    def close(self) -> None:
        self._loop.close()


class _Connection:
    """Fake asyncio transport that records whether it was closed."""

    is_closed = False

    def get_extra_info(self, name: str) -> Any:
        return ("127.0.0.1", 1) if name == "peername" else None

    def close(self) -> None:
        self.is_closed = True


class NodeMessages:
    """A stream of frames: decoded at once, in pieces and by a connection; each message is encoded again."""

    description = "messages between nodes: framing, decoding, the receiving connection"

    def __init__(self) -> None:
        self._classes = message_classes()
        self._receiver = _Receiver()

    def seeds(self) -> Sequence[bytes]:
        random = Random(1)
        frames = [encode(example_value(cls, random)) for cls in self._classes for _ in range(2)]
        return [*frames, b"".join(frames[:6])]

    def mutate(self, data: bytes, random: Random) -> bytes:
        match random.randrange(5):
            case 0:
                return mutate_bytes(data, random, HEADERS)
            case 1:
                return data + encode(example_value(random.choice(self._classes), random))
            case 2:
                return self._with_mutated_field(data, random)
            case _:
                return _with_mutated_body(data, random)

    def _with_mutated_field(self, data: bytes, random: Random) -> bytes:
        messages, _ = _decode([data])
        if not messages:
            return mutate_bytes(data, random)
        message = random.choice(messages)
        fields = attrs.fields(type(message))
        if not fields:
            return data
        field = random.choice(fields)
        hint = typing.get_type_hints(type(message))[field.name]
        return encode(attrs.evolve(cast(Any, message), **{field.name: example_value(hint, random)}))

    def check(self, data: bytes) -> None:
        whole, error = _decode([data])
        expect(len(repr(whole)) <= 64 * len(data) + 4096, "the messages are far larger than their bytes")
        parts = split_randomly(data, Random(crc32(data)))
        expect(repr(_decode(parts)) == repr((whole, error)), "split input gives different messages")
        self._check_connection(parts, whole, error)
        for message in whole:
            again = list(Decoder().feed(encode(message)))
            expect(repr(again) == repr([message]), "a message changes when it is encoded and decoded")

    def _check_connection(self, parts: list[bytes], whole: list[object], error: str | None) -> None:
        receiver, transport = self._receiver, _Connection()
        connection = receiver.connect(transport)
        for part in parts:
            for start in range(0, len(part), READ_BYTES):
                piece = part[start : start + READ_BYTES]
                receiver.owner.buffer[: len(piece)] = piece
                if not transport.is_closed:
                    connection.buffer_updated(len(piece))
        expect(repr(receiver.delivered) == repr(whole), "the connection delivers different messages")
        expect(
            transport.is_closed == (error is not None),
            "the connection was not closed after an error, or was closed without one",
        )
        expect(len(receiver.errors) == (error is not None), "an error is not reported exactly once")
        connection.connection_lost(None)
        expect(not receiver.owner.incoming, "a closed connection stays registered")

    def close(self) -> None:
        self._receiver.close()


def _decode(parts: Sequence[bytes]) -> tuple[list[Any], str | None]:
    """Returns the messages before the first error, and the class name of that error."""
    decoder, messages = Decoder(), list[Any]()
    try:
        for part in parts:
            for message in decoder.feed(part):
                messages.append(message)
    except MessageError as error:
        return messages, type(error).__name__
    return messages, None


def _with_mutated_body(data: bytes, random: Random) -> bytes:
    """Mutates the body of the first frame and sets the matching length in its header."""
    if len(data) < FRAME_HEADER.size:
        return mutate_bytes(data, random, HEADERS)
    length, version, kind = FRAME_HEADER.unpack_from(data)
    end = min(len(data), length + 4)
    body = mutate_bytes(data[FRAME_HEADER.size : end], random)
    return FRAME_HEADER.pack(len(body) + 3, version, kind) + body + data[end:]
