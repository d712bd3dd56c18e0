"""Import rules between the packages, checked against the sources."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "cloverrouter"
# A package may import itself and the packages listed here. Pure packages may not import modules of the
# standard library that use sockets, clocks or event loops.
ALLOWED = {
    "core": {"interface"},
    "decide": {"interface", "indexes"},
    "indexes": set(),
    "balancer_state": {"interface", "decide"},
    "interface": set(),
    "explore": {
        "interface",
        "core",
        "decide",
        "proxy",
        "coordination",
        "control",
        "daemon",
        "messages",
        "store",
        "placement",
    },
    "proxy": {"interface", "core", "decide", "fleet", "balancer_state", "http", "errors"},
    "fleet": {"indexes"},
    # Loads the messages of coordination and placement by name.
    "fuzz": {"errors", "daemon", "router", "control", "store", "messages", "http"},
    "lab": {"interface", "core", "decide", "fleet", "errors"},
    "cli": {"explore", "fuzz", "lab", "proxy", "daemon", "router", "control", "http", "messages", "errors"},
    "errors": set(),
    "http": {"errors"},
    "messages": {"errors"},
    "store": {"errors"},
    "coordination": {"errors", "messages", "store"},
    "placement": {"errors", "indexes", "decide", "messages"},
    "control": {"errors", "messages", "store", "coordination", "http", "placement"},
    "router": {"errors", "interface", "http", "placement", "decide", "core", "control"},
    "daemon": {"errors", "router", "control", "coordination", "store", "messages", "http", "placement"},
}
PURE = (
    "core",
    "decide",
    "interface",
    "indexes",
    "balancer_state",
    "fleet/limits",
    "lab/bridge",
    "lab/fleet/contract",
    "lab/fleet/engine",
    "lab/fleet/figures",
    "lab/fleet/judge",
    "lab/judge",
    "lab/scenario",
)
IMPURE = {
    "asyncio",
    "socket",
    "time",
    "threading",
    "selectors",
    "ssl",
    "os",
    "random",
    "httptools",
    "logging",
}


def imported(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return found


def files(part: str) -> list[Path]:
    path = ROOT / part
    return sorted(path.rglob("*.py")) if path.is_dir() else [path.with_suffix(".py")]


@pytest.mark.parametrize("part", ALLOWED)
def test_package_imports_only_what_lies_below_it(part: str) -> None:
    assert files(part)
    for path in files(part):
        own = {name.split(".")[1] for name in imported(path) if name.startswith("cloverrouter.")}
        assert own <= ALLOWED[part] | {part}, f"{path.name} imports {own - ALLOWED[part] - {part}}"


@pytest.mark.parametrize("part", PURE)
def test_pure_modules_know_no_socket_clock_or_loop(part: str) -> None:
    for path in files(part):
        top = {name.split(".")[0] for name in imported(path)}
        # The decision module uses a random generator that it seeds itself.
        assert not top & (IMPURE - ({"random"} if part == "decide" else set())), path.name


def module_graph() -> dict[str, set[str]]:
    """Returns which module imports which, by name, including imports for type checking and within
    functions."""
    modules = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        modules[".".join(parts).removesuffix(".__init__")] = path
    return {name: (imported(path) & set(modules)) - {name} for name, path in modules.items()}


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    found: set[str] = set()
    waiting = list(graph[start])
    while waiting:
        name = waiting.pop()
        if name not in found:
            found.add(name)
            waiting += graph[name]
    return found


def test_no_module_imports_itself_by_way_of_others() -> None:
    """A package's own name stands for its `__init__`, which may import from its modules."""
    graph = module_graph()
    packages = {name for name in graph if any(other.startswith(f"{name}.") for other in graph)}
    plain = {name: imports - packages for name, imports in graph.items() if name not in packages}
    circles = sorted(name for name in plain if name in reachable(plain, name))
    assert not circles


def test_the_proxy_loads_no_tools() -> None:
    """Starting `run` must not load the explorer or the command line."""
    code = "import sys, cloverrouter.proxy.program; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert (
        not {"cyclopts", "msgspec", "xxhash", "cloverrouter.explore", "cloverrouter.lab", "cloverrouter.cli"}
        & loaded
    )
    assert "cloverrouter.core.engine" in loaded
