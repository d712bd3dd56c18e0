"""Start one process of the system: `python -m cloverrouter.daemon`.

The settings file is named by `CYPRESSWINCH_BOOT`. Exit codes: 0 told to end, 1 failed, 2 settings that can't
be used.
"""

from __future__ import annotations

from cloverrouter.daemon.signals import Signals

SIGNALS = Signals()  # before anything else is loaded: until then a signal ends the process

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from cloverrouter.daemon.errors import SettingsError  # noqa: E402
from cloverrouter.daemon.settings import (  # noqa: E402
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    Settings,
    read_patiently,
)


def _leave_tls_out() -> None:
    """Nothing here speaks TLS, but asyncio and hashlib load OpenSSL where they can: 4 MB. hashlib has its own
    implementations of what is used.
    """
    sys.modules["ssl"] = sys.modules["_hashlib"] = None  # type: ignore[assignment]


async def _serve(settings: Settings, path: str) -> int:
    from cloverrouter.daemon.node import Node

    node = Node(settings, path, SIGNALS)
    gc.freeze()  # what was loaded stays: it isn't looked through again
    gc.enable()
    return await node.run()


def main() -> int:
    """The exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        settings = read_patiently(path, time.sleep)
    except SettingsError as error:
        for finding in error.findings:
            print(f"{error.path}: {finding}", file=sys.stderr)
        return 2
    gc.disable()  # loading makes little garbage
    _leave_tls_out()
    import asyncio

    try:
        return asyncio.run(_serve(settings, path))
    finally:
        SIGNALS.close()


if __name__ == "__main__":
    sys.exit(main())
