"""Tenants' names from an order to the header that servers read: whole and distinct, or the order is refused.

Guards against names that reached servers as question marks, two tenants alike (review/7).
"""

from __future__ import annotations

import json
import sys
from typing import Any
from urllib.parse import unquote_to_bytes

import attrs
import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.control.configuration import Configuration
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.orders import ConfigurationMachine, MachineSnapshot
from cloverrouter.http.request import Request
from cloverrouter.messages.codec import encode
from cloverrouter.router.headers import encode_request_head

from .configurations import document, findings, route, send, tenant
from .router_world import World

HEADER = b"cypresswinch-tenant"
OWS = b" \t"
"""What HTTP strips from the ends of a value (RFC 9110, 5.6.3)."""

DEVANAGARI = ("ललितपुर", "साझासभा")
ALIKE_IN_LATIN_1 = ("é", "Ã©", "Ã\u0083Â©")
ALIKE_UNTIL_DECODED = ("%", "%25", "%2525", "a b", "a%20b", "ल", "%E0%A4%B2", "%e0%a4%b2")
ALIKE_WITHOUT_BLANKS = ("a", " a", "a ", "  a", "a  a", "a a", " ", "  ")
ALIKE_FOR_PYTHON_S_STRIP = ("b", "b\x85", "b\xa0", "\xa0b", "b\u2028", "à", "अ", "b\u3000", "b\ufeff")
ALIKE_FOR_EYES = ("n\u0303", "ñ", "Ⅷ", "VIII", "क\u200d", "क\u200c", "क", "\u0430", "x\u202ey", "xy")
ASTRAL = ("😀", "😁", "👩\u200d👩", "\U0010ffff", "\ufffe", "\ufffd", "?", "??")
ALL = (
    DEVANAGARI
    + ALIKE_IN_LATIN_1
    + ALIKE_UNTIL_DECODED
    + ALIKE_WITHOUT_BLANKS
    + ALIKE_FOR_PYTHON_S_STRIP
    + ALIKE_FOR_EYES
    + ASTRAL
)


class _HeadReader:
    """Collects the header fields of a parsed request."""

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields.append((name.lower(), value))


def told(message_head: bytes) -> bytes:
    """Returns the tenant's header as a server has it after its HTTP parser."""
    reader = _HeadReader()
    httptools.HttpRequestParser(reader).feed_data(message_head + b"\r\n")
    (value,) = [value for name, value in reader.fields if name == HEADER]
    return value.strip(OWS)


def told_for(name: str) -> bytes:
    request = Request(b"GET", b"/x", [(b"host", b"one.example")], b"", 0.0)
    return told(encode_request_head(request, name, None))


def read(value: bytes) -> str:
    """Returns the name as a server reads it by the documented rule (docs/operate/configuration.md)."""
    return unquote_to_bytes(value).decode("utf-8", "surrogatepass")


def assert_whole_and_distinct(values: dict[str, bytes]) -> None:
    assert {name: read(value) for name, value in values.items()} == {name: name for name in values}
    assert len(set(values.values())) == len(values)
    for value in values.values():  # nothing that a recipient may strip, refuse or read in its own encoding
        assert value.isascii() and value == value.decode().strip().encode()
        assert all(0x20 <= byte < 0x7F for byte in value)


def values_at_servers(configuration: Configuration) -> dict[str, bytes]:
    """Sends a request with a key of each tenant; returns what servers were told, by the tenant's name."""
    world = World().set_up()
    routes = (
        attrs.evolve(configuration.routes[0], host="front.example", prefix="/once/", targets=(("desk", 1),)),
    )
    world.router.configure(attrs.evolve(configuration, routes=routes))
    values = {}
    for each in configuration.tenants:
        before = len(world.calls)
        world.ask("/once/x", key=each.keys[0].encode())
        assert len(world.calls) == before + 1
        values[each.name] = told(world.last.message.partition(b"\r\n\r\n")[0] + b"\r\n")
    return values


def with_keys(names: tuple[str, ...]) -> list[dict[str, Any]]:
    return [tenant(name, f"key-{index}") for index, name in enumerate(names)]


