"""Runs the command line inside the test process."""

from __future__ import annotations

import contextlib
import io

from cloverrouter.cli.main import main


def run(*words: str) -> tuple[int, str]:
    """Returns the exit code and the combined output to standard output and standard error.

    An exception that the command line does not turn into an exit code fails the test.
    """
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            main(words)
        except SystemExit as exit_request:
            assert isinstance(exit_request.code, int)
            return exit_request.code, output.getvalue()
