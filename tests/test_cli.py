"""The command line: `check` on every kind of configuration file, and commands with missing dependencies."""

from __future__ import annotations

import importlib
import json
import subprocess
import sys
from pathlib import Path

import pytest

from cloverrouter.cli import main as commands
from cloverrouter.explore import trace
from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.nodes import settings, toml
from tests.command_line import run
from tests.sockets import SETTINGS

ROOT = Path(__file__).parent.parent


def test_shipped_files_are_good() -> None:
    files = [str(path) for path in sorted((ROOT / "deploy").rglob("*.toml"))]
    code, text = run("check", *files)
    assert code == 0 and text.count(": good: ") == len(files) >= 7
    assert "lines of policy" in text


NODES = deployment.nodes("127.31.250")
NODE_SETTINGS = toml(settings(NODES[0], deployment.fleet_settings(NODES), Path("/data"), bootstrap=True))
CONFIG = {"name": "n0", "listen": "127.0.0.1:3000", "discovery": "127.0.0.1:8500", "seed": "8c1f",
          "limits": {"sockets": 256}, "settings": SETTINGS}  # fmt: skip


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        ("a.toml", "load = 3", "wrong: Expected `object`, got `int` - at `$.load`"),
        ("a.toml", "policy = 3", "wrong: Expected `array`, got `int` - at `$.policy`"),
        ("a.toml", "policy = []", "wrong: Object missing required field `build`"),
        ("a.toml", "roles = 3", "wrong: Expected `object`, got `int` - at `$.roles`"),
        (
            "a.toml",
            'build = ""\n[roles.a]\nrun = "x"\non = "edge"',
            "roles.a: found share None and count None",
        ),
        (
            "a.toml",
            'build = ""\n[roles.a]\nrun = "x"\non = "edge"\nshare = 2.0\nserves = ["front"]',
            "roles.a.share: found 2.0, allowed is above 0, at most 1; roles.a.serves: found front, allowed",
        ),
        (
            "a.toml",
            'build = ""\n[roles]\na = {run = "x", on = "edge", count = 1, serves = ["edge"]}\n'
            'b = {run = "x", on = "edge", share = 1.0, serves = ["edge"]}',
            "roles: edge on edge: found a, b, allowed is one",
        ),
        ("a.toml", "x = ", "wrong: not valid TOML"),
        ("a.toml", "x = 1", "found keys x; allowed is a file with one of policy, roles, family, day, load"),
        ("a.toml", 'family = "mesh"', "wrong: Object missing required field `name`"),
        ("a.toml", "[[day]]\nseed = 1\nfaults = [{at = 1.0}]", "missing required field `kind`"),
        ("a.toml", '[[day]]\nseed = 1\nplan = [{at = 1.0, kind = "x"}]', "good: 1 days, 1 troubles"),
        ("a.json", "{", "wrong: not valid JSON"),
        ("a.json", '{"steps": 1}', "wrong: not a counterexample"),
        ("a.json", json.dumps({**CONFIG, "settings": {}}), "settings.bounds: found nothing, allowed is an"),
        ("a.json", json.dumps({**CONFIG, "listen": "nowhere"}), "listen: found 'nowhere', allowed is an"),
        ("a.json", json.dumps(CONFIG), "good: proxy configuration of n0, 3 classes"),
        ("a.json", '{"route-table": 3}', "wrong: "),
        (
            "a.json",
            json.dumps(deployment.first_configuration()),
            "good: configuration 3 of the fleet, 4 routes",
        ),
        ("a.toml", 'node-name = ""\nseed-nodes = ["x"]', "seed-nodes.0: found 'x', wanted IP:PORT"),
        ("a.toml", NODE_SETTINGS, "good: settings of the node edge-baneshwor-1"),
    ],
)
def test_each_kind_of_file(tmp_path: Path, name: str, text: str, expected: str) -> None:
    path = tmp_path / name
    path.write_text(text)
    code, printed = run("check", str(path))
    assert expected in printed and "a." in printed
    assert code == (0 if "good" in expected else 2)
    code, printed = run("check", "--json", str(path))
    assert list(json.loads(printed)[str(path)]) == ["good" if "good" in expected else "wrong"]


def test_saved_trace_is_checked(tmp_path: Path) -> None:
    path = tmp_path / "found.json"
    trace.write(trace.Counterexample(1, "join", None, "cut: x", (trace.Step("arrive 0"),)), path)
    assert "good: history of 1 events" in run("check", str(path))[1]


def test_policy_over_its_line_limit_is_reported(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "rules.py").write_text("x = 1\n" * 1201 + "\n" * 50)
    path = tmp_path / "deploy" / "balancer.toml"
    deployment = 'build = ""\nrun = ""\nsim = ""\npolicy = ["{}"]\nnode = []\npackages = []\n'
    path.write_text(deployment.format("rules.py"))
    assert "found 1201 lines that are not blank, allowed 1200" in run("check", str(path))[1]
    path.write_text(deployment.format("none.py"))
    assert "policy: found none.py, which is not in" in run("check", str(path))[1]


def test_a_missing_extra_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def missing(name: str) -> None:
        raise ModuleNotFoundError("no xxhash", name="xxhash")

    monkeypatch.setattr(importlib, "import_module", missing)
    code, text = run("explore")
    assert code == 2 and "xxhash is not installed; pip install 'cloverrouter[explore]'" in text


def test_as_a_module() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "cloverrouter", "--help"], capture_output=True, text=True
    )
    assert completed.returncode == 0
    assert all(name in completed.stdout for name in commands.COMMANDS)
    assert subprocess.run([sys.executable, "-m", "cloverrouter", "nope"], capture_output=True).returncode == 2