def ordered(method: str, names: tuple[str, ...]) -> ConfigurationMachine:
    """Returns the state after an acknowledged order that brings tenants with these names."""
    machine = ConfigurationMachine()
    if method == "PUT":
        assert send(machine, "PUT", "0", document(5, tenants=with_keys(names))).status == 200
    else:
        assert send(machine, "PUT", "0", document(5, tenants=[])).status == 200
        change = {"version": 6, "upsert": {"tenants": with_keys(names)}}
        assert send(machine, "PATCH", "5", change).status == 200
    return machine


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize(
    "names",
    [
        DEVANAGARI,
        ALIKE_IN_LATIN_1,
        ALIKE_UNTIL_DECODED,
        ALIKE_WITHOUT_BLANKS,
        ALIKE_FOR_PYTHON_S_STRIP,
        ALIKE_FOR_EYES,
        ASTRAL,
        ALL,
    ],
)
def test_servers_are_told_the_names_of_an_acknowledged_order(method: str, names: tuple[str, ...]) -> None:
    values = values_at_servers(ordered(method, names).state.configuration())
    assert set(values) == set(names)
    assert_whole_and_distinct(values)


@pytest.mark.parametrize("name", ["kaje80", "Acme Ltd", 'a,b;c="d"', "x" * 2048])
def test_names_in_visible_ascii_are_told_as_they_are(name: str) -> None:
    assert told_for(name) == name.encode()


def test_every_character_that_json_can_bring_is_told_whole_or_refused() -> None:
    """All code points of the basic plane and every 61st of the others, alone; those below U+0300 also at the
    ends of a name and inside."""
    codes = [*range(0x10000), *range(0x10000, sys.maxunicode, 61), sys.maxunicode]
    refused = []
    for first in range(0, len(codes), 4096):
        names = [chr(code) for code in codes[first : first + 4096]]
        if first == 0:
            names += [shape.format(chr(code)) for code in range(0x300) for shape in ("{}a", "a{}", "a{}a")]
        machine = ordered("PUT", ("t",))
        items = [{"name": name} for name in names]
        change = {"version": machine.version + 1, "upsert": {"tenants": items}}
        reply = send(machine, "PATCH", str(machine.version), change)
        if reply.status != 200:
            refused += [name for name in names if is_refused(machine, name)]
        taken = set(names).difference(refused)
        assert_whole_and_distinct({name: told_for(name) for name in taken})
    controls = {*map(chr, range(0x20)), "\x7f"}
    halves = {chr(code) for code in range(0xD800, 0xE000)}
    assert {name for name in refused if len(name) == 1} == controls | halves


def is_refused(machine: ConfigurationMachine, name: str) -> bool:
    """Returns whether an order with only this name is refused, with 400 and a sentence."""
    change = {"version": machine.version + 1, "upsert": {"tenants": [{"name": name}]}}
    reply = send(machine, "PATCH", str(machine.version), change)
    assert reply.status in (200, 400)
    assert reply.status == 200 or findings(reply)
    return reply.status == 400


@given(st.lists(st.text(st.characters(exclude_categories=[]), min_size=1, max_size=12), unique=True))
@settings(deadline=None)
def test_the_encoding_is_total_and_distinct(names: list[str]) -> None:
    assert_whole_and_distinct({name: told_for(name) for name in names})


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize(
    "name, size", [("x" * 2049, 2049), ("ल" * 228, 2052), ("%" * 700, 2100), ("x" * 100_000, 100_000)]
)
def test_a_name_longer_than_servers_take_is_refused_with_a_sentence(
    method: str, name: str, size: int
) -> None:
    machine = ordered("PUT", ("t",))
    items = with_keys(("t", name))
    change = document(7, tenants=items) if method == "PUT" else {"version": 7, "upsert": {"tenants": items}}
    reply = send(machine, method, "5", change)
    assert reply.status == 400
    place = "tenants[1].name" if method == "PUT" else "upsert.tenants[1].name"
    (finding,) = findings(reply)
    assert finding.startswith(f"{place}: found ")
    assert finding.endswith(f"wanted a name of at most 2048 bytes in percent-encoding; it has {size}")


