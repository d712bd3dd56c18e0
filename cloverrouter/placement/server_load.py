"""Parses the load that a server reports in its answers: requests running, requests waiting, and its slots.

A reading is as old as its answer, and other proxies get other answers: it counts in full for a second, then
less and less. Nothing depends on it: a server that reports no load, or an invalid one, is judged by the
proxy's own observations.
"""

from __future__ import annotations

import re

import attrs

MAX_COUNT = 1_000_000
"""A reading with a larger number is ignored."""
FULL_WEIGHT_S = 1.0
"""A reading counts in full up to this age,"""
EXPIRY_S = 4.0
"""and not at all from this age on."""
_READING = re.compile(rb"[ \t]*([0-9]{1,7})[ \t]*,[ \t]*([0-9]{1,7})[ \t]*,[ \t]*([0-9]{1,7})[ \t]*")


@attrs.frozen(slots=True)
class ServerLoad:
    """One load reading."""

    running: int
    waiting: int
    slots: int

    @property
    def occupancy(self) -> float:
        """Share of the slots in use; above 1 if requests wait."""
        return (self.running + self.waiting) / self.slots


def parse_load(values: list[bytes]) -> ServerLoad | None:
    """Parses the values of an answer's ``Cypresswinch-Server-Load`` fields.

    Returns None if there is no field, more than one, or an invalid one.
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
    """Returns the weight of a reading of that age, from 1 to 0."""
    return max(0.0, min(1.0, (EXPIRY_S - age_s) / (EXPIRY_S - FULL_WEIGHT_S)))
