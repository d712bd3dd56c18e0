"""The `demo` command: runs a small fleet or the client proxy on this machine, and reports the outcome."""

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
    """Run a fleet on this machine: five nodes as real processes, everything around them simulated.

    Under load, a node is killed and restarted, a server is replaced and the configuration is changed. Exits 0
    if no rule was broken, 1 otherwise.

    Parameters
    ----------
    seconds
        Duration of the load.
    seed
        Random seed of the load and of the choice of the node to kill.
    proxy
        Run the client proxy instead: 4 proxies, 10 simulated servers, two request classes.
    keep
        Keep the nodes' settings, disks and logs in this folder, which must not exist yet.
    log
        Log level of the nodes: off, errors, changes, requests.
    """
    if proxy:
        from cloverrouter.cli.proxy_demo import run_proxy_demo

        run_proxy_demo(seconds)
    if keep is not None and keep.exists():
        raise usage.UsageError(f"{keep}: already exists")
    folder = keep or Path(tempfile.mkdtemp(prefix="cypresswinch-demo-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        verdict = asyncio.run(Demo(folder.resolve(), seconds, seed, usage.print_line, log).run())
    except CypresswinchError as error:
        raise usage.CommandFailed(str(error)) from error
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
    _print_verdict(verdict)
    if not verdict.passed:
        raise SystemExit(usage.EXIT_FINDINGS)


def _print_verdict(verdict: Verdict) -> None:
    figures = verdict.figures
    usage.print_line("")
    usage.print_line(f"{'kind':10}{'asked':>8}{'served':>8}{'p50 ms':>9}{'p99 ms':>9}")
    for kind in figures.kinds:
        usage.print_line(
            f"{kind.name:10}{kind.operation_count:8}{kind.served:8}{kind.p50_ms:9.0f}{kind.p99_ms:9.0f}"
        )
    statuses = ", ".join(f"{status} x {count}" for status, count in figures.statuses.items())
    usage.print_line(
        f"{figures.attempt_count} tries, {figures.runs} runs, {figures.events} events; answers: {statuses}"
    )
    for reason in verdict.reasons:
        usage.print_line(reason)
    usage.print_line("PASSED: every rule kept" if verdict.passed else "FAILED")
