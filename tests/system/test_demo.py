"""The fleet demo: real nodes under load, one killed, and a configuration change. A busy machine may slow it
down, but must not cause a broken rule."""

from __future__ import annotations

from pathlib import Path

from tests.command_line import run


def test_a_short_demo_breaks_no_rule(tmp_path: Path) -> None:
    _, text = run("demo", "--seconds", "5", "--keep", str(tmp_path / "kept"), "--log", "requests")
    assert "broken" not in text and "ended with" not in text, text
    assert "edge-lalitpur-1 is killed" in text and "edge-lalitpur-1 is started again" in text
    assert "configuration 5, with one more route, is acknowledged" in text
    logs = sorted(str(path) for path in (tmp_path / "kept").glob("*/log"))
    code, text = run("logs", *logs)
    assert code == 0 and len(logs) == 5 and "configuration  version=5" in text
    attempt_id = text.partition(" attempt_id=")[2].partition(" ")[0]
    code, text = run("logs", *logs, "--request", attempt_id)
    assert code == 0 and f"attempt_id={attempt_id}" in text and "└── attempt" in text
    code, text = run("check", *(log.removesuffix("log") + "node.toml" for log in logs))
    assert code == 0 and text.count("good: settings of the node edge-") == 5


def test_an_existing_folder_is_rejected(tmp_path: Path) -> None:
    code, text = run("demo", "--keep", str(tmp_path))
    assert code == 2 and "already exists" in text
