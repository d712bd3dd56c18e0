"""Start one process of the system: `python -m cloverrouter.daemon`.

The settings file is named by `CYPRESSWINCH_BOOT`. Exit codes: 0 told to end, 1 failed, 2 settings that can't
be used.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from cloverrouter.daemon.errors import SettingsError
from cloverrouter.daemon.settings import DEFAULT_PATH, SETTINGS_VARIABLE, read


async def _serve(path: str) -> int:
    settings = read(path)
    from cloverrouter.daemon.node import Node

    node = Node(settings, path)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    return await node.run()


def main() -> int:
    """The exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        return asyncio.run(_serve(path))
    except SettingsError as error:
        for finding in error.findings:
            print(f"{error.path}: {finding}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    gc.freeze()
    sys.exit(main())
