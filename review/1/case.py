"""Servers that answer now and then before they have read all of a long body: does each request run once?"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.cases import run_case  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.world import CouldNotRun, World  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DESKS = 4
EARLY_DESKS = 2  # half of them
EARLY_EVERY = 50  # of their answers to long requests: x = 0.02
BODY = b"x" * 4_190_000  # `body-limit-bytes` is 4194304
PER_S = 8
SECONDS = 60.0


async def run(record: Record) -> int:
    world = World(record, without_disk=2)
    try:
        await world.open(DESKS - EARLY_DESKS)
        for number in range(DESKS - EARLY_DESKS, DESKS):
            await world.add_desk(number + 1, small_buffers=True, early_every=EARLY_EVERY if TROUBLE else 0)
        await asyncio.sleep(2)  # until all nodes know them
        world.load(PER_S, BODY)
        await asyncio.sleep(SECONDS)
        runs = Counter(attempt for desk in world.desks for _, attempt in desk.runs)
        twice = [attempt for attempt, count in runs.items() if count > 1]
        refused = [each for each in runs if world.answers.get(each, (0, b""))[0] in (408, 421, 429, 503)]
        served = sum(status == 200 for status, _ in world.answers.values())
        record.note("result", twice=len(twice), refused=len(refused), served=served)
        print(
            f"TWICE: {len(twice)} of {len(runs)} requests that may run at most once ran more than one time."
        )
        print(f"  {len(refused)} that had run were refused with a promise; {served} were served.")
        if served < 100:
            raise CouldNotRun("the fleet hardly served")
        return 1 if twice else 0
    finally:
        await world.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, run))
