"""`demo`: a small fleet on this machine, or the client proxy, with live figures and a verdict."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from cyclopts.validators import Number

from cloverrouter.cli import usage
from cloverrouter.daemon.settings import LOG_LEVELS
from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet.demo import Demo, Verdict


def demo(
    *,
    seconds: Annotated[float, Parameter(validator=Number(gte=3.0))] = 20.0,
    seed: int = 1,
    proxy: Annotated[bool, Parameter(negative="")] = False,
    keep: Path | None = None,
    log: Annotated[str, Parameter(validator=usage.one_of(LOG_LEVELS))] = "changes",
) -> None:
    """Play a fleet on this machine: five nodes as real processes, stand-ins for all that is round them.

    Under load a node is killed and started again, a server replaced, the configuration changed. Exits 0 if no
    rule was broken, 1 otherwise.

    Parameters
    ----------
    seconds
        How long the load goes on.
    seed
        Of the load, and of which node is killed.
    proxy
        Play the client proxy instead: 4 proxies, 10 stand-in servers, two classes.
    keep
        Keep the nodes' settings, disks and logs in this folder, which must not be there yet.
    log
        How much the nodes log: off, errors, changes, requests.
    """
    if proxy:
        from cloverrouter.cli.proxy_demo import play_proxy

        play_proxy(seconds)
    if keep is not None and keep.exists():
        raise usage.UsageError(f"{keep}: is there already")
    folder = keep or Path(tempfile.mkdtemp(prefix="cypresswinch-demo-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        verdict = asyncio.run(Demo(folder.resolve(), seconds, seed, usage.say, log).run())
    except CypresswinchError as error:
        raise usage.CommandFailed(str(error)) from error
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
    _tell(verdict)
    if not verdict.passed:
        raise SystemExit(usage.FOUND)


def _tell(verdict: Verdict) -> None:
    figures = verdict.figures
    usage.say("")
    usage.say(f"{'kind':10}{'asked':>8}{'served':>8}{'p50 ms':>9}{'p99 ms':>9}")
    for kind in figures.kinds:
        usage.say(
            f"{kind.name:10}{kind.operation_count:8}{kind.served:8}{kind.p50_ms:9.0f}{kind.p99_ms:9.0f}"
        )
    statuses = ", ".join(f"{status} x {count}" for status, count in figures.statuses.items())
    usage.say(
        f"{figures.attempt_count} tries, {figures.runs} runs, {figures.events} events; answers: {statuses}"
    )
    for reason in verdict.reasons:
        usage.say(reason)
    usage.say("PASSED: every rule kept" if verdict.passed else "FAILED")
