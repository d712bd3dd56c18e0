"""What can be wrong with an order of the operator, a registration, or an update of the configuration."""

from __future__ import annotations

from typing import Any

import attrs

from cloverrouter.errors import CypresswinchError

MAX_REPORTED_FINDINGS = 100


@attrs.frozen(slots=True)
class Finding:
    """One thing that is wrong: where, and what was found and wanted there."""

    place: str
    """A path into the document, such as ``route-table[3].timeout-ms``; empty for the document itself."""
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}" if self.place else self.problem


class ControlError(CypresswinchError):
    """An error of the control plane."""


class Invalid(ControlError):
    """A document does not keep the rules. Holds all findings, in the order in which they were made."""

    subject = "document"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)

    def body(self) -> dict[str, Any]:
        """What the caller is told, to be sent as JSON."""
        count = len(self.findings)
        return {
            "error-message": f"the {self.subject} is invalid: {count} finding{'s' * (count != 1)}",
            "findings": [str(finding) for finding in self.findings[:MAX_REPORTED_FINDINGS]],
        }


class ConfigurationInvalid(Invalid):
    """The configuration that an order would bring is invalid; nothing of it is taken."""

    subject = "configuration"


class RegistrationInvalid(Invalid):
    """The announcement of a server is malformed."""

    subject = "registration"


class UpdateOutOfOrder(ControlError):
    """An update builds on another version than the one it was applied to."""


class Unavailable(ControlError):
    """The call can't be decided now: no head is known, or it did not answer. It may still be taken."""


class Redirected(ControlError):
    """Another proxy is to be asked: `location` is the address to send the caller to."""

    def __init__(self, location: str) -> None:
        super().__init__(location)
        self.location = location
