"""What a replica asks of whoever drives it, what it is handed, and its figures."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from cloverrouter.coordination.views import Member
from cloverrouter.messages.sending import Send
from cloverrouter.store import Record


class Outcome(Enum):
    """How a command or a read has ended."""

    DONE = "done"
    NOT_HEAD = "not head"  # ask the head
    UNAVAILABLE = "unavailable"  # ask again: it may have been done, or not
    TOO_LARGE = "too large"  # the state would outgrow the disk


@attrs.frozen(slots=True)
class Decision:
    """What the state machine makes of a command."""

    reply: bytes
    update: bytes | None  # None: answered without a change


class StateMachine(Protocol):
    """The state that is replicated. Everything but `decide` is done by every replica."""

    def decide(self, command: bytes) -> Decision:
        """At the head, against the newest state, which may not be committed yet. Changes nothing."""

    def apply(self, update: bytes) -> None:
        """An update enters the newest state."""

    def snapshot(self) -> bytes:
        """The newest state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the newest state."""


@attrs.frozen(slots=True)
class ReplicaConfig:
    """Figures of a replica. Times in seconds."""

    tolerance: int  # disks that may be lost at once
    heartbeat_s: float = 0.15
    failure_timeout_s: float = 0.7  # a member silent, or whose disk is busy, for so long leaves the chain
    sticky_s: float = 0.4  # who has heard the head within this promises nothing to others
    rank_delay_s: float = 0.25  # between those who stand up when the head is silent
    jitter_s: float = 0.08
    start_delay_s: float = 0.45  # before a restarted voter stands up by itself
    retry_s: float = 0.2  # a question without an answer is asked again
    gather_s: float = 0.12  # how long the promises of the slower ones are waited for
    lost_quorum_s: float = 1.0  # a head that a majority has not answered for so long is none
    exchange_after_s: float = 0.7  # a voter silent, or whose disk is busy, for so long gives way to a spare
    rejoin_s: float = 0.3  # a member that is back must be well for so long; doubles with each relapse
    disk_retry_s: float = 0.5
    settle_s: float = 0.3  # facts that may be lost are written after so much quiet
    in_flight: int = 32  # updates that are not committed
    waiting: int = 256  # commands that wait for a view
    wait_s: float = 2.5  # how long they do
    max_state_bytes: int = 12 * 1024 * 1024
    catch_up_bytes: int = 512 * 1024  # a state as long goes in parts, before its receiver joins the chain
    compact_bytes: int = 256 * 1024  # updates on disk beyond this, and beyond the state's size, are folded


@attrs.frozen(slots=True)
class ViewInfo:
    """The view as one replica knows it."""

    epoch: int
    voters: tuple[Member, ...]
    chain: tuple[Member, ...]  # head first
    head_ip: str | None
    active: bool  # it was in force when the replica last heard

    @property
    def head(self) -> Member | None:
        """The head."""
        return self.chain[0] if self.chain else None


@attrs.frozen(slots=True)
class Persist:
    """Write a record, then call `persisted` with the token. One at a time."""

    token: int
    record: Record


@attrs.frozen(slots=True)
class Answer:
    """The end of a command or a read. `reply` of a read is the committed state, `seq` its number."""

    ticket: int
    outcome: Outcome
    reply: bytes = b""
    seq: int = 0


@attrs.frozen(slots=True)
class Committed:
    """The next update is committed."""

    seq: int
    update: bytes


@attrs.frozen(slots=True)
class Restored:
    """The committed state has jumped to this one."""

    seq: int
    snapshot: bytes


@attrs.frozen(slots=True)
class ViewChanged:
    """What is known of the view has changed."""

    view: ViewInfo


@attrs.frozen(slots=True)
class NoteKept:
    """The note of `Replica.keep_note` is on the disk."""

    note: bytes


Effect = Send | Persist | Answer | Committed | Restored | ViewChanged | NoteKept
