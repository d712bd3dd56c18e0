"""All commands. Each is imported when it is called: none pays for what another needs.

Exit codes, for all of them: 0 done, and nothing found amiss; 1 something was found; 2 the command, or a file
that it names, is wrong, or an extra that it needs is not installed.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import attrs
from cyclopts import App, CycloptsError

import cloverrouter
from cloverrouter.cli import usage


@attrs.frozen(slots=True)
class Command:
    """Where a command is, which extra of the package it needs, and its line in the overview."""

    module: str
    extra: str
    help: str


COMMANDS = {
    "check": Command("cloverrouter.cli.check", "lab", "Check configuration files of any kind."),
    "config": Command("cloverrouter.cli.config", "system", "The configuration in force: show, diff, apply."),
    "demo": Command("cloverrouter.cli.demo", "demo", "Play a small fleet on this machine."),
    "explore": Command("cloverrouter.cli.explore", "explore", "Play every ordering of events."),
    "fuzz": Command("cloverrouter.cli.fuzz", "fuzz", "Mutated inputs for all that reads bytes from outside."),
    "history": Command("cloverrouter.cli.fleet", "system", "The latest changes of the configuration."),
    "lab": Command("cloverrouter.cli.lab", "lab", "Emulated servers and clients: try a configuration."),
    "logs": Command("cloverrouter.cli.logs", "cli", "What nodes have written; one request as a tree."),
    "servers": Command("cloverrouter.cli.fleet", "system", "The list of servers, as a node knows it."),
    "soak": Command("cloverrouter.cli.soak", "demo", "Strike fleets on this machine again and again."),
    "status": Command("cloverrouter.cli.fleet", "system", "What a node tells of itself."),
    "trace": Command("cloverrouter.cli.fleet", "system", "What a node remembers of a request."),
    "view": Command("cloverrouter.cli.fleet", "system", "The chain of replicas, as a node knows it."),
}

HELP = """Tools of the router fleet and of the client proxy.

A node of the fleet is started by python -m cloverrouter.daemon, the client proxy by
python -m cloverrouter.proxy."""


def _load(name: str) -> Any:
    """The command: a function or an app, in its module under its own name."""
    command = COMMANDS[name]
    try:
        return getattr(importlib.import_module(command.module), name)
    except ModuleNotFoundError as error:
        if error.name is None or error.name.startswith("cloverrouter"):
            raise
        raise usage.UsageError(
            f"{name}: {error.name} is not installed; pip install 'cloverrouter[{command.extra}]'"
        ) from error


def _application(called: str | None) -> App:
    """The command line in which one command is there, and the others only by name."""
    app = App(
        name="cypresswinch",
        help=HELP,
        version=cloverrouter.__version__,
        print_error=False,
        exit_on_error=False,
        result_action="return_none",
    )
    for name, command in COMMANDS.items():
        loaded = _load(name) if name == called else App(name=name, help=command.help)
        if isinstance(loaded, App):
            app.command(loaded)
        else:
            app.command(loaded, name=name)
    return app


def main(tokens: Sequence[str] | None = None) -> NoReturn:
    """Carries out one command line, without the program's name; default: the process's own. Always exits."""
    words = list(sys.argv[1:] if tokens is None else tokens)
    try:
        _application(words[0] if words and words[0] in COMMANDS else None)(words)
    except (CycloptsError, usage.UsageError) as error:
        usage.error_line(f"Error: {error}")
        sys.exit(usage.WRONG)
    except usage.CommandFailed as error:
        usage.error_line(f"Error: {error}")
        sys.exit(usage.FOUND)
    sys.exit(usage.DONE)
