"""What every scenario starts with: a folder of its own."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
