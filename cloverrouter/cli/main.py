"""Entry point of the command line. A command's module is imported only when that command is called, so that
no command needs the dependencies of another.

Exit codes of all commands: 0 done, no findings; 1 findings or a failure; 2 an invalid command line or file,
or a missing optional dependency.
"""

from __future__ import annotations

import importlib
import io
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import attrs
from cyclopts import App, CycloptsError

import cloverrouter
from cloverrouter.cli import usage


@attrs.frozen(slots=True)
class Command:
    """A command: its module, the extra of the package that it needs, and its line in the overview."""

    module: str
    extra: str
    help: str


COMMANDS = {
    "check": Command("cloverrouter.cli.check", "lab", "Check configuration files of any kind."),
    "config": Command(
        "cloverrouter.cli.config", "system", "Show, compare and apply the fleet's configuration."
    ),
    "demo": Command("cloverrouter.cli.demo", "demo", "Run a small fleet on this machine."),
    "explore": Command("cloverrouter.cli.explore", "explore", "Check every ordering of events in a model."),
    "fuzz": Command(
        "cloverrouter.cli.fuzz", "fuzz", "Feed mutated inputs to code that parses untrusted bytes."
    ),
    "history": Command("cloverrouter.cli.fleet", "system", "Show the latest changes of the configuration."),
    "lab": Command("cloverrouter.cli.lab", "lab", "Try a configuration with simulated servers and clients."),
    "logs": Command("cloverrouter.cli.logs", "cli", "Print logs of nodes; show one request as a tree."),
    "servers": Command("cloverrouter.cli.fleet", "system", "Show the list of servers, as a node knows it."),
    "soak": Command("cloverrouter.cli.soak", "demo", "Run fleets on this machine under repeated faults."),
    "status": Command(
        "cloverrouter.cli.fleet", "system", "Show a node's readiness, configuration and metrics."
    ),
    "trace": Command("cloverrouter.cli.fleet", "system", "Show a node's trace of a request."),
    "view": Command("cloverrouter.cli.fleet", "system", "Show the replica chain, as a node knows it."),
}

HELP = """Tools of the router fleet and of the client proxy.

A node of the fleet is started by python -m cloverrouter.daemon, the client proxy by
python -m cloverrouter.proxy."""


def _load(name: str) -> Any:
    """Returns the command, a function or an app that its module defines under the command's name.

    Raises UsageError if an optional dependency is not installed.
    """
    command = COMMANDS[name]
    try:
        return getattr(importlib.import_module(command.module), name)
    except ModuleNotFoundError as error:
        if error.name is None or error.name.startswith("cloverrouter"):
            raise
        raise usage.UsageError(
            f"{name}: {error.name} is not installed; pip install 'cloverrouter[{command.extra}]'"
        ) from error


def _build_app(requested: str | None) -> App:
    """Builds the command line with only the requested command loaded; the others get their name and help."""
    app = App(
        name="cypresswinch",
        help=HELP,
        version=cloverrouter.__version__,
        print_error=False,
        exit_on_error=False,
        result_action="return_none",
    )
    for name, command in COMMANDS.items():
        loaded = _load(name) if name == requested else App(name=name, help=command.help)
        if isinstance(loaded, App):
            app.command(loaded)
        else:
            app.command(loaded, name=name)
    return app


def _escape_what_output_cannot_encode() -> None:
    """Makes names that the encoding of the terminal lacks print as escapes instead of raising an error."""
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(errors="backslashreplace")


def main(tokens: Sequence[str] | None = None) -> NoReturn:
    """Runs one command line, given without the program's name; default `sys.argv`. Always exits."""
    arguments = list(sys.argv[1:] if tokens is None else tokens)
    _escape_what_output_cannot_encode()
    try:
        _build_app(arguments[0] if arguments and arguments[0] in COMMANDS else None)(arguments)
    except (CycloptsError, usage.UsageError) as error:
        usage.print_error(f"Error: {error}")
        sys.exit(usage.EXIT_INVALID)
    except usage.CommandFailed as error:
        usage.print_error(f"Error: {error}")
        sys.exit(usage.EXIT_FINDINGS)
    sys.exit(usage.EXIT_OK)
