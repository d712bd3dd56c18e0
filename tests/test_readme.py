"""Statements of the README: its embedding example runs, and its list of the system packages is complete."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
README = ROOT / "README.md"


def test_embedding_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    names: dict[str, object] = {}
    exec(code, names)
    assert names["actions"]


def test_the_system_packages_are_those_of_the_deploy_file() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (listed,) = re.findall(r"`packages` in\s+`deploy/system\.toml` lists: ([^.]*)\.", README.read_text())
    assert re.findall(r"`([^`]+)`", listed) == deploy["packages"] == sorted(set(deploy["packages"]))
