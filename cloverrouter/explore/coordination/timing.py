"""Time in the replica model, and the timeouts of the replicas.

Time advances for all replicas at once in steps of `STEP_S`; within a step it stands still. All timeouts are
whole steps, which a float represents exactly. They are as short as possible while their order is that of
production: for example, voters stick to a head for less time than the head may be silent. The invariants
depend on that order only, not on the values.
"""

from __future__ import annotations

from random import Random
from typing import Any

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.genesis import GenesisConfig

STEP_S = 0.125
FIRST_STEP = 800
TOLERANCE = 1
LONG_AGO_S = 2.0  # longer than any timeout that matters within a history

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
    accept_fewer_after_s=8 * STEP_S,
    takeover_s=6 * STEP_S,
    retry_s=2 * STEP_S,
    spread_s=40 * STEP_S,
)


def seconds(step: int) -> float:
    """Returns the clock of the cores at a step, in seconds."""
    return step * STEP_S


class MinimumRandom(Random):
    """A random source that always draws the minimum: the search varies the order of events instead."""

    def uniform(self, a: float, b: float) -> float:
        """Returns the lower bound."""
        return a

    def __reduce__(self) -> Any:
        return MinimumRandom, ()
