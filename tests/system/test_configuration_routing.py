"""Lookup of routes and tenants, compared with a linear search."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.control.configuration import Configuration, normalize_host, route_from, tenant_from
from cloverrouter.control.routing import RoutingTable

from .configurations import route, tenant

TABLE = RoutingTable(
    Configuration(
        version=1,
        routes=tuple(
            route_from(route(name, prefix, hostname=host))
            for name, prefix, host in [
                ("all", "/", "one.example"),
                ("a", "/a/", "one.example"),
                ("ab", "/a/b/", "one.example"),
                ("other", "/a/b/c/", "Two.Example:80"),
                ("six", "/", "[::1]"),
            ]
        ),
        tenants=(tenant_from(tenant("t", "k1", "k2")), tenant_from(tenant("u", "ü"))),
    )
)


@pytest.mark.parametrize(
    "host, path, name",
    [
        (b"one.example", b"/", "all"),
        (b"one.example", b"/x", "all"),
        (b"one.example", b"/a", "all"),
        (b"one.example", b"/a/", "a"),
        (b"one.example", b"/a/b", "a"),
        (b"one.example", b"/a/b/c/d/e", "ab"),
        (b"one.example", b"/a//b/", "a"),
        (b"ONE.example:8080", b"/a/b/", "ab"),
        (b"one.example.", b"/a/b/", "ab"),
        (b"two.example", b"/a/b/c/", "other"),
        (b"two.example", b"/a/b/", None),
        (b"two.example", b"/", None),
        (b"[::1]:80", b"/q", "six"),
        (b"three.example", b"/", None),
        (b"", b"/", None),
        (b"\xff", b"/", None),
        (b"one.example", b"", None),
        (b"one.example", b"*", None),
        (b"one.example", b"/" * 100_000, "all"),
    ],
)
def test_the_longest_prefix_of_the_host_matches(host: bytes, path: bytes, name: str | None) -> None:
    found = TABLE.match(host, path)
    assert (found.name if found else None) == name


def test_tenants_by_key() -> None:
    assert TABLE.needs_key
    assert not RoutingTable(Configuration(version=1)).needs_key
    found = [TABLE.tenant_of(key) for key in (b"k1", b"k2", "ü".encode(), b"k", b"")]
    assert [tenant and tenant.name for tenant in found] == ["t", "t", "u", None, None]


@pytest.mark.parametrize(
    "host, normal",
    [
        ("A.Example", "a.example"),
        ("a:80", "a"),
        ("[::1]:80", "[::1]"),
        ("[::1]", "[::1]"),
        ("[", "["),
        ("", ""),
    ],
)
def test_normal_hosts(host: str, normal: str) -> None:
    assert normalize_host(host) == normal


segments = st.lists(st.sampled_from(["a", "b", ""]), max_size=4)


@settings(max_examples=200, deadline=None)
@given(
    st.sets(segments.map(lambda parts: "/" + "".join(f"{part}/" for part in parts))), segments, st.booleans()
)
def test_matches_are_those_of_a_search(prefixes: set[str], parts: list[str], slash: bool) -> None:
    path = "/" + "/".join(parts) + "/" * slash
    routes = tuple(route_from(route(prefix, prefix)) for prefix in prefixes)
    found = RoutingTable(Configuration(version=1, routes=routes)).match(b"one.example", path.encode())
    longest = max((prefix for prefix in prefixes if path.startswith(prefix)), key=len, default=None)
    assert (found.prefix if found else None) == longest


def table(*prefixes: str) -> RoutingTable:
    routes = tuple(route_from(route(prefix, prefix, hostname="one.example")) for prefix in prefixes)
    return RoutingTable(Configuration(version=1, routes=routes))


@pytest.mark.parametrize(
    "prefix, path",
    [
        ("/ललित/", "/ललित/x".encode()),
        ("/ललित/", b"/%E0%A4%B2%E0%A4%B2%E0%A4%BF%E0%A4%A4/x"),
        ("/a b/", b"/a%20b/"),
        ("/a?b/", b"/a%3Fb/"),
        ("/50%/", b"/50%/x"),
        ("/a%20b/", b"/a%20b/x"),
        ("/a;b=c,(d)/", b"/a;b=c,(d)/x"),
        ("/\ud800/", b"/%ED%A0%80/x"),  # as an earlier build stored it
    ],
)
def test_a_prefix_is_found_as_clients_send_it(prefix: str, path: bytes) -> None:
    """A route with a prefix outside of ASCII was acknowledged, and its requests were answered 404."""
    found = table("/", prefix).match(b"one.example", path)
    assert found is not None and found.name == prefix


def test_a_route_with_the_encoded_prefix_goes_before_another_one_s_encoding() -> None:
    found = table("/ल/", "/%E0%A4%B2/").match(b"one.example", b"/%E0%A4%B2/x")
    assert found is not None and found.name == "/%E0%A4%B2/"


def test_hosts_that_are_not_utf_8_match_no_replacement_character() -> None:
    item = route("r", "/", hostname="\ufffd.example")
    found = RoutingTable(Configuration(version=1, routes=(route_from(item),)))
    assert found.match("\ufffd.example".encode(), b"/") is not None
    assert found.match(b"\xff.example", b"/") is None


def test_keys_with_half_of_a_surrogate_pair_that_an_earlier_build_stored_do_no_harm() -> None:
    found = RoutingTable(Configuration(version=1, tenants=(tenant_from(tenant("t", "\ud800", "k")),)))
    owner = found.tenant_of(b"k")
    assert owner is not None and owner.name == "t"
