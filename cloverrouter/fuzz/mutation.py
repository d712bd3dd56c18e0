"""Changes of bytes and of JSON values, by a source of random numbers that is handed in."""

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
MAX_DEEP = 2000


def mutate_bytes(data: bytes, random: Random, tokens: Sequence[bytes] = ()) -> bytes:
    """One change of a byte string; `tokens` are pieces that are worth putting in."""
    changes: list[Callable[[bytearray, Random], None]] = [
        _flip, _set, _remove, _double, _insert, _cut_short, _swap, _repeat
    ]  # fmt: skip
    changed = bytearray(data)
    if tokens and random.random() < 0.3:
        place = random.randrange(len(changed) + 1)
        changed[place : place + random.choice((0, 0, 1, 4))] = random.choice(tokens)
    else:
        random.choice(changes)(changed, random)
    return bytes(changed[:MAX_BYTES])


def _place(data: bytearray, random: Random) -> int:
    return random.randrange(len(data)) if data else 0


def _piece(data: bytearray, random: Random) -> slice:
    start = _place(data, random)
    return slice(start, start + random.choice((1, 2, 4, 8, 16, 64)))


def _flip(data: bytearray, random: Random) -> None:
    if data:
        data[_place(data, random)] ^= 1 << random.randrange(8)


def _set(data: bytearray, random: Random) -> None:
    if data:
        data[_place(data, random)] = random.choice((random.randrange(256), random.choice(BOUNDARIES)))


def _remove(data: bytearray, random: Random) -> None:
    del data[_piece(data, random)]


def _double(data: bytearray, random: Random) -> None:
    piece = _piece(data, random)
    data[piece.start : piece.start] = data[piece]


def _insert(data: bytearray, random: Random) -> None:
    place = random.randrange(len(data) + 1)
    data[place:place] = random.randbytes(random.choice((1, 2, 4, 8)))


def _cut_short(data: bytearray, random: Random) -> None:
    del data[_place(data, random) :]


def _swap(data: bytearray, random: Random) -> None:
    one, other = _piece(data, random), _piece(data, random)
    data[one], data[other] = data[other], data[one]


def _repeat(data: bytearray, random: Random) -> None:
    piece = _piece(data, random)
    data[piece.start : piece.start] = bytes(data[piece]) * random.choice((2, 10, 100, 1000))


def mutate_json(value: Any, random: Random) -> Any:
    """One change somewhere in a JSON value; the value itself is left as it is."""
    changed = json.loads(json.dumps(value))
    places = list(_places(changed))
    if not places:
        return interesting(random)
    parent, key = random.choice(places)
    match random.randrange(7):
        case 0 | 1:
            parent[key] = interesting(random)
        case 2:
            del parent[key]
        case 3:
            parent[key] = _near(parent[key], random)
        case 4:
            other, other_key = random.choice(places)
            parent[key] = json.loads(json.dumps(other[other_key]))
        case 5 if isinstance(parent, list):
            parent.insert(random.randrange(len(parent) + 1), json.loads(json.dumps(parent[key])))
        case 5:
            parent[random.choice(TEXTS)] = parent.pop(key)
        case _:
            parent[key] = [parent[key]] if random.random() < 0.5 else {"name": parent[key]}
    return changed


def _places(value: Any) -> Any:
    if isinstance(value, dict | list):
        for key in list(value) if isinstance(value, dict) else range(len(value)):
            yield value, key
            yield from _places(value[key])


def interesting(random: Random) -> Any:
    """A value that often goes unexpected."""
    return random.choice(
        (None, True, False, [], {}, random.choice(INTEGERS), random.choice(FRACTIONS), random.choice(TEXTS))
    )


def _near(value: Any, random: Random) -> Any:
    """Another value of the same type."""
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
            return interesting(random)


def json_text(value: Any, random: Random) -> bytes:
    """A JSON value as bytes: mostly as it should be, now and then as it should not."""
    text = json.dumps(value)
    match random.randrange(24):
        case 0:
            return text.encode("utf-16")
        case 1:
            return text.encode("utf-8-sig")
        case 2:
            return _deep(text, random).encode()
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


def _deep(text: str, random: Random) -> str:
    depth = random.choice((31, 33, MAX_DEEP))
    return text.replace(":", ":" + "[" * depth + "]" * depth + ',"x":', 1)


def pieces(data: bytes, random: Random) -> list[bytes]:
    """The same bytes in pieces; none is empty."""
    if len(data) < 2:
        return [data] if data else []
    if random.random() < 0.2 and len(data) <= 512:
        return [data[index : index + 1] for index in range(len(data))]
    places = sorted({random.randrange(1, len(data)) for _ in range(random.randrange(1, 9))})
    starts = [0, *places]
    return [data[start:end] for start, end in zip(starts, [*places, len(data)], strict=True)]
