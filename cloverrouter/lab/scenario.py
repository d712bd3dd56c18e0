"""What is played: fleet, proxies, load and what goes wrong, read from TOML and checked."""

from __future__ import annotations

import tomllib
from copy import deepcopy
from itertools import product
from math import prod
from pathlib import Path
from typing import Any, Literal

import msgspec

from cloverrouter.fleet.limits import Budget, Share, ring_position
from cloverrouter.interface import DedupScope, Idempotency, Limits, RequestClass, Safety, Settings, Tenant
from cloverrouter.lab.bridge import Shape


class ScenarioError(Exception):
    """A scenario that can't be played; the text names file, key, what was found and what is allowed."""


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of machine."""

    share: float = 1.0  # of the servers that are such
    cores: int = 4
    speed: tuple[float, float] = (1.0, 1.0)  # drawn from this range, the yardstick being 1
    slots: int = 64
    room: int = 128


class Fleet(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The bridge servers."""

    servers: int = 12
    zones: tuple[str, ...] = ("a",)
    kinds: tuple[Kind, ...] = (Kind(),)
    cold_share: float = 0.12
    cold_ms: float = 15_000.0
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0
    choke_waiting: float = 0.0
    choke_after_ms: float = 2000.0
    choke_factor: float = 2.5
    choke_rest_ms: float = 3500.0
    memory_keys: int = 200
    memory_ms: float = 5000.0
    memory_saves: float = 0.0
    connections: int = 450
    handshake: float = 2.0
    bay_window_ms: float = 10_000.0
    drops_waiting: bool = False
    reports: tuple[Literal["inflight", "util", "latency_ms"], ...] = ()  # on each answer, in this order
    report_every_ms: float = 3.0  # so often they are made anew
    report_noise: float = 0.05  # standard deviation, as a share of the figure


