"""Time as it passes in the model, and the replicas' figures for it.

Time moves for all replicas at once, in steps of `STEP_S`; within a step it stands still. All figures are
whole steps, which a float holds exactly, and as short as they can be while their order stays that of service:
a head is held to for a shorter time than it may be silent, and so on. What must always hold rests on no more.
"""

from __future__ import annotations

from random import Random
from typing import Any

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.genesis import GenesisConfig

STEP_S = 0.125
FIRST_STEP = 800
TOLERANCE = 1
LONG_AGO_S = 2.0  # longer than any figure that decides something within a history

REPLICA = ReplicaConfig(
    tolerance=TOLERANCE,
    heartbeat_s=2 * STEP_S,
    failure_timeout_s=4 * STEP_S,
    sticky_s=3 * STEP_S,
    rank_delay_s=STEP_S,
    jitter_s=0.0,
    start_delay_s=3 * STEP_S,
    retry_s=2 * STEP_S,
    collect_s=STEP_S,
    lost_quorum_s=10 * STEP_S,
    replace_after_s=4 * STEP_S,
    rejoin_s=STEP_S,
    disk_retry_s=2 * STEP_S,
    lazy_write_s=STEP_S,
    queue_timeout_s=12 * STEP_S,
)
GENESIS = GenesisConfig(
    tolerance=TOLERANCE,
    collect_s=2 * STEP_S,
    quiet_s=STEP_S,
    give_in_s=8 * STEP_S,
    takeover_s=6 * STEP_S,
    retry_s=2 * STEP_S,
    spread_s=40 * STEP_S,
)


def seconds(step: int) -> float:
    """The cores' clock at a step."""
    return step * STEP_S


class NoDraws(Random):
    """A source that always gives the least: what is left to chance is left to the search instead."""

    def uniform(self, a: float, b: float) -> float:
        """The least."""
        return a

    def __reduce__(self) -> Any:
        return NoDraws, ()
