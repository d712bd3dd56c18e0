"""Warnings of failing servers: sent and accepted only from a machine that certainly is the head."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.daemon.trouble_relay import TroubleRelay
from cloverrouter.placement.trouble_messages import RestWarning, TroubleReport, TroubleWarning

HEAD, OTHER, OWN = "10.0.0.1", "10.0.0.2", "10.0.0.3"


class Fixture:
    """The trouble relay of one process; records its warnings to the data plane and its messages."""

    def __init__(self, lease_until: float | None) -> None:
        self.warnings: list[object] = []
        self.sent: list[tuple[str, object]] = []
        traffic: Any = SimpleNamespace(fleet_size=3, apply_warning=self.warnings.append)
        log: Any = SimpleNamespace(change=lambda *_, **__: None)
        self.relay = TroubleRelay(
            OWN,
            traffic,
            lambda ip, message: self.sent.append((ip, message)),
            lambda: HEAD,
            lambda: lease_until,
            lambda: [OTHER],
            log,
        )


@pytest.mark.parametrize("warning", [TroubleWarning("", ("a",), 3000), RestWarning(500, 5000)])
def test_a_warning_of_another_machine_than_the_head_is_not_heeded(warning: object) -> None:
    fixture = Fixture(None)
    fixture.relay.receive(1.0, OTHER, warning)
    assert fixture.warnings == []
    fixture.relay.receive(1.0, HEAD, warning)
    assert fixture.warnings == [warning]


@pytest.mark.parametrize(("lease_until", "leads"), [(None, False), (0.9, False), (1.1, True)])
def test_a_head_warns_only_while_no_other_can_be_head(lease_until: float | None, leads: bool) -> None:
    fixture = Fixture(lease_until)
    for ip in ("10.0.0.7", "10.0.0.8"):
        fixture.relay.receive(1.0, ip, TroubleReport("a", ("server",)))
    assert bool(fixture.sent) == bool(fixture.warnings) == leads
