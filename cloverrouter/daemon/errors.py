"""Errors that prevent a process from starting."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.errors import CypresswinchError


class SettingsError(CypresswinchError):
    """The settings file is invalid. `findings` lists each fault: key, value found and what is expected."""

    def __init__(self, path: str, findings: Sequence[str]) -> None:
        self.path = path
        self.findings = tuple(findings)
        super().__init__(f"{path}: " + "; ".join(findings))
