"""Commands and reads at the head, from their coming to their answer."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.coordination.effects import Answer, Outcome


@attrs.frozen(slots=True)
class Waiting:
    """A command that nothing was decided on."""

    ticket: int
    command: bytes
    since: float


@attrs.frozen(slots=True)
class Flying:
    """A command whose update isn't committed."""

    ticket: int
    seq: int
    reply: bytes


@attrs.define(slots=True)
class Asked:
    """A read, or a command that changed nothing: right only if this replica is still the head."""

    ticket: int
    seq: int  # what it rests on
    reply: bytes | None  # None: the committed state
    since: float
    round: int | None = None  # the round of heartbeats that must be answered
    outcome: Outcome = Outcome.DONE


class Desk:
    """All that is owed an answer."""

    def __init__(self) -> None:
        self.waiting: deque[Waiting] = deque()
        self.flying: deque[Flying] = deque()
        self.asked: list[Asked] = []

    def is_read_before(self, since: float) -> bool:
        """Whether a read of the committed state that came before waits for its answer."""
        return any(entry.reply is None and entry.since < since for entry in self.asked)

    def committed(self, seq: int) -> list[Answer]:
        """Answers to the updates up to `seq`."""
        answers = []
        while self.flying and self.flying[0].seq <= seq:
            done = self.flying.popleft()
            answers.append(Answer(done.ticket, Outcome.DONE, done.reply, done.seq))
        return answers

    def give_up(self) -> list[Answer]:
        """This replica leads no more."""
        tickets = [entry.ticket for entry in self.flying]
        tickets += [entry.ticket for entry in self.waiting]
        tickets += [entry.ticket for entry in self.asked]
        self.flying.clear()
        self.waiting.clear()
        self.asked.clear()
        return [Answer(ticket, Outcome.UNAVAILABLE) for ticket in tickets]

    def expire(self, before: float) -> list[Answer]:
        """What has come before that and hasn't been begun, or can't be confirmed."""
        late = [entry.ticket for entry in self.asked if entry.since < before]
        self.asked = [entry for entry in self.asked if entry.since >= before]
        while self.waiting and self.waiting[0].since < before:
            late.append(self.waiting.popleft().ticket)
        return [Answer(ticket, Outcome.UNAVAILABLE) for ticket in late]

    def new_rounds(self) -> None:
        """Rounds of an older epoch confirm nothing."""
        for entry in self.asked:
            entry.round = None
