"""The state of the replica model: machines and disks, messages and writes in flight, and observations."""

from __future__ import annotations

from typing import NamedTuple

from cloverrouter.coordination.views import Member
from cloverrouter.store import Record, StoredReplica

ZONES = ("east", "north", "west")
NAMES = "abcdefgh"


class Delivery(NamedTuple):
    """A message in flight between two machines, given by their positions in `State.machines`."""

    source: int
    target: int
    message: object


class Write(NamedTuple):
    """A disk write in progress."""

    position: int
    token: int
    record: Record


Item = Delivery | Write


class DelayedItem(NamedTuple):
    """A held-back message or write, and the step since which it is held back."""

    item: Item
    since: int


class Partition(NamedTuple):
    """A network partition: directed pairs of machine positions, and the step at which it ends."""

    links: frozenset[tuple[int, int]]
    until: int
    text: str


class Machine(NamedTuple):
    """A machine with its disk and, while it runs, its process."""

    position: int
    lost_disks: int  # number of disks that this machine has lost
    disk: StoredReplica
    core: int | None  # number of the replica's state in `CoreStates`; None: the process is down
    proposer: int | None  # state of the genesis proposer; None: it takes no part
    restart_at: int | None  # step at which the process starts again
    committed: int  # highest sequence number reported as committed since the process started
    durable_orders: frozenset[tuple[int, str]]  # orders that were ever durable on this disk
    last_read: int  # sequence number returned by its last answered read

    @property
    def member(self) -> Member:
        """The membership entry of this machine with its current disk."""
        return Member(
            self.disk.identity, ip_of(self.position), NAMES[self.position], ZONES[self.position % len(ZONES)]
        )


class Ticket(NamedTuple):
    """A client call that awaits its answer."""

    number: int
    position: int
    order: str  # empty for a read
    min_seq: int  # highest sequence number that was acknowledged when the call was made


class State:
    """A state of the model. `copy` copies the lists; a state that was returned is never modified."""

    __slots__ = (
        "acknowledged",
        "delayed",
        "first_voters",
        "known_orders",
        "lost_disk_orders",
        "machines",
        "newest_only",
        "next_ticket",
        "notes",
        "orders_from_step",
        "partition",
        "queue",
        "remaining_faults",
        "start_step",
        "step",
        "tickets",
        "views",
        "violations",
    )  # fmt: skip

    def __init__(self) -> None:
        self.step = 0
        self.start_step = 0  # the step at which the search starts
        self.machines: list[Machine] = []
        self.queue: list[Item] = []  # in the order of the prompt schedule (see `ReplicaModel`)
        self.delayed: list[DelayedItem] = []
        self.partition: Partition | None = None
        self.remaining_faults: dict[str, int] = {}  # how often each kind of fault may still occur
        self.tickets: list[Ticket] = []
        self.next_ticket = 1
        self.known_orders: dict[int, str] = {}  # order by sequence number, as reported so far
        self.acknowledged: dict[str, int] = {}  # confirmed orders with their sequence numbers
        self.lost_disk_orders: list[frozenset[tuple[int, str]]] = []  # orders on disks that were lost
        self.views: dict[int, tuple[str, ...]] = {}  # chain of each view in force, by epoch
        self.first_voters: frozenset[str] | None = None
        self.orders_from_step = 0  # the step before which clients send no orders
        self.newest_only = False  # clients send orders only to the head of the newest epoch
        self.violations: list[str] = []
        self.notes: list[str] = []  # results of the last step, for the timeline

    def copy(self) -> State:
        """Returns a copy that may be modified, without violations and notes."""
        other = State.__new__(State)
        other.step, other.start_step, other.partition = self.step, self.start_step, self.partition
        other.machines, other.queue, other.delayed = self.machines[:], self.queue[:], self.delayed[:]
        other.remaining_faults, other.tickets, other.next_ticket = (
            self.remaining_faults,
            self.tickets[:],
            self.next_ticket,
        )
        other.known_orders, other.acknowledged = self.known_orders, self.acknowledged
        other.lost_disk_orders, other.views, other.first_voters = (
            self.lost_disk_orders,
            self.views,
            self.first_voters,
        )
        other.newest_only = self.newest_only
        other.orders_from_step, other.violations, other.notes = self.orders_from_step, [], []
        return other

    @property
    def newest_acknowledged(self) -> int:
        """The highest sequence number that was confirmed to a client."""
        return max(self.acknowledged.values(), default=0)


def ip_of(position: int) -> str:
    """Returns the IP address of a machine."""
    return f"10.0.0.{position + 1}"


def position_of(ip: str) -> int:
    """Returns the position of the machine with an IP address."""
    return int(ip.rpartition(".")[2]) - 1


def identity_of(position: int, lost_disks: int) -> str:
    """Returns the identity of a machine's disk after it has lost the given number of disks."""
    return f"{(lost_disks + 1) * 256 + position + 1:016x}"


def disk_name(identity: str) -> str:
    """Returns the name of a disk in a history: the machine's letter, with a prime for each lost disk."""
    number = int(identity, 16)
    return NAMES[number % 256 - 1] + "'" * (number // 256 - 1)
