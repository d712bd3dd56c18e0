"""The operator: brings the first configuration, changes it, and reads it back."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Sequence
from typing import Any

from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet.control_calls import ControlCaller, NoAnswer
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.wire import WireError

PATH = "/-/configuration"
READ_BACK_PAUSE_S = 0.3


class Refused(CypresswinchError):
    """A valid order was refused."""


class Operator:
    """Knows the configuration that it has brought into force."""

    def __init__(self, control_planes: Sequence[str], judge: Judge, seed: int) -> None:
        self.caller = ControlCaller(control_planes, seed)
        self.current: dict[str, Any] = {"version": 0}
        self._judge = judge

    async def put(self, document: dict[str, Any], within_s: float = 20.0) -> None:
        """Brings a whole configuration. Raises Refused or NoAnswer."""
        await self._order("PUT", document, within_s)
        self._taken(document)

    async def patch(self, change: dict[str, Any], within_s: float = 20.0) -> None:
        """Changes items by name. Raises Refused or NoAnswer."""
        await self._order("PATCH", change, within_s)
        self._taken(patched(self.current, change))

    async def _order(self, method: str, body: dict[str, Any], within_s: float) -> None:
        headers = {"If-Match": str(self.current["version"])}
        answer = await self.caller.until_clear(method, PATH, body, headers, within_s)
        if answer.status >= 300:
            text = answer.body[:300].decode("utf-8", "replace")
            raise Refused(f"{method} of version {body['version']}: {answer.status} {text}")

    def _taken(self, document: dict[str, Any]) -> None:
        self.current = document
        self._judge.configuration_acknowledged(document["version"], document)

    async def read_back(self, within_s: float = 5.0) -> None:
        """Asks for the newest configuration, again while it is older than what was acknowledged."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        found: dict[str, Any] | None = None
        while loop.time() < until:
            try:
                answer = await self.caller.until_clear("GET", PATH, within_s=until - loop.time())
                found = answer.json() if answer.status == 200 else found
            except (NoAnswer, WireError):
                pass
            if found is not None and found.get("version", 0) >= self.current["version"]:
                break
            await asyncio.sleep(READ_BACK_PAUSE_S)
        self._judge.configuration_read_back(found)


def patched(document: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """A configuration with a change of items by name, as a stand-in understands it."""
    result = copy.deepcopy(document)
    result["version"] = change["version"]
    for section, names in change.get("delete", {}).items():
        result[section] = [item for item in result.get(section, []) if item["name"] not in names]
    for section, items in change.get("upsert", {}).items():
        fresh = {item["name"]: item for item in items}
        kept = [fresh.pop(item["name"], item) for item in result.get(section, [])]
        result[section] = [*kept, *fresh.values()]
    return result
