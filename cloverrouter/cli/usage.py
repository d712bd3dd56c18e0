"""What all commands share: how a wrong call is told, and the checks of arguments."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any

from cloverrouter.errors import CypresswinchError

DONE, FOUND, WRONG = 0, 1, 2  # the exit codes: all is well, something is amiss, the call or a file is wrong


class UsageError(CypresswinchError):
    """The command, or a file that it names, is wrong, or something that it needs is not there."""


class CommandFailed(CypresswinchError):
    """The command was right and was carried out, and did not reach its end."""


def say(text: str) -> None:
    """One line to standard output, at once: a reader at a pipe sees it when it is said."""
    print(text, flush=True)


def error_line(text: str) -> None:
    """One line to standard error."""
    print(text, file=sys.stderr)


def one_of(names: Iterable[str]) -> Callable[[Any, Any], None]:
    """A validator: the value is one of these names."""
    allowed = tuple(names)

    def check(_type: Any, value: Any) -> None:
        given = (value,) if isinstance(value, str) else value or ()
        for name in given:
            if name not in allowed:
                raise ValueError(f"found {name!r}, allowed are {', '.join(allowed)}")

    return check
