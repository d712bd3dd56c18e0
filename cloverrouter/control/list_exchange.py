"""The subscriber's side of comparing lists with the voters: when to compare, and what their lists lack."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.registry_messages import InstanceList, InstanceRecord

COMPARE_RETRY_S = 0.5
LINK_TIMEOUT_S = 4.5
RECORDS_PER_PART = 200


@attrs.define(slots=True)
class _VoterLink:
    """The comparisons with one voter, and the parts of the voter's list received so far."""

    compare_at: float
    last_message_at: float
    silence_limit: float = LINK_TIMEOUT_S
    was_heard: bool = False
    parts_seen: set[int] = attrs.field(factory=set)
    matching_ids: set[str] = attrs.field(factory=set)
    listed_ids: set[str] = attrs.field(factory=set)


@attrs.frozen(slots=True)
class VoterList:
    """A voter's whole list: the ids whose records equal those of this machine, and all ids in it."""

    matching: frozenset[str]
    listed: frozenset[str]


class ListExchange:
    """Schedules a comparison with each voter every few seconds, and at once when its link comes up."""

    def __init__(self) -> None:
        self._links: dict[str, _VoterLink] = {}

    def voters_changed(self, now: float, voters: Iterable[str]) -> None:
        """Sets the voters; new ones are compared with at once."""
        self._links = {ip: self._links.get(ip) or _VoterLink(now, now) for ip in voters}

    def link_up(self, now: float, ip: str) -> None:
        """Schedules a comparison at once: messages that were in flight on the old link may be lost."""
        if ip in self._links:
            self._links[ip].compare_at = now

    def link_down(self, ip: str) -> None:
        """Counts the voter as unreachable until its next message."""
        if ip in self._links:
            self._links[ip].last_message_at = float("-inf")
            self._links[ip].was_heard = False

    def message_received(self, now: float, ip: str) -> None:
        """Records that a message of the voter arrived."""
        if ip in self._links:
            self._links[ip].last_message_at = now
            self._links[ip].was_heard = True

    def heard_voters(self, now: float) -> list[str]:
        """Returns the voters with a live link on which a message has arrived. A new link counts as live."""
        return [ip for ip in self.live_voters(now) if self._links[ip].was_heard]

    def live_voters(self, now: float) -> list[str]:
        """Returns the voters with a live link."""
        return [ip for ip, link in self._links.items() if now - link.last_message_at <= link.silence_limit]

    def take_due_voters(self, now: float) -> list[str]:
        """Returns the voters with which a comparison is due, and schedules a retry for lack of an answer."""
        due = [ip for ip, link in self._links.items() if now >= link.compare_at]
        for ip in due:
            self._links[ip].compare_at = now + COMPARE_RETRY_S
        return due

    def lists_agree(self, now: float, ip: str, next_ms: int) -> None:
        """Schedules the next comparison with a voter that has the same list, in `next_ms` milliseconds."""
        if ip in self._links:
            self._links[ip].compare_at = now + next_ms / 1000
            self._links[ip].silence_limit = max(LINK_TIMEOUT_S, 2 * next_ms / 1000)

    def part_received(
        self, ip: str, message: InstanceList, matching: Iterable[str], listed: Iterable[str]
    ) -> VoterList | None:
        """Records a merged part of a voter's list; returns the whole list once all parts have arrived."""
        link = self._links.get(ip)
        if link is None:
            return None
        if message.part == 0:
            link.parts_seen, link.matching_ids, link.listed_ids = set(), set(), set()
        link.parts_seen.add(message.part)
        link.matching_ids.update(matching)
        link.listed_ids.update(listed)
        if len(link.parts_seen) < message.parts:
            return None
        return VoterList(frozenset(link.matching_ids), frozenset(link.listed_ids))


def split_into_parts(records: list[InstanceRecord], *, wants_answer: bool) -> list[InstanceList]:
    """Splits a list into messages of bounded length; an empty list gives one empty message."""
    chunks = [records[start : start + RECORDS_PER_PART] for start in range(0, len(records), RECORDS_PER_PART)]
    chunks = chunks or [[]]
    return [InstanceList(part, len(chunks), tuple(chunk), wants_answer) for part, chunk in enumerate(chunks)]
