"""Plays a scenario with every policy and seed, over processes, and keeps each result as it comes."""

from __future__ import annotations

import sqlite3
import subprocess
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path
from statistics import mean

import msgspec

from cloverrouter.lab import log
from cloverrouter.lab.result import Result
from cloverrouter.lab.scenario import Scenario
from cloverrouter.lab.simulate import Simulation

FORM = 3
STORE = "results.sqlite"


class StoreError(Exception):
    """A run folder that can't be used; the text says why, and what to do."""


class Store:
    """One run folder: the scenario as it was, and each result once it is there."""

    def __init__(self, folder: Path, scenario: Scenario, how: str = "simulated") -> None:
        """Make the folder, or go on with the one that is there. `how`: simulated or real.

        Raises StoreError if it is of another form, scenario or kind of time, or can't be written.
        """
        told = msgspec.json.encode(scenario).decode()
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._db = sqlite3.connect(folder / STORE)
            self._db.execute("CREATE TABLE IF NOT EXISTS about (key TEXT PRIMARY KEY, value TEXT)")
            self._db.execute(
                "CREATE TABLE IF NOT EXISTS runs (policy TEXT, seed INTEGER, result TEXT, error TEXT,"
                " PRIMARY KEY (policy, seed))"
            )
            about = dict(self._db.execute("SELECT key, value FROM about"))
        except (OSError, sqlite3.Error) as error:
            raise StoreError(f"{folder}: no run folder: {error}") from error
        if not about:
            rows = {"form": str(FORM), "scenario": told, "how": how, "revision": revision()}
            self._db.executemany("INSERT INTO about VALUES (?, ?)", rows.items())
            self._db.commit()
        elif about.get("form") != str(FORM):
            found = about.get("form")
            raise StoreError(f"{folder}: form: found {found}, this version writes {FORM}; use a new folder")
        elif about["scenario"] != told:
            raise StoreError(f"{folder}: holds another scenario than the one given; use a new folder")
        elif about["how"] != how:
            raise StoreError(f"{folder}: holds runs in {about['how']} time, not {how}; use a new folder")

    def done(self) -> set[tuple[str, int]]:
        """The runs that have a result."""
        return set(self._db.execute("SELECT policy, seed FROM runs WHERE result IS NOT NULL"))

    def results(self) -> list[Result]:
        return _results(self._db)

    def keep(self, policy: str, seed: int, result: Result | None, error: str = "") -> None:
        """Survives whatever comes next; a run that failed is kept with its error, and played again."""
        text = msgspec.json.encode(result).decode() if result is not None else None
        self._db.execute("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?)", (policy, seed, text, error))
        self._db.commit()

    def close(self) -> None:
        self._db.close()


def _results(db: sqlite3.Connection) -> list[Result]:
    rows = db.execute("SELECT result FROM runs WHERE result IS NOT NULL ORDER BY policy, seed")
    return [msgspec.json.decode(text, type=Result) for (text,) in rows]


def read(folder: Path) -> tuple[Scenario, str, list[Result]]:
    """What a run folder holds: scenario, revision of the code, results. Raises StoreError."""
    path = folder / STORE
    if not path.is_file():
        raise StoreError(f"{folder}: no run folder: it has no {STORE}")
    try:
        db = sqlite3.connect(path)
        about = dict(db.execute("SELECT key, value FROM about"))
        if about.get("form") != str(FORM):
            raise StoreError(f"{folder}: form: found {about.get('form')}, this version reads {FORM}")
        return msgspec.json.decode(about["scenario"], type=Scenario), about["revision"], _results(db)
    except (sqlite3.Error, KeyError, msgspec.MsgspecError) as error:
        raise StoreError(f"{folder}: can't be read: {error}") from error


def revision(where: Path = Path(__file__).parent) -> str:
    """The checkout's, or nothing where there is none."""
    command = ["git", "describe", "--always", "--dirty"]
    try:
        return subprocess.run(command, cwd=where, capture_output=True, text=True, timeout=10).stdout.strip()
    except (OSError, subprocess.TimeoutExpired):
        return ""


