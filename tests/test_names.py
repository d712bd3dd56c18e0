"""Names outside of ASCII at the client proxy: in its configuration, from discovery and from clients."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest

from cloverrouter.proxy.config import UnixClock, read_list
from cloverrouter.proxy.frontend import ClientCall, ClientConnection
from tests.sockets import SETTINGS

ENTRY = {"id": "h0", "addr": "127.0.0.1:3000", "state": "active", "started_ms": 0}


class PlainConnection:
    """A connection that knows no classes."""

    def class_of(self, path: bytes) -> str:
        return "plain"


def call(tenant: bytes, target: bytes = b"/plain") -> ClientCall:
    connection = cast(ClientConnection, PlainConnection())
    return ClientCall(connection, b"GET", target, {b"x-tenant-id": tenant}, b"")


@pytest.mark.parametrize(
    "value, name", [("ललितपुर".encode(), "ललितपुर"), (b"\xe9", "é"), (b"acme", "acme"), (b"", None)]
)
def test_a_tenant_is_named_as_in_the_settings(value: bytes, name: str | None) -> None:
    """UTF-8 was read as Latin-1, so that no tenant of the settings had that name."""
    assert call(value).tenant == name


def test_keys_of_objects_that_are_not_utf_8_stay_different() -> None:
    keys = [call(b"", b"/plain?obj=" + key).key for key in (b"%FF", b"%FE", b"%E0%A4%B2", "स".encode())]
    assert keys == ["ÿ", "þ", "ल", "स"]


def test_a_configuration_is_read_as_utf_8_in_any_locale(tmp_path: Path) -> None:
    """With an ASCII locale, a configuration with other names could not be read."""
    file = tmp_path / "config.json"
    document: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:3000",
        "discovery": "127.0.0.1:8500",
        "settings": SETTINGS,
        "known": {"version": 1, "full": True, "servers": [{**ENTRY, "id": "ल"}]},
    }
    file.write_text(json.dumps(document, ensure_ascii=False), encoding="utf-8")
    program = (
        "import os; from cloverrouter.proxy.config import load, reload_discovery;"
        "print(ascii(load(os.environ).known.entries[0].listed.name), reload_discovery(os.environ)[1])"
    )
    environment = {
        "PATH": os.environ["PATH"],
        "LC_ALL": "C",
        "PYTHONUTF8": "0",
        "PYTHONCOERCECLOCALE": "0",
        "PROXY_CONFIG": str(file),
    }
    done = subprocess.run(
        [sys.executable, "-c", program], env=environment, capture_output=True, text=True, timeout=60
    )
    assert (done.stdout, done.stderr) == ("'\\u0932' 8500\n", "")


def test_an_entry_of_discovery_with_half_of_a_surrogate_pair_is_malformed() -> None:
    """Such a name can't be hashed or sent to peers: it ended the watch's call with an unforeseen error."""
    entries = [{**ENTRY, "id": "\ud800"}, ENTRY]
    message = {"version": 1, "full": True, "servers": entries}
    with pytest.raises(ValueError):
        read_list(message, UnixClock())
    unreadable: list[Any] = []
    hosts = read_list(message, UnixClock(), unreadable)
    assert [entry.listed.name for entry in hosts.entries] == ["h0"] and unreadable == entries[:1]
