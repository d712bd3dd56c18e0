"""`demo --proxy`: the real client proxies, stand-in servers and a load on one machine, with live figures."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from typing import NoReturn

from cloverrouter.cli import usage
from cloverrouter.lab import log
from cloverrouter.lab.real import RealWorld, play
from cloverrouter.lab.scenario import Class, Fault, Fleet, Kind, Load, Member, Scenario

SCENARIO = Scenario(
    name="demo",
    proxies=4,
    discovery_ms=(200.0, 1000.0),
    fleet=Fleet(
        servers=10,
        zones=("kathmandu", "lalitpur", "bhaktapur"),
        kinds=(Kind(speed=(1.3, 1.7)), Kind(speed=(0.85, 1.1))),
        cold_ms=6000.0,
        memory_saves=0.4,
    ),
    load=Load(
        level=0.6,
        classes=(
            Class(name="join", share=0.59, mean_work=110, worth=5, repeats="keyed"),
            Class(name="dial-out", share=0.41, mean_work=150, aim_ms=800, deadline_ms=3000, worth=8),
        ),
        members=(Member(name="himal-tel", share=0.52), Member(name="sagar-net", share=0.48)),
    ),
    seeds=(1,),
)


def scenario(seconds: float) -> Scenario:
    """A usual load; then some servers fail fast, and later some are restarted."""
    third = seconds / 3
    faults = (
        Fault(kind="fast-errors", at_s=third, len_s=third / 2, part=0.2, size=0.8),
        Fault(kind="drain", at_s=2 * third, len_s=1.0, part=0.3, gap_s=1.0),
    )
    told = {name: getattr(SCENARIO, name) for name in SCENARIO.__struct_fields__}
    return Scenario(**{**told, "seconds": seconds, "faults": faults})


def play_proxy(seconds: float) -> NoReturn:
    """4 proxies, 10 stand-in servers, two classes, and some trouble.

    Exits 0 if no rule was broken, 1 otherwise, or if the machine was too busy to tell.
    """
    told = scenario(seconds)
    log.configure(told.log)
    before: Counter[str] = Counter()
    seen = 0

    def watch(world: RealWorld) -> None:
        nonlocal before, seen
        judge = world.judge
        now = Counter(one.answers[0][0] for one in judge.tries.values() if one.answers)
        new = now - before
        before = now
        busy = " ".join(f"{s.bridge.held:3}" for s in world.servers.values())
        at_s = max(0.0, world.clock.now_ms / 1000 - 1)
        usage.say(
            f"{at_s:5.1f} s  served {new['served']:4}  refused {new['refused']:3}"
            f"  failed {new['failed']:3}  held by each server {busy}"
        )
        for when_s, text in world.log[seen:]:
            usage.say(f"{when_s:5.1f} s  {text}")
        seen = len(world.log)

    try:
        played = asyncio.run(play(told, 1, watch))
    except RuntimeError as error:
        raise usage.CommandFailed(str(error)) from error
    verdict = played.verdict
    usage.say(
        f"\nasked {verdict.asked}, answers {verdict.answers}\n"
        f"worth answered in time {verdict.worth:.3f} (worst ten seconds {verdict.worst:.3f}); "
        + ", ".join(
            f"{name} {share:.3f}" for name, share in {**verdict.by_class, **verdict.by_member}.items()
        )
        + f"\nlatency {', '.join(f'p{q} {ms:.0f} ms' for q, ms in verdict.latency_ms.items())}"
        f"\nrules broken: {len(verdict.broken)}; the proxies took {played.decided_us:.0f} us a request"
    )
    for text in played.amiss(5):
        usage.say(text)
    sys.exit(1 if verdict.broken or played.died or played.void else 0)
