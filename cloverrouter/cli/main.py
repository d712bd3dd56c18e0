"""All commands. Each is imported when it is called: none pays for what another needs.

Exit codes, for all of them: 0 done, and nothing found amiss; 1 something was found; 2 the command, or a file
that it names, is wrong, or an extra that it needs is not installed.
"""

from __future__ import annotations

import importlib

import click

COMMANDS = {
    "check": ("cloverrouter.cli.check", "lab"),
    "demo": ("cloverrouter.cli.demo", "lab"),
    "explore": ("cloverrouter.cli.explore", "explore"),
    "lab": ("cloverrouter.cli.lab", "lab"),
}


class Commands(click.Group):
    """The commands by name, each in a module of its own."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, extra = COMMANDS[cmd_name]
        try:
            command = getattr(importlib.import_module(module), module.rpartition(".")[2])
        except ModuleNotFoundError as error:
            if error.name is None or error.name.startswith("cloverrouter"):
                raise
            raise click.UsageError(
                f"{cmd_name}: {error.name} is not installed; pip install 'cloverrouter[{extra}]'"
            ) from error
        assert isinstance(command, click.Command)
        return command


@click.command(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """The client proxy's tools. The proxy itself is started by `python -m cloverrouter.proxy`."""
