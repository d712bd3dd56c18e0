"""The world of replicas finds each fault that is put into them on purpose."""

from __future__ import annotations

import pytest

from tests.system.replica_faults import FAULTS, find

MOST_STORMS = 50


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_is_found(name: str) -> None:
    assert find(name, range(1, MOST_STORMS + 1)) is not None
