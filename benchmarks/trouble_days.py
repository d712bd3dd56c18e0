"""Draws days of control trouble for a deployment: a seed and a site file give one day, always the same.

    python -m benchmarks.trouble_days SITE SEED [--heavy] [--out FILE]

A day is made of several *threads*, each a story of trouble (a long cut, losses one right after the other, a
storm of configurations, ...), which overlap. What the deployment may lose, its services, kinds of requests
and traffic are read from its site file; nothing else of it is used.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import attrs
from cyclopts import App

Entry = dict[str, Any]

DAY_S = 34.0  # without a length of its own in the site file
CALM_START_S = 1.5  # the first trouble comes no sooner
CALM_END_S = 5.0  # and none begins later than so long before the end of traffic
STORIES = (2, 3)  # of control, on a day
HEAVY_STORIES = (4, 6)
LOAD_FIELDS = ("traffic", "small")
LONG_S = (20.0, 25.0)  # long enough to outlast every bound of a deployment

CUT_WAYS = ("", "all", "near", "oldest", "one_way", "seeds", "both", "lure")
TARGETS = ("", "leader", "turn", "reader", "seed")
ON_RETURN = ("", "meet", "race", "meet hard", "race drain", "drain")
CUT_SIGNS = ("", "", "reset", "refuse")
CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
BAD_CONFIGURATIONS = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
)
GREY_WAYS = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
KILLED_AFTER = ("", "kill", "timed", "taken", "taken gone")
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_WAYS = ("", "timed", "taken", "oldest")


@attrs.frozen
class Site:
    """What a day is drawn from."""

    length_s: float
    tolerated: int
    services: tuple[str, ...]
    classes: tuple[str, ...]
    loads: tuple[
        Entry, ...
    ]  # of its own days: the traffic, and what their small twin changes, if they have one


@attrs.frozen
class Thread:
    """A story of trouble: planned work and faults, by their times from its own start."""

    plan: tuple[Entry, ...] = ()
    faults: tuple[Entry, ...] = ()


Story = Callable[[Random, Site], Thread]


def read_site(path: Path) -> Site:
    """Reads a site file."""
    with path.open("rb") as file:
        content = tomllib.load(file)
    return Site(
        length_s=float(content.get("length_s", DAY_S)),
        tolerated=int(content["tolerate"]["machines"]),
        services=tuple(service["name"] for service in content["services"]),
        classes=tuple(kind["name"] for kind in content["classes"]),
        loads=tuple({name: day[name] for name in LOAD_FIELDS if name in day} for day in content["day"]),
    )


def entry(at: float, kind: str, **fields: Any) -> Entry:
    """One entry of a plan or of faults; words of `how` that are empty are left out."""
    return {
        "at": round(at, 2),
        "kind": kind,
        **{name: value for name, value in fields.items() if value != ""},
    }


def words(*parts: str) -> str:
    """The words of a `how`."""
    return " ".join(part for part in parts if part)


def drawn(random: Random, low: float, high: float) -> float:
    """A number between two, with two decimals."""
    return round(random.uniform(low, high), 2)


def long_cut(random: Random, site: Site) -> Thread:
    """Machines of the core are cut off for twenty seconds and more while orders and races go on."""
    how = words(
        random.choice(TARGETS), random.choice(CUT_WAYS), random.choice(ON_RETURN), random.choice(CUT_SIGNS)
    )
    length = drawn(random, *LONG_S)
    count = random.randint(1, site.tolerated)
    orders = [
        entry(at, "config_change", how=random.choice(CHANGES))
        for at in sorted(drawn(random, 0.5, length + 3.0) for _ in range(random.randint(3, 6)))
    ]
    return Thread(plan=tuple(orders), faults=(entry(0.0, "core_cut", count=count, how=how, for_s=length),))


def repeated_loss(random: Random, site: Site) -> Thread:
    """One machine of the core after the other is lost or replaced, the oldest disks first."""
    plan: list[Entry] = []
    faults: list[Entry] = []
    at = 0.0
    for _ in range(random.randint(3, 6)):
        fate = random.choice(("replaced", "planned", "wiped", "killed"))
        oldest = random.choice(("oldest", "oldest", "leader", ""))
        if fate == "replaced":
            faults.append(entry(at, "replace_core", how=oldest, x=drawn(random, 0.3, 3.0)))
        elif fate == "planned":
            plan.append(entry(at, "replace_core", how=words("planned", oldest), x=drawn(random, 0.3, 3.0)))
        elif fate == "wiped":
            faults.append(entry(at, "after_ack_wipe", how=oldest, for_s=drawn(random, 0.5, 4.0)))
        else:
            how = words("leader", random.choice(("", "power")), random.choice(ON_RETURN))
            faults.append(entry(at, "node_kill", on="core", count=1, how=how, for_s=drawn(random, 0.5, 4.0)))
        at += drawn(random, 0.1, 4.5)
    return Thread(tuple(plan), tuple(faults))


def storm(random: Random, site: Site) -> Thread:
    """Configurations in quick succession, with invalid ones among them."""
    length = drawn(random, 2.0, 12.0)
    plan = [
        entry(
            0.0, "config_storm", for_s=length, gap_s=drawn(random, 0.05, 0.6), how=random.choice(("", "idle"))
        ),
        entry(
            drawn(random, 0.0, length),
            "bad_config",
            count=random.randint(1, 4),
            gap_s=drawn(random, 0.3, 1.0),
            how=random.choice(BAD_CONFIGURATIONS),
        ),
    ]
    if random.random() < 0.4:
        plan.append(entry(drawn(random, 0.0, length), "big_config", count=random.randint(50, 400)))
    if random.random() < 0.4:
        plan.append(entry(drawn(random, 0.0, length), "revoke", count=random.randint(1, 3), gap_s=0.7))
    return Thread(plan=tuple(plan))


def races(random: Random, site: Site) -> Thread:
    """Two operators at a time on the same version, while acknowledgements are lost."""
    length = drawn(random, 6.0, 20.0)
    plan = [
        entry(0.3, "config_race", count=random.randint(3, 8), gap_s=drawn(random, 0.4, 1.5)),
        entry(
            drawn(random, 2.0, length),
            "config_race",
            count=random.randint(1, 4),
            gap_s=drawn(random, 0.4, 1.5),
        ),
    ]
    faults = (entry(0.0, "ack_lost", x=drawn(random, 0.5, 0.9), for_s=length),)
    return Thread(tuple(plan), faults)


def rolls(random: Random, site: Site) -> Thread:
    """Machines are stopped in turn while others are killed."""
    how = words(random.choice(("busy", "busy", "remove", "busy remove", "")))
    plan = [
        entry(
            0.0,
            "roll_term",
            share=random.choice((0.4, 0.6, 1.0)),
            x=1.0,
            gap_s=drawn(random, 0.5, 2.0),
            how=how,
        )
    ]
    if random.random() < 0.4:
        plan.append(
            entry(
                drawn(random, 0.0, 6.0), "hup", share=drawn(random, 0.3, 1.0), gap_s=drawn(random, 0.5, 3.0)
            )
        )
    if random.random() < 0.3:
        plan.append(entry(drawn(random, 0.0, 6.0), "seed_turnover"))
    faults = []
    for _ in range(random.randint(0, 2)):
        how = random.choice(("", "power"))
        faults.append(
            entry(
                drawn(random, 1.0, 12.0),
                "node_kill",
                share=drawn(random, 0.1, 0.25),
                how=how,
                for_s=drawn(random, 1.0, 4.0),
            )
        )
    return Thread(tuple(plan), tuple(faults))


def power(random: Random, site: Site) -> Thread:
    """Power is lost in the moments round an acknowledgement, by one machine or by all."""
    how = random.choice(("taken", "taken all", "power", ""))
    on = {"on": "core"} if random.random() < 0.7 else {}
    kills = [
        entry(
            drawn(random, 0.0, 8.0),
            "after_ack_kill",
            how=random.choice(KILLED_AFTER),
            for_s=drawn(random, 0.5, 3.0),
            count=random.randint(1, site.tolerated),
        )
        for _ in range(random.randint(1, 3))
    ]
    herd = entry(
        drawn(random, 0.0, 10.0),
        "herd_kill",
        share=drawn(random, 0.3, 0.7),
        how=how,
        for_s=drawn(random, 0.6, 3.0),
        **on,
    )
    changes = [entry(drawn(random, 0.0, 10.0), "config_change", how=random.choice(CHANGES)) for _ in range(2)]
    return Thread(tuple(changes), (*kills, herd))


def disks(random: Random, site: Site) -> Thread:
    """Disks stall, fill up or turn slow, one after the other or at once."""
    faults = []
    at = 0.0
    for _ in range(random.randint(2, 4)):
        kind = random.choice(("disk_full", "disk_stall", "disk_slow"))
        fields: Entry = {"x": drawn(random, 10.0, 60.0)} if kind == "disk_slow" else {}
        faults.append(
            entry(
                at,
                kind,
                count=1,
                how=random.choice(("", "leader", "turn")),
                for_s=drawn(random, 1.0, 14.0),
                **fields,
            )
        )
        at += drawn(random, 0.3, 6.0)
    change = entry(drawn(random, 0.5, 6.0), "config_change", how=random.choice(CHANGES))
    return Thread((change,), tuple(faults))


def clocks(random: Random, site: Site) -> Thread:
    """Clocks jump; machines stand still and go on, or run slowly."""
    faults = [
        entry(
            0.0,
            "clock_step",
            how=random.choice(("back", "ahead")),
            x=drawn(random, 500.0, 9000.0),
            share=drawn(random, 0.3, 1.0),
            for_s=drawn(random, 2.0, 12.0),
        ),
        entry(
            drawn(random, 0.5, 6.0),
            "node_freeze",
            on="core",
            count=1,
            for_s=drawn(random, 0.5, 8.0),
            how=words(random.choice(("leader", "turn", "")), random.choice(ON_RETURN)),
        ),
    ]
    if random.random() < 0.5:
        faults.append(entry(drawn(random, 0.0, 8.0), "node_freeze", share=0.2, for_s=drawn(random, 0.5, 5.0)))
    if random.random() < 0.5:
        faults.append(
            entry(
                drawn(random, 0.0, 8.0),
                "node_slow",
                share=0.2,
                x=drawn(random, 3.0, 12.0),
                for_s=drawn(random, 2.0, 6.0),
            )
        )
    change = entry(drawn(random, 0.5, 6.0), "config_change", how=random.choice(CHANGES))
    return Thread((change,), tuple(faults))


def answers(random: Random, site: Site) -> Thread:
    """Servers' answers are spoiled, lost or doubled, and connections are reset."""
    garbled = words(random.choice(("", "extra", "unframed", "early", "extra late")))
    faults = [
        entry(
            0.0,
            "garble",
            how=garbled,
            share=drawn(random, 0.3, 0.8),
            x=drawn(random, 0.02, 0.08),
            for_s=drawn(random, 3.0, 9.0),
        ),
        entry(
            drawn(random, 0.0, 8.0),
            "answer_lost",
            how=random.choice(("", "reset")),
            share=drawn(random, 0.3, 0.7),
            x=drawn(random, 0.02, 0.08),
            for_s=drawn(random, 3.0, 9.0),
        ),
    ]
    for _ in range(random.randint(1, 3)):
        faults.append(
            entry(
                drawn(random, 0.0, 12.0),
                "reset_conns",
                share=drawn(random, 0.1, 0.6),
                x=drawn(random, 0.3, 1.0),
            )
        )
    return Thread(faults=tuple(faults))


