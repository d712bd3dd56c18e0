"""Messages between replicas count only for the right disk, epoch and election, and from the right sender.
Messages from an earlier process, or for a machine whose disk was lost, may arrive late and are dropped."""

from __future__ import annotations

import pytest

from cloverrouter.coordination.messages import (
    Forward,
    Promise,
    Propose,
    Refused,
    Report,
    State,
    Stored,
    Support,
)
from cloverrouter.coordination.proposal import Phase, Proposal
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.views import View
from cloverrouter.messages.sending import Send
from tests.system.replica_world import Node, World

FAR = 1 << 40
OTHER_DISK = "0" * 16


class Chain:
    """Three replicas with a head, without faults."""

    def __init__(self) -> None:
        self.world = World(1, 3, 1)
        self.world.run(3)
        self.head = self._found(self.world.head())
        assert self.head.replica is not None and self.head.replica._head is not None
        self.view: View = self.head.replica._head.view
        self.middle, self.tail = (self.of(identity) for identity in self.view.chain[1:])

    @staticmethod
    def _found(node: Node | None) -> Node:
        assert node is not None
        return node

    def of(self, identity: str) -> Node:
        return next(node for node in self.world.nodes if node.member.identity == identity)

    def deliver(self, to: Node, sender: Node, message: object) -> list[object]:
        """Delivers a message; returns its effects."""
        return list(replica_of(to).receive(self.world.now, sender.ip, message))

    def proposer(self, phase: Phase) -> tuple[Node, Proposal]:
        """Returns a node other than the head with an election in this phase."""
        self.world.kill(self.head)
        found: list[tuple[Node, Proposal]] = []

        def goes_on() -> bool:
            for node in self.world.nodes:
                proposal = node.replica._proposal if node.replica is not None else None
                if proposal is not None and proposal.phase is phase:
                    found.append((node, proposal))
            return not found

        assert self.world.run_while(goes_on, 5)
        return found[0]


@pytest.fixture
def chain() -> Chain:
    return Chain()


def replica_of(node: Node) -> Replica:
    assert node.replica is not None
    return node.replica


def identity_of(node: Node) -> str:
    return node.member.identity


def test_what_was_meant_for_a_lost_disk_is_not_taken_by_the_next_one(chain: Chain) -> None:
    """A prepare request to the old disk's identity is not answered by the new disk. One to its own identity
    is refused, as the head is healthy."""
    for receiver, is_answered in ((OTHER_DISK, False), (identity_of(chain.middle), True)):
        propose = Propose(identity_of(chain.tail), receiver, chain.view.epoch + FAR)
        effects = chain.deliver(chain.middle, chain.tail, propose)
        told = [effect.message for effect in effects if isinstance(effect, Send)]
        assert any(isinstance(message, Refused) for message in told) is is_answered


def test_only_the_predecessor_tells_what_is_stored_before_it(chain: Chain) -> None:
    follower = replica_of(chain.middle)._follower
    before = follower._upstream_stored_seq
    chain.deliver(
        chain.middle,
        chain.tail,
        Stored(identity_of(chain.tail), identity_of(chain.middle), chain.view.epoch, FAR),
    )
    assert follower._upstream_stored_seq == before
    chain.deliver(
        chain.middle,
        chain.head,
        Stored(identity_of(chain.head), identity_of(chain.middle), chain.view.epoch, FAR),
    )
    assert follower._upstream_stored_seq == FAR


def test_updates_of_another_epoch_are_not_taken(chain: Chain) -> None:
    history = replica_of(chain.middle)._context.history
    newest = history.newest
    epoch = chain.view.epoch
    for told, is_taken in ((epoch - 1, False), (epoch + FAR, False), (epoch, True)):
        update = b'{"id": "x", "version": %d, "value": "v"}' % (newest + 1)
        forward = Forward(
            identity_of(chain.head), identity_of(chain.middle), told, newest + 1, (update,), 0, 0
        )
        chain.deliver(chain.middle, chain.head, forward)
        assert (history.newest > newest) is is_taken


def report(chain: Chain, epoch: int, number: int) -> Report:
    return Report(
        sender=identity_of(chain.middle),
        receiver=identity_of(chain.head),
        round_epoch=epoch,
        round=number,
        promised=chain.view.epoch,
        view_epoch=chain.view.epoch,
        synced=chain.view.epoch,
        seq=0,
        received_seq=0,
        trouble_ms=0,
        resigning=False,
    )


def test_a_round_is_confirmed_by_answers_of_its_epoch_only(chain: Chain) -> None:
    head = replica_of(chain.head)._head
    assert head is not None
    number = head.rounds.begin(chain.world.now, is_fit=True)
    chain.deliver(chain.head, chain.middle, report(chain, chain.view.epoch - 1, number))
    assert head.rounds.confirmed < number
    chain.deliver(chain.head, chain.middle, report(chain, chain.view.epoch, number))
    assert head.rounds.confirmed == number


def test_promises_of_another_epoch_do_not_count(chain: Chain) -> None:
    """Such promises belong to an earlier election, of this process or the one before."""
    node, proposal = chain.proposer(Phase.COLLECTING)
    other = chain.middle if node is chain.tail else chain.tail
    proposal.promises.pop(identity_of(other), None)
    late = Promise(identity_of(other), identity_of(node), proposal.epoch - 1, 0, 0, None, True)
    chain.deliver(node, other, late)
    assert identity_of(other) not in proposal.promises


def test_support_for_another_try_does_not_count(chain: Chain) -> None:
    node, proposal = chain.proposer(Phase.PRE_VOTE)
    other = chain.middle if node is chain.tail else chain.tail
    late = Support(identity_of(other), identity_of(node), proposal._attempt - 1, True, 0, None, True)
    chain.deliver(node, other, late)
    assert proposal.phase is Phase.PRE_VOTE
    chain.deliver(
        node, other, Support(identity_of(other), identity_of(node), proposal._attempt, True, 0, None, True)
    )
    assert proposal.phase is not Phase.PRE_VOTE


@pytest.mark.parametrize("what", ["epoch", "sender"])
def test_a_state_is_taken_from_whom_it_was_asked_of_in_this_try(chain: Chain, what: str) -> None:
    node, proposal = chain.proposer(Phase.COLLECTING)
    other = chain.middle if node is chain.tail else chain.tail
    synced = proposal.promises[identity_of(node)].synced + 1  # newer than this replica's own
    promise = Promise(identity_of(other), identity_of(node), proposal.epoch, synced, 7, None, True)
    proposal.phase, proposal._source = Phase.FETCHING, promise
    proposal.promises[identity_of(other)] = promise
    history = replica_of(node)._context.history
    before = history.newest
    sender = chain.head if what == "sender" else other
    epoch = proposal.epoch - (what == "epoch")
    proposal.on_state(State(identity_of(sender), identity_of(node), epoch, synced, 7, b'[7, "v", {}]'))
    assert proposal.phase is Phase.FETCHING
    assert history.newest == before
    proposal.on_state(
        State(identity_of(other), identity_of(node), proposal.epoch, synced, 7, b'[7, "v", {}]')
    )
    assert history.newest == 7
