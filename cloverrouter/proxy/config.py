"""Reads the configuration from the environment and a JSON file into typed settings. Only this module and its
validation know the configuration's keys.

The table ``settings`` has the form of the simulator's first message, so the simulator's adapter uses
`read_settings` as well.
"""

from __future__ import annotations

import json
import time
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from math import isfinite
from pathlib import Path
from typing import Any, TypeVar

from cloverrouter.interface import (
    DedupScope,
    EndpointState,
    Idempotency,
    Limits,
    ListedEndpoint,
    Prices,
    RequestClass,
    Safety,
    Settings,
    Tenant,
)
from cloverrouter.proxy.config_schema import MISSING, ConfigError, check

Json = dict[str, Any]
Address = tuple[str, int]
N = TypeVar("N", int, float)

IDEMPOTENCY = {
    "retryable": Idempotency.SAFE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.UNSAFE,
}
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
DEFAULT_IDLE_MS = 15_000.0
DEFAULT_SOCKETS = 256
DEFAULT_MEMORY_MB = 64.0
CLIENT_SOCKETS_SHARE = 1 / 3  # of the file descriptors, at most, are for clients' open requests


# Settings


def read_class(raw: Json) -> RequestClass:
    return RequestClass(
        name=raw["name"],
        aim_ms=raw["aim_ms"],
        deadline_ms=raw["deadline_ms"],
        worth=raw.get("worth", 1.0),
        late_worth=raw.get("late_worth", 0.0),
        aim_stretch=raw.get("aim_stretch", 0.0),
        idempotency=IDEMPOTENCY[raw["effect"]],
        dedup_scope=DedupScope(raw.get("group", "all")),
        dedup_window_ms=raw.get("window_ms", 0.0),
        streamed=raw.get("stream", False),
    )


def read_settings(raw: Json, max_open_requests: int = 0) -> Settings:
    """Reads the table ``settings``. `max_open_requests`: how many requests the clients' connections allow; 0:
    there are no connections."""
    bounds, safety, prices = raw["bounds"], raw["safety"], raw.get("prices", {})
    return Settings(
        classes=tuple(read_class(c) for c in raw["categories"]),
        zone=raw.get("zone", ""),
        proxies=raw["balancers"],
        proxy_index=raw.get("ordinal"),
        subscribe=raw.get("discovery") == "subscribe",
        report_fields=tuple(raw.get("reporting", {}).get("fields", ())),
        worth_by_work=raw.get("counted_by") == "work",
        limits=Limits(
            max_attempts=bounds["max_attempts"],
            parallel_attempts=bounds.get("parallel_tries", False),
            cancel=bounds.get("cancel", False),
            probes=bounds.get("probes", False),
            peers=bounds.get("peers", False),
            retry_after=bounds.get("retry_after", False),
            max_retry_after_ms=bounds.get("max_retry_after_ms", 0.0),
            connect_timeout_ms=bounds.get("connect_timeout_ms", 250.0),
            max_open=min(bounds.get("max_open", 0) or max_open_requests, max_open_requests),
        ),
        safety=Safety(
            cold_share=safety["cold_share"],
            cold_ms=safety["cold_ms"],
            overload_multiple=safety["fall_multiple"],
            overload_window_ms=safety["fall_ms"],
            max_poll_interval_ms=safety["must_ask_in_ms"],
            drain_grace_ms=safety.get("drain_grace_ms", 500.0),
        ),
        prices=Prices(
            cross_zone=prices.get("cross_zone", 0.0),
            probe=prices.get("probe", 0.0),
            waste=prices.get("waste", 0.0),
            late_fail=prices.get("late_fail", 0.0),
        ),
        tenants=tuple(Tenant(t["name"], t["quota_per_s"]) for t in raw.get("projects", ())),
        over_quota_worth=raw.get("over_share_worth", 1.0),
    )


# Discovery's lists


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One server of a list from discovery."""

    listed: ListedEndpoint
    address: Address | None  # None: the server has left


@dataclass(frozen=True, slots=True)
class HostList:
    """A list from discovery."""

    version: int
    full: bool  # False: only changes since the version that was asked about
    entries: tuple[HostEntry, ...]


class UnixClock:
    """Converts discovery's Unix times to the balancer's monotonic ones.

    The offset is fixed at the start: the balancer treats a server whose start time changes as restarted.
    """

    def __init__(self) -> None:
        self._offset_ms = time.monotonic() * 1000 - time.time() * 1000

    def monotonic_ms(self, unix_ms: float) -> float | None:
        return unix_ms + self._offset_ms if unix_ms > 0 else None

    def unix_ms(self, monotonic_ms: float | None) -> float:
        return monotonic_ms - self._offset_ms if monotonic_ms is not None else 0.0


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    ip_address(host)  # refuses host names: there is no DNS, and look-ups would block
    if not 0 < int(port) < 65536:
        raise ValueError(f"no port: {text!r}")
    return host, int(port)


def read_entry(entry: Json, clock: UnixClock) -> HostEntry:
    state = ENDPOINT_STATES[entry["state"]]
    listed = ListedEndpoint(
        name=_text(entry["id"]),
        zone=_text(entry.get("zone", "")),
        cell=_number(int, entry.get("cell", 0)),
        weight=_number(float, entry.get("weight", 1.0)),
        state=state,
        started_ms=clock.monotonic_ms(_number(float, entry.get("started_ms", 0))),
    )
    return HostEntry(listed, None if state is EndpointState.GONE else read_address(entry["addr"]))


def read_list(message: Any, clock: UnixClock, unreadable: list[Any] | None = None) -> HostList:
    """Reads one of discovery's lists. Raises ValueError for an invalid one: a list is never applied in part.

    With `unreadable`, invalid entries are appended to that list instead, as long as there are valid ones.
    """
    try:
        if unreadable is None:
            entries = tuple(read_entry(entry, clock) for entry in message["servers"])
        else:
            entries = tuple(_readable_entries(message["servers"], clock, unreadable))
            if unreadable and not entries:
                raise ValueError("none of its entries can be read")
        return HostList(_number(int, message["version"]), message["full"] is True, entries)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from error


def _readable_entries(entries: list[Any], clock: UnixClock, unreadable: list[Any]) -> Iterator[HostEntry]:
    for entry in entries:
        try:
            yield read_entry(entry, clock)
        except (KeyError, TypeError, AttributeError, ValueError):
            unreadable.append(entry)


def write_list(hosts: HostList, clock: UnixClock) -> Json:
    """Returns a list in discovery's form, which `read_list` reads."""
    names = {state: name for name, state in ENDPOINT_STATES.items()}
    servers = [
        {
            "id": entry.listed.name,
            "addr": "{}:{}".format(*entry.address) if entry.address else "",
            "zone": entry.listed.zone,
            "cell": entry.listed.cell,
            "weight": entry.listed.weight,
            "state": names[entry.listed.state],
            "started_ms": clock.unix_ms(entry.listed.started_ms),
        }
        for entry in hosts.entries
    ]
    return {"version": hosts.version, "full": hosts.full, "servers": servers}


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r}")
    value.encode()  # raises UnicodeEncodeError, a ValueError, for half of a surrogate pair
    return value