def cut_servers(random: Random, site: Site) -> Thread:
    """Servers, or whole machines, lose their way to control."""
    cut_server = entry(
        0.0,
        "srv_cut",
        share=drawn(random, 0.2, 0.5),
        x=drawn(random, 0.2, 0.5),
        how=random.choice(("", "fronts", "one_way", "reset")),
        for_s=drawn(random, 4.0, 22.0),
    )
    cut_node = entry(
        drawn(random, 0.0, 6.0),
        "node_cut",
        share=drawn(random, 0.1, 0.4),
        how=random.choice(("", "all", "servers")),
        for_s=drawn(random, 4.0, 22.0),
    )
    return Thread(faults=(cut_server, cut_node))


def servers(random: Random, site: Site) -> Thread:
    """Servers come, go and fail, while others are replaced."""
    service = random.choice(site.services)
    kinds = ("srv_crash", "srv_grey", "srv_slow", "replace_with_reuse")
    faults = []
    for kind in random.sample(kinds, 2):
        how = {
            "srv_crash": random.choice(("", "dark", "gone")),
            "srv_grey": random.choice(GREY_WAYS),
            "srv_slow": "",
            "replace_with_reuse": random.choice(("", "drain", "dark")),
        }[kind]
        faults.append(
            entry(
                drawn(random, 0.0, 8.0),
                kind,
                service=service,
                share=drawn(random, 0.1, 0.3),
                how=how,
                for_s=drawn(random, 2.0, 6.0),
            )
        )
    plan = random.choice(
        (
            entry(0.0, "release", share=drawn(random, 0.3, 0.6), x=1.0, gap_s=drawn(random, 0.6, 1.5)),
            entry(0.0, "scale_out", share=0.3, gap_s=2.0),
            entry(0.0, "scale_in", share=0.15, how=random.choice(("", "spot"))),
        )
    )
    return Thread((plan,), tuple(faults))


