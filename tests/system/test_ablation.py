"""The experiment that switches mechanisms of placement off: what it changes, compares and writes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from benchmarks.ablation import (
    ALL_ON,
    LINE_IN_USE,
    OPTIONS_FILE,
    SWITCHES,
    Play,
    collect_journal,
    plot,
    rows,
    table,
    turn_off,
)

SITE = Path("sites/some-place.toml")


def write_report(folder: Path, one: Play, worth: float, broken: bool = False) -> None:
    report = one.report(folder)
    report.parent.mkdir(parents=True, exist_ok=True)
    report.write_text(json.dumps({"G": worth, "breaks": {"LOST": 1} if broken else {}, "fault": None}))


def test_each_switch_can_be_turned_off_in_the_sources(tmp_path: Path) -> None:
    for switch in SWITCHES:
        copy = tmp_path / "options.py"
        copy.write_text(OPTIONS_FILE.read_text())
        turn_off(copy, switch)
        found: dict[str, object] = {"__name__": "options"}
        exec(compile(copy.read_text(), str(copy), "exec"), found)
        in_use = found["IN_USE"]
        assert [name for name in SWITCHES if not getattr(in_use, name)] == [switch]


def test_sources_without_the_line_are_refused(tmp_path: Path) -> None:
    (tmp_path / "options.py").write_text("IN_USE = None\n")
    with pytest.raises(ValueError, match=r"options\.py"):
        turn_off(tmp_path / "options.py", "doubts")
    assert LINE_IN_USE in OPTIONS_FILE.read_text()


def test_only_days_played_both_ways_are_compared(tmp_path: Path) -> None:
    plays = [Play(switch, SITE, "rough", seed) for switch in (ALL_ON, "doubts") for seed in (1, 2, 3)]
    for one, worth in zip(plays, (0.8, 0.7, 0.6, 0.7, 0.62), strict=False):
        write_report(tmp_path, one, worth)
    found = {row.switch: row for row in rows(plays, tmp_path)}
    assert found[ALL_ON].pairs == 3
    assert found["doubts"].pairs == 2
    assert found["doubts"].difference == pytest.approx(-0.09)
    assert found["doubts"].error == pytest.approx(0.01)


def test_a_day_with_a_broken_rule_is_worth_nothing(tmp_path: Path) -> None:
    plays = [Play(switch, SITE, "rough", 1) for switch in (ALL_ON, "doubts")]
    write_report(tmp_path, plays[0], 0.8)
    write_report(tmp_path, plays[1], 0.9, broken=True)
    assert rows(plays, tmp_path)[1].difference == pytest.approx(-0.8)


def test_table_and_plot_are_written(tmp_path: Path) -> None:
    plays = [Play(switch, SITE, "rough", 1) for switch in (ALL_ON, "doubts")]
    for one in plays:
        write_report(tmp_path, one, 0.8)
    found = rows(plays, tmp_path)
    assert "| doubts | some-place | 0.800 | nan | +0.0000 | nan | 1 |" in table(found)
    plot(found, tmp_path / "plot.svg")
    assert (tmp_path / "plot.svg").stat().st_size > 1000


def test_entries_of_the_copies_come_into_the_journal_once(tmp_path: Path) -> None:
    (tmp_path / "copy" / "journal").mkdir(parents=True)
    (tmp_path / "here").mkdir()
    (tmp_path / "copy" / "journal" / "a.json").write_text("new")
    (tmp_path / "copy" / "journal" / "b.json").write_text("other")
    (tmp_path / "here" / "b.json").write_text("as it was")
    collect_journal(tmp_path / "copy", tmp_path / "here")
    assert (tmp_path / "here" / "a.json").read_text() == "new"
    assert (tmp_path / "here" / "b.json").read_text() == "as it was"
