"""Starts one client proxy: configuration, handover, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from cloverrouter.proxy import config, handover
from cloverrouter.proxy.config import Config
from cloverrouter.proxy.handover import ReceivedHandover
from cloverrouter.proxy.program import Program

log = logging.getLogger("cloverrouter.proxy")


async def serve(configuration: Config, inherited: ReceivedHandover | None) -> int:
    """Runs until SIGTERM, or until the balancer fails; returns the exit code."""
    loop = asyncio.get_running_loop()
    program = Program(configuration, inherited)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    return await program.run()


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    # SIGHUP ends the process by default, and it may arrive before or after the time in which the loop handles
    # it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        configuration = config.load(os.environ)
    except (KeyError, ValueError, TypeError, AttributeError, OSError) as error:
        path = os.environ.get("PROXY_CONFIG", "no file named")
        log.critical("no usable configuration: %s: %s", path, error)
        return 2
    inherited = handover.take_over(handover.path_for(configuration.listen))
    return asyncio.run(serve(configuration, inherited))


if __name__ == "__main__":
    sys.exit(main())
