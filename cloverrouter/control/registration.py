"""Validation of registrations: the JSON body of ``PUT /-/instances/ID``.

Every heartbeat carries such a body, so one that a cheap check finds valid skips the schema. All others are
validated against the schema, which also says what is wrong.
"""

from __future__ import annotations

from typing import Any

from cloverrouter.control.checks import Findings, check_fields, is_number, read_object
from cloverrouter.control.errors import Finding, RegistrationInvalid
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.registry_messages import ModelOnServer
from cloverrouter.http.field_text import is_plain

MAX_ID_CHARACTERS = 200

_STATES = ("ready", "draining")
_STRINGS = ("availability-zone", "version", "phase")
_COUNTS = ("capacity", "sequence-number")
_FAST_CHECK_MAXIMUM = 10**9


def read_registration(instance_id: str, body: bytes) -> dict[str, Any]:
    """Returns the fields of a registration, including unknown ones. Raises `RegistrationInvalid`."""
    check_id(instance_id)
    findings: Findings = []
    fields = read_object(body, findings)
    if findings:
        raise RegistrationInvalid(findings)
    if not is_clearly_valid(fields) and not check_fields("registration", fields, "", findings):
        raise RegistrationInvalid(findings)
    return fields


def check_id(instance_id: str) -> None:
    """Raises `RegistrationInvalid` for an id that `is_valid_id` refuses."""
    if not is_valid_id(instance_id):
        wanted = f"wanted up to {MAX_ID_CHARACTERS} visible ASCII characters, with single spaces between them"
        raise RegistrationInvalid([Finding("instance-id", wanted)])


def is_valid_id(instance_id: str) -> bool:
    """Returns whether an id is short, and unchanged in the header that servers compare with their own id.

    The length is bounded because ids stay in memory for a while after their instances end.
    """
    return len(instance_id) <= MAX_ID_CHARACTERS and is_plain(instance_id)


def instance_from(now: float, instance_id: str, fields: dict[str, Any]) -> Instance:
    """Returns the instance that valid fields describe.

    `now`: when they arrived, in seconds of the local monotonic clock.
    """
    warmup_ms = fields.get("warmup-remaining-ms") or 0
    is_draining = fields.get("lifecycle-state") == "draining"
    return Instance(
        id=instance_id,
        service=fields["backend"],
        address=fields["address"],
        zone=fields.get("availability-zone") or "",
        version=fields.get("version") or "",
        capacity=int(fields.get("capacity") or 0),
        state=InstanceState.DRAINING if is_draining else InstanceState.READY,
        warm_at=now + warmup_ms / 1000 if warmup_ms > 0 else 0.0,
        sequence=int(fields["sequence-number"]),
        phase=fields.get("phase") or "",
        models=tuple(_model_from(model) for model in fields.get("model-list") or ()),
    )


def _model_from(fields: dict[str, Any]) -> ModelOnServer:
    adapters = tuple(fields.get("lora-adapters") or ())
    return ModelOnServer(fields["name"], int(fields.get("version") or 0), adapters)


def is_clearly_valid(fields: dict[str, Any]) -> bool:
    """Returns True only if the fields are certainly valid; for others the schema decides."""
    return (
        _is_name(fields.get("backend"))
        and _is_address(fields.get("address"))
        and fields.get("lifecycle-state") in _STATES
        and all(isinstance(fields.get(field, ""), str) for field in _STRINGS)
        and all(_is_count(fields.get(field)) for field in _COUNTS)
        and _is_amount(fields.get("warmup-remaining-ms", 0))
        and _are_models(fields.get("model-list", []))
    )


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and value != ""


def _is_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return host != "" and port.isascii() and port.isdigit() and len(port) <= 5


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < _FAST_CHECK_MAXIMUM


def _is_amount(value: Any) -> bool:
    return is_number(value) and 0 <= value < _FAST_CHECK_MAXIMUM


def _are_models(value: Any) -> bool:
    return isinstance(value, list) and all(_is_model(model) for model in value)


def _is_model(value: Any) -> bool:
    if not isinstance(value, dict) or not _is_count(value.get("version", 0)):
        return False
    adapters = value.get("lora-adapters", [])
    return _is_name(value.get("name")) and isinstance(adapters, list) and all(map(_is_name, adapters))
