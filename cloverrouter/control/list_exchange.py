"""The subscriber's side of comparing lists with each voter: when to, and what a voter's list lacks."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.registry_messages import InstanceList, InstanceRecord

RETRY_AFTER = 0.5
LINK_SILENCE = 4.5
LIST_PART_LENGTH = 200


@attrs.define(slots=True)
class _VoterLink:
    compare_at: float
    heard_at: float
    silence_limit: float = LINK_SILENCE
    parts_seen: set[int] = attrs.field(factory=set)
    held_there: set[str] = attrs.field(factory=set)
    told_there: set[str] = attrs.field(factory=set)


@attrs.frozen(slots=True)
class VoterList:
    """A voter's whole list: all ids in it, and those of which it holds exactly what this machine does."""

    held: frozenset[str]
    told: frozenset[str]


class ListExchange:
    """One comparison every few seconds with each voter; at once when the link comes up."""

    def __init__(self) -> None:
        self._links: dict[str, _VoterLink] = {}

    def voters_changed(self, now: float, voters: Iterable[str]) -> None:
        """Compare with all new ones at once."""
        self._links = {ip: self._links.get(ip) or _VoterLink(now, now) for ip in voters}

    def link_up(self, now: float, ip: str) -> None:
        """Whatever was under way on the link may be lost."""
        if ip in self._links:
            self._links[ip].compare_at = now

    def link_down(self, ip: str) -> None:
        """The voter can't be reached for now."""
        if ip in self._links:
            self._links[ip].heard_at = float("-inf")

    def heard(self, now: float, ip: str) -> None:
        """A message of the voter came."""
        if ip in self._links:
            self._links[ip].heard_at = now

    def live(self, now: float) -> list[str]:
        """The voters with a live link."""
        return [ip for ip, link in self._links.items() if now - link.heard_at <= link.silence_limit]

    def to_compare(self, now: float) -> list[str]:
        """The voters with which a comparison is due; the next one follows soon if this one gets no answer."""
        due = [ip for ip, link in self._links.items() if now >= link.compare_at]
        for ip in due:
            self._links[ip].compare_at = now + RETRY_AFTER
        return due

    def agreed(self, now: float, ip: str, next_ms: int) -> None:
        """The voter holds the same list."""
        if ip in self._links:
            self._links[ip].compare_at = now + next_ms / 1000
            self._links[ip].silence_limit = max(LINK_SILENCE, 2 * next_ms / 1000)

    def part_received(
        self, ip: str, message: InstanceList, held: Iterable[str], told: Iterable[str]
    ) -> VoterList | None:
        """A part of a voter's list was merged; the whole list once all parts are here."""
        link = self._links.get(ip)
        if link is None:
            return None
        if message.part == 0:
            link.parts_seen, link.held_there, link.told_there = set(), set(), set()
        link.parts_seen.add(message.part)
        link.held_there.update(held)
        link.told_there.update(told)
        if len(link.parts_seen) < message.parts:
            return None
        return VoterList(frozenset(link.held_there), frozenset(link.told_there))


def in_parts(records: list[InstanceRecord], *, wants_answer: bool) -> list[InstanceList]:
    """A list as messages of bounded length; one empty message for an empty list."""
    cuts = [records[start : start + LIST_PART_LENGTH] for start in range(0, len(records), LIST_PART_LENGTH)]
    cuts = cuts or [[]]
    return [InstanceList(part, len(cuts), tuple(cut), wants_answer) for part, cut in enumerate(cuts)]
