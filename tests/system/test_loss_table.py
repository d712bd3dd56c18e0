"""Disk losses at every step of a planned replacement of a voter: tolerable losses never stop commands."""

from __future__ import annotations

import pytest

from tests.system.loss_table import Case, cases, play, table

SMALL = [*cases(3, 1), *cases(3, 1, head_leaves=True)]
LARGER = [case for case in cases(5, 2) if len(case.lost) == 2]


@pytest.mark.parametrize("drawn", [SMALL, LARGER], ids=["3 voters", "5 voters"])
def test_what_may_be_lost_at_once_is_borne_at_every_step(drawn: list[Case]) -> None:
    outcomes = [play(case) for case in drawn]
    assert [outcome.case for outcome in outcomes if outcome.is_tolerable and not outcome.has_recovered] == []
    assert any(not outcome.has_recovered for outcome in outcomes) or len(drawn) == len(LARGER)
    assert table(outcomes).count("\n") > len(drawn[0].lost)
