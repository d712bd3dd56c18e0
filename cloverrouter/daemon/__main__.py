"""Start one process of the system: `python -m cloverrouter.daemon`.

The settings file is named by `CYPRESSWINCH_BOOT`. Exit codes: 0 told to end, 1 failed, 2 settings that can't
be used.
"""

from __future__ import annotations

import gc
import os
import signal
import sys

from cloverrouter.daemon.errors import SettingsError
from cloverrouter.daemon.settings import DEFAULT_PATH, SETTINGS_VARIABLE, Settings, read


def _leave_tls_out() -> None:
    """Nothing here speaks TLS, but asyncio and hashlib load OpenSSL where they can: 4 MB. hashlib has its own
    implementations of what is used.
    """
    sys.modules["ssl"] = sys.modules["_hashlib"] = None  # type: ignore[assignment]


async def _serve(settings: Settings, path: str) -> int:
    import asyncio

    from cloverrouter.daemon.node import Node

    node = Node(settings, path)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    gc.freeze()  # what was loaded stays: it isn't looked through again
    gc.enable()
    return await node.run()


def main() -> int:
    """The exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        settings = read(path)
    except SettingsError as error:
        for finding in error.findings:
            print(f"{error.path}: {finding}", file=sys.stderr)
        return 2
    gc.disable()  # loading makes little garbage
    _leave_tls_out()
    import asyncio

    return asyncio.run(_serve(settings, path))


if __name__ == "__main__":
    sys.exit(main())