def _number(kind: type[N], value: Any) -> N:
    """Returns a finite number. Raises ValueError for others: Python's JSON parser also accepts NaN and
    Infinity, which would spread through all estimates."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError(f"not a number: {value!r}")
    return kind(value)


# The whole configuration


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Addresses for the datagrams between the client proxies of the tier."""

    listen: Address
    targets: tuple[Address, ...]  # where to send what is for all peers


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one client proxy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # limit of open file descriptors
    memory_mb: float
    control: Address | None  # the operators' listener; absent in older configurations
    conn_idle_ms: float
    settings: Settings
    known: HostList | None  # the servers to start with, until discovery answers
    clock: UnixClock
    peers: PeerSettings | None = None


def read_peers(document: Json) -> PeerSettings | None:
    """Returns None without a `peer_listen` address. Raises ValueError for an invalid address."""
    if not document.get("peer_listen"):
        return None
    broadcast_address, peer_addresses = document.get("peers_all"), document.get("peers", [])
    own_index = document["settings"].get("ordinal")
    other_targets = [
        _parse_address(f"peers[{n}]", peer) for n, peer in enumerate(peer_addresses or ()) if n != own_index
    ]
    targets = (_parse_address("peers_all", broadcast_address),) if broadcast_address else tuple(other_targets)
    return PeerSettings(_parse_address("peer_listen", document["peer_listen"]), targets)


def read_seed(value: Any) -> int:
    """Returns a hexadecimal number's value, or a checksum of any other text."""
    try:
        return int(str(value), 16)
    except ValueError:
        return zlib.crc32(str(value).encode())


def _parse_address(key: str, value: Any) -> Address:
    try:
        return read_address(value)
    except (ValueError, AttributeError, TypeError):
        raise ConfigError(key, value, "an IP address and a port, such as 127.0.0.1:3000") from None


def _read_known(document: Json, clock: UnixClock) -> HostList:
    try:
        return read_list(document, clock)
    except ValueError as error:
        raise ConfigError("known", document, f"a list in discovery's form ({error})") from None


def reload_discovery(environ: Mapping[str, str]) -> Address:
    """Returns discovery's address as the file has it now.

    The environment's copy of the address is ignored: it dates from the start of the process and would undo
    the change. Raises ValueError, which names the key, or OSError if the file can't be used.
    """
    document = json.loads(Path(environ["PROXY_CONFIG"]).read_bytes())
    if not isinstance(document, dict):
        raise ConfigError("the file", document, "an object")
    return _parse_address("discovery", document.get("discovery", MISSING))


def load(environ: Mapping[str, str]) -> Config:
    """Reads the configuration. Raises ValueError, which names the key, or OSError if it can't be used."""
    if "PROXY_CONFIG" not in environ:
        raise ConfigError("the environment's PROXY_CONFIG", MISSING, "the path of a configuration file")
    document: Json = json.loads(Path(environ["PROXY_CONFIG"]).read_bytes())
    check(document)
    raw, clock = document["settings"], UnixClock()
    limits = document.get("limits") or {}
    sockets = int(limits.get("sockets") or DEFAULT_SOCKETS)
    control = environ.get("PROXY_CONTROL") or document.get("control")
    return Config(
        name=str(environ.get("PROXY_NAME") or document.get("name") or "proxy"),
        listen=_parse_address("listen", environ.get("PROXY_LISTEN") or document.get("listen", MISSING)),
        discovery=_parse_address(
            "discovery", environ.get("PROXY_DISCOVERY") or document.get("discovery", MISSING)
        ),
        seed=read_seed(document.get("seed", 0)),
        sockets=sockets,
        memory_mb=float(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
        control=_parse_address("control", control) if control else None,
        conn_idle_ms=raw["bounds"].get("conn_idle_ms") or DEFAULT_IDLE_MS,
        settings=read_settings(raw, int(sockets * CLIENT_SOCKETS_SHARE)),
        known=_read_known(document["known"], clock) if document.get("known") else None,
        clock=clock,
        peers=read_peers(document) if raw["bounds"].get("peers") else None,
    )
