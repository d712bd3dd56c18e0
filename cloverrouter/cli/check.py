"""The `check` command: validates any configuration file of the project; its keys select the checks."""

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
    """deploy/balancer.toml: how to build and run the client proxy, and which files make up its policy."""

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
    """deploy/system.toml: how to build the fleet, and which program runs on which machines."""

    build: str
    roles: dict[str, Role]
    packages: list[str] = msgspec.field(default_factory=list)


class InvalidFile(Exception):
    """A file is invalid; the message says where and why."""


def _check_balancer_deployment(path: Path) -> str:
    try:
        deployment = msgspec.toml.decode(path.read_bytes(), type=Deploy)
    except msgspec.MsgspecError as error:
        raise InvalidFile(str(error)) from error
    root = path.resolve().parent.parent
    for key in ("policy", "node"):
        for name in getattr(deployment, key):
            if not (root / name).exists():
                raise InvalidFile(f"{key}: found {name}, which is not in {root}")
    line_count = sum(
        bool(line.strip())
        for name in deployment.policy
        for file in ([root / name] if (root / name).is_file() else sorted((root / name).rglob("*.py")))
        for line in file.read_text(encoding="utf-8").splitlines()
    )
    if line_count > MAX_POLICY_LINES:
        raise InvalidFile(f"policy: found {line_count} lines that are not blank, allowed {MAX_POLICY_LINES}")
    return f"deploy file, {line_count} lines of policy"


def _check_fleet_deployment(path: Path) -> str:
    try:
        deployment = msgspec.toml.decode(path.read_bytes(), type=System)
    except msgspec.MsgspecError as error:
        raise InvalidFile(str(error)) from error
    findings = [
        text for name, role in deployment.roles.items() for text in _role_findings(f"roles.{name}", role)
    ]
    findings += _shared_machine_findings(deployment.roles)
    if findings:
        raise InvalidFile("; ".join(findings))
    return f"deploy file of the fleet, {len(deployment.roles)} roles"


def _role_findings(key: str, role: Role) -> list[str]:
    findings = []
    if (role.share is None) == (role.count is None):
        findings.append(f"{key}: found share {role.share} and count {role.count}, allowed is one of them")
    if role.share is not None and not 0 < role.share <= 1:
        findings.append(f"{key}.share: found {role.share}, allowed is above 0, at most 1")
    if role.count is not None and role.count < 1:
        findings.append(f"{key}.count: found {role.count}, allowed is 1 or more")
    unknown_services = [name for name in role.serves if name not in SERVICES]
    if unknown_services:
        findings.append(
            f"{key}.serves: found {', '.join(unknown_services)}, allowed are {', '.join(SERVICES)}"
        )
    return findings


def _shared_machine_findings(roles: dict[str, Role]) -> list[str]:
    """Returns findings where a machine class has too many roles, or two roles that offer the same service."""
    findings = []
    for machine_class in {role.on: None for role in roles.values()}:
        roles_by_name = {name: role for name, role in roles.items() if role.on == machine_class}
        if len(roles_by_name) > MAX_ROLES_PER_CLASS:
            findings.append(
                f"roles: found {len(roles_by_name)} on {machine_class}, allowed {MAX_ROLES_PER_CLASS}"
            )
        for service in SERVICES:
            serving = [name for name, role in roles_by_name.items() if service in role.serves]
            if len(serving) > 1:
                findings.append(
                    f"roles: {service} on {machine_class}: found {', '.join(serving)}, allowed is one"
                )
    return findings


def _check_scenario(path: Path) -> str:
    from cloverrouter.lab import scenario

    try:
        return f"scenario, {len(scenario.read_all(path))} variants"
    except scenario.ScenarioError as error:
        raise InvalidFile(str(error).removeprefix(f"{path}: ")) from error


def _check_saved_trace(path: Path) -> str:
    from cloverrouter.explore import trace

    try:
        return f"history of {len(trace.read(path).steps)} events"
    except trace.TraceError as error:
        raise InvalidFile(str(error).removeprefix(f"{path}: ")) from error


def _check_proxy_configuration(path: Path) -> str:
    try:
        configuration = config.load({"PROXY_CONFIG": str(path)})
    except ConfigError as error:
        raise InvalidFile(str(error)) from error
    except (ValueError, TypeError, AttributeError) as error:
        raise InvalidFile(f"{type(error).__name__}: {error}") from error
    return f"proxy configuration of {configuration.name}, {len(configuration.settings.classes)} classes"


