"""Encoding of the internal protocol: round trips, bytes split at any place, and invalid frames."""

from __future__ import annotations

from contextlib import suppress
from typing import ClassVar

import pytest
from hypothesis import given
from hypothesis import strategies as st

import cloverrouter.daemon.control_plane  # noqa: F401  (defines all messages)
from cloverrouter.messages import (
    Decoder,
    FrameTooLarge,
    MalformedFrame,
    encode,
    message,
    metric_labels,
    nested,
)
from cloverrouter.messages.codec import _MessageType, _record_packer, _record_unpacker, _types_by_class


@nested
class Inner:
    name: str
    score: float | None


@message(65001)
class Example:
    count: int
    data: bytes
    flag: bool
    items: tuple[Inner, ...]
    shares: dict[str, float]


@message(65003)
class LabelledExample:
    """Has the fields of `Example` and its own metric labels."""

    METRIC_LABELS: ClassVar[tuple[str, str]] = ("old_module", "OldExample")

    count: int
    data: bytes
    flag: bool
    items: tuple[Inner, ...]
    shares: dict[str, float]


EXAMPLE = Example(-5, b"\x00\xff", True, (Inner("a", None), Inner("b", 0.5)), {"t": 1.5})


def test_a_message_comes_back_as_it_was() -> None:
    assert list(Decoder().feed(encode(EXAMPLE))) == [EXAMPLE]


@given(st.integers(1, 40))
def test_bytes_may_be_split_anywhere(size: int) -> None:
    data = encode(EXAMPLE) * 3
    decoder = Decoder()
    decoded = [
        item for start in range(0, len(data), size) for item in decoder.feed(data[start : start + size])
    ]
    assert decoded == [EXAMPLE] * 3


def test_an_unknown_type_or_version_is_skipped() -> None:
    frame = bytearray(encode(EXAMPLE))
    unknown_type = bytes(frame[:5]) + b"\xff\xfe" + bytes(frame[7:])
    other_version = bytes(frame[:4]) + b"\x63" + bytes(frame[5:])
    decoder = Decoder()
    assert list(decoder.feed(unknown_type + other_version + bytes(frame))) == [EXAMPLE]
    assert decoder.skipped_frames == 2


def test_a_frame_that_is_too_large_is_refused_before_it_is_read() -> None:
    with pytest.raises(FrameTooLarge):
        list(Decoder(max_frame_bytes=10).feed(encode(EXAMPLE)[:7]))


@given(st.binary(max_size=60))
def test_any_body_decodes_or_is_refused(body: bytes) -> None:
    frame = encode(EXAMPLE)[4:7]
    data = (len(body) + 3).to_bytes(4, "big") + frame + body
    with suppress(MalformedFrame):
        list(Decoder().feed(data))


def test_messages_are_values() -> None:
    same = Example(-5, b"\x00\xff", True, (Inner("a", None), Inner("b", 0.5)), {"t": 1.5})
    assert same == EXAMPLE
    assert same != Example(-4, same.data, same.flag, same.items, same.shares)
    assert same.__eq__(Inner("a", None)) is NotImplemented
    assert Inner("a", None) != Inner("a", 0.0)
    assert len({Inner("a", 1.0), Inner("a", 1.0), Inner("b", 1.0)}) == 2
    assert repr(Inner("a", None)) == "Inner(name='a', score=None)"


def test_metric_labels_are_module_and_class_name_unless_the_class_defines_its_own() -> None:
    assert metric_labels(Example) == ("test_codec", "Example")
    assert metric_labels(LabelledExample) == ("old_module", "OldExample")


def test_metric_labels_leave_the_encoding_as_it_is() -> None:
    labelled = LabelledExample(EXAMPLE.count, EXAMPLE.data, EXAMPLE.flag, EXAMPLE.items, EXAMPLE.shares)
    frame = encode(EXAMPLE)
    assert encode(labelled) == frame[:5] + (65003).to_bytes(2, "big") + frame[7:]
    assert list(Decoder().feed(encode(labelled))) == [labelled]


@pytest.mark.parametrize(
    "message_type", _types_by_class.values(), ids=lambda message_type: message_type.cls.__name__
)
def test_each_message_of_the_system_can_be_encoded(message_type: _MessageType) -> None:
    """Schemas are built at first use; this test finds a field whose type can't be encoded."""
    assert message_type.schema["name"].endswith(message_type.cls.__name__)
    assert callable(_record_packer(message_type.cls))
    assert callable(_record_unpacker(message_type.cls))
