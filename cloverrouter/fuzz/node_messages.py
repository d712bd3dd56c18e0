"""Bytes from other nodes: frames, their bodies, and the connection that they come on."""

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
from cloverrouter.fuzz.mutation import FRACTIONS, INTEGERS, TEXTS, mutate_bytes, pieces
from cloverrouter.fuzz.target import expect
from cloverrouter.messages import Decoder, MessageError, encode
from cloverrouter.messages.codec import FRAME_HEADER, PROTOCOL_VERSION, message_classes_in

# Where the messages between nodes are defined.
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
LONGS = tuple(number for number in INTEGERS if -(2**63) <= number < 2**63)
HEADERS = tuple(
    FRAME_HEADER.pack(length, version, kind)
    for length in (0, 2, 3, 4, 2**26, 2**32 - 1)
    for version, kind in ((PROTOCOL_VERSION, 1), (PROTOCOL_VERSION, 65535), (0, 300))
)


def message_classes() -> tuple[type, ...]:
    """All messages that nodes send, in an order that stays."""
    modules = [importlib.import_module(f"cloverrouter.{name}") for name in MODULES]
    return tuple(cls for module in modules for cls in message_classes_in(module.__name__))


def example(hint: Any, random: Random) -> Any:
    """A value that a message's field of that type may have."""
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return None if random.random() < 0.3 else example(arguments[0], random)
    if origin is tuple:
        return tuple(example(arguments[0], random) for _ in range(random.randrange(3)))
    if origin is dict:
        return {f"k{index}": example(arguments[1], random) for index in range(random.randrange(3))}
    if attrs.has(hint):
        hints = typing.get_type_hints(hint)
        return hint(*[example(hints[field.name], random) for field in attrs.fields(hint)])
    values = {
        str: [text for text in TEXTS if text.isascii()],
        bytes: (b"", b"\x00", b"{}", random.randbytes(20)),
        int: LONGS,
        float: FRACTIONS,
        bool: (True, False),
    }
    return random.choice(values[hint])


class _Heard:
    """What comes of a connection's bytes, by the real transport."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self.delivered: list[object] = []
        self.errors: list[Exception] = []
        self.owner = self._loop.run_until_complete(self._made())

    async def _made(self) -> Transport:
        return Transport("127.0.0.1", 1, self._on_message, self._on_link, self._on_error)

    def _on_message(self, ip: str, message: object) -> None:
        self.delivered.append(message)

    def _on_link(self, ip: str, is_up: bool) -> None:
        """Nobody wants to know."""

    def _on_error(self, ip: str, error: Exception) -> None:
        self.errors.append(error)

    def connected(self, transport: _Connection) -> Incoming:
        """A new connection, on which nothing has come yet."""
        self.delivered.clear()
        self.errors.clear()
        connection = Incoming(self.owner)
        connection.connection_made(cast(Any, transport))
        return connection

    def close(self) -> None:
        self._loop.close()


class _Connection:
    """A socket's transport that notes its end."""

    is_closed = False

    def get_extra_info(self, name: str) -> Any:
        return ("127.0.0.1", 1) if name == "peername" else None

    def close(self) -> None:
        self.is_closed = True


class NodeMessages:
    """A stream of frames: decoded whole, in pieces and by a connection, each message encoded again."""

    text = "messages between nodes: framing, decoding, the connection that they come on"

    def __init__(self) -> None:
        self._classes = message_classes()
        self._heard = _Heard()

    def seeds(self) -> Sequence[bytes]:
        random = Random(1)
        frames = [encode(example(cls, random)) for cls in self._classes for _ in range(2)]
        return [*frames, b"".join(frames[:6])]

    def mutate(self, data: bytes, random: Random) -> bytes:
        match random.randrange(5):
            case 0:
                return mutate_bytes(data, random, HEADERS)
            case 1:
                return data + encode(example(random.choice(self._classes), random))
            case 2:
                return self._with_other_field(data, random)
            case _:
                return _with_other_body(data, random)

    def _with_other_field(self, data: bytes, random: Random) -> bytes:
        found, _ = _decoded([data])
        if not found:
            return mutate_bytes(data, random)
        changed = random.choice(found)
        fields = attrs.fields(type(changed))
        if not fields:
            return data
        field = random.choice(fields)
        hint = typing.get_type_hints(type(changed))[field.name]
        return encode(attrs.evolve(cast(Any, changed), **{field.name: example(hint, random)}))

    def check(self, data: bytes) -> None:
        whole, error = _decoded([data])
        expect(len(repr(whole)) <= 64 * len(data) + 4096, "the messages are far larger than their bytes")
        parts = pieces(data, Random(crc32(data)))
        expect(repr(_decoded(parts)) == repr((whole, error)), "bytes in pieces give other messages")
        self._check_connection(parts, whole, error)
        for message in whole:
            again = list(Decoder().feed(encode(message)))
            expect(repr(again) == repr([message]), "a message encoded and decoded is another")

    def _check_connection(self, parts: list[bytes], whole: list[object], error: str | None) -> None:
        heard, transport = self._heard, _Connection()
        connection = heard.connected(transport)
        for part in parts:
            for start in range(0, len(part), READ_BYTES):
                piece = part[start : start + READ_BYTES]
                heard.owner.buffer[: len(piece)] = piece
                if not transport.is_closed:
                    connection.buffer_updated(len(piece))
        expect(repr(heard.delivered) == repr(whole), "a connection delivers other messages")
        expect(transport.is_closed == (error is not None), "a connection does not end with an error")
        expect(len(heard.errors) == (error is not None), "an error is not told once")
        connection.connection_lost(None)
        expect(not heard.owner.incoming, "a connection that has ended is kept")

    def close(self) -> None:
        self._heard.close()


def _decoded(parts: Sequence[bytes]) -> tuple[list[Any], str | None]:
    """The messages up to the first error, and that error's type."""
    decoder, found = Decoder(), list[Any]()
    try:
        for part in parts:
            for message in decoder.feed(part):
                found.append(message)
    except MessageError as error:
        return found, type(error).__name__
    return found, None


def _with_other_body(data: bytes, random: Random) -> bytes:
    """The first frame's body changed, its length right."""
    if len(data) < FRAME_HEADER.size:
        return mutate_bytes(data, random, HEADERS)
    length, version, kind = FRAME_HEADER.unpack_from(data)
    end = min(len(data), length + 4)
    body = mutate_bytes(data[FRAME_HEADER.size : end], random)
    return FRAME_HEADER.pack(len(body) + 3, version, kind) + body + data[end:]
