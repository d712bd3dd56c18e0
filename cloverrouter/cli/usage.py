"""Shared by all commands: exit codes, errors, output and argument validators."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any

from cloverrouter.errors import CypresswinchError

# Exit codes: success; findings or a failure; an invalid command line or file, or a missing dependency.
EXIT_OK, EXIT_FINDINGS, EXIT_INVALID = 0, 1, 2


class UsageError(CypresswinchError):
    """The command line or a file that it names is invalid, or a dependency is missing. Exits 2."""


class CommandFailed(CypresswinchError):
    """The command was valid but could not be completed. Exits 1."""


def print_line(text: str) -> None:
    """Prints one line to standard output and flushes, so that a reader of a pipe sees it at once."""
    print(text, flush=True)


def print_error(text: str) -> None:
    """Prints one line to standard error."""
    print(text, file=sys.stderr)


def one_of(names: Iterable[str]) -> Callable[[Any, Any], None]:
    """Returns a cyclopts validator that accepts these names, alone or in a sequence."""
    allowed = tuple(names)

    def check(_type: Any, value: Any) -> None:
        given = (value,) if isinstance(value, str) else value or ()
        for name in given:
            if name not in allowed:
                raise ValueError(f"found {name!r}, allowed are {', '.join(allowed)}")

    return check
