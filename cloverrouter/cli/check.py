"""`check`: any of the project's configuration files, by what is in it."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import Parameter

from cloverrouter.cli import usage
from cloverrouter.proxy import config
from cloverrouter.proxy.config_schema import ConfigError


class Deploy(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/balancer.toml."""

    build: str
    run: str
    sim: str
    policy: list[str]
    node: list[str]
    packages: list[str]


class Role(msgspec.Struct, forbid_unknown_fields=True):
    """One role of deploy/system.toml."""

    run: str
    on: str
    serves: list[str] = msgspec.field(default_factory=list)
    share: float | None = None
    count: int | None = None
    apart: bool = False


class System(msgspec.Struct, forbid_unknown_fields=True):
    """deploy/system.toml: the fleet's build, and which program runs on which machines."""

    build: str
    roles: dict[str, Role]
    packages: list[str] = msgspec.field(default_factory=list)


class Wrong(Exception):
    """What is wrong with a file, and where."""


def _deploy(path: Path) -> str:
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Deploy)
    except msgspec.MsgspecError as error:
        raise Wrong(str(error)) from error
    root = path.resolve().parent.parent
    for key in ("policy", "node"):
        for name in getattr(told, key):
            if not (root / name).exists():
                raise Wrong(f"{key}: found {name}, which is not in {root}")
    lines = sum(
        bool(line.strip())
        for name in told.policy
        for file in ([root / name] if (root / name).is_file() else sorted((root / name).rglob("*.py")))
        for line in file.read_text().splitlines()
    )
    if lines > MOST_LINES:
        raise Wrong(f"policy: found {lines} lines that are not blank, allowed {MOST_LINES}")
    return f"deploy file, {lines} lines of policy"


def _system(path: Path) -> str:
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=System)
    except msgspec.MsgspecError as error:
        raise Wrong(str(error)) from error
    findings = [text for name, role in told.roles.items() for text in _role_findings(f"roles.{name}", role)]
    findings += _overlaps(told.roles)
    if findings:
        raise Wrong("; ".join(findings))
    return f"deploy file of the fleet, {len(told.roles)} roles"


def _role_findings(place: str, role: Role) -> list[str]:
    findings = []
    if (role.share is None) == (role.count is None):
        findings.append(f"{place}: found share {role.share} and count {role.count}, allowed is one of them")
    if role.share is not None and not 0 < role.share <= 1:
        findings.append(f"{place}.share: found {role.share}, allowed is above 0, at most 1")
    if role.count is not None and role.count < 1:
        findings.append(f"{place}.count: found {role.count}, allowed is 1 or more")
    unknown = [name for name in role.serves if name not in SERVICES]
    if unknown:
        findings.append(f"{place}.serves: found {', '.join(unknown)}, allowed are {', '.join(SERVICES)}")
    return findings


def _overlaps(roles: dict[str, Role]) -> list[str]:
    """At most two roles on a class of machines, and none serves there what another serves."""
    findings = []
    for machines in {role.on: None for role in roles.values()}:
        there = {name: role for name, role in roles.items() if role.on == machines}
        if len(there) > MOST_ROLES:
            findings.append(f"roles: found {len(there)} on {machines}, allowed {MOST_ROLES}")
        for service in SERVICES:
            serving = [name for name, role in there.items() if service in role.serves]
            if len(serving) > 1:
                findings.append(f"roles: {service} on {machines}: found {', '.join(serving)}, allowed is one")
    return findings


def _scenario(path: Path) -> str:
    from cloverrouter.lab import scenario

    try:
        return f"scenario, {len(scenario.read_all(path))} variants"
    except scenario.ScenarioError as error:
        raise Wrong(str(error).removeprefix(f"{path}: ")) from error


def _history(path: Path) -> str:
    from cloverrouter.explore import trace

    try:
        return f"history of {len(trace.read(path).steps)} events"
    except trace.TraceError as error:
        raise Wrong(str(error).removeprefix(f"{path}: ")) from error


def _proxy(path: Path) -> str:
    try:
        told = config.load({"PROXY_CONFIG": str(path)})
    except ConfigError as error:
        raise Wrong(str(error)) from error
    except (ValueError, TypeError, AttributeError) as error:
        raise Wrong(f"{type(error).__name__}: {error}") from error
    return f"proxy configuration of {told.name}, {len(told.settings.classes)} classes"


