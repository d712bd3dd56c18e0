"""Fuzzing: seeded runs, regression inputs, and detection of injected faults."""

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
from cloverrouter.fuzz.mutation import mutate_json, split_randomly
from cloverrouter.fuzz.target import Target
from cloverrouter.fuzz.targets import TARGETS
from cloverrouter.router import events, headers
from cloverrouter.store import replica_store
from tests.command_line import run

ROOT = Path(__file__).parent.parent
CORPUS = Path(__file__).parent / "fuzz_corpus"
REGRESSION_INPUTS = sorted(path.relative_to(CORPUS) for path in CORPUS.glob("*/*.input"))
# Inputs of the seeded runs; fewer for targets whose inputs take longer.
INPUT_COUNTS = {
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
    fuzz_target: Target = TARGETS[request.param]()
    yield fuzz_target
    fuzz_target.close()


def test_each_target_has_a_seeded_run_and_there_are_regression_inputs() -> None:
    assert INPUT_COUNTS.keys() == TARGETS.keys()
    assert {path.parts[0] for path in REGRESSION_INPUTS} <= TARGETS.keys() and len(REGRESSION_INPUTS) >= 10


@pytest.mark.parametrize("name", INPUT_COUNTS)
def test_seeded_inputs_break_nothing(name: str) -> None:
    findings = plain.run_target(TARGETS[name], INPUT_COUNTS[name], seed=7)
    assert not findings, findings[0].traceback_text


@pytest.mark.parametrize("path", REGRESSION_INPUTS, ids=str)
def test_regression_input_gives_no_finding(path: Path) -> None:
    fuzz_target = TARGETS[path.parts[0]]()
    fuzz_target.check((CORPUS / path).read_bytes())
    fuzz_target.close()


@pytest.mark.parametrize("name", TARGETS)
def test_the_same_seed_gives_the_same_inputs(name: str) -> None:
    fuzz_target = TARGETS[name]()
    one, other = plain.input_source(fuzz_target, 3), plain.input_source(fuzz_target, 3)
    count = len(fuzz_target.seeds()) + 20
    assert [one() for _ in range(count)] == [other() for _ in range(count)]
    fuzz_target.close()


def test_split_pieces_join_to_the_whole_and_mutation_leaves_its_argument_unchanged() -> None:
    random = Random(5)
    for size in (0, 1, 2, 700):
        data = random.randbytes(size)
        assert b"".join(split_randomly(data, random)) == data
    value = {"a": [1, {"b": "c"}], "d": None}
    before = json.dumps(value)
    assert any(mutate_json(value, random) != value for _ in range(20))
    assert json.dumps(value) == before


def test_all_modules_with_messages_are_listed() -> None:
    package = ROOT / "cloverrouter"
    with_messages = {
        path.relative_to(package).with_suffix("").as_posix().replace("/", ".")
        for path in package.rglob("*.py")
        if re.search(r"^@message\(", path.read_text(), re.MULTILINE)
    }
    assert with_messages == set(node_messages.MODULES)


# Injected faults


def _magnitude_of_any_length(digits: bytes) -> int:
    return int(digits)


def _is_named_list_without_type_check(value: Any) -> bool:
    names = {item.get("name") if isinstance(item, dict) else None for item in value}
    return len(names) == len(value) and all(isinstance(name, str) for name in names)


def _load_with_unhandled_error(file: Any) -> Any:
    try:
        return tomllib.loads(file.read().decode())
    except UnicodeDecodeError as error:
        raise LookupError from error  # an exception that `read` does not handle


FAULTS = {
    "an id as a number of any length": ("events", events, "_magnitude", _magnitude_of_any_length),
    "a name that can't be hashed": ("calls", document, "is_named_list", _is_named_list_without_type_check),
    "an error of the parser's own": ("settings", tomllib, "load", _load_with_unhandled_error),
    "a secret is passed on": ("requests", headers, "_DROPPED", headers._DROPPED - {headers.AUTHORIZATION}),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_injected_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, module, attribute, faulty = FAULTS[fault]
    monkeypatch.setattr(module, attribute, faulty)
    assert finds_fault_within(name, 3000)


def finds_fault_within(name: str, count: int) -> bool:
    """Returns whether one of the first `count` inputs gives a finding."""
    findings, fuzz_target = plain.Findings(), TARGETS[name]()
    next_input = plain.input_source(fuzz_target, seed=7)
    try:
        return any(findings.check(fuzz_target, next_input()) is not None for _ in range(count))
    finally:
        fuzz_target.close()


def test_missing_page_check_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Uses the regression inputs, since only one in a thousand edited files shows the missing check."""
    monkeypatch.setattr(replica_store, "check_pages", lambda file: None)
    findings = plain.Findings()
    fuzz_target = TARGETS["store"]()
    for path in REGRESSION_INPUTS:
        if path.parts[0] == "store":
            findings.check(fuzz_target, (CORPUS / path).read_bytes())
    fuzz_target.close()
    assert findings.by_location


# The command


def test_the_command_lists_its_targets_and_runs_one(tmp_path: Path) -> None:
    code, text = run("fuzz")
    assert code == 0 and all(re.search(rf"^{name} ", text, re.MULTILINE) for name in TARGETS)
    code, text = run("fuzz", "requests", "--plain", "--inputs", "60", "--folder", str(tmp_path))
    assert code == 0 and text.startswith("requests: 60 inputs in ") and text.endswith("; 0 findings\n")
    code, text = run("fuzz", "nothing")
    assert code == 2 and "no target nothing; there are answers, " in text


def test_the_command_saves_its_findings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(events, "_magnitude", _magnitude_of_any_length)
    arguments = ("fuzz", "events", "--plain", "--inputs", "1000", "--folder", str(tmp_path))
    code, text = run(*arguments)
    (saved_input,) = tmp_path.glob("*.input")
    assert code == 1 and f"ValueError: {saved_input}" in text
    with pytest.raises(ValueError, match="digits"):
        TARGETS["events"]().check(saved_input.read_bytes())


def test_coverage_guided_run(tmp_path: Path) -> None:
    code, text = run("fuzz", "requests", "--inputs", "400", "--folder", str(tmp_path), "--json")
    assert code == 0, text
    report = json.loads(text)
    assert report["inputs"] >= 400 and report["edges"] > 20 and report["corpus"] > 0
    assert report["found"] == []
