"""Commands and reads that are pending at the head."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.coordination.effects import Answer, Outcome


@attrs.frozen(slots=True)
class QueuedCommand:
    """A queued command that was not evaluated yet."""

    ticket: int
    command: bytes
    since: float


@attrs.frozen(slots=True)
class UncommittedCommand:
    """A command whose update is not committed yet."""

    ticket: int
    seq: int
    reply: bytes


@attrs.define(slots=True)
class PendingRead:
    """A read, or a command that changed nothing. The reply is valid only if this replica is still the head,
    which a heartbeat round confirms."""

    ticket: int
    seq: int  # newest update that the reply depends on
    reply: bytes | None  # None: replies with the committed state
    since: float
    round: int | None = None  # heartbeat round that must be confirmed; None: not started
    outcome: Outcome = Outcome.DONE


class PendingCalls:
    """All commands and reads without an answer."""

    def __init__(self) -> None:
        self.queued: deque[QueuedCommand] = deque()
        self.uncommitted: deque[UncommittedCommand] = deque()
        self.reads: list[PendingRead] = []

    def has_read_before(self, since: float) -> bool:
        """Returns whether a read of the committed state that arrived before `since` is pending."""
        return any(entry.reply is None and entry.since < since for entry in self.reads)

    def answers_to_committed(self, seq: int) -> list[Answer]:
        """Returns the answers to commands whose updates, up to `seq`, are committed."""
        answers = []
        while self.uncommitted and self.uncommitted[0].seq <= seq:
            done = self.uncommitted.popleft()
            answers.append(Answer(done.ticket, Outcome.DONE, done.reply, done.seq))
        return answers

    def fail_all(self) -> list[Answer]:
        """Fails everything that is pending, as this replica is not the head any more."""
        tickets = [entry.ticket for entry in self.uncommitted]
        tickets += [entry.ticket for entry in self.queued]
        tickets += [entry.ticket for entry in self.reads]
        self.uncommitted.clear()
        self.queued.clear()
        self.reads.clear()
        return [Answer(ticket, Outcome.UNAVAILABLE) for ticket in tickets]

    def expire(self, before: float) -> list[Answer]:
        """Fails queued commands and unconfirmed reads that arrived before `before`."""
        late = [entry.ticket for entry in self.reads if entry.since < before]
        self.reads = [entry for entry in self.reads if entry.since >= before]
        while self.queued and self.queued[0].since < before:
            late.append(self.queued.popleft().ticket)
        return [Answer(ticket, Outcome.UNAVAILABLE) for ticket in late]

    def reset_rounds(self) -> None:
        """Resets the awaited rounds: those of an older epoch confirm nothing."""
        for entry in self.reads:
            entry.round = None
