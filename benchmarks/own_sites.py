"""Makes deployments of our own from a given one, so that days are also played where nothing was fitted to.

    python -m benchmarks.own_sites SITE FOLDER

Writes three site files to FOLDER. Services, kinds of requests, traffic and days stay as they are:

- `NAME-narrow`: a small part of the memory, slow links, zones far from each other, tighter bounds.
- `NAME-five`: five machines with a disk in place of three, two of which may be lost at once; slower disks.
- `NAME-revoking`: keys that were taken away may nowhere be used any more (`revocation-enforced`).
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cyclopts import App

from benchmarks.trouble_days import day_toml, toml_value

Content = dict[str, Any]

NARROW_MEMORY = 0.35  # of the given deployment's
NARROW_LINK = 0.1
NARROW_DISTANCE = 5.0
NARROW_BOUNDS = {"drain_ms": 0.75, "config_ms": 0.75, "touch_ms": 0.8, "ack_ms": 0.75, "grace_s": 0.75}

FIVE_DISKS = 5
FIVE_LOST = 2
FIVE_SYNC_MS = 4


def narrow(site: Content) -> Content:
    """Less memory, slower and longer links, tighter bounds."""
    machines = [
        {
            **machine,
            "memory_mb": round(machine["memory_mb"] * NARROW_MEMORY),
            "link_mbps": machine["link_mbps"] * NARROW_LINK,
        }
        for machine in site["machines"]
    ]
    tighter = {name: site["bounds"][name] * factor for name, factor in NARROW_BOUNDS.items()}
    bounds = {**site["bounds"], **tighter}
    net = {**site["net"], "cross_zone_ms": site["net"]["cross_zone_ms"] * NARROW_DISTANCE}
    return {**site, "machines": machines, "bounds": bounds, "net": net}


def five(site: Content) -> Content:
    """Five machines with a disk, spread over the zones, of which two may be lost."""
    with_disk = [machine for machine in site["machines"] if "disk" in machine]
    counts = [len(range(number, FIVE_DISKS, len(with_disk))) for number in range(len(with_disk))]
    replicas = [
        {**machine, "count": count, "disk": {**machine["disk"], "sync_ms": FIVE_SYNC_MS}}
        for machine, count in zip(with_disk, counts, strict=True)
    ]
    others = [machine for machine in site["machines"] if "disk" not in machine]
    tolerate = {**site["tolerate"], "machines": FIVE_LOST}
    return {
        **site,
        "machines": sorted(replicas + others, key=lambda machine: zone_rank(site, machine)),
        "tolerate": tolerate,
    }


def zone_rank(site: Content, machine: Content) -> int:
    """Machines stand in the order of their zones; within a zone the order stays."""
    return [zone["name"] for zone in site["zones"]].index(machine["zone"])


def revoking(site: Content) -> Content:
    """No machine, in touch or not, may run a request with a key that was taken away too long ago."""
    return {**site, "bounds": {**site["bounds"], "closed": True}}


VARIANTS: dict[str, Callable[[Content], Content]] = {"narrow": narrow, "five": five, "revoking": revoking}


def site_toml(site: Content) -> str:
    """A site file: plain values first, then tables, then days."""
    plain = [f"{name} = {toml_value(value)}" for name, value in site.items() if is_plain(name, value)]
    tables = [
        "\n".join([f"[{name}]", *(f"{part} = {toml_value(value)}" for part, value in table.items())])
        for name, table in site.items()
        if isinstance(table, dict)
    ]
    return "\n\n".join(["\n".join(plain), *tables, *(day_toml(day) for day in site["day"])])


def is_plain(name: str, value: Any) -> bool:
    """Whether this stands at the head of a site file."""
    return name != "day" and not isinstance(value, dict)


def make_site(path: Path, variant: str, folder: Path) -> Path:
    """Writes one variant of a deployment to a folder, and says where."""
    given = tomllib.loads(path.read_text())
    site = VARIANTS[variant](given)
    site["name"] = f"{given['name']}-{variant}"
    site["wire"] = os.path.relpath(path.parent / given["wire"], folder)
    target = folder / f"{site['name']}.toml"
    target.write_text(site_toml(site))
    return target


app = App(help="Makes deployments of our own from a given one.")


@app.default
def main(site: Path, folder: Path) -> None:
    """Writes all variants of a deployment to a folder.

    Parameters
    ----------
    site
        The site file of the given deployment.
    folder
        Where the others go.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for variant in VARIANTS:
        print(make_site(site, variant, folder))


if __name__ == "__main__":
    app()
