"""Runs a command line inside the tests' process."""

from __future__ import annotations

import contextlib
import io

from cloverrouter.cli.main import main


def run(*words: str) -> tuple[int, str]:
    """The exit code, and all that was written to standard output and standard error, in order.

    An exception that the command line doesn't turn into an exit code itself is the test's failure.
    """
    written = io.StringIO()
    with contextlib.redirect_stdout(written), contextlib.redirect_stderr(written):
        try:
            main(words)
        except SystemExit as end:
            assert isinstance(end.code, int)
            return end.code, written.getvalue()
