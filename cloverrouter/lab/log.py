"""The lab's own log: to standard error, as text or as a JSON object a line, from the level that is set on."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from cloverrouter.lab.scenario import Log

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure(told: Log) -> None:
    """From here on, in this process."""
    form: Any = structlog.processors.JSONRenderer()
    if told.form == "console":
        form = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            form,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[told.level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get() -> Any:
    """The log. What it is given beside a text comes as fields."""
    return structlog.get_logger("lab")
