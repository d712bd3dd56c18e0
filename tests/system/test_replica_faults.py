"""The world of replicas finds each fault that is put into them on purpose."""

from __future__ import annotations

import pytest

from tests.system.replica_faults import FAULTS, find, likely_seeds

MOST_STORMS = 200


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_is_found(name: str) -> None:
    assert find(name, likely_seeds(name, MOST_STORMS)) is not None
