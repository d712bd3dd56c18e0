"""Effects that a replica requests from its driver, the state machine interface, and the configuration."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from cloverrouter.coordination.views import Member
from cloverrouter.messages.sending import Send
from cloverrouter.store import Record


class Outcome(Enum):
    """Result of a command or a read."""

    DONE = "done"
    NOT_HEAD = "not head"  # retry at the head
    UNAVAILABLE = "unavailable"  # retry; the command may or may not have been executed
    TOO_LARGE = "too large"  # the state would exceed `max_state_bytes`


@attrs.frozen(slots=True)
class Decision:
    """Result of evaluating a command against a state."""

    reply: bytes
    update: bytes | None  # None: the command changes nothing


class StateMachine(Protocol):
    """The replicated state. All methods but `decide` run at every replica."""

    def decide(self, command: bytes) -> Decision:
        """Evaluates a command at the head against the newest state, which may not be committed yet. Changes
        nothing."""

    def apply(self, update: bytes) -> None:
        """Applies an update to the newest state."""

    def snapshot(self) -> bytes:
        """Returns the newest state."""

    def restore(self, snapshot: bytes) -> None:
        """Replaces the newest state."""


@attrs.frozen(slots=True)
class ReplicaConfig:
    """Configuration of a replica. Times in seconds."""

    tolerance: int  # number of disks that may be lost at the same time
    heartbeat_s: float = 0.15
    # a member that is silent, or whose disk is busy, this long leaves the chain
    failure_timeout_s: float = 0.7
    sticky_s: float = 0.4  # a replica that heard the head within this time promises nothing to others
    rank_delay_s: float = 0.25  # between the election start of one rank and the next when the head is silent
    jitter_s: float = 0.08
    start_delay_s: float = 0.45  # before a restarted voter starts an election
    retry_s: float = 0.2  # interval between repeats of an unanswered request
    collect_s: float = 0.12  # how long further promises are awaited once a quorum is there
    lost_quorum_s: float = 1.0  # a head that no majority has answered for this long steps down
    # a voter that is silent, or whose disk is busy, this long is replaced by a spare
    replace_after_s: float = 0.7
    rejoin_s: float = 0.3  # a returning member must be healthy this long to rejoin; doubles with each relapse
    disk_retry_s: float = 0.5
    lazy_write_s: float = 0.3  # maximum delay of writes that are not urgent
    max_in_flight: int = 32  # maximum number of uncommitted updates
    max_queued: int = 256  # maximum number of queued commands, and of pending reads
    queue_timeout_s: float = 2.5  # after this time a queued command or a pending read fails
    max_state_bytes: int = 12 * 1024 * 1024
    # a state of this size is sent in chunks before its receiver joins the chain
    catch_up_bytes: int = 512 * 1024
    compact_bytes: int = 256 * 1024  # updates on disk that exceed this and the snapshot's size are compacted


@attrs.frozen(slots=True)
class ViewInfo:
    """The view as known to one replica."""

    epoch: int
    voters: tuple[Member, ...]
    chain: tuple[Member, ...]  # head first
    head_ip: str | None
    active: bool  # in force, according to the newest information

    @property
    def head(self) -> Member | None:
        """The head, or None while the chain is empty."""
        return self.chain[0] if self.chain else None


@attrs.frozen(slots=True)
class Persist:
    """Write a record, then call `Replica.persisted` with the token. At most one is outstanding."""

    token: int
    record: Record


@attrs.frozen(slots=True)
class Answer:
    """Result of the command or read with this ticket. For a read `reply` is the committed state and `seq` its
    sequence number."""

    ticket: int
    outcome: Outcome
    reply: bytes = b""
    seq: int = 0


@attrs.frozen(slots=True)
class Committed:
    """The next update has been committed."""

    seq: int
    update: bytes


@attrs.frozen(slots=True)
class Restored:
    """The committed state has been replaced by this one, which skips updates."""

    seq: int
    snapshot: bytes


@attrs.frozen(slots=True)
class ViewChanged:
    """The view, or whether it is in force, has changed as far as this replica knows."""

    view: ViewInfo


@attrs.frozen(slots=True)
class NoteStored:
    """The note passed to `Replica.store_note` is durable."""

    note: bytes


Effect = Send | Persist | Answer | Committed | Restored | ViewChanged | NoteStored
