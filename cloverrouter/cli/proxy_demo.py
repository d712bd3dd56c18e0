"""The `demo --proxy` command: runs real client proxies against simulated servers, with live figures."""

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
    """Returns the demo's scenario: normal load, then servers that fail fast, then a rolling drain."""
    third_s = seconds / 3
    faults = (
        Fault(kind="fast-errors", at_s=third_s, len_s=third_s / 2, part=0.2, size=0.8),
        Fault(kind="drain", at_s=2 * third_s, len_s=1.0, part=0.3, gap_s=1.0),
    )
    fields = {name: getattr(SCENARIO, name) for name in SCENARIO.__struct_fields__}
    return Scenario(**{**fields, "seconds": seconds, "faults": faults})


def run_proxy_demo(seconds: float) -> NoReturn:
    """Runs 4 proxies and 10 simulated servers with two request classes and injected faults.

    Exits 0 if no rule was broken; 1 if one was, a proxy died, or the machine was too busy for a valid run.
    """
    demo_scenario = scenario(seconds)
    log.configure(demo_scenario.log)
    previous: Counter[str] = Counter()
    printed_events = 0

    def print_progress(world: RealWorld) -> None:
        nonlocal previous, printed_events
        judge = world.judge
        current = Counter(request.answers[0][0] for request in judge.tries.values() if request.answers)
        added = current - previous
        previous = current
        held_per_server = " ".join(f"{s.bridge.held:3}" for s in world.servers.values())
        at_s = max(0.0, world.clock.now_ms / 1000 - 1)
        usage.print_line(
            f"{at_s:5.1f} s  served {added['served']:4}  refused {added['refused']:3}"
            f"  failed {added['failed']:3}  in flight at each server {held_per_server}"
        )
        for when_s, text in world.log[printed_events:]:
            usage.print_line(f"{when_s:5.1f} s  {text}")
        printed_events = len(world.log)

    try:
        result = asyncio.run(play(demo_scenario, 1, print_progress))
    except RuntimeError as error:
        raise usage.CommandFailed(str(error)) from error
    verdict = result.verdict
    usage.print_line(
        f"\nasked {verdict.asked}, answers {verdict.answers}\n"
        f"worth answered in time {verdict.worth:.3f} (worst ten seconds {verdict.worst:.3f}); "
        + ", ".join(
            f"{name} {share:.3f}" for name, share in {**verdict.by_class, **verdict.by_member}.items()
        )
        + f"\nlatency {', '.join(f'p{q} {ms:.0f} ms' for q, ms in verdict.latency_ms.items())}"
        f"\nrules broken: {len(verdict.broken)}; the proxies took {result.decided_us:.0f} us a request"
    )
    for text in result.amiss(5):
        usage.print_line(text)
    sys.exit(1 if verdict.broken or result.died or result.void else 0)
