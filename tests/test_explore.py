"""The explorer: the shipped code has no breach, each seeded fault is found, and counterexamples replay."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from cloverrouter.core.connection import ConnectionMachine, Event, State
from cloverrouter.explore import connections, trace
from cloverrouter.explore.canon import digest
from cloverrouter.explore.choices import next_script
from cloverrouter.explore.faults import FAULTS
from cloverrouter.explore.properties import PROPERTIES
from cloverrouter.explore.scope import SCOPES
from cloverrouter.explore.search import Report, Search
from cloverrouter.explore.trace import Step, TraceError
from cloverrouter.explore.world import World
from tests import command_line

LONG_S = 600.0  # never reached by a search with bounds on depth and walks


def run_search(scope: str, fault: str | None = None, depth: int | None = None, walks: int = 0) -> Report:
    return Search(SCOPES[scope], fault, 1, LONG_S, depth, walks).run()


@pytest.mark.parametrize(
    ("scope", "depth", "walks"),
    [("small", None, 2000), ("medium", 3, 2000), ("deep", 3, 1000), ("queue", 6, 500), ("slow", 5, 500),
     ("window", 5, 500), ("end", 4, 500), ("bays", 5, 500), ("uploads", 5, 500)],
)  # fmt: skip
def test_unchanged_code_is_clean(scope: str, depth: int | None, walks: int) -> None:
    report = run_search(scope, depth=depth, walks=walks)
    assert report.found is None, report.found
    assert report.exhausted and report.walks == walks
    assert report.depth == (SCOPES[scope].depth if depth is None else depth)
    assert report.states > 200


@pytest.mark.parametrize("fault", FAULTS)
def test_each_seeded_fault_is_found(fault: str) -> None:
    seeded = FAULTS[fault]
    report = run_search(seeded.scope, fault, walks=200)
    assert report.found is not None
    assert trace.property_of(report.found.breach) in seeded.shows
    # In the shipped code, the same history has no breach or is impossible.
    clean = trace.play(SCOPES[seeded.scope], None, report.found.steps)
    assert clean is None or not clean.breaches


def test_faults_and_properties_are_told() -> None:
    assert len(FAULTS) >= 12
    assert all(fault.text and set(fault.shows) <= set(PROPERTIES) for fault in FAULTS.values())
    assert all(fault.scope in SCOPES for fault in FAULTS.values())


def test_two_searches_say_the_same() -> None:
    one, other = (run_search("join", depth=4, walks=50) for _ in range(2))
    for report in (one, other):
        report.seconds = report.searched_s = 0.0
    assert one == other


def test_a_breach_beyond_the_bound_is_found_by_a_walk_and_cut_down() -> None:
    report = run_search("join", "leaves-its-bay", depth=1, walks=50)
    assert report.found is None  # this scope has only one cell
    report = run_search("bays", "leaves-its-bay", depth=1, walks=5000)
    assert report.found is not None
    steps = report.found.steps
    assert len(steps) <= 8
    for i in range(len(steps)):  # no single step can be removed
        shorter = trace.play(SCOPES["bays"], "leaves-its-bay", steps[:i] + steps[i + 1 :])
        assert shorter is None or not shorter.breaches


def test_time_bounds_a_search() -> None:
    ticks = iter(range(10_000_000))
    search = Search(SCOPES["medium"], seconds=300.0, clock=lambda: float(next(ticks)))
    report = search.run()
    assert not report.exhausted and report.left > 0 and report.found is None


def test_servers_of_one_bay_are_interchangeable() -> None:
    def after(*events: str) -> int:
        world = World(SCOPES["join"])
        for event in events:
            world.apply(event)
        return digest(world)

    assert after("drain s0") == after("drain s1") != after()
    assert after("drain s0") != after("cordon s0")
    world = World(replace(SCOPES["join"], cells=(0, 1)))
    world.apply("drain s0")
    other = World(replace(SCOPES["join"], cells=(0, 1)))
    other.apply("drain s1")
    assert digest(world) != digest(other)


def test_draws_are_enumerated() -> None:
    scripts, script = [], (0, 0)
    while script is not None:
        scripts.append(script)
        script = next_script(list(script) + [0] * (2 - len(script)))  # type: ignore[assignment]
    assert scripts == [(0, 0), (0, 1), (1,), (1, 1)]


def test_an_exception_is_a_breach() -> None:
    world = World(SCOPES["join"])
    _, found_breaches = trace.step(world, "written 0/0", ())
    assert trace.property_of(found_breaches[0]) == "crash"


def test_every_ordering_on_one_connection() -> None:
    states, found = connections.explore()
    assert found is None and states > 100
    # Without the connection pool's rule, a second copy of one answer is read as the next answer.
    _, found = connections.explore(require_empty_network=False)
    assert found is not None and found.breach.startswith("mixed: exchange 1")
    assert connections.unreachable() == []
    with pytest.raises(ValueError, match="idle can't have: whole"):
        machine = ConnectionMachine()
        machine.state = State.IDLE
        machine.on(Event.COMPLETE)


def run_command(*args: str) -> tuple[int, str]:
    return command_line.run("explore", *args)


def test_command_line(tmp_path: Path) -> None:
    saved = tmp_path / "found.json"
    code, text = run_command("--fault", "cuts-held", "--save", str(saved))
    assert code == 1 and "BROKEN  cut:" in text and "StreamHeldResponse" not in text
    code, again = run_command("--replay", str(saved))
    assert code == 1 and "BROKEN  cut:" in again
    found = json.loads(saved.read_text())
    saved.write_text(json.dumps({**found, "fault": None}))
    code, text = run_command("--replay", str(saved))
    assert code == 0 and "nothing is broken" in text
    code, text = run_command("--scope", "dial-out", "--depth", "2", "--walks", "5", "--json")
    assert code == 0 and json.loads(text)["exhausted"] is True
    code, text = run_command("--scope", "connection")
    assert code == 0 and "every property held" in text
    code, text = run_command("--list-faults")
    assert code == 0 and all(name in text for name in FAULTS)


@pytest.mark.parametrize(
    ("change", "message_part"),
    [
        ({"scope": "huge"}, "scope: found 'huge', allowed are small"),
        ({"fault": "none"}, "fault: found 'none'"),
        ({"form": 9}, "form: found 9"),
        ({"steps": 3}, "steps"),
        ({"more": 1}, "more"),
    ],
)
def test_bad_files_are_told(tmp_path: Path, change: dict[str, object], message_part: str) -> None:
    path = tmp_path / "found.json"
    found = trace.Counterexample(1, "join", None, "cut: x", (Step("arrive 0"),))
    trace.write(found, path)
    assert trace.read(path) == found
    path.write_text(json.dumps({**json.loads(path.read_text()), **change}))
    with pytest.raises(TraceError, match=message_part):
        trace.read(path)
    code, text = run_command("--replay", str(path))
    assert code == 2 and "found.json" in text
    assert run_command("--replay", str(tmp_path / "missing"))[0] == 2
