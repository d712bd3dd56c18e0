"""A change of the configuration adds tenants whose names are written in Devanagari."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from urllib.parse import unquote

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST_KEY = "hwrr6x73d3zji9n73hh2"
NAMES = ("\u0932\u0932\u093f\u0924\u092a\u0941\u0930", "\u0938\u093e\u091d\u093e\u0938\u092d\u093e")
PLAIN_NAMES = ("lalitpur", "sajhasabha")
REQUESTS = 10


def readings(value: str) -> set[str]:
    """Returns what a server may read in a header's value, which came as Latin-1."""
    found = {value, unquote(value)}
    with contextlib.suppress(UnicodeDecodeError):
        found.add(value.encode("latin-1").decode("utf-8"))
    return found


async def play(folder: Path, record: fleet.Record) -> int:
    prefix = fleet.free_prefix()
    nodes = fleet.core_nodes(prefix, folder)
    core = [node.ip for node in nodes]
    servers = fleet.app_servers(prefix, lambda attempt: record.write(f"run {attempt}"))
    names = NAMES if TROUBLE else PLAIN_NAMES
    keys = {name: f"b9wu3fexd9dnn2ctnfz{number}" for number, name in enumerate(names)}
    try:
        for node in nodes:
            node.start(bootstrap=True)
        for server in servers:
            await server.open(core)
        first = fleet.configuration(5, [FIRST_KEY])
        if await fleet.order(record, core, "PUT", first, 0, within_s=40) is None:
            return fleet.NOT_RUN
        await asyncio.sleep(3)
        added = [{"name": name, "api-keys": [key], "priority": 1} for name, key in keys.items()]
        change = {"version": 7, "upsert": {"tenants": added}}
        if await fleet.order(record, core, "PATCH", change, 5) is None:
            return fleet.HELD  # refused: nothing runs for such a tenant
        await asyncio.sleep(2.5)
        holders: dict[str, str] = {}
        for number in range(REQUESTS):
            name = names[number % 2]
            attempt = f"a{number:015x}"
            holders[attempt] = name
            status = await fleet.request(core[number % 3], attempt, keys[name])
            record.write(f"request {attempt} with the key of {name!a}: {status}")
        wrong = 0
        for server in servers:
            for attempt, told in server.tenants.items():
                record.write(f"{server.instance} was told the tenant {told!r} for {attempt}")
                if attempt in holders and holders[attempt] not in readings(told):
                    wrong += 1
                    record.write(f"BROKEN: {attempt} is of {holders[attempt]!a}")
        return fleet.BROKEN if wrong else fleet.HELD
    finally:
        for server in servers:
            server.close()
        for node in nodes:
            node.kill()


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, play))
