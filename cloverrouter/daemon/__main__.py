"""Starts one process of the system: `python -m cloverrouter.daemon`.

`CYPRESSWINCH_BOOT` names the settings file. Exit codes: 0 stopped by a signal, 1 failure, 2 invalid settings.
"""

from __future__ import annotations

from cloverrouter.daemon.signals import Signals

SIGNALS = Signals()  # first, because a signal without a handler kills the process

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from cloverrouter.daemon.errors import SettingsError  # noqa: E402
from cloverrouter.daemon.settings import (  # noqa: E402
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    Settings,
    read_with_retries,
)


def _leave_tls_out() -> None:
    """Prevents asyncio and hashlib from loading OpenSSL, which takes 4 MB.

    The process does not use TLS, and hashlib has its own implementations of the hash functions used here.
    """
    sys.modules["ssl"] = sys.modules["_hashlib"] = None  # type: ignore[assignment]


async def _serve(settings: Settings, path: str) -> int:
    from cloverrouter.daemon.node import Node

    node = Node(settings, path, SIGNALS)
    gc.freeze()  # excludes the loaded modules from later collections
    gc.enable()
    return await node.run()


def main() -> int:
    """Runs the process and returns its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        settings = read_with_retries(path, time.sleep)
    except SettingsError as error:
        for finding in error.findings:
            print(f"{error.path}: {finding}", file=sys.stderr)
        return 2
    gc.disable()  # loading modules creates little garbage
    _leave_tls_out()
    import asyncio

    from cloverrouter.daemon.allocator import return_large_blocks

    return_large_blocks()
    try:
        return asyncio.run(_serve(settings, path))
    finally:
        SIGNALS.close()


if __name__ == "__main__":
    sys.exit(main())