def _check_fleet_configuration(path: Path) -> str:
    from cloverrouter.control.document import ConfigurationState
    from cloverrouter.control.errors import ConfigurationInvalid
    from cloverrouter.control.review import review_document

    try:
        document, _ = review_document(path.read_bytes(), ConfigurationState())
    except ConfigurationInvalid as error:
        raise InvalidFile(str(error)) from error
    return f"configuration {document['version']} of the fleet, {len(document['route-table'])} routes"


def _check_node_settings(path: Path) -> str:
    from cloverrouter.daemon.errors import SettingsError
    from cloverrouter.daemon.settings import read

    try:
        settings = read(str(path))
    except SettingsError as error:
        raise InvalidFile("; ".join(error.findings)) from error
    return f"settings of the node {settings.name}"


class Site(msgspec.Struct):
    """deploy/sites/*.toml: a deployment in the benchmark's format. Other fields are ignored."""

    name: str
    family: str
    wire: str
    rules: dict[str, float]
    tier: list[dict[str, object]]
    classes: list[dict[str, object]] = msgspec.field(name="class")


def _check_site(path: Path) -> str:
    try:
        site = msgspec.toml.decode(path.read_bytes(), type=Site)
    except msgspec.MsgspecError as error:
        raise InvalidFile(str(error)) from error
    return f"site {site.name}, {len(site.classes)} classes"


class Trouble(msgspec.Struct):
    """An event or fault of a day; `at` is in seconds from the start of the day's traffic."""

    kind: str
    at: float


class Day(msgspec.Struct):
    """One day of deploy/days/*.toml, in the benchmark's format. Other fields are ignored."""

    seed: int
    plan: list[Trouble] = msgspec.field(default_factory=list)
    faults: list[Trouble] = msgspec.field(default_factory=list)


class Days(msgspec.Struct):
    """deploy/days/*.toml."""

    day: list[Day]


def _check_days(path: Path) -> str:
    try:
        days = msgspec.toml.decode(path.read_bytes(), type=Days)
    except msgspec.MsgspecError as error:
        raise InvalidFile(str(error)) from error
    event_count = sum(len(day.plan) + len(day.faults) for day in days.day)
    return f"{len(days.day)} days, {event_count} troubles"


MAX_POLICY_LINES = 1200
MAX_ROLES_PER_CLASS = 2  # roles on one class of machines
SERVICES = ("edge", "control_plane")
# The first of these top-level keys that a file has determines its kind.
CHECKS_BY_KEY: dict[str, Callable[[Path], str]] = {
    "policy": _check_balancer_deployment,
    "roles": _check_fleet_deployment,
    "family": _check_site,
    "day": _check_days,
    "load": _check_scenario,
    "steps": _check_saved_trace,
    "listen": _check_proxy_configuration,
    "route-table": _check_fleet_configuration,
    "node-name": _check_node_settings,
}


def describe_file(path: Path) -> str:
    """Returns a short description of a valid file.

    Raises InvalidFile if it can't be read, is of no known kind, or is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
        table = tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except OSError as error:
        raise InvalidFile(error.strerror or str(error)) from error
    except (tomllib.TOMLDecodeError, json.JSONDecodeError, UnicodeDecodeError) as error:
        raise InvalidFile(f"not valid {'TOML' if path.suffix == '.toml' else 'JSON'}: {error}") from error
    keys = table if isinstance(table, dict) else {}
    for key, check_file in CHECKS_BY_KEY.items():
        if key in keys:
            return check_file(path)
    raise InvalidFile(
        f"found keys {', '.join(keys) or 'none'}; allowed is a file with one of {', '.join(CHECKS_BY_KEY)}"
    )


def check(
    files: tuple[Path, ...],
    /,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> None:
    """Check configuration files of any kind without starting anything. Exits 2 if one is invalid.

    Parameters
    ----------
    files
        TOML or JSON files.
    as_json
        Print one JSON object that maps each file to its kind or its error.
    """
    results: dict[str, dict[str, str]] = {}
    for path in files:
        try:
            results[str(path)] = {"good": describe_file(path)}
        except InvalidFile as error:
            results[str(path)] = {"wrong": str(error)}
        except ModuleNotFoundError as error:
            results[str(path)] = {"wrong": f"{error.name} is not installed"}
    if as_json:
        usage.print_line(msgspec.json.encode(results).decode())
    else:
        for file, result in results.items():
            for outcome, text in result.items():
                print_result = usage.print_error if outcome == "wrong" else usage.print_line
                print_result(f"{file}: {outcome}: {text}")
    if any("wrong" in result for result in results.values()):
        raise SystemExit(usage.EXIT_INVALID)
