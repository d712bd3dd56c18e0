"""What can be wrong with a process's start."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.errors import CypresswinchError


class SettingsError(CypresswinchError):
    """The settings file can't be used. `findings`: each fault with its key, what was found and wanted."""

    def __init__(self, path: str, findings: Sequence[str]) -> None:
        self.path = path
        self.findings = tuple(findings)
        super().__init__(f"{path}: " + "; ".join(findings))
