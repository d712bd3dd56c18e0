"""Drawn days of control trouble: a seed gives the same day again, and a bench can read each day."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from benchmarks.play_days import Played, read_report, table
from benchmarks.trouble_days import CONTROL_STORIES, TRAFFIC_STORIES, Site, day_toml, draw_day, read_site

TIMES = {"at", "kind", "for_s", "gap_s", "how"}
PARTS = {"share", "count", "x", "on", "service", "class"}

# Kind of trouble: the words that its `how` may hold.
MACHINE_WORDS = {"turn", "leader", "reader", "seed", "meet", "race", "hard", "drain", "reset", "refuse"}
KINDS: dict[str, set[str]] = {
    "burst": set(),
    "hot_key": set(),
    "hot_tenant": set(),
    "retry_abuse": set(),
    "give_up": set(),
    "srv_crash": {"dark", "gone"},
    "srv_slow": set(),
    "srv_grey": {"errors", "shed", "busy", "hang", "reset", "mute", "slow", "one_zone"},
    "srv_cut": {"fronts", "one_way", "reset"},
    "replace_with_reuse": {"drain", "dark"},
    "release": set(),
    "scale_out": set(),
    "scale_in": {"spot"},
    "answer_lost": {"reset"},
    "garble": {"extra", "unframed", "early", "late"},
    "node_kill": {"power", *MACHINE_WORDS},
    "node_freeze": MACHINE_WORDS,
    "node_slow": set(),
    "node_cut": {"all", "servers"},
    "roll_term": {"remove", "busy"},
    "herd_kill": {"power", "taken", "all"},
    "replace_core": {"oldest", "planned", "leader"},
    "seed_turnover": set(),
    "after_ack_kill": {"kill", "timed", "taken", "gone"},
    "after_ack_wipe": {"oldest", "leader"},
    "disk_slow": MACHINE_WORDS,
    "disk_stall": MACHINE_WORDS,
    "disk_full": MACHINE_WORDS,
    "core_cut": {"all", "near", "oldest", "one_way", "seeds", "both", "lure", *MACHINE_WORDS},
    "config_change": {"route", "weights", "timeout", "tenant", "quota", "idle"},
    "config_race": set(),
    "config_storm": {"idle"},
    "bad_config": {
        "cut_short",
        "unknown_service",
        "same_place",
        "no_weight",
        "no_timeout",
        "old_version",
        "same_version",
        "stale_match",
        "shared_key",
    },
    "big_config": set(),
    "revoke": set(),
    "ack_lost": set(),
    "clock_step": {"back", "ahead"},
    "hup": set(),
    "reset_conns": set(),
}

TRAFFIC = [{"zone": "north", "mix": {"ask": 3.0, "look-up": 1.0}, "per_s": 20.0, "clients": 4, "users": 1}]
SITE = Site(
    length_s=34.0,
    tolerated=2,
    services=("engines", "desk"),
    classes=("ask", "look-up"),
    loads=({"traffic": TRAFFIC}, {"traffic": [{**TRAFFIC[0], "per_s": 35.0}], "small": {"shrink": 5.0}}),
)
SEEDS = range(200)


def drawn(seed: int) -> dict[str, Any]:
    """A day, read back from its TOML."""
    (day,) = tomllib.loads(day_toml(draw_day(SITE, seed)))["day"]
    assert isinstance(day, dict)
    return day


def entries(day: dict[str, Any]) -> list[dict[str, Any]]:
    """All that is planned and that goes wrong on a day."""
    return [*day["plan"], *day["faults"]]


def test_a_seed_gives_the_same_day_again_and_another_seed_another() -> None:
    assert all(draw_day(SITE, seed) == draw_day(SITE, seed) for seed in SEEDS)
    assert len({day_toml(draw_day(SITE, seed)) for seed in SEEDS}) == len(SEEDS)


def test_a_heavy_day_has_more_trouble_of_control_of_the_same_kinds() -> None:
    heavy = [draw_day(SITE, seed, heavy=True) for seed in SEEDS]
    usual = [draw_day(SITE, seed) for seed in SEEDS]
    assert {item["kind"] for day in heavy for item in entries(day)} == set(KINDS)
    assert sum(map(len, map(entries, heavy))) > 1.4 * sum(map(len, map(entries, usual)))


def test_a_day_reads_back_from_its_file_as_it_was_drawn() -> None:
    assert all(drawn(seed) == draw_day(SITE, seed) for seed in SEEDS)


def test_a_day_holds_only_kinds_of_trouble_that_there_are() -> None:
    for item in (item for seed in SEEDS for item in entries(drawn(seed))):
        assert item["kind"] in KINDS
        assert set(item) <= TIMES | PARTS
        assert set(item.get("how", "").split()) <= KINDS[item["kind"]], item
        assert item.get("service", "engines") in SITE.services
        assert item.get("class", "ask") in SITE.classes


def test_a_day_stays_within_its_length_and_what_may_be_lost() -> None:
    for day in map(drawn, SEEDS):
        assert entries(day)
        assert all(0.0 < item["at"] < SITE.length_s for item in entries(day))
        assert all(item["count"] <= SITE.tolerated for item in day["faults"] if item["kind"] == "core_cut")
        assert {name: day[name] for name in ("traffic", "small") if name in day} in SITE.loads
        assert day.get("closing", {"kind": "kill_all"})["kind"] in {
            "power_off_all",
            "wipe_after_ack",
            "kill_all",
        }


def test_each_kind_of_trouble_and_each_story_comes_up() -> None:
    seen = {item["kind"] for seed in SEEDS for item in entries(drawn(seed))}
    assert seen == set(KINDS)
    assert len(CONTROL_STORIES) + len(TRAFFIC_STORIES) == 12


def test_cuts_of_twenty_seconds_take_every_way() -> None:
    cuts = [item for seed in SEEDS for item in entries(drawn(seed)) if item["kind"] == "core_cut"]
    ways = {word for item in cuts for word in item.get("how", "").split()}
    assert ways >= {
        "all",
        "near",
        "oldest",
        "one_way",
        "seeds",
        "both",
        "lure",
        "reset",
        "refuse",
        "race",
        "hard",
    }
    assert all(item["for_s"] >= 20.0 for item in cuts)


def test_a_site_file_is_read_for_what_a_day_needs(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(
        'services = [{ name = "engines" }]\nclasses = [{ name = "ask" }]\n[tolerate]\nmachines = 1\n'
        '[[day]]\nname = "quiet"\ntraffic = [{ zone = "north", per_s = 5.0 }]\n'
    )
    site = read_site(path)
    assert site == Site(34.0, 1, ("engines",), ("ask",), ({"traffic": [{"zone": "north", "per_s": 5.0}]},))


def test_a_day_without_a_report_did_not_pass(tmp_path: Path) -> None:
    missing = read_report("site", 3, tmp_path / "none.json")
    assert not missing.passed
    assert "not played" in missing.line()


def test_the_table_names_the_rules_that_broke(tmp_path: Path) -> None:
    report = tmp_path / "site-4.json"
    report.write_text(
        '{"breaks": {"LOST": 3}, "fault": null, "served": 0.9, "G": 0.7,'
        ' "windows": [{"worth": 0.8}, {"worth": null}]}'
    )
    broken = read_report("site", 4, report)
    assert broken == Played("site", 4, {"LOST": 3}, None, 0.9, 0.7, 0.8)
    assert "LOST 3" in table([broken])
    assert table([broken]).endswith("1 days, 0 without a broken rule")
