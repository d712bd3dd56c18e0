"""State shared by the parts of a replica: identity, disk, state machine, known view and pending effects."""

from __future__ import annotations

from random import Random

import attrs

from cloverrouter.coordination.disk import DiskQueue
from cloverrouter.coordination.effects import Effect, ReplicaConfig, ViewInfo
from cloverrouter.coordination.history import History
from cloverrouter.coordination.messages import Report
from cloverrouter.coordination.views import Member, View, encode_view
from cloverrouter.messages.sending import Send


@attrs.define(slots=True)
class Context:
    """State shared by the parts of one replica."""

    me: Member
    config: ReplicaConfig
    random: Random
    disk: DiskQueue
    history: History
    view: View | None  # the known view with the highest epoch
    effects: list[Effect] = attrs.Factory(list)
    addresses: dict[str, str] = attrs.Factory(dict)  # newest known address by member identity
    active_epoch: int = 0  # newest epoch whose head reported its view to be in force
    seen_epoch: int = 0  # highest epoch seen in any message
    round_epoch: int = 0  # of the newest heartbeat that counts; see `Follower.on_heartbeat`
    round: int = 0
    resigning: bool = False

    @property
    def epoch(self) -> int:
        """The promised epoch: this replica takes part in no lower one."""
        return self.disk.meta.promised

    @property
    def synced(self) -> int:
        """The epoch in which this replica received its state."""
        return self.disk.meta.synced

    @property
    def settled(self) -> bool:
        """Whether the known view is known to have been in force."""
        return self.disk.meta.settled

    def send(self, ip: str, message: object) -> None:
        """Queues a message to an address."""
        self.effects.append(Send(ip, message))

    def address(self, member: Member) -> str:
        """Returns the newest known address of a member."""
        return self.addresses.get(member.identity, member.ip)

    def learn_view(self, now: float, view: View | None, settled: bool) -> None:
        """Records a view that another replica knows. This creates no obligation to its head."""
        if view is None:
            return
        self.seen_epoch = max(self.seen_epoch, view.epoch)
        known = self.view.epoch if self.view is not None else 0
        if view.epoch > known:
            self.view = view
            facts = {"view": encode_view(view), "view_epoch": view.epoch}
            self.disk.set_meta_later(
                now, **facts, settled=settled or self._is_in_force(view), adoptable=False
            )
        elif view.epoch == known and settled and not self.settled:
            self.disk.set_meta_later(now, settled=True)

    def adopt_view(self, view: View, proposer: str, synced: bool) -> None:
        """Adopts a view sent by its head, and records its state as received if `synced`. To be stored at
        once."""
        self.seen_epoch = max(self.seen_epoch, view.epoch)
        settled = self._is_in_force(view)
        if self.view is not None and self.view.epoch == view.epoch:
            settled = settled or self.settled
        self.view = view
        self.disk.set_meta(
            promised=view.epoch,
            promised_to=proposer,
            view=encode_view(view),
            view_epoch=view.epoch,
            settled=settled,
            adoptable=False,
        )
        if synced:
            self.disk.set_meta(synced=view.epoch)

    def _is_in_force(self, view: View) -> bool:
        """Returns whether, as far as this replica knows, the view needs no promises of its old voters."""
        return not view.old_voters or view.epoch == self.active_epoch

    @property
    def has_long_state(self) -> bool:
        """Whether the state is so large that commands should not wait for its transfer."""
        return self.disk.state_bytes >= self.config.catch_up_bytes

    def report(self, now: float, ip: str, receiver: str) -> None:
        """Sends a report of this replica's durable state to a head."""
        durable = self.disk.durable
        message = Report(
            sender=self.me.identity,
            receiver=receiver,
            round_epoch=self.round_epoch,
            round=self.round,
            promised=self.epoch,
            view_epoch=durable.meta.view_epoch,
            synced=durable.meta.synced,
            seq=durable.seq,
            received_seq=self.history.newest,
            trouble_ms=int(self.disk.trouble_s(now) * 1000),
            resigning=self.resigning,
        )
        self.send(ip, message)


def view_info(context: Context, view: View, active: bool) -> ViewInfo:
    """Returns a view in the form that is published outside of the replica."""
    members = [member for member in map(view.voter, view.chain) if member is not None]
    head_ip = context.address(members[0]) if members else None
    return ViewInfo(view.epoch, view.voters, tuple(members), head_ip, active)
