"""Starts one client proxy: configuration, handover, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from cloverrouter.proxy import config, handover
from cloverrouter.proxy.config import Config
from cloverrouter.proxy.handover import Inheritance
from cloverrouter.proxy.program import Program

log = logging.getLogger("cloverrouter.proxy")


async def serve(told: Config, inherited: Inheritance | None) -> int:
    """Run until SIGTERM, or until the module fails; the exit code."""
    loop = asyncio.get_running_loop()
    program = Program(told, inherited)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    return await program.run()


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    # Danger: SIGHUP's default action ends the process; it may come before the loop takes it, or after.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        told = config.load(os.environ)
    except (KeyError, ValueError, TypeError, AttributeError, OSError) as error:
        path = os.environ.get("PROXY_CONFIG", "no file named")
        log.critical("no usable configuration: %s: %s", path, error)
        return 2
    inherited = handover.take(handover.path_for(told.listen))
    return asyncio.run(serve(told, inherited))


if __name__ == "__main__":
    sys.exit(main())
