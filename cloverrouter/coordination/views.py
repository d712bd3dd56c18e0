"""The membership view: who votes, who is in the chain, and what makes a quorum."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.messages import Decoder, encode, message, nested

# The low bits of an epoch are its proposer's, so that no two proposers ever choose the same.
PROPOSER_BITS = 16
GENESIS_EPOCH = 1


@nested
class Member:
    """A disk that takes part, and the machine it is in. A wiped machine is another member."""

    identity: str
    ip: str
    name: str
    zone: str


@message(100)
class View:
    """Who votes and who is in the chain, from an epoch on."""

    epoch: int
    voters: tuple[Member, ...]
    chain: tuple[str, ...]  # identities, head first; empty in the view of the first start
    # The voters of the view before if these were others. Until the view is known to have been in force, a
    # quorum needs a majority of them, too.
    old_voters: tuple[Member, ...]

    @property
    def head(self) -> str | None:
        """Identity of the head."""
        return self.chain[0] if self.chain else None

    def voter(self, identity: str) -> Member | None:
        """The voter of that identity."""
        for member in self.voters:
            if member.identity == identity:
                return member
        return None

    def electorate(self, settled: bool) -> tuple[Member, ...]:
        """All whose promise may count: the voters, and the old ones while the view isn't settled."""
        if settled:
            return self.voters
        known = {member.identity for member in self.voters}
        return self.voters + tuple(member for member in self.old_voters if member.identity not in known)

    def has_quorum(self, identities: Iterable[str], settled: bool) -> bool:
        """Whether these are a majority of the voters, and of the old ones where that is needed."""
        present = set(identities)
        if not is_majority(self.voters, present):
            return False
        return settled or not self.old_voters or is_majority(self.old_voters, present)


def majority(count: int) -> int:
    """How many of `count` are more than half of them."""
    return count // 2 + 1


def is_majority(voters: tuple[Member, ...], identities: set[str]) -> bool:
    """Whether the identities contain more than half of the voters."""
    present = sum(1 for member in voters if member.identity in identities)
    return present >= majority(len(voters))


def least_chain(count: int, tolerance: int) -> int:
    """The shortest chain that `count` voters may have: it holds every update on more disks than may be lost,
    and every majority of the voters meets it."""
    return min(count, max(tolerance + 1, count - majority(count) + 1))


def next_epoch(above: int, identity: str) -> int:
    """The lowest epoch over `above` that belongs to a proposer."""
    counter = (above >> PROPOSER_BITS) + 1
    return counter << PROPOSER_BITS | int(identity, 16) & ((1 << PROPOSER_BITS) - 1)


def chain_order(head: Member, others: Iterable[Member]) -> tuple[str, ...]:
    """The order of a chain: the head, then members of other zones than its own, each zone in turn."""
    ordered = sorted(others, key=lambda member: (member.zone == head.zone, member.zone, member.identity))
    return (head.identity, *(member.identity for member in ordered if member.identity != head.identity))


def standing_order(view: View) -> tuple[str, ...]:
    """The voters in the order in which they stand up when the head is silent."""
    others = sorted(
        (member for member in view.voters if member.identity not in view.chain),
        key=lambda member: (member.zone, member.identity),
    )
    return view.chain[1:] + tuple(member.identity for member in others)


def encode_view(view: View) -> bytes:
    """A view as it is stored."""
    return encode(view)


def decode_view(data: bytes) -> View | None:
    """A stored view. Raises MessageError."""
    for found in Decoder().feed(data):
        if isinstance(found, View):
            return found
    return None