# What an earlier build has stored

LONG = "y" * 5000
OF_AN_EARLIER_BUILD = (*ALIKE_WITHOUT_BLANKS, *DEVANAGARI, "é", "\ud800", "\udfff", "?", LONG)


def stored(*names: str) -> ConfigurationMachine:
    """Returns a replica with a configuration that an earlier build accepted."""
    machine = ConfigurationMachine()
    state = ConfigurationState().replaced(document(5, tenants=with_keys(names)))
    machine.restore(encode(MachineSnapshot(5, state.json(), b"")))
    return machine


def test_servers_are_told_names_that_an_earlier_build_stored() -> None:
    values = values_at_servers(stored(*OF_AN_EARLIER_BUILD).state.configuration())
    assert set(values) == set(OF_AN_EARLIER_BUILD)
    assert_whole_and_distinct(values)


def test_an_order_that_repeats_an_unchanged_name_is_not_acknowledged_if_it_is_too_long() -> None:
    machine = stored("t", LONG)
    whole = send(machine, "PUT", "5", document(6, tenants=with_keys(("t", LONG))))
    change = {"version": 6, "upsert": {"tenants": with_keys(("t", LONG))[1:]}}
    assert [whole.status, send(machine, "PATCH", "5", change).status] == [400, 400]
    assert [text.split(":")[0] for text in findings(whole)] == ["tenants[1].name"]


def test_orders_on_other_items_are_taken_beside_stored_names() -> None:
    machine = stored(*OF_AN_EARLIER_BUILD)
    assert send(machine, "PATCH", "5", {"version": 6, "upsert": {"route-table": [route("r9")]}}).status == 200
    assert send(machine, "PATCH", "6", {"version": 7, "delete": {"tenants": [LONG, " a"]}}).status == 200
    assert json.dumps(LONG) not in machine.state.json().decode()


def test_an_order_that_an_earlier_build_took_is_acknowledged_again() -> None:
    """The digest of an accepted order goes before the checks that this build added."""
    machine = ordered("PUT", ("t",))
    order = json.dumps(document(6, tenants=with_keys((LONG,)))).encode()
    digest = digest_of("PUT", "5", order)
    snapshot = MachineSnapshot(6, stored(LONG).state.json(), digest + (6).to_bytes(8, "big"))
    machine.restore(encode(snapshot))
    reply = send(machine, "PUT", "5", order)
    assert (reply.status, json.loads(reply.body)) == (200, {"version": 6})


def digest_of(method: str, if_match: str, body: bytes) -> bytes:
    from cloverrouter.control.orders import Order, order_digest

    return order_digest(Order(method, if_match, body))


# Keys, which clients send in a header


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize("key", [" k", "k ", "k\n", "\tk", "k\r\nx", "a\x00b", "\x7f", " "])
def test_a_key_that_arrives_as_another_is_refused_without_telling_it(method: str, key: str) -> None:
    """A client with the key " k" was taken for the tenant of the key "k"."""
    machine = ordered("PUT", ("t",))
    items = [tenant("t", "k"), tenant("u", "key-u", key)]
    change = document(7, tenants=items) if method == "PUT" else {"version": 7, "upsert": {"tenants": items}}
    reply = send(machine, method, "5", change)
    assert reply.status == 400
    place = "tenants[1].api-keys[1]" if method == "PUT" else "upsert.tenants[1].api-keys[1]"
    wanted = "wanted a key without control characters and without blanks at its ends"
    assert findings(reply) == [f"{place}: {wanted}"]


@pytest.mark.parametrize("key", ["k", "a b", "ü", "ल", "!#$%&'*+.^_`|~", "a  b"])
def test_other_keys_are_taken_and_match_their_bytes(key: str) -> None:
    machine = ConfigurationMachine()
    items = [tenant("t", key), tenant("u", "other")]
    assert send(machine, "PUT", "0", document(5, tenants=items)).status == 200
    values = values_at_servers(machine.state.configuration())
    assert values == {"t": b"t", "u": b"u"}