class Network(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Ways between clients' zones and servers, one way."""

    near_ms: float = 0.3
    far_ms: float = 1.0


class Class(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One class of requests."""

    name: str
    share: float
    mean_work: float
    spread: float = 0.3
    aim_ms: float = 600.0
    deadline_ms: float = 2000.0
    worth: float = 1.0
    repeats: Literal["never", "keyed", "always"] = "never"
    answer_kb: float = 0.0  # mean size of an answer's body; 0: a few bytes
    answer_spread: float = 0.5  # standard deviation of the logarithm of that size


class Member(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One of those who share the fleet."""

    name: str
    share: float
    quota: float | None = None  # requests a second that count in full; None: all of them


class Clients(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How clients behave."""

    retries: int = 1
    wait_ms: tuple[float, float] = (100.0, 400.0)
    patience: tuple[float, float] = (0.7, 1.0)  # of the class's deadline
    leave_share: float = 0.0  # that go away before they are answered
    slow_share: float = 0.0  # that read what they get slowly
    slow_kb_s: float = 64.0  # and how fast those read


class Load(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Who asks for what, and how often."""

    rate: float | None = None  # requests a second; or
    level: float | None = None  # the part of what the fleet can do
    wander: float = 0.0  # how far the rate wanders about that, as a part of it
    classes: tuple[Class, ...]
    members: tuple[Member, ...] = (Member(name="all", share=1.0),)
    keys: int = 1000
    skew: float = 0.8
    over_quota_worth: float = 1.0  # part of its worth that a request beyond its member's quota keeps
    clients: Clients = Clients()


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Something that goes wrong, from `at_s` on for `len_s`."""

    kind: Literal[
        "burst",
        "surge",
        "fast-errors",
        "slow-answers",
        "spoilt-answers",
        "neighbour",
        "release",
        "drain",
        "death",
        "partition",
        "move",
        "discovery-outage",
        "spoilt-lists",
    ]
    at_s: float
    len_s: float = 5.0
    part: float = 0.2  # of the servers that it meets
    size: float = 0.5  # of a burst or a surge: the rate's multiple; else a share
    member: str = ""  # whose rate a surge raises
    delay_ms: float = 300.0  # by which slow answers are held back
    gap_s: float = 1.0  # between one server and the next, in a release or a drain
    on_s: float = 2.0  # a neighbour is on and off in turn for so long


class Log(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The lab's own log."""

    level: Literal["debug", "info", "warning", "error"] = "warning"
    form: Literal["console", "json"] = "console"


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One scenario, whole."""

    name: str
    seconds: float = 30.0
    warm_s: float = 2.0  # that don't count
    proxies: int = 4
    discovery_ms: tuple[float, float] = (300.0, 2500.0)  # how late the list tells
    fleet: Fleet = Fleet()
    network: Network = Network()
    load: Load
    faults: tuple[Fault, ...] = ()
    max_attempts: int = 3
    policies: tuple[str, ...] = ("ours", "least-in-flight", "random")
    seeds: tuple[int, ...] = (1, 2, 3)
    budget: Budget | None = None  # of all proxies together; None: each takes what it likes
    builds: dict[str, str] = {}  # real time: checkouts whose proxies are played, by name; none: this one
    log: Log = Log()


MOST_VARIANTS = 200
MOST_ANSWER_KB = 16_384  # mean; it is made in memory
POLICIES = ("ours", "least-in-flight", "random")


def read(path: Path) -> Scenario:
    """The scenario in a file; of one that varies something, the first variant. Raises ScenarioError."""
    return next(iter(read_all(path).values()))


def read_all(path: Path) -> dict[str, Scenario]:
    """A scenario's variants by label: one without a label, unless its table `vary` names keys with lists of
    values, which are all combined. Raises ScenarioError."""
    try:
        table = tomllib.loads(path.read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: no TOML: {error}") from error
    vary = table.pop("vary", {})
    if not isinstance(vary, dict) or not all(isinstance(values, list) and values for values in vary.values()):
        raise ScenarioError(f"{path}: vary: found {vary!r}, allowed a list of values for each key")
    if prod(len(values) for values in vary.values()) > MOST_VARIANTS:
        raise ScenarioError(f"{path}: vary: found more than the {MOST_VARIANTS} variants that are allowed")
    found: dict[str, Scenario] = {}
    for values in product(*vary.values()):
        chosen = dict(zip(vary, values, strict=True))
        label = ", ".join(f"{key}={value}" for key, value in chosen.items())
        found[label] = _convert(path, label, _with(path, table, chosen))
    return found


def _with(path: Path, table: dict[str, Any], chosen: dict[str, Any]) -> dict[str, Any]:
    made = deepcopy(table)
    for key, value in chosen.items():
        *way, last = key.split(".")
        at = made
        for part in way:
            at = at.setdefault(part, {})
            if not isinstance(at, dict):
                raise ScenarioError(
                    f"{path}: vary: found {key}, but {part} is no table; lists can't be varied"
                )
        at[last] = value
    return made


def _convert(path: Path, label: str, table: dict[str, Any]) -> Scenario:
    where = f"{path}: {label}: " if label else f"{path}: "
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{where}{error}") from error
    for key, found, allowed, good in _checks(scenario):
        if not good:
            raise ScenarioError(f"{where}{key}: found {found}, allowed {allowed}")
    return scenario


def _checks(s: Scenario) -> list[tuple[str, object, str, bool]]:
    load, fleet = s.load, s.fleet
    rows: list[tuple[str, object, str, bool]] = [
        ("seconds", s.seconds, "more than warm_s", s.seconds > s.warm_s >= 0),
        ("proxies", s.proxies, "1 to 10,000", 1 <= s.proxies <= 10_000),
        ("max_attempts", s.max_attempts, "1 to 5", 1 <= s.max_attempts <= 5),
        ("policies", ", ".join(s.policies), ", ".join(POLICIES), set() < set(s.policies) <= set(POLICIES)),
        ("seeds", s.seeds, "one or more, each once", 0 < len(s.seeds) == len(set(s.seeds))),
        ("discovery_ms", s.discovery_ms, "0 <= least <= most", 0 <= s.discovery_ms[0] <= s.discovery_ms[1]),
        ("fleet.servers", fleet.servers, "1 to 10,000", 1 <= fleet.servers <= 10_000),
        ("fleet.zones", fleet.zones, "one or more, each once", 0 < len(fleet.zones) == len(set(fleet.zones))),
        ("fleet.kinds", len(fleet.kinds), "one or more", bool(fleet.kinds)),
        ("fleet.reports", fleet.reports, "each once", len(set(fleet.reports)) == len(fleet.reports)),
        ("fleet.report_noise", fleet.report_noise, "0 to 1", 0 <= fleet.report_noise <= 1),
        ("fleet.cold_share", fleet.cold_share, "above 0, at most 1", 0 < fleet.cold_share <= 1),
        ("load", "both, or neither", "one of rate and level", (load.rate is None) != (load.level is None)),
        ("load.rate", load.rate, "more than 0", load.rate is None or load.rate > 0),
        ("load.level", load.level, "more than 0", load.level is None or load.level > 0),
        ("load.wander", load.wander, "0 to below 1", 0 <= load.wander < 1),
        ("load.classes", len(load.classes), "one or more, each name once",
         0 < len(load.classes) == len({c.name for c in load.classes})),
        ("load.members", len(load.members), "one or more, each name once",
         0 < len(load.members) == len({m.name for m in load.members})),
        ("load.keys", load.keys, "1 or more", load.keys >= 1),
        ("load.over_quota_worth", load.over_quota_worth, "0 to 1", 0 <= load.over_quota_worth <= 1),
        ("load.clients.leave_share", load.clients.leave_share, "0 to 1", 0 <= load.clients.leave_share <= 1),
        ("load.clients.slow_share", load.clients.slow_share, "0 to 1", 0 <= load.clients.slow_share <= 1),
        ("load.clients.slow_kb_s", load.clients.slow_kb_s, "more than 0", load.clients.slow_kb_s > 0),
        ("load.clients.retries", load.clients.retries, "0 to 5", 0 <= load.clients.retries <= 5),
    ]  # fmt: skip
    for i, kind in enumerate(fleet.kinds):
        good = kind.cores >= 1 and 0 < kind.speed[0] <= kind.speed[1] and kind.slots >= 1 and kind.room >= 0
        rows.append((f"fleet.kinds[{i}]", kind, "cores, slots and speeds above 0, room 0 or more", good))
        rows.append((f"fleet.kinds[{i}].share", kind.share, "more than 0", kind.share > 0))
    for cls in load.classes:
        name = f"load.classes[{cls.name}]"
        rows.append((f"{name}.share", cls.share, "more than 0", cls.share > 0))
        rows.append((f"{name}.mean_work", cls.mean_work, "more than 0", cls.mean_work > 0))
        sized = 0 <= cls.answer_kb <= MOST_ANSWER_KB
        rows.append((f"{name}.answer_kb", cls.answer_kb, f"0 to {MOST_ANSWER_KB:,}", sized))
        good = 0 < cls.aim_ms <= cls.deadline_ms
        rows.append((f"{name}.aim_ms", cls.aim_ms, f"above 0, at most deadline_ms ({cls.deadline_ms})", good))
    for member in load.members:
        good = member.quota is None or member.quota > 0
        rows.append((f"load.members[{member.name}].quota", member.quota, "more than 0", good))
    for i, fault in enumerate(s.faults):
        name = f"faults[{i}] ({fault.kind})"
        rows.append((f"{name}.at_s", fault.at_s, f"0 to {s.seconds}", 0 <= fault.at_s < s.seconds))
        rows.append((f"{name}.part", fault.part, "above 0, at most 1", 0 < fault.part <= 1))
        names = ", ".join(m.name for m in load.members)
        known = fault.kind != "surge" or fault.member in {m.name for m in load.members}
        rows.append((f"{name}.member", repr(fault.member), f"one of {names}", known))
        share = fault.size > 0 and (fault.kind in ("burst", "surge") or fault.size <= 1)
        rows.append((f"{name}.size", fault.size, "above 0; a share is at most 1", share))
        rows.append((f"{name}.delay_ms", fault.delay_ms, "above 0", fault.delay_ms > 0))
        rows.append(
            (f"{name}.on_s", min(fault.on_s, fault.len_s), "above 0", min(fault.on_s, fault.len_s) > 0)
        )
    return rows


def shape(fleet: Fleet, kind: Kind, speed: float) -> Shape:
    """A machine of this kind."""
    return Shape(
        cores=kind.cores, speed=speed, slots=kind.slots, room=kind.room,
        cold_share=fleet.cold_share, cold_ms=fleet.cold_ms,
        fall_multiple=fleet.fall_multiple, fall_ms=fleet.fall_ms,
        choke_waiting=fleet.choke_waiting, choke_after_ms=fleet.choke_after_ms,
        choke_factor=fleet.choke_factor, choke_rest_ms=fleet.choke_rest_ms,
        memory_keys=fleet.memory_keys, memory_ms=fleet.memory_ms, memory_saves=fleet.memory_saves,
        connections=fleet.connections, handshake=fleet.handshake,
    )  # fmt: skip


REPEATS = {"never": Idempotency.UNSAFE, "keyed": Idempotency.KEYED, "always": Idempotency.SAFE}


def share_of(s: Scenario, number: int, rate_per_s: float = 0.0) -> Share:
    """Proxy `number` among its like."""
    return Share(s.proxies, number, s.fleet.servers, rate_per_s, f"n{number}")


def settings(s: Scenario, number: int, zone: str) -> Settings:
    """What proxy `number` is told."""
    classes = tuple(
        RequestClass(
            c.name, c.aim_ms, c.deadline_ms, worth=c.worth, idempotency=REPEATS[c.repeats],
            dedup_scope=DedupScope.CELL, dedup_window_ms=s.fleet.bay_window_ms,
        )
        for c in s.load.classes
    )  # fmt: skip
    return Settings(
        classes=classes,
        zone=zone,
        proxies=s.proxies,
        proxy_index=number,
        ring_position=ring_position(share_of(s, number)) if s.budget is not None else None,
        report_fields=s.fleet.reports,
        limits=Limits(max_attempts=s.max_attempts),
        safety=Safety(
            cold_share=s.fleet.cold_share,
            cold_ms=s.fleet.cold_ms,
            overload_multiple=s.fleet.fall_multiple,
            overload_window_ms=s.fleet.fall_ms,
        ),
        tenants=tuple(Tenant(m.name, m.quota) for m in s.load.members if m.quota is not None),
        over_quota_worth=s.load.over_quota_worth,
    )