def play(scenario: Scenario, policy: str, seed: int) -> Result:
    """One run."""
    log.configure(scenario.log)
    log.get().debug("a run begins", scenario=scenario.name, policy=policy, seed=seed)
    return Simulation(scenario, policy, seed).run()


def run(scenario: Scenario, processes: int, store: Store | None = None) -> Iterator[Result | str]:
    """Play what the store does not have yet; each result as it comes, or the text of an error.

    A run whose process dies is told and kept as such, and the others go on.
    """
    done = store.done() if store is not None else set()
    left = [(p, s) for p in scenario.policies for s in scenario.seeds if (p, s) not in done]
    alone: list[tuple[str, int]] = []  # another run's process took the pool down: played by themselves
    with ProcessPoolExecutor(processes) as pool:
        futures = {pool.submit(play, scenario, policy, seed): (policy, seed) for policy, seed in left}
        for future in as_completed(futures):
            if isinstance(future.exception(), BrokenProcessPool):
                alone.append(futures[future])
            else:
                yield _kept(futures[future], future, store)
    for which in sorted(alone):
        with ProcessPoolExecutor(1) as pool:
            yield _kept(which, pool.submit(play, scenario, *which), store)


def _kept(which: tuple[str, int], future: Future[Result], store: Store | None) -> Result | str:
    """What came of a run, once it is in the store."""
    try:
        result: Result | None = future.result()
        error = ""
    except BrokenProcessPool:
        result, error = None, "its process died"
    except Exception as raised:  # whatever a policy raises is this run's, not the others'
        result, error = None, f"{type(raised).__name__}: {raised}"
    if store is not None:
        store.keep(*which, result, error)
    return result if result is not None else f"{which[0]}, seed {which[1]}: {error}"


class Row(msgspec.Struct, frozen=True):
    """One policy over all seeds: means, but for what is broken, which is counted."""

    policy: str
    runs: int
    worth: float
    least: float  # of the runs
    worst: float  # ten seconds, mean over the runs
    by_class: dict[str, float]
    by_member: dict[str, float]
    p50_ms: float
    p99_ms: float
    attempts: float  # for each first try
    refused: float  # of all answers
    wasted: float
    connections: float
    decided_us: float  # a first try
    speed: float
    broken: dict[str, int]


def rows(results: list[Result]) -> list[Row]:
    """A line for each policy, in the order in which they come."""
    by_policy: dict[str, list[Result]] = {}
    for result in results:
        by_policy.setdefault(result.policy, []).append(result)
    return [_row(policy, of) for policy, of in by_policy.items()]


def _row(policy: str, of: list[Result]) -> Row:
    verdicts = [r.verdict for r in of]
    broken: dict[str, int] = {}
    for text in (text for v in verdicts for text in v.broken):
        rule = text.partition(":")[0]
        broken[rule] = broken.get(rule, 0) + 1
    answers = sum(sum(v.answers.values()) for v in verdicts)
    return Row(
        policy=policy,
        runs=len(of),
        worth=mean(v.worth for v in verdicts),
        least=min(v.worth for v in verdicts),
        worst=mean(v.worst for v in verdicts),
        by_class={name: mean(v.by_class.get(name, 0.0) for v in verdicts) for name in verdicts[0].by_class},
        by_member={
            name: mean(v.by_member.get(name, 0.0) for v in verdicts) for name in verdicts[0].by_member
        },
        p50_ms=mean(v.latency_ms.get("50", 0.0) for v in verdicts),
        p99_ms=mean(v.latency_ms.get("99", 0.0) for v in verdicts),
        attempts=sum(v.attempts for v in verdicts) / max(1, sum(v.asked for v in verdicts)),
        refused=sum(v.answers.get("refused", 0) for v in verdicts) / max(1, answers),
        wasted=mean(r.wasted for r in of),
        connections=max(r.connections for r in of),
        decided_us=sum(r.decided_s for r in of) / max(1, sum(v.asked for v in verdicts)) * 1e6,
        speed=mean(r.speed for r in of),
        broken=broken,
    )
