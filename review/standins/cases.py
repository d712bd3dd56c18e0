"""Runs one case: its record, its exit status, and its end when it is told to stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record
from standins.world import CouldNotRun

COULD_NOT_RUN = 2


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]]) -> int:
    """Returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_until_told_to_stop(case(record)))
    except CouldNotRun as error:
        print(f"could not run: {error}")
    except asyncio.CancelledError:
        print("could not run: stopped before its end")
    finally:
        record.close()
    return COULD_NOT_RUN


async def _until_told_to_stop(case: Awaitable[int]) -> int:
    """Runs the case; SIGTERM and SIGINT cancel it, so that it still ends what it started."""
    task = asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task