def crowds(random: Random, site: Site) -> Thread:
    """Many ask at once."""
    faults = random.choice(
        (
            entry(
                0.0, "burst", **{"class": random.choice(site.classes)}, x=drawn(random, 1.3, 1.8), for_s=4.0
            ),
            entry(0.0, "hot_tenant", x=drawn(random, 4.0, 8.0), for_s=drawn(random, 4.0, 11.0), count=1),
            entry(0.0, "hot_key", **{"class": random.choice(site.classes[:2])}, share=0.3, for_s=5.0),
            entry(0.0, "retry_abuse", share=0.3, x=3.0, for_s=4.0),
            entry(0.0, "give_up", share=0.2, x=drawn(random, 30.0, 200.0), for_s=4.0),
        )
    )
    return Thread(faults=(faults,))


CONTROL_STORIES: tuple[Story, ...] = (long_cut, repeated_loss, storm, races, rolls, power, disks, clocks)
TRAFFIC_STORIES: tuple[Story, ...] = (answers, cut_servers, servers, crowds)


def closing(random: Random) -> Entry:
    """How a day ends, if it ends with a fault."""
    kind = random.choice(CLOSINGS)
    how = random.choice(CLOSING_WAYS) if kind == "wipe_after_ack" else random.choice(("", "timed", "taken"))
    ends = {"kind": kind, "down_s": drawn(random, 0.5, 2.0)}
    return {**ends, "how": how} if how else ends


