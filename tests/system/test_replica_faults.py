"""The simulation of replicas detects each fault that is injected into them."""

from __future__ import annotations

import pytest

from tests.system.replica_faults import FAULTS, detect

MAX_STORMS = 50


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_is_found(name: str) -> None:
    assert detect(name, range(1, MAX_STORMS + 1)) is not None
