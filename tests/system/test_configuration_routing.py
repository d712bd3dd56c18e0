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
