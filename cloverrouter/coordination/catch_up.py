"""Transfers a large state in chunks to a voter outside the chain while the chain keeps taking commands.

A chain member must hold the whole state before its view is in force, so commands wait for the transfer of a
state to a chain member. A large state is therefore sent in chunks to members that are about to join; updates
decided meanwhile follow when they join.

The state after update `seq` of one epoch has the same content whoever sends it, so a member that has part of
it resumes with the next head. A state received completely counts as the state of that epoch, like one
received by `Install`.
"""

from __future__ import annotations

import zlib

import attrs

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import CatchUpPart, CatchUpTaken
from cloverrouter.coordination.views import Member
from cloverrouter.store import Snapshot

PART_BYTES = 64 * 1024
PARTS_IN_FLIGHT = 2  # limits how much data delays a command on a slow link
RESEND_S = 0.5
MAX_TRANSFERS = 3  # transfers per member; after these it joins the chain, and commands wait for its state
MAX_STATE_BYTES = 64 * 1024 * 1024


@attrs.define(slots=True)
class _Transfer:
    """A transfer of one state to one member."""

    member: Member
    state: Snapshot
    checksum: int
    taken: int = 0  # bytes acknowledged by the member
    sent: int = 0
    progress_at: float = 0.0


@attrs.frozen(slots=True)
class Progress:
    """Progress of a transfer: acknowledged and total bytes, and the number of transfers to this member so
    far."""

    name: str
    taken: int
    length: int
    round: int


class CatchUpSender:
    """The sending side, at the head. Serves one member at a time."""

    def __init__(self, context: Context, epoch: int) -> None:
        self._context = context
        self._epoch = epoch
        self._transfer: _Transfer | None = None
        self._transfer_counts: dict[str, int] = {}

    @property
    def progress(self) -> Progress | None:
        """Progress of the current transfer; None without one."""
        found = self._transfer
        if found is None:
            return None
        name, length = found.member.name, len(found.state.data)
        return Progress(name, found.taken, length, self._transfer_counts[found.member.identity])

    def has_transfers_left(self, identity: str) -> bool:
        """Returns whether the member should get its state in chunks. The number of transfers is limited, as
        updates may arrive faster than a transfer completes."""
        return self._transfer_counts.get(identity, 0) <= MAX_TRANSFERS

    def tick(self, now: float, wanted: list[Member]) -> None:
        """Starts, resumes or cancels a transfer. `wanted`: the members that lack the whole state and should
        have it."""
        transfer = self._transfer
        if transfer is not None and transfer.member not in wanted:
            self._transfer = transfer = None
        if transfer is None:
            if wanted:
                self._begin(now, wanted[0])
        elif now - transfer.progress_at >= RESEND_S:
            self._resume_transfer(now, transfer)

    def _resume_transfer(self, now: float, transfer: _Transfer) -> None:
        """Resends after `RESEND_S` without progress: chunks were lost, or the member is complete but lacks
        too many newer updates."""
        if transfer.taken == len(transfer.state.data):
            self._begin(now, transfer.member)
            return
        transfer.sent = transfer.taken
        transfer.progress_at = now
        self._send(transfer)

    def _begin(self, now: float, member: Member) -> None:
        self._transfer = None
        self._transfer_counts[member.identity] = self._transfer_counts.get(member.identity, 0) + 1
        if not self.has_transfers_left(member.identity):
            return
        state = self._context.history.snapshot()
        self._transfer = _Transfer(member, state, zlib.crc32(state.data), progress_at=now)
        self._send(self._transfer)

    def on_taken(self, now: float, message: CatchUpTaken) -> None:
        """Handles an acknowledgement."""
        transfer = self._transfer
        if transfer is None or message.epoch != self._epoch:
            return
        is_current = (message.sender, message.seq, message.checksum) == (
            transfer.member.identity,
            transfer.state.seq,
            transfer.checksum,
        )
        if not is_current or not 0 <= message.taken <= len(transfer.state.data):
            return
        if message.taken != transfer.taken:
            transfer.progress_at = now
        if message.taken < transfer.taken:  # the member has restarted
            transfer.sent = message.taken
        transfer.taken = message.taken
        transfer.sent = max(transfer.sent, transfer.taken)
        self._send(transfer)

    def _send(self, transfer: _Transfer) -> None:
        data = transfer.state.data
        while transfer.sent < len(data) and transfer.sent - transfer.taken < PARTS_IN_FLIGHT * PART_BYTES:
            part = CatchUpPart(
                sender=self._context.me.identity,
                receiver=transfer.member.identity,
                epoch=self._epoch,
                seq=transfer.state.seq,
                length=len(data),
                checksum=transfer.checksum,
                offset=transfer.sent,
                data=data[transfer.sent : transfer.sent + PART_BYTES],
            )
            transfer.sent += len(part.data)
            self._context.send(self._context.address(transfer.member), part)


@attrs.define(slots=True)
class _Assembly:
    """The part of a state that has been received."""

    seq: int
    length: int
    checksum: int
    data: bytearray = attrs.Factory(bytearray)

    def matches(self, part: CatchUpPart) -> bool:
        return (self.seq, self.length, self.checksum) == (part.seq, part.length, part.checksum)


class CatchUpReceiver:
    """The receiving side, at the member."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._assembly: _Assembly | None = None
        self.refused = 0  # invalid chunks, and states whose checksum does not match

    def receive(self, ip: str, part: CatchUpPart) -> bool:
        """Handles a chunk at a member outside the chain that lacks the state. Returns whether the state is
        now complete and installed."""
        context = self._context
        has_state = (context.synced, context.history.newest) >= (part.epoch, part.seq)
        if has_state or self._is_in_chain_of(part.epoch):
            return False
        state = self.add_part(ip, part)
        if state is None:
            return False
        context.history.replace(state.seq, state.data)
        context.disk.replace(state.seq, state.data)
        context.disk.set_meta(synced=part.epoch)
        return True

    def _is_in_chain_of(self, epoch: int) -> bool:
        view = self._context.view
        return view is not None and view.epoch == epoch and self._context.me.identity in view.chain

    def add_part(self, ip: str, part: CatchUpPart) -> Snapshot | None:
        """Adds a chunk and acknowledges it. Returns the state once it is complete."""
        if not self._is_valid(part):
            self.refused += 1
            return None
        if self._assembly is None or not self._assembly.matches(part):
            self._assembly = _Assembly(part.seq, part.length, part.checksum)
        data = self._assembly.data
        if part.offset == len(data):
            data += part.data
        self._acknowledge(ip, part, len(data))
        return self._completed(self._assembly) if len(data) == part.length else None

    def _is_valid(self, part: CatchUpPart) -> bool:
        context = self._context
        if part.epoch < context.epoch or part.seq < 0 or not 0 < part.length <= MAX_STATE_BYTES:
            return False
        return bool(part.data) and 0 <= part.offset <= part.length - len(part.data)

    def _completed(self, assembly: _Assembly) -> Snapshot | None:
        self._assembly = None
        if zlib.crc32(assembly.data) != assembly.checksum:
            self.refused += 1
            return None
        return Snapshot(assembly.seq, bytes(assembly.data))

    def _acknowledge(self, ip: str, part: CatchUpPart, taken: int) -> None:
        answer = CatchUpTaken(
            sender=self._context.me.identity,
            receiver=part.sender,
            epoch=part.epoch,
            seq=part.seq,
            checksum=part.checksum,
            taken=taken,
        )
        self._context.send(ip, answer)
