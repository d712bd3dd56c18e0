"""Deployments made from a given one: what is changed, and that all else stays."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from benchmarks.own_sites import make_site

DISK = "disk = { mb = 64, sync_ms = 1 }, counted = true"
GIVEN = f"""
name = "given"
wire = "wire.json"
zones = [{{ name = "north" }}, {{ name = "south" }}, {{ name = "west" }}]
machines = [
  {{ zone = "north", count = 1, memory_mb = 200, link_mbps = 100.0, {DISK} }},
  {{ zone = "north", count = 3, memory_mb = 200, link_mbps = 100.0 }},
  {{ zone = "south", count = 1, memory_mb = 200, link_mbps = 100.0, {DISK} }},
  {{ zone = "west", count = 1, memory_mb = 200, link_mbps = 100.0, {DISK} }},
]
services = [{{ name = "desk", on_full = "shed" }}]

[net]
cross_zone_ms = 1.0
client_ms = 1.0

[tolerate]
machines = 1

[bounds]
drain_ms = 2000
config_ms = 2000
touch_ms = 3000
ack_ms = 4000
grace_s = 8.0
recover_s = 12.0
closed = false

[[day]]
name = "quiet"
plan = [{{ at = 1.5, kind = "config_change" }}]
faults = []

[[day]]
name = "trouble"
plan = []
faults = [{{ at = 2.5, kind = "core_cut", how = "leader" }}]
"""


def made(tmp_path: Path, variant: str) -> dict[str, Any]:
    """A variant of the given deployment, read back from its file."""
    (tmp_path / "given.toml").write_text(GIVEN)
    (tmp_path / "own").mkdir()
    return tomllib.loads(make_site(tmp_path / "given.toml", variant, tmp_path / "own").read_text())


def test_narrow_has_less_memory_slower_links_and_tighter_bounds(tmp_path: Path) -> None:
    site = made(tmp_path, "narrow")
    assert {machine["memory_mb"] for machine in site["machines"]} == {70}
    assert {machine["link_mbps"] for machine in site["machines"]} == {10.0}
    assert site["net"] == {"cross_zone_ms": 5.0, "client_ms": 1.0}
    assert site["bounds"]["ack_ms"] == 3000
    assert site["bounds"]["recover_s"] == 12.0
    assert site["bounds"]["closed"] is False


def test_five_has_five_disks_of_which_two_may_be_lost(tmp_path: Path) -> None:
    site = made(tmp_path, "five")
    with_disk = [machine for machine in site["machines"] if "disk" in machine]
    assert [(machine["zone"], machine["count"]) for machine in with_disk] == [
        ("north", 2),
        ("south", 2),
        ("west", 1),
    ]
    assert site["tolerate"] == {"machines": 2}
    assert [machine["zone"] for machine in site["machines"]] == ["north", "north", "south", "west"]


def test_all_else_stays_and_the_wire_is_found(tmp_path: Path) -> None:
    given = tomllib.loads(GIVEN)
    site = made(tmp_path, "five")
    changed = {"name", "wire", "machines", "tolerate"}
    assert {name for name in given if given[name] != site[name]} == changed
    assert set(site) == set(given)
    assert (tmp_path / "own" / site["wire"]).resolve() == (tmp_path / "wire.json").resolve()


def test_a_revoking_deployment_differs_in_that_only(tmp_path: Path) -> None:
    found = made(tmp_path, "revoking")
    assert found["bounds"].pop("closed") is True
    given = tomllib.loads(GIVEN)
    assert given["bounds"].pop("closed") is False
    assert found["bounds"] == given["bounds"]
    assert found["machines"] == given["machines"]
