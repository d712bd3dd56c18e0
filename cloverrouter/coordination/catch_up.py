"""A long state goes to a member outside the chain in parts, while the chain goes on taking orders.

A member of the chain must hold the whole state before its view is in force, so orders wait for a state that
is handed over to one. A long one goes in parts beforehand to those that are about to join; what the chain
decides meanwhile follows as updates when they do.

The state after update `seq` of one epoch is one content, whoever sends it: a member that has a part of it
goes on from there with the next head, too. Taken whole it counts as the state of that epoch, as an `Install`
does.
"""

from __future__ import annotations

import zlib

import attrs

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import CatchUpPart, CatchUpTaken
from cloverrouter.coordination.views import Member
from cloverrouter.store import Snapshot

PART_BYTES = 64 * 1024
PARTS_IN_FLIGHT = 2  # so much may stand before an order on a slow link
RESEND_S = 0.5
MOST_ROUNDS = 3  # whole states to one member; after that it is taken into the chain, and orders wait for it
LONGEST_STATE_BYTES = 64 * 1024 * 1024


@attrs.define(slots=True)
class _Transfer:
    """One state on its way to one member."""

    member: Member
    state: Snapshot
    checksum: int
    taken: int = 0  # bytes that the member has
    sent: int = 0
    progress_at: float = 0.0


@attrs.frozen(slots=True)
class Progress:
    """How far a member is: bytes of the state that it is handed, and how often it was handed one."""

    name: str
    taken: int
    length: int
    round: int


class CatchUpSender:
    """The head's part: one member at a time."""

    def __init__(self, context: Context, epoch: int) -> None:
        self._context = context
        self._epoch = epoch
        self._transfer: _Transfer | None = None
        self._rounds: dict[str, int] = {}

    @property
    def progress(self) -> Progress | None:
        """Of the transfer under way."""
        found = self._transfer
        if found is None:
            return None
        name, length = found.member.name, len(found.state.data)
        return Progress(name, found.taken, length, self._rounds[found.member.identity])

    def may_wait(self, identity: str) -> bool:
        """Whether a member is to be handed its state in parts: not for ever, where changes are faster."""
        return self._rounds.get(identity, 0) <= MOST_ROUNDS

    def tick(self, now: float, wanted: list[Member]) -> None:
        """`wanted`: the members that lack the whole state and should have it."""
        transfer = self._transfer
        if transfer is not None and transfer.member not in wanted:
            self._transfer = transfer = None
        if transfer is None:
            if wanted:
                self._begin(now, wanted[0])
        elif now - transfer.progress_at >= RESEND_S:
            self._go_on(now, transfer)

    def _go_on(self, now: float, transfer: _Transfer) -> None:
        """Nothing was heard for a while: parts were lost, or the changes since are too many by now."""
        if transfer.taken == len(transfer.state.data):
            self._begin(now, transfer.member)
            return
        transfer.sent = transfer.taken
        transfer.progress_at = now
        self._send(transfer)

    def _begin(self, now: float, member: Member) -> None:
        self._transfer = None
        self._rounds[member.identity] = self._rounds.get(member.identity, 0) + 1
        if not self.may_wait(member.identity):
            return
        state = self._context.history.snapshot()
        self._transfer = _Transfer(member, state, zlib.crc32(state.data), progress_at=now)
        self._send(self._transfer)

    def taken(self, now: float, message: CatchUpTaken) -> None:
        """The member tells how much it has."""
        transfer = self._transfer
        if transfer is None or message.epoch != self._epoch:
            return
        is_of_this = (message.sender, message.seq, message.checksum) == (
            transfer.member.identity,
            transfer.state.seq,
            transfer.checksum,
        )
        if not is_of_this or not 0 <= message.taken <= len(transfer.state.data):
            return
        if message.taken != transfer.taken:
            transfer.progress_at = now
        if message.taken < transfer.taken:  # it has begun anew
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
    """What has come of a state."""

    seq: int
    length: int
    checksum: int
    data: bytearray = attrs.Factory(bytearray)

    def is_of(self, part: CatchUpPart) -> bool:
        return (self.seq, self.length, self.checksum) == (part.seq, part.length, part.checksum)


class CatchUpReceiver:
    """The member's part."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._assembly: _Assembly | None = None
        self.refused = 0  # parts that fit nothing, and whole states with a wrong checksum

    def receive(self, ip: str, part: CatchUpPart) -> bool:
        """A part of the state, for a member outside the chain that does not have it yet. Gives whether the
        state is whole now, and this member's."""
        context = self._context
        has_it = (context.synced, context.history.newest) >= (part.epoch, part.seq)
        if has_it or self._is_in_chain_of(part.epoch):
            return False
        state = self.take(ip, part)
        if state is None:
            return False
        context.history.replace(state.seq, state.data)
        context.disk.replace(state.seq, state.data)
        context.disk.change(synced=part.epoch)
        return True

    def _is_in_chain_of(self, epoch: int) -> bool:
        view = self._context.view
        return view is not None and view.epoch == epoch and self._context.me.identity in view.chain

    def take(self, ip: str, part: CatchUpPart) -> Snapshot | None:
        """A part has come. Gives the state once it is whole."""
        if not self._is_sensible(part):
            self.refused += 1
            return None
        if self._assembly is None or not self._assembly.is_of(part):
            self._assembly = _Assembly(part.seq, part.length, part.checksum)
        data = self._assembly.data
        if part.offset == len(data):
            data += part.data
        self._tell(ip, part, len(data))
        return self._whole(self._assembly) if len(data) == part.length else None

    def _is_sensible(self, part: CatchUpPart) -> bool:
        context = self._context
        if part.epoch < context.epoch or part.seq < 0 or not 0 < part.length <= LONGEST_STATE_BYTES:
            return False
        return bool(part.data) and 0 <= part.offset <= part.length - len(part.data)

    def _whole(self, assembly: _Assembly) -> Snapshot | None:
        self._assembly = None
        if zlib.crc32(assembly.data) != assembly.checksum:
            self.refused += 1
            return None
        return Snapshot(assembly.seq, bytes(assembly.data))

    def _tell(self, ip: str, part: CatchUpPart, taken: int) -> None:
        answer = CatchUpTaken(
            sender=self._context.me.identity,
            receiver=part.sender,
            epoch=part.epoch,
            seq=part.seq,
            checksum=part.checksum,
            taken=taken,
        )
        self._context.send(ip, answer)
