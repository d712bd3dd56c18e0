"""Errors of the control plane: invalid orders and registrations, updates out of order, unavailability."""

from __future__ import annotations

from typing import Any

import attrs

from cloverrouter.errors import CypresswinchError

MAX_REPORTED_FINDINGS = 100


@attrs.frozen(slots=True)
class Finding:
    """One validation error: its place, and what was found and expected there."""

    place: str
    """The path in the document, such as ``route-table[3].timeout-ms``; empty for the document itself."""
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}" if self.place else self.problem


class ControlError(CypresswinchError):
    """Base class of the errors of the control plane."""


class Invalid(ControlError):
    """A document breaks validation rules. Contains all findings, in the order in which they were made."""

    subject = "document"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)

    def body(self) -> dict[str, Any]:
        """Returns the response body, to be sent as JSON. Lists at most `MAX_REPORTED_FINDINGS` findings."""
        count = len(self.findings)
        return {
            "error-message": f"the {self.subject} is invalid: {count} finding{'s' * (count != 1)}",
            "findings": [str(finding) for finding in self.findings[:MAX_REPORTED_FINDINGS]],
        }


class ConfigurationInvalid(Invalid):
    """The configuration that an order would lead to is invalid. The order is refused as a whole."""

    subject = "configuration"


class RegistrationInvalid(Invalid):
    """The registration of a server is malformed."""

    subject = "registration"


class UpdateOutOfOrder(ControlError):
    """An update builds on another version than the one to which it is applied."""


class Unavailable(ControlError):
    """The call can't be decided now: no head is known, or the head did not answer.

    The outcome is unknown: an order may still be accepted.
    """


class Redirected(ControlError):
    """Another proxy must handle the call. `location` is the URL to redirect the caller to."""

    def __init__(self, location: str) -> None:
        super().__init__(location)
        self.location = location