def begun_at(entries: tuple[Entry, ...], start: float, last: float) -> list[Entry]:
    """A thread's entries on the clock of the day; what would come too late for the day is left out."""
    moved = [{**item, "at": round(item["at"] + start, 2)} for item in entries]
    return [item for item in moved if item["at"] <= last]


def draw_day(site: Site, seed: int, heavy: bool = False) -> Entry:
    """The day of a seed: some stories of control, some of traffic, often a final fault."""
    random = Random(seed)
    last = site.length_s - CALM_END_S
    stories = random.sample(CONTROL_STORIES, random.randint(*(HEAVY_STORIES if heavy else STORIES)))
    stories += random.sample(TRAFFIC_STORIES, random.randint(1, 2))
    plan: list[Entry] = []
    faults: list[Entry] = []
    for story in stories:
        latest = 6.0 if story is long_cut else last - 8.0
        start = drawn(random, CALM_START_S, latest)
        thread = story(random, site)
        plan += begun_at(thread.plan, start, last)
        faults += begun_at(thread.faults, start, last)
    day: Entry = {
        "name": f"trouble-{seed}",
        "slot": "trouble",
        "seed": seed,
        "one": 1.0,
        "zero": 0.5,
        "goal": {"floor": 0.1},
        "labels": [],
    }
    if random.random() < 0.75:
        day["closing"] = closing(random)
    day["plan"] = sorted(plan, key=lambda item: float(item["at"]))
    day["faults"] = sorted(faults, key=lambda item: float(item["at"]))
    return {**day, **random.choice(site.loads)}


def toml_value(value: Any) -> str:
    """A value as TOML, on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {toml_value(part)}" for name, part in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(part) for part in value) + "]"
    return repr(value)


def day_toml(day: Entry) -> str:
    """A day as a `[[day]]` of TOML."""
    lines = ["[[day]]"]
    for name, value in day.items():
        if isinstance(value, list) and value:
            lines += [f"{name} = [", *(f"  {toml_value(part)}," for part in value), "]"]
        else:
            lines.append(f"{name} = {toml_value(value)}")
    return "\n".join(lines) + "\n"


app = App(help="Draws a day of control trouble for a deployment.")


@app.default
def main(site: Path, seed: int, *, heavy: bool = False, out: Path | None = None) -> None:
    """Prints the day of a seed, or writes it to a file.

    Parameters
    ----------
    site
        The site file of the deployment.
    seed
        Gives the day.
    heavy
        About twice as many troubles of control.
    out
        Where to write it; standard output without.
    """
    text = day_toml(draw_day(read_site(site), seed, heavy))
    if out is None:
        sys.stdout.write(text)
    else:
        out.write_text(text)


if __name__ == "__main__":
    app()
