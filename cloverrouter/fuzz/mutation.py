"""Random mutations of byte strings and JSON values, driven by the caller's random number generator."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

BOUNDARIES = (0, 1, 9, 10, 13, 32, 34, 47, 58, 92, 127, 128, 255)
INTEGERS = (
    0,
    1,
    -1,
    2,
    127,
    128,
    255,
    256,
    65535,
    2**31 - 1,
    2**31,
    2**53,
    2**63 - 1,
    2**63,
    10**30,
    -(2**63),
)
FRACTIONS = (0.5, -0.0, 1e-320, 1e17, 1e19, 1e300, -1e300)
TEXTS = (
    "", " ", "0", "null", "/", "//", "../", "a" * 300, "é", "\u0000", "\u202e", "\ud800", "😀", "\r\n", "\t",
    "1e999", "-1", "127.0.0.1:80", "[::1]:80", ":", "%00", "%ff", '"', "x" * 5000,
)  # fmt: skip
MAX_BYTES = 16 * 1024
DEEP_NESTING = 2000


def mutate_bytes(data: bytes, random: Random, tokens: Sequence[bytes] = ()) -> bytes:
    """Returns the bytes with one mutation; `tokens` are byte strings that it may insert."""
    changes: list[Callable[[bytearray, Random], None]] = [
        _flip_bit, _set_byte, _remove, _duplicate, _insert, _truncate, _swap, _repeat
    ]  # fmt: skip
    changed = bytearray(data)
    if tokens and random.random() < 0.3:
        index = random.randrange(len(changed) + 1)
        changed[index : index + random.choice((0, 0, 1, 4))] = random.choice(tokens)
    else:
        random.choice(changes)(changed, random)
    return bytes(changed[:MAX_BYTES])


def _random_index(data: bytearray, random: Random) -> int:
    return random.randrange(len(data)) if data else 0


def _random_slice(data: bytearray, random: Random) -> slice:
    start = _random_index(data, random)
    return slice(start, start + random.choice((1, 2, 4, 8, 16, 64)))


def _flip_bit(data: bytearray, random: Random) -> None:
    if data:
        data[_random_index(data, random)] ^= 1 << random.randrange(8)


def _set_byte(data: bytearray, random: Random) -> None:
    if data:
        data[_random_index(data, random)] = random.choice((random.randrange(256), random.choice(BOUNDARIES)))


def _remove(data: bytearray, random: Random) -> None:
    del data[_random_slice(data, random)]


def _duplicate(data: bytearray, random: Random) -> None:
    piece = _random_slice(data, random)
    data[piece.start : piece.start] = data[piece]


def _insert(data: bytearray, random: Random) -> None:
    index = random.randrange(len(data) + 1)
    data[index:index] = random.randbytes(random.choice((1, 2, 4, 8)))


def _truncate(data: bytearray, random: Random) -> None:
    del data[_random_index(data, random) :]


def _swap(data: bytearray, random: Random) -> None:
    one, other = _random_slice(data, random), _random_slice(data, random)
    data[one], data[other] = data[other], data[one]


def _repeat(data: bytearray, random: Random) -> None:
    piece = _random_slice(data, random)
    data[piece.start : piece.start] = bytes(data[piece]) * random.choice((2, 10, 100, 1000))


def mutate_json(value: Any, random: Random) -> Any:
    """Returns a copy of a JSON value with one random change."""
    changed = json.loads(json.dumps(value))
    members = list(_members(changed))
    if not members:
        return edge_case(random)
    parent, key = random.choice(members)
    match random.randrange(7):
        case 0 | 1:
            parent[key] = edge_case(random)
        case 2:
            del parent[key]
        case 3:
            parent[key] = _similar_value(parent[key], random)
        case 4:
            other, other_key = random.choice(members)
            parent[key] = json.loads(json.dumps(other[other_key]))
        case 5 if isinstance(parent, list):
            parent.insert(random.randrange(len(parent) + 1), json.loads(json.dumps(parent[key])))
        case 5:
            parent[random.choice(TEXTS)] = parent.pop(key)
        case _:
            parent[key] = [parent[key]] if random.random() < 0.5 else {"name": parent[key]}
    return changed


def _members(value: Any) -> Any:
    if isinstance(value, dict | list):
        for key in list(value) if isinstance(value, dict) else range(len(value)):
            yield value, key
            yield from _members(value[key])


def edge_case(random: Random) -> Any:
    """Returns a random edge case: null, a boolean, an empty container, an extreme number or odd text."""
    return random.choice(
        (None, True, False, [], {}, random.choice(INTEGERS), random.choice(FRACTIONS), random.choice(TEXTS))
    )


def _similar_value(value: Any, random: Random) -> Any:
    """Returns a variation of the value, of the same type unless it is null or an object."""
    match value:
        case bool():
            return not value
        case int():
            return value + random.choice((-1, 1, 10**6))
        case float():
            return value * random.choice((-1, 0.5, 1e9))
        case str():
            return mutate_bytes(value.encode("utf-8", "replace"), random).decode("utf-8", "replace")
        case list():
            return random.sample(value, len(value)) + random.choice(([], value))
        case _:
            return edge_case(random)


def json_text(value: Any, random: Random) -> bytes:
    """Encodes a JSON value; in about a third of the calls the encoding is unusual or malformed."""
    text = json.dumps(value)
    match random.randrange(24):
        case 0:
            return text.encode("utf-16")
        case 1:
            return text.encode("utf-8-sig")
        case 2:
            return _with_deep_nesting(text, random).encode()
        case 3:
            return text.replace(
                ":", f":{random.choice(('NaN', '-Infinity', '1e999', '9' * 5000))}//", 1
            ).encode()
        case 4:
            return (text + random.choice((" ", "x", "\n{}", "\x00"))).encode()
        case 5:
            return text.replace("{", '{"version":7,"name":"r0","version":8,', 1).encode()
        case 6:
            return mutate_bytes(text.encode(), random)
        case 7:
            return json.dumps(value, ensure_ascii=False).encode("utf-8", "surrogatepass")
        case _:
            return text.encode()


def _with_deep_nesting(text: str, random: Random) -> str:
    depth = random.choice((31, 33, DEEP_NESTING))
    return text.replace(":", ":" + "[" * depth + "]" * depth + ',"x":', 1)


def split_randomly(data: bytes, random: Random) -> list[bytes]:
    """Splits the bytes at random positions into non-empty pieces."""
    if len(data) < 2:
        return [data] if data else []
    if random.random() < 0.2 and len(data) <= 512:
        return [data[index : index + 1] for index in range(len(data))]
    cuts = sorted({random.randrange(1, len(data)) for _ in range(random.randrange(1, 9))})
    starts = [0, *cuts]
    return [data[start:end] for start, end in zip(starts, [*cuts, len(data)], strict=True)]
