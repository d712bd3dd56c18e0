"""Warnings of failing servers: only of the machine that is the head, and for sure."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.daemon.trouble_news import TroubleNews
from cloverrouter.placement.trouble_messages import RestWarning, TroubleReport, TroubleWarning

HEAD, OTHER, OWN = "10.0.0.1", "10.0.0.2", "10.0.0.3"


class Fixture:
    """The news of one process, with what it told its traffic and the other machines."""

    def __init__(self, lead_until: float | None) -> None:
        self.warned: list[object] = []
        self.sent: list[tuple[str, object]] = []
        traffic: Any = SimpleNamespace(fleet_size=3, warned=self.warned.append)
        log: Any = SimpleNamespace(change=lambda *_, **__: None)
        self.news = TroubleNews(
            OWN,
            traffic,
            lambda ip, message: self.sent.append((ip, message)),
            lambda: HEAD,
            lambda: lead_until,
            lambda: [OTHER],
            log,
        )


@pytest.mark.parametrize("warning", [TroubleWarning("", ("a",), 3000), RestWarning(500, 5000)])
def test_a_warning_of_another_machine_than_the_head_is_not_heeded(warning: object) -> None:
    found = Fixture(None)
    found.news.receive(1.0, OTHER, warning)
    assert found.warned == []
    found.news.receive(1.0, HEAD, warning)
    assert found.warned == [warning]


@pytest.mark.parametrize(("lead_until", "leads"), [(None, False), (0.9, False), (1.1, True)])
def test_a_head_warns_only_while_no_other_can_be_head(lead_until: float | None, leads: bool) -> None:
    found = Fixture(lead_until)
    for ip in ("10.0.0.7", "10.0.0.8"):
        found.news.receive(1.0, ip, TroubleReport("a", ("server",)))
    assert bool(found.sent) == bool(found.warned) == leads
