"""A server's acknowledged DELETE, then a kill of all processes at once: is it still gone afterwards?"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.cases import run_case  # noqa: E402
from standins.nodes import BOUNDS  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.world import CouldNotRun, World  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DESKS = 4
CALM_S = 6.0
SERVES_ON_S = 20.0  # after the acknowledgement: "at times many seconds"
DOWN_S = 0.7
DRAIN_S = BOUNDS["drain-timeout-ms"] / 1000
IN_TOUCH_AFTER_S = 2 * BOUNDS["connectivity-ms"] / 1000
"""After the last start. Twice the bound, as after a final fault that took most of the core."""


async def run(record: Record) -> int:
    world = World(record, without_disk=2)
    try:
        await world.open(DESKS)
        world.load(per_s=25)
        await asyncio.sleep(CALM_S)
        desk = world.desks[0]
        acknowledged = await desk.leave_by_delete()
        if acknowledged is None:
            raise CouldNotRun("the DELETE was not acknowledged")
        record.note("acknowledged", call="DELETE", instance=desk.instance)
        in_touch = acknowledged
        if TROUBLE:
            world.fleet.kill()
            record.note("killed", nodes=len(world.fleet.nodes))
            await asyncio.sleep(DOWN_S)
            world.fleet.start()
            record.note("started", nodes=len(world.fleet.nodes))
            in_touch = time.monotonic() + IN_TOUCH_AFTER_S
        while time.monotonic() < acknowledged + SERVES_ON_S:
            await asyncio.sleep(2)
            record.note("listed", **await world.listed(desk.instance))
        desk.end()
        record.note("ended", instance=desk.instance)
        late = [
            attempt
            for at, attempt in desk.runs
            if at > acknowledged + DRAIN_S and world.sent.get(attempt, 0.0) > in_touch
        ]
        any_time = sum(at > acknowledged + DRAIN_S for at, _ in desk.runs)
        served = sum(
            world.answers.get(each, (0, b""))[0] == 200
            for each in world.attempts
            if world.sent[each] > in_touch
        )
        record.note("result", late_in_touch=len(late), late=any_time, served_in_touch=served)
        print(f"DRAIN: {len(late)} requests from machines in touch (of {any_time} in all) reached a server")
        print(f"  more than {DRAIN_S:g} s after its acknowledged DELETE; {served} were served in that time.")
        if served < 50:
            raise CouldNotRun("the fleet did not serve again")
        return 1 if late else 0
    finally:
        await world.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, run))
