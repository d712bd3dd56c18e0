"""The fuzzer: its fixed part, the inputs that once broke something, and that it finds faults put in."""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from cloverrouter.control import document
from cloverrouter.fuzz import node_messages, plain
from cloverrouter.fuzz.mutation import mutate_json, pieces
from cloverrouter.fuzz.target import Target
from cloverrouter.fuzz.targets import TARGETS
from cloverrouter.router import events, headers
from cloverrouter.store import replica_store
from tests.command_line import run

ROOT = Path(__file__).parent.parent
CORPUS = Path(__file__).parent / "fuzz_corpus"
KNOWN = sorted(path.relative_to(CORPUS) for path in CORPUS.glob("*/*.input"))
# Inputs of the fixed part, by what one costs.
COUNTS = {
    "answers": 4000,
    "calls": 800,
    "events": 2000,
    "messages": 4000,
    "requests": 4000,
    "settings": 1000,
    "store": 120,
}


@pytest.fixture
def target(request: pytest.FixtureRequest) -> Iterator[Target]:
    made: Target = TARGETS[request.param]()
    yield made
    made.close()


def test_each_target_has_a_fixed_part_and_inputs_that_once_broke_something() -> None:
    assert COUNTS.keys() == TARGETS.keys()
    assert {path.parts[0] for path in KNOWN} <= TARGETS.keys() and len(KNOWN) >= 10


@pytest.mark.parametrize("name", COUNTS)
def test_seeded_inputs_break_nothing(name: str) -> None:
    found = plain.play_target(TARGETS[name], COUNTS[name], seed=7)
    assert not found, found[0].text


@pytest.mark.parametrize("path", KNOWN, ids=str)
def test_what_once_broke_something_does_so_no_more(path: Path) -> None:
    made = TARGETS[path.parts[0]]()
    made.check((CORPUS / path).read_bytes())
    made.close()


@pytest.mark.parametrize("name", TARGETS)
def test_the_same_seed_gives_the_same_inputs(name: str) -> None:
    made = TARGETS[name]()
    one, other = plain.inputs(made, 3), plain.inputs(made, 3)
    count = len(made.seeds()) + 20
    assert [one() for _ in range(count)] == [other() for _ in range(count)]
    made.close()


def test_pieces_are_the_whole_and_a_changed_value_leaves_the_one_it_came_from() -> None:
    random = Random(5)
    for size in (0, 1, 2, 700):
        data = random.randbytes(size)
        assert b"".join(pieces(data, random)) == data
    value = {"a": [1, {"b": "c"}], "d": None}
    before = json.dumps(value)
    assert any(mutate_json(value, random) != value for _ in range(20))
    assert json.dumps(value) == before


def test_all_modules_with_messages_are_known() -> None:
    package = ROOT / "cloverrouter"
    with_messages = {
        path.relative_to(package).with_suffix("").as_posix().replace("/", ".")
        for path in package.rglob("*.py")
        if re.search(r"^@message\(", path.read_text(), re.MULTILINE)
    }
    assert with_messages == set(node_messages.MODULES)


# Faults put in


def _reads_numbers(digits: bytes) -> int:
    return int(digits)


def _hashes_names(value: Any) -> bool:
    names = {item.get("name") if isinstance(item, dict) else None for item in value}
    return len(names) == len(value) and all(isinstance(name, str) for name in names)


def _trusts_the_parser(file: Any) -> Any:
    try:
        return tomllib.loads(file.read().decode())
    except UnicodeDecodeError as error:
        raise LookupError from error  # what `read` doesn't expect


FAULTS = {
    "an id as a number of any length": ("events", events, "_magnitude", _reads_numbers),
    "a name that can't be hashed": ("calls", document, "is_named_list", _hashes_names),
    "an error of the parser's own": ("settings", tomllib, "load", _trusts_the_parser),
    "a secret is passed on": ("requests", headers, "_DROPPED", headers._DROPPED - {headers.AUTHORIZATION}),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_put_in_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, module, attribute, faulty = FAULTS[fault]
    monkeypatch.setattr(module, attribute, faulty)
    assert found_within(name, 3000)


def found_within(name: str, count: int) -> bool:
    """Whether one of so many inputs breaks something."""
    findings, made = plain.Findings(), TARGETS[name]()
    following = plain.inputs(made, seed=7)
    try:
        return any(findings.check(made, following()) is not None for _ in range(count))
    finally:
        made.close()


def test_pages_that_nobody_checks_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """By the inputs that found them once: one in a thousand edited files shows it."""
    monkeypatch.setattr(replica_store, "check_pages", lambda file: None)
    findings = plain.Findings()
    made = TARGETS["store"]()
    for path in KNOWN:
        if path.parts[0] == "store":
            findings.check(made, (CORPUS / path).read_bytes())
    made.close()
    assert findings.by_place


# The command


def test_the_command_lists_its_targets_and_plays_one(tmp_path: Path) -> None:
    code, text = run("fuzz")
    assert code == 0 and all(re.search(rf"^{name} ", text, re.MULTILINE) for name in TARGETS)
    code, text = run("fuzz", "requests", "--plain", "--inputs", "60", "--folder", str(tmp_path))
    assert code == 0 and text.startswith("requests: 60 inputs in ") and text.endswith("; 0 findings\n")
    code, text = run("fuzz", "nothing")
    assert code == 2 and "no target nothing; there are answers, " in text


def test_the_command_keeps_what_it_finds(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(events, "_magnitude", _reads_numbers)
    words = ("fuzz", "events", "--plain", "--inputs", "1000", "--folder", str(tmp_path))
    code, text = run(*words)
    (kept,) = tmp_path.glob("*.input")
    assert code == 1 and f"ValueError: {kept}" in text
    with pytest.raises(ValueError, match="digits"):
        TARGETS["events"]().check(kept.read_bytes())


def test_the_coverage_guides_a_run(tmp_path: Path) -> None:
    code, text = run("fuzz", "requests", "--inputs", "400", "--folder", str(tmp_path), "--json")
    assert code == 0, text
    report = json.loads(text)
    assert report["inputs"] >= 400 and report["edges"] > 20 and report["corpus"] > 0
    assert report["found"] == []