def _fleet_configuration(path: Path) -> str:
    from cloverrouter.control.document import ConfigurationState
    from cloverrouter.control.errors import ConfigurationInvalid
    from cloverrouter.control.review import review_document

    try:
        document, _ = review_document(path.read_bytes(), ConfigurationState())
    except ConfigurationInvalid as error:
        raise Wrong(str(error)) from error
    return f"configuration {document['version']} of the fleet, {len(document['route-table'])} routes"


def _settings(path: Path) -> str:
    from cloverrouter.daemon.errors import SettingsError
    from cloverrouter.daemon.settings import read

    try:
        told = read(str(path))
    except SettingsError as error:
        raise Wrong("; ".join(error.findings)) from error
    return f"settings of the node {told.name}"


class Site(msgspec.Struct):
    """deploy/sites/*.toml: a deployment in the bench's form. What the bench alone reads is its business."""

    name: str
    family: str
    wire: str
    rules: dict[str, float]
    tier: list[dict[str, object]]
    classes: list[dict[str, object]] = msgspec.field(name="class")


def _site(path: Path) -> str:
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Site)
    except msgspec.MsgspecError as error:
        raise Wrong(str(error)) from error
    return f"site {told.name}, {len(told.classes)} classes"


class Trouble(msgspec.Struct):
    """Something that happens on a day, `at` seconds from the start of its traffic."""

    kind: str
    at: float


class Day(msgspec.Struct):
    """One day of deploy/days/*.toml, in the bench's form. What the bench alone reads is its business."""

    seed: int
    plan: list[Trouble] = msgspec.field(default_factory=list)
    faults: list[Trouble] = msgspec.field(default_factory=list)


class Days(msgspec.Struct):
    day: list[Day]


def _days(path: Path) -> str:
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Days)
    except msgspec.MsgspecError as error:
        raise Wrong(str(error)) from error
    troubles = sum(len(day.plan) + len(day.faults) for day in told.day)
    return f"{len(told.day)} days, {troubles} troubles"


MOST_LINES = 1200
MOST_ROLES = 2
SERVICES = ("edge", "control_plane")
# Which key tells what a file is.
KINDS: dict[str, Callable[[Path], str]] = {
    "policy": _deploy,
    "roles": _system,
    "family": _site,
    "day": _days,
    "load": _scenario,
    "steps": _history,
    "listen": _proxy,
    "route-table": _fleet_configuration,
    "node-name": _settings,
}


def examine(path: Path) -> str:
    """What a good file is. Raises Wrong, which says what was found and what is allowed."""
    try:
        text = path.read_text()
        table = tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except OSError as error:
        raise Wrong(error.strerror or str(error)) from error
    except (tomllib.TOMLDecodeError, json.JSONDecodeError, UnicodeDecodeError) as error:
        raise Wrong(f"no {'TOML' if path.suffix == '.toml' else 'JSON'}: {error}") from error
    keys = table if isinstance(table, dict) else {}
    for key, check_it in KINDS.items():
        if key in keys:
            return check_it(path)
    raise Wrong(f"found keys {', '.join(keys) or 'none'}; allowed is a file with one of {', '.join(KINDS)}")


def check(
    files: tuple[Path, ...],
    /,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> None:
    """Check configuration files of any kind; nothing is started. Exits 2 if one is wrong.

    Parameters
    ----------
    files
        The files, TOML or JSON.
    as_json
        One JSON object: by file, what it is or what is wrong.
    """
    found: dict[str, dict[str, str]] = {}
    for path in files:
        try:
            found[str(path)] = {"good": examine(path)}
        except Wrong as error:
            found[str(path)] = {"wrong": str(error)}
        except ModuleNotFoundError as error:
            found[str(path)] = {"wrong": f"{error.name} is not installed"}
    if as_json:
        usage.say(msgspec.json.encode(found).decode())
    else:
        for name, said in found.items():
            for word, text in said.items():
                tell = usage.error_line if word == "wrong" else usage.say
                tell(f"{name}: {word}: {text}")
    if any("wrong" in said for said in found.values()):
        raise SystemExit(usage.WRONG)
