"""What a server tells of its load in its answers: requests running, requests waiting, and its places.

It is as old as the answer, and other proxies hear other answers: a reading counts in full for a second, then
less and less. Nothing rests on it: a server that tells none, or nonsense, is placed by what is seen of it.
"""

from __future__ import annotations

import re

import attrs

MAX_COUNT = 1_000_000
"""Numbers beyond all measure name nothing."""
FULL_WEIGHT_S = 1.0
"""A reading counts in full for so long,"""
EXPIRY_S = 4.0
"""and after so long not at all."""
_READING = re.compile(rb"[ \t]*([0-9]{1,7})[ \t]*,[ \t]*([0-9]{1,7})[ \t]*,[ \t]*([0-9]{1,7})[ \t]*")


@attrs.frozen(slots=True)
class ServerLoad:
    """One reading."""

    running: int
    waiting: int
    slots: int

    @property
    def occupancy(self) -> float:
        """Part of its places that is taken; above 1 where requests wait."""
        return (self.running + self.waiting) / self.slots


def parse_load(values: list[bytes]) -> ServerLoad | None:
    """The reading in the values of an answer's ``Cypresswinch-Server-Load`` fields.

    None where there is no field, more than one, or one that can't be a load.
    """
    if len(values) != 1:
        return None
    found = _READING.fullmatch(values[0])
    if found is None:
        return None
    running, waiting, slots = (int(number) for number in found.groups())
    if not slots or max(running, waiting, slots) > MAX_COUNT:
        return None
    return ServerLoad(running, waiting, slots)


def reading_weight(age_s: float) -> float:
    """How much a reading of that age still counts, 1 to 0."""
    return max(0.0, min(1.0, (EXPIRY_S - age_s) / (EXPIRY_S - FULL_WEIGHT_S)))
