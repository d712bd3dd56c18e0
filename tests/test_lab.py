"""The laboratory: the server's model, the judge and what it catches, scenarios, and runs that repeat."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sqlite3
import subprocess
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.core.states import DeliverFailure, DeliverRefusal, DeliverResponse, Effect
from cloverrouter.interface import Action, EndpointState, Event, Fail, ListedEndpoint, ListKind, Refuse
from cloverrouter.lab import load, real, runner, scenario
from cloverrouter.lab.bridge import Bay, Bridge, Job, Shape, Verdict
from cloverrouter.lab.compare import paired
from cloverrouter.lab.draws import Draws, Zipf, lognormal
from cloverrouter.lab.judge import RULES, Asked, Judge, Quota
from cloverrouter.lab.policies import Plain
from cloverrouter.lab.runner import Store, StoreError
from cloverrouter.lab.scenario import Class, Clients, Fault, Fleet, Load, Scenario, ScenarioError
from cloverrouter.lab.simulate import Proxy, Simulation
from tests import command_line

FOLDER = Path(__file__).parent.parent / "deploy" / "lab"
SCENARIOS = sorted(FOLDER.glob("*.toml"))

# One server


def offered(bridge: Bridge, now_ms: float, *works: float, first: int = 1) -> list[Verdict]:
    return [bridge.offer(now_ms, Job(first + i, work, None), 1.0) for i, work in enumerate(works)]


def test_requests_share_the_cores() -> None:
    bridge = Bridge("b", Shape(cores=2, speed=2.0))
    assert offered(bridge, 0.0, 100.0) == [Verdict.TAKEN]
    assert bridge.next_ms() == pytest.approx(50.0)  # one core, twice the yardstick
    offered(bridge, 0.0, 100.0, 100.0, 100.0, first=2)
    assert bridge.next_ms() == pytest.approx(100.0)  # four on two cores
    assert [job.id for job in bridge.advance(100.0)] == [1, 2, 3, 4]
    assert bridge.totals.work == pytest.approx(400.0)


@given(
    st.lists(st.tuples(st.floats(0, 200), st.floats(0.1, 300)), min_size=1, max_size=30), st.integers(1, 8)
)
def test_no_work_is_lost_or_made(jobs: list[tuple[float, float]], cores: int) -> None:
    bridge, now_ms, ended = Bridge("b", Shape(cores=cores, slots=5, room=100)), 0.0, 0
    for i, (gap_ms, work) in enumerate(jobs):
        now_ms += gap_ms
        ended += len(bridge.advance(now_ms))
        bridge.offer(now_ms, Job(i, work, None), 1.0)
    total = sum(work for _, work in jobs)
    ended += len(bridge.advance(now_ms + total + 1))  # one core alone would be done by then
    assert ended == len(jobs) and bridge.held == 0
    assert bridge.totals.work == pytest.approx(total)


def test_beyond_its_room_it_turns_away() -> None:
    bridge = Bridge("b", Shape(slots=2, room=1))
    assert offered(bridge, 0.0, 10, 10, 10, 10) == [Verdict.TAKEN] * 3 + [Verdict.FULL]
    assert bridge.report()[0] == 3
    bridge.stop()
    assert offered(bridge, 1.0, 10) == [Verdict.DOWN]


def test_cancelled_work_goes_on_and_waiting_work_is_dropped_on_some_days() -> None:
    for drops, wasted in ((False, 20.0), (True, 10.0)):
        bridge = Bridge("b", Shape(slots=1, cores=1), drops_waiting=drops)
        offered(bridge, 0.0, 10.0, 10.0)
        assert bridge.cancel(1) is False and bridge.cancel(2) is drops
        bridge.advance(100.0)
        assert bridge.totals.wasted == pytest.approx(wasted)


def test_cold_it_does_less_and_falls_over_if_pushed() -> None:
    shape = Shape(cores=4, cold_share=0.25, cold_ms=10_000.0, fall_ms=2000.0, slots=1000)
    bridge = Bridge("b", shape, started_ms=0.0)
    assert [bridge.capacity(at) for at in (0.0, 5000.0, 10_000.0)] == [1.0, 2.5, 4.0]
    assert offered(bridge, 0.0, *[100.0] * 60) == [Verdict.TAKEN] * 60  # three times 2 s of one core
    assert offered(bridge, 0.0, 100.0, first=100) == [Verdict.DOWN]
    assert bridge.totals.fell == 1 and not bridge.up
    bridge.start(5.0)
    assert bridge.up and bridge.warmth(5.0) == 0.25


def test_crowded_for_long_it_is_slow_until_it_has_rested() -> None:
    shape = Shape(cores=1, choke_waiting=5, choke_after_ms=100, choke_factor=2, choke_rest_ms=300, slots=100)
    bridge = Bridge("b", shape)
    offered(bridge, 0.0, *[100.0] * 10)
    bridge.advance(100.0)
    bridge.advance(200.0)
    assert bridge.capacity(200.0) == 0.5
    bridge.advance(3000.0)
    bridge.advance(3010.0)
    assert bridge.held == 0 and bridge.capacity(3010.0) == 0.5
    bridge.advance(3400.0)
    assert bridge.capacity(3400.0) == 1.0


def test_a_key_met_lately_is_less_work_and_a_bay_drops_repeats() -> None:
    bay = Bay(10_000.0)
    one, other = (Bridge(n, Shape(cores=1, memory_saves=0.5, memory_ms=1000.0), bay) for n in "ab")
    for at_ms, work in ((0.0, 100.0), (200.0, 50.0), (2000.0, 100.0)):
        job = Job(int(at_ms), 100.0, "k")
        one.advance(at_ms)
        one.offer(at_ms, job, 1.0)
        assert job.work == work
    assert one.offer(2000.0, Job(7, 1.0, None), 1.0, "r1") is Verdict.TAKEN
    assert other.offer(2001.0, Job(8, 1.0, None), 1.0, "r1") is Verdict.DROPPED
    assert other.offer(20_000.0, Job(9, 1.0, None), 1.0, "r1") is Verdict.TAKEN


def test_errors_connections_and_probes_cost() -> None:
    bridge = Bridge("b", Shape(connections=1, handshake=10, probe=5, cores=1), error_share=0.5)
    assert bridge.offer(0.0, Job(1, 1, None), 0.4) is Verdict.ERROR
    assert bridge.connect(0.0) and not bridge.connect(0.0)
    assert bridge.probed(0.0) is not None
    assert bridge.advance(20.0) == []  # its own work is nobody's answer
    assert bridge.totals.work == 15
    with pytest.raises(ValueError, match="ran backwards"):
        bridge.advance(1.0)


# Draws and load


def test_streams_are_their_own() -> None:
    assert Draws(1).stream("a").random() == Draws(1).stream("a").random() != Draws(2).stream("a").random()
    assert Draws(1).stream("a").random() != Draws(1).stream("b").random()
    chance = Random(1)
    assert sum(lognormal(chance, 100.0, 0.5) for _ in range(20_000)) / 20_000 == pytest.approx(
        100.0, rel=0.03
    )
    ranks = [Zipf(100, 1.0).draw(chance) for _ in range(5000)]
    assert ranks.count(0) > 3 * ranks.count(9) > 0


CLASSES = (
    Class(name="join", share=0.6, mean_work=50, repeats="keyed"),
    Class(name="dial-out", share=0.4, mean_work=80, worth=2),
)
SMALL = Scenario(
    name="small", seconds=6.0, warm_s=1.0, proxies=2, fleet=Fleet(servers=4, zones=("a", "b")),
    load=Load(level=0.5, classes=CLASSES), seeds=(1,),
)  # fmt: skip


def test_load_comes_as_it_is_asked_for() -> None:
    burst = Fault(kind="burst", at_s=2, len_s=2, size=2.0)
    told = msgspec.structs.replace(SMALL, seconds=60.0, faults=(msgspec.structs.replace(burst, len_s=20.0),))
    asks = list(load.asks(told, Draws(1), 0.2))
    before = [a for a in asks if a.at_ms < 2000]
    during = [a for a in asks if 4000 <= a.at_ms < 20_000]
    assert len(before) == pytest.approx(400, rel=0.2)
    assert len(during) == pytest.approx(6400, rel=0.1)
    assert sum(a.cls == "join" for a in asks) / len(asks) == pytest.approx(0.6, abs=0.05)
    other = msgspec.structs.replace(told.load, keys=3)
    again = list(load.asks(msgspec.structs.replace(told, load=other), Draws(1), 0.2))
    assert [a.at_ms for a in again] == [a.at_ms for a in asks]  # other keys shift no arrival


def test_a_surge_is_one_members_and_beyond_its_quota_worth_little() -> None:
    members = (scenario.Member(name="loud", share=0.5, quota=20.0), scenario.Member(name="calm", share=0.5))
    told = msgspec.structs.replace(
        SMALL,
        seconds=10.0,
        load=msgspec.structs.replace(SMALL.load, members=members, over_quota_worth=0.1),
        faults=(Fault(kind="surge", at_s=2, len_s=6, size=6.0, member="loud"),),
    )
    counts = Counter((a.member, 3000 <= a.at_ms < 7000) for a in load.asks(told, Draws(1), 0.04))
    assert counts["loud", True] == pytest.approx(4000 * 0.02 * 6, rel=0.15)
    assert counts["calm", True] == pytest.approx(4000 * 0.02, rel=0.3)
    verdict = Simulation(told, "ours", 1).run().verdict
    assert verdict.broken == [] and 0 < verdict.beyond < verdict.asked
    quota = Quota(2.0)
    assert [quota.spend(at) for at in (0.0, 0.0, 0.0, 500.0, 500.0)] == [True, True, False, True, False]


# The judge, and a proxy for each rule that breaks it


def test_worth_is_what_is_served_in_time() -> None:
    judge = Judge({"x": "never"}, 10_000.0, 3)
    for number, served_ms in ((1, 50.0), (2, 400.0), (3, None)):
        judge.ask(number, Asked(0.0, "x", "m", 1.0 if number < 3 else 2.0, 100.0))
        judge.sent(number, number, 0.0, 500.0)
        judge.answered(number, "served" if served_ms else "refused", served_ms or 20.0)
    verdict = judge.verdict(0.0, 1000.0)
    assert verdict.worth == 0.25 == verdict.worst == verdict.by_member["m"]
    assert verdict.answers == {"served": 2, "refused": 1} and not verdict.broken


class Forgetful(Plain):
    """Never says no."""

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        return [a for a in super().handle(now_ms, events) if not isinstance(a, Refuse | Fail)]


class Reckless(Plain):
    """Repeats whatever failed, wherever."""

    def _allowed(self, now_ms: float, request: Any) -> list[ListedEndpoint]:
        request.first_run = None
        return super()._allowed(now_ms, request)


class Stubborn(Plain):
    """Counts no attempts."""

    def _allowed(self, now_ms: float, request: Any) -> list[ListedEndpoint]:
        return list(self._ready.values()) if now_ms < request.until_ms and request.first_run is None else []


class Crowding(Plain):
    """Sends all to the server that came last."""

    def pick(self, allowed: list[ListedEndpoint]) -> ListedEndpoint:
        return max(allowed, key=lambda e: e.started_ms or 0.0)


class Deaf(Proxy):
    """Hears of no drain."""

    def listed(self, kind: ListKind, entries: tuple[ListedEndpoint, ...], address: int = 0) -> None:
        super().listed(kind, entries)
        still = tuple(replace(e, state=EndpointState.READY) for e in entries)
        self.targets.update({e.name: (e.name, e.started_ms) for e in still})
        broken = [e for e in entries if e.state is not EndpointState.READY]
        told = dict(self.world.judge._told)
        if broken:
            super().listed(kind, still)
            self.world.judge._told = told  # what it was told stays told


class Doubling(Proxy):
    """Says everything twice."""

    def _carry_out(self, effect: Effect) -> None:
        super()._carry_out(effect)
        if isinstance(effect, DeliverResponse | DeliverRefusal | DeliverFailure):
            self.world.judge.answered(effect.call, "served", self.world.clock.now_ms)


ERRORS = Fault(kind="fast-errors", at_s=1, len_s=4, part=1.0, size=0.9)
RELEASE = Fault(kind="release", at_s=1, len_s=2.0, gap_s=0.3)
ROOMLESS = Fleet(servers=4, zones=("a", "b"), kinds=(scenario.Kind(slots=1, room=0),))


@pytest.mark.parametrize(
    ("rule", "policy", "proxy", "change"),
    [
        ("lost", Forgetful, Proxy, {"faults": (ERRORS,)}),
        ("repeat", Reckless, Proxy, {"faults": (ERRORS,)}),
        ("attempts", Stubborn, Proxy, {"fleet": ROOMLESS}),
        ("push", Crowding, Proxy, {"faults": (RELEASE,), "proxies": 4}),
        ("drain", Plain, Deaf, {"faults": (RELEASE,), "discovery_ms": (100.0, 200.0)}),
        ("twice", Plain, Doubling, {}),
    ],
)
def test_each_rule_is_missed_by_nobody_who_breaks_it(
    rule: str, policy: type[Plain], proxy: type[Proxy], change: dict[str, Any]
) -> None:
    told = msgspec.structs.replace(SMALL, **change)
    broken = (
        Simulation(told, "bad", 1, lambda _, settings, seed: policy(settings, seed), proxy)
        .run()
        .verdict.broken
    )
    assert rule in {text.partition(":")[0] for text in broken}
    honest = Simulation(told, "ours", 1).run().verdict
    assert honest.broken == [] and honest.asked > 300
    assert rule in RULES


def test_outside_of_the_bay_and_after_the_window() -> None:
    for bay, at_ms, said in (("b", 100.0, "outside of its bay"), ("a", 20_000.0, "after its window")):
        judge = Judge({"join": "keyed"}, 10_000.0, 3)
        judge.ask(1, Asked(0.0, "join", "m", 1.0, 100.0))
        judge.sent(1, 1, 0.0, 30_000.0)
        judge.reached(1, 0, "s0", "a", 0.0)
        judge.reached(1, 0, "s1", bay, at_ms)
        assert said in judge.broken[0]


# Runs


def test_a_run_repeats_and_seeds_differ() -> None:
    one, again, other = (Simulation(SMALL, "ours", seed).run() for seed in (1, 1, 2))
    assert one.verdict == again.verdict != other.verdict
    assert (one.events, one.work) == (again.events, again.work)


@pytest.mark.parametrize(
    "kind", ["neighbour", "death", "partition", "drain", "move", "slow-answers", "spoilt-answers"]
)
def test_ours_keeps_the_rules_whatever_goes_wrong(kind: Any) -> None:
    fault = Fault(kind=kind, at_s=1, len_s=2, part=0.5)
    clients = Clients(leave_share=0.1)
    told = msgspec.structs.replace(
        SMALL, faults=(fault,), load=msgspec.structs.replace(SMALL.load, clients=clients)
    )
    result = Simulation(told, "ours", 3).run()
    assert result.verdict.broken == []
    assert result.told and 0 < result.verdict.worth < 1


def test_a_silent_list_tells_later_and_nothing_is_lost() -> None:
    outage = Fault(kind="discovery-outage", at_s=0.5, len_s=4.0)
    told = msgspec.structs.replace(SMALL, faults=(RELEASE, outage), discovery_ms=(50.0, 100.0))
    run = Simulation(told, "ours", 1).run()
    usual = Simulation(msgspec.structs.replace(told, faults=(RELEASE,)), "ours", 1).run()
    assert run.verdict.broken == [] == usual.verdict.broken

    def first_refused(result: Any) -> int:
        """The second in which the proxies, told that all servers drain, begin to refuse."""
        return next(i for i, n in enumerate(result.verdict.by_second["refused"]) if n)

    assert first_refused(run) >= 5 > first_refused(usual)  # the list is silent from 1.5 s to 5.5 s
    assert "discovery-outage begins" in [text for _, text in run.told]


def test_reports_are_a_little_old_and_a_little_wrong() -> None:
    fleet = msgspec.structs.replace(SMALL.fleet, reports=("util", "inflight"), report_every_ms=10.0)
    told = msgspec.structs.replace(SMALL, seconds=3.0, fleet=fleet)
    world = Simulation(told, "ours", 1)
    server = world.servers["b0"]
    offered(server.bridge, 0.0, *[1000.0] * 20)
    first = world.report_of(server)
    assert first is not None and first[1] == pytest.approx(20, rel=0.3) and first[1] != 20
    offered(server.bridge, 0.0, *[1000.0] * 20, first=50)
    assert world.report_of(server) == first  # not made anew yet
    world.clock.run(11.0)
    later = world.report_of(server)
    assert later is not None and later[1] == pytest.approx(40, rel=0.3)
    with_reports = Simulation(told, "ours", 1).run()
    assert with_reports.verdict.broken == [] and with_reports.verdict.worth > 0.9


def test_trouble_on_sockets() -> None:
    """Slow and spoilt answers, and lists that are silent or spoilt, in real time: no rule breaks."""
    fleet = msgspec.structs.replace(SMALL.fleet, reports=("inflight", "util"))
    faults = (
        Fault(kind="slow-answers", at_s=0.5, len_s=2.0, part=0.5, delay_ms=100.0),
        Fault(kind="spoilt-answers", at_s=1.0, len_s=1.5, part=0.5, size=0.3),
        Fault(kind="discovery-outage", at_s=1.0, len_s=0.5),
        Fault(kind="spoilt-lists", at_s=2.0, len_s=0.5),
        Fault(kind="death", at_s=1.5, len_s=1.0, part=0.3),
    )
    played = asyncio.run(
        real.play(msgspec.structs.replace(SMALL, seconds=4.0, faults=faults, fleet=fleet), 1)
    )
    if played.void:
        pytest.skip(played.void)
    assert played.verdict.broken == [] and played.died == []
    assert played.verdict.answers["failed"] > 0 and played.verdict.worth > 0.5


def test_a_server_that_moves_goes_on_as_warm_as_it_was() -> None:
    move = Fault(kind="move", at_s=2, part=1.0, gap_s=0.2)
    told = msgspec.structs.replace(SMALL, faults=(move,), discovery_ms=(100.0, 900.0))
    world = Simulation(told, "ours", 1)
    result = world.run()
    assert [s.address for s in world.servers.values()] == [1] * 4
    assert all(s.bridge.started_ms is None for s in world.servers.values())
    assert all(set(p.addresses.values()) == {1} for p in world.proxies)
    served = result.verdict.by_second["served"]
    assert result.verdict.broken == [] and min(served[5:7]) > 0.8 * min(served[1:3])


LARGE = (msgspec.structs.replace(CLASSES[0], answer_kb=200.0), CLASSES[1])
SLOWLY = Clients(slow_share=0.2, slow_kb_s=400.0, leave_share=0.1)


def test_slow_readers_take_up_connections_and_cost_no_service() -> None:
    usual = msgspec.structs.replace(SMALL, load=msgspec.structs.replace(SMALL.load, classes=LARGE))
    slow = msgspec.structs.replace(usual, load=msgspec.structs.replace(usual.load, clients=SLOWLY))
    one, other = (Simulation(told, "ours", 1).run() for told in (usual, slow))
    assert other.verdict.broken == [] and other.connections > one.connections
    assert other.verdict.answers.get("failed", 0) == 0


def test_moves_and_large_answers_on_sockets() -> None:
    """Servers change their addresses while some clients read large answers slowly and some leave."""
    move = Fault(kind="move", at_s=1.0, part=0.5, gap_s=0.3)
    told = msgspec.structs.replace(
        SMALL,
        seconds=4.0,
        faults=(move,),
        load=msgspec.structs.replace(SMALL.load, classes=LARGE, clients=SLOWLY),
    )
    played = asyncio.run(real.play(told, 1))
    if played.void:
        pytest.skip(played.void)
    # An answer whose server moves away from under it is cut: that is the server's doing, and told as a cut.
    moved = sum("moves" in text for _, text in played.told)
    assert moved == 2 and played.died == []
    assert [text for text in played.verdict.broken if "cut off" not in text] == []
    assert played.verdict.answers["served"] > 0.8 * sum(played.verdict.answers.values())


def test_builds_are_played_in_turn_kept_and_compared(tmp_path: Path) -> None:
    path, out = write_small(tmp_path / "s.toml", **{"proxies = 5": "proxies = 1"}), tmp_path / "out"
    path.write_text(path.read_text().replace("seconds = 4.0", "seconds = 2.5"))
    here = Path(__file__).parent.parent
    command = ("run", str(path), "--real", "--out", str(out), "--build", f"now={here}")
    code, text = run(*command, "--build", f"again={here}", "--seeds", "1")
    if "void" in text:
        pytest.skip(text)
    assert code == 0 and "now" in text and "again" in text
    assert run("compare", str(out), str(out), "--policy", "now", "--against", "again")[0] == 0
    assert run("report", str(out))[0] == 0
    code, text = run(*command, "--build", f"again={here}", "--seeds", "1", "--json")
    assert code == 0 and [r["policy"] for r in json.loads(text)["runs"]] == ["again", "now"]  # as kept
    assert "holds another scenario" in run(*command, "--seeds", "1")[1]
    code, text = run("run", str(path), "--real", "--build", f"none={tmp_path}", "--seeds", "1")
    assert code == 1 and "is no checkout" in text
    assert run("run", str(path), "--real", "--build", "nothing")[0] == 2
    assert run("run", str(path), "--build", f"now={here}")[0] == 2


def test_ours_is_worth_more_than_chance_where_it_matters() -> None:
    told = scenario.read(FOLDER / "herd.toml")
    ours, chance = (Simulation(told, policy, 1).run().verdict for policy in ("ours", "random"))
    assert ours.broken == [] and any(text.startswith("push") for text in chance.broken)
    assert ours.worth > chance.worth + 0.2


# In real time, on sockets


def test_real_time_and_simulated_time_agree(tmp_path: Path) -> None:
    """With a release under load, the real proxy is worth what the simulated one is."""
    told = msgspec.structs.replace(SMALL, seconds=5.0, faults=(msgspec.structs.replace(RELEASE, gap_s=1.0),))
    simulated = Simulation(told, "ours", 1).run().verdict
    played = asyncio.run(real.play(told, 1))
    assert played.died == [] and played.told
    if played.void:
        pytest.skip(played.void)  # the machine was too busy to say anything
    assert played.verdict.broken == []
    assert played.verdict.asked == simulated.asked
    assert played.verdict.worth == pytest.approx(simulated.worth, abs=0.1)


def test_a_late_lab_voids_its_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(real, "LATE_MS", -1000.0)  # every send counts as late
    played = asyncio.run(real.play(msgspec.structs.replace(SMALL, seconds=1.5), 1))
    assert "sent late" in played.void and played.late_share == 1


def test_a_proxy_that_does_not_come_up_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(real, "config_of", lambda *_: {"name": "n0"})
    with pytest.raises(RuntimeError, match="n0 does not come up"):
        asyncio.run(real.play(msgspec.structs.replace(SMALL, proxies=1), 1))


def test_a_proxy_that_dies_is_noted_and_the_run_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    ready = real.Proxies.ready

    async def and_die(self: real.Proxies) -> None:
        await ready(self)
        self.processes[0].kill()

    monkeypatch.setattr(real.Proxies, "ready", and_die)
    played = asyncio.run(real.play(msgspec.structs.replace(SMALL, seconds=2.0), 1))
    assert played.died == ["n0 ended with -9"]
    assert played.verdict.answers["unreachable"] > 0 and played.verdict.answers["served"] > 0


def test_stand_ins_alone(tmp_path: Path) -> None:
    """Their first line says where they are; a real proxy can be pointed at them."""
    path = write_small(tmp_path / "s.toml")
    command = [sys.executable, "-m", "cloverrouter", "lab", "servers", str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        told = json.loads(process.stdout.readline())
        host, port = told["servers"]["b0"][0].split(":")
        with socket.create_connection((host, int(port)), 10) as sock:
            sock.sendall(b"GET /join HTTP/1.1\r\nHost: x\r\nX-Request-ID: mine\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 200")
        assert len(told["proxies"]) == 5 and told["proxies"][0]["settings"]["categories"][0]["name"] == "join"
        process.send_signal(signal.SIGINT)
        assert process.wait(30) == 0


# Files and commands


def run(*args: str) -> tuple[int, str]:
    return command_line.run("lab", *args)


def test_shipped_scenarios_are_good() -> None:
    assert {p.stem for p in SCENARIOS} >= {
        "quiet",
        "fast-errors",
        "neighbour",
        "burst",
        "herd",
        "rolling-drain",
    }
    code, text = run("check", *map(str, SCENARIOS))
    assert code == 0 and text.count(": good") == len(SCENARIOS)
    code, text = run("list", str(FOLDER))
    assert code == 0 and "cold at once" in text


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        (
            "level = 0.6",
            "level = 0.6\nrate = 3",
            "load: found both, or neither, allowed one of rate and level",
        ),
        ("proxies = 5", "proxies = 0", "proxies: found 0, allowed 1 to 10,000"),
        ("share = 0.48", "share = 0.48\nquota = 0.0", r"load.members\[sagar-net\].quota: found 0.0"),
        (
            "[load]",
            '[[faults]]\nkind = "surge"\nat_s = 1.0\n[load]',
            r"faults\[0\] \(surge\).member: found ''",
        ),
        ("proxies = 5", "proxy = 5", "unknown field `proxy`"),
        ("servers = 12", 'servers = "many"', r"Expected `int`, got `str` - at `\$.fleet.servers`"),
        ("aim_ms = 600.0", "aim_ms = 6000.0", r"load.classes\[join\].aim_ms: found 6000.0"),
        ('"ours", ', '"theirs", ', "policies: found theirs, least-in-flight, random, allowed ours"),
        ("seconds = 30.0", "seconds = ", "no TOML"),
    ],
)
def test_bad_scenarios_are_told(tmp_path: Path, old: str, new: str, said: str) -> None:
    path = tmp_path / "bad.toml"
    text = (FOLDER / "quiet.toml").read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(ScenarioError, match=said) as error:
        scenario.read(path)
    assert "bad.toml" in str(error.value)
    assert run("check", str(path))[0] == 2 == run("run", str(tmp_path / "none.toml"))[0]


def write_small(path: Path, **change: Any) -> Path:
    text = (FOLDER / "quiet.toml").read_text()
    for old, new in {
        "seconds = 30.0": "seconds = 4.0",
        "seeds = [1, 2, 3]": "seeds = [1, 2]",
        **change,
    }.items():
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return path


def test_results_are_kept_and_a_run_goes_on(tmp_path: Path) -> None:
    path, out = write_small(tmp_path / "s.toml"), tmp_path / "out"
    code, text = run("run", str(path), "--out", str(out), "--processes", "2", "--json")
    told = json.loads(text)
    assert code == 0 and [row["runs"] for row in told["rows"]] == [2, 2, 2]
    with sqlite3.connect(out / runner.STORE) as db:
        db.execute("DELETE FROM runs WHERE policy = 'random'")  # as though it had been interrupted
    code, again = run("run", str(path), "--out", str(out), "--json")
    assert code == 0
    for one, other in zip(told["runs"], json.loads(again)["runs"], strict=True):
        assert one["verdict"] == other["verdict"]
    code, text = run(
        "run", str(write_small(tmp_path / "t.toml", **{"proxies = 5": "proxies = 3"})), "--out", str(out)
    )
    assert code == 2 and "another scenario" in text
    with sqlite3.connect(out / runner.STORE) as db:
        db.execute("UPDATE about SET value = '0' WHERE key = 'form'")
    code, text = run("run", str(path), "--out", str(out))
    assert code == 2 and "form: found 0, this version writes 3" in text
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match="no run folder"):
        Store(tmp_path / "file", SMALL)


def dying(told: Scenario, policy: str, seed: int) -> Any:
    if policy == "random" and seed == 2:
        os._exit(9)
    if policy == "random":
        raise RuntimeError("lost its way")
    return Simulation(told, policy, seed).run()


def test_a_process_that_dies_is_told_and_the_others_go_on(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(runner, "play", dying)
    told = msgspec.structs.replace(SMALL, seeds=(1, 2), policies=("ours", "random"))
    store = Store(tmp_path / "out", told)
    outcomes = list(runner.run(told, 2, store))
    errors = sorted(o for o in outcomes if isinstance(o, str))
    assert errors == ["random, seed 1: RuntimeError: lost its way", "random, seed 2: its process died"]
    assert store.done() == {("ours", 1), ("ours", 2)}


def test_log_is_as_told(tmp_path: Path) -> None:
    path = write_small(tmp_path / "s.toml")
    path.write_text(path.read_text() + '\n[log]\nform = "json"\n[[faults]]\nkind = "neighbour"\nat_s = 1.0\n')
    command = [
        sys.executable,
        "-m",
        "cloverrouter",
        "lab",
        "run",
        str(path),
        "--policy",
        "ours",
        "--seeds",
        "1",
    ]
    for more, lines in (([], 0), (["--log", "info"], 1), (["--log", "debug"], 2)):
        done = subprocess.run([*command, *more], capture_output=True, text=True, check=True)
        told = [json.loads(line) for line in done.stderr.splitlines()]
        assert len(told) == lines
        assert not told or (told[-1]["event"].startswith("neighbour begins") and told[-1]["at_s"] == 1.0)


def test_what_varies_is_combined(tmp_path: Path) -> None:
    path = write_small(tmp_path / "s.toml", **{"seconds = 4.0": "seconds = 3.0"})
    text = path.read_text()
    path.write_text(text + '\n[vary]\n"load.level" = [0.3, 0.5]\nproxies = [1, 2]\n')
    variants = scenario.read_all(path)
    assert list(variants)[:2] == ["load.level=0.3, proxies=1", "load.level=0.3, proxies=2"]
    assert [v.proxies for v in variants.values()] == [1, 2, 1, 2]
    out = tmp_path / "out"
    code, printed = run("run", str(path), "--policy", "ours", "--seeds", "1", "--out", str(out), "--json")
    told = json.loads(printed)
    assert code == 0 and [t["variant"] for t in told] == list(variants)
    assert told[0]["rows"][0]["attempts"] > 0 and len(list(out.iterdir())) == 4
    assert run("run", str(path), "--real")[0] == 2
    for bad, said in (
        ("proxies = 3", "a list of values"),
        ('"load.classes.worth" = [1]', "lists can't be varied"),
        ("proxies = [1, 0]", "proxies=0: proxies: found 0"),
        ("seconds = [" + "9.0, " * 300 + "]", "more than the 200"),
    ):
        path.write_text(f"{text}\n[vary]\n{bad}\n")
        with pytest.raises(ScenarioError, match=said):
            scenario.read_all(path)


def test_runs_are_compared_pair_by_pair(tmp_path: Path) -> None:
    same = paired({1: 0.5, 2: 0.7}, {1: 0.5, 2: 0.7, 3: 0.9})
    assert (same.pairs, same.mean, same.sure) == (2, 0.0, False)
    better = paired({s: 0.5 + s / 100 for s in range(8)}, {s: 0.6 + s / 90 for s in range(8)})
    assert better.sure and 0 < better.low <= better.mean <= better.high
    with pytest.raises(ValueError, match="no seed in common"):
        paired({1: 0.5}, {2: 0.5})
    out = tmp_path / "out"
    assert run("run", str(write_small(tmp_path / "s.toml")), "--out", str(out), "--processes", "2")[0] == 0
    code, text = run("compare", str(out), str(out), "--against", "random")
    assert code == 0 and "worth" in text and "p99 ms" in text
    code, text = run("report", str(out))
    page = (out / "report.html").read_text()
    assert code == 0 and page.count("<svg") >= 4 and "least-in-flight" in page
    assert "src=" not in page and 'href="http' not in page  # it loads nothing
    told = json.loads((out / "report.json").read_text())
    assert [row["policy"] for row in told["rows"]] == ["ours", "least-in-flight", "random"]
    assert run("report", str(tmp_path))[0] == 2
    code, text = run("compare", str(out), str(tmp_path / "none"))
    assert code == 2 and "no run folder" in text
    code, text = run("compare", str(out), str(out), "--policy", "theirs")
    assert code == 2 and "no seed in common" in text


def test_demo() -> None:
    _, text = command_line.run("demo", "--proxy", "--seconds", "4")
    assert "rules broken: 0" in text and "drain begins on 3 servers" in text


def test_table(tmp_path: Path) -> None:
    path = write_small(tmp_path / "s.toml")
    code, text = run("run", str(path), "--seeds", "1", "--policy", "ours", "--processes", "1")
    assert code == 0 and "least-in-flight" not in text and "himal-tel 1.000" in text
