"""The cores of membership, server registration and distribution import no clock, socket or randomness."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2] / "cloverrouter"
CORES = [
    *(
        f"coordination/{name}.py"
        for name in ("sampling", "sampling_messages", "partial_view", "disk_members")
    ),
    *(f"control/{name}.py" for name in ("registry", "registry_voter", "registry_messages", "announcements")),
    *(f"control/{name}.py" for name in ("subscribers", "servers_list", "silence", "list_exchange")),
    *(f"control/{name}.py" for name in ("instances", "instance_table", "publisher", "subscriber")),
    *(f"control/{name}.py" for name in ("distribution", "distribution_messages", "transfer", "voter_choice")),
]
IMPURE = {
    "asyncio",
    "socket",
    "time",
    "threading",
    "selectors",
    "os",
    "logging",
    "datetime",
    "secrets",
    "uuid",
}


@pytest.mark.parametrize("core", CORES)
def test_a_core_is_handed_all_that_it_does_not_compute(core: str) -> None:
    for node in ast.walk(ast.parse((ROOT / core).read_text())):
        if isinstance(node, ast.Import):
            names = {alias.name for alias in node.names}
            assert not names & (IMPURE | {"random"}), names
        elif isinstance(node, ast.ImportFrom):
            assert node.module not in IMPURE
            # Only the type of the generator that is passed in, never the module's global generator.
            assert node.module != "random" or [alias.name for alias in node.names] == ["Random"]
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id != "Random"
