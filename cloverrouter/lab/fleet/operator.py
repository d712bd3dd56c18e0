"""The operator: submits the first configuration, changes it, and reads it back."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Sequence
from typing import Any

from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet.control_calls import ControlCaller, NoDefinitiveAnswer
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.wire import WireError

PATH = "/-/configuration"
READ_BACK_PAUSE_S = 0.3


class OrderRefused(CypresswinchError):
    """A valid change of the configuration was refused."""


class Operator:
    """Submits changes and keeps the newest acknowledged configuration."""

    def __init__(self, control_planes: Sequence[str], judge: Judge, seed: int) -> None:
        self.caller = ControlCaller(control_planes, seed)
        self.current: dict[str, Any] = {"version": 0}
        self._judge = judge

    async def put(self, document: dict[str, Any], within_s: float = 20.0) -> None:
        """Submits a whole configuration. Raises OrderRefused or NoDefinitiveAnswer."""
        await self._submit("PUT", document, within_s)
        self._record_acknowledged(document)

    async def patch(self, change: dict[str, Any], within_s: float = 20.0) -> None:
        """Patches items by name. Raises OrderRefused or NoDefinitiveAnswer."""
        await self._submit("PATCH", change, within_s)
        self._record_acknowledged(apply_patch(self.current, change))

    async def _submit(self, method: str, body: dict[str, Any], within_s: float) -> None:
        headers = {"If-Match": str(self.current["version"])}
        answer = await self.caller.call_until_definitive(method, PATH, body, headers, within_s)
        if answer.status >= 300:
            text = answer.body[:300].decode("utf-8", "replace")
            raise OrderRefused(f"{method} of version {body['version']}: {answer.status} {text}")

    def _record_acknowledged(self, document: dict[str, Any]) -> None:
        self.current = document
        self._judge.configuration_acknowledged(document["version"], document)

    async def read_back(self, within_s: float = 5.0) -> None:
        """Reads the configuration until it is as new as the acknowledged one, and passes it to the judge."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        found: dict[str, Any] | None = None
        while loop.time() < deadline:
            try:
                answer = await self.caller.call_until_definitive("GET", PATH, within_s=deadline - loop.time())
                found = answer.json() if answer.status == 200 else found
            except (NoDefinitiveAnswer, WireError):
                pass
            if found is not None and found.get("version", 0) >= self.current["version"]:
                break
            await asyncio.sleep(READ_BACK_PAUSE_S)
        self._judge.configuration_read_back(found)


def apply_patch(document: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Returns a copy of a configuration with a patch applied, independently of the fleet's code."""
    result = copy.deepcopy(document)
    result["version"] = change["version"]
    for section, names in change.get("delete", {}).items():
        result[section] = [item for item in result.get(section, []) if item["name"] not in names]
    for section, items in change.get("upsert", {}).items():
        new_items = {item["name"]: item for item in items}
        merged = [new_items.pop(item["name"], item) for item in result.get(section, [])]
        result[section] = [*merged, *new_items.values()]
    return result
