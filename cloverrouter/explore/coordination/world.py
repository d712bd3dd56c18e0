"""The world of the model as a value: machines with their disks, what is under way, and what was found out."""

from __future__ import annotations

from typing import NamedTuple

from cloverrouter.coordination.views import Member
from cloverrouter.store import Record, StoredReplica

ZONES = ("east", "north", "west")
NAMES = "abcdefgh"


class Delivery(NamedTuple):
    """A message under way between two machines, by their places."""

    source: int
    target: int
    message: object


class Write(NamedTuple):
    """A record under way to a disk."""

    place: int
    token: int
    record: Record


Item = Delivery | Write


class Held(NamedTuple):
    """What is late, and since when."""

    item: Item
    since: int


class Cut(NamedTuple):
    """Directed pairs of places between which nothing passes, and until when."""

    pairs: frozenset[tuple[int, int]]
    until: int
    text: str


class Machine(NamedTuple):
    """A machine with a disk."""

    place: int
    disks: int  # how many it has lost
    disk: StoredReplica
    core: int | None  # its replica's state; None: its process is not there
    proposer: int | None  # of the first start
    back_at: int | None  # when its process starts
    committed: int  # told in this life
    held: frozenset[tuple[int, str]]  # orders by their numbers that were ever durable on this disk
    read: int  # the number that its last answered read told

    @property
    def member(self) -> Member:
        """This machine with this disk."""
        return Member(
            self.disk.identity, ip_of(self.place), NAMES[self.place], ZONES[self.place % len(ZONES)]
        )


class Ticket(NamedTuple):
    """A call that awaits its answer."""

    number: int
    place: int
    order: str  # empty: a read
    least: int  # was acknowledged when it was asked


class State:
    """A state of the world. Lists are copied by `copy` and never changed once the state was given out."""

    __slots__ = (
        "acknowledged", "buried", "cut", "first_voters", "held", "left", "log", "machines", "newest_only",
        "next_ticket", "orders_from", "queue", "spoken", "start", "step", "tickets", "views", "wrong",
    )  # fmt: skip

    def __init__(self) -> None:
        self.step = 0
        self.start = 0  # the step in which the search begins
        self.machines: list[Machine] = []
        self.queue: list[Item] = []  # in the order of the prompt schedule
        self.held: list[Held] = []
        self.cut: Cut | None = None
        self.left: dict[str, int] = {}  # how often each kind of trouble may still strike
        self.tickets: list[Ticket] = []
        self.next_ticket = 1
        self.log: dict[int, str] = {}  # which order each number is, as far as was told
        self.acknowledged: dict[str, int] = {}  # orders, and the numbers they were confirmed under
        self.buried: list[frozenset[tuple[int, str]]] = []  # what lost disks held
        self.views: dict[int, tuple[str, ...]] = {}  # chains of the views in force
        self.first_voters: frozenset[str] | None = None
        self.orders_from = 0  # the step before which no order comes
        self.newest_only = False  # orders go to the newest head only
        self.wrong: list[str] = []
        self.spoken: list[str] = []  # what the last step led to, for the timeline

    def copy(self) -> State:
        """The same, to be changed."""
        other = State.__new__(State)
        other.step, other.start, other.cut = self.step, self.start, self.cut
        other.machines, other.queue, other.held = self.machines[:], self.queue[:], self.held[:]
        other.left, other.tickets, other.next_ticket = self.left, self.tickets[:], self.next_ticket
        other.log, other.acknowledged = self.log, self.acknowledged
        other.buried, other.views, other.first_voters = self.buried, self.views, self.first_voters
        other.newest_only = self.newest_only
        other.orders_from, other.wrong, other.spoken = self.orders_from, [], []
        return other

    @property
    def newest_acknowledged(self) -> int:
        """The highest number that a client knows of."""
        return max(self.acknowledged.values(), default=0)


def ip_of(place: int) -> str:
    """A machine's address."""
    return f"10.0.0.{place + 1}"


def place_of(ip: str) -> int:
    """The machine at an address."""
    return int(ip.rpartition(".")[2]) - 1


def identity_of(place: int, disks: int) -> str:
    """The identity of a machine's disk, when it has lost so many before."""
    return f"{(disks + 1) * 256 + place + 1:016x}"


def name_of(identity: str) -> str:
    """A disk in a history: the machine's letter, with a mark for each disk that it has lost."""
    number = int(identity, 16)
    return NAMES[number % 256 - 1] + "'" * (number // 256 - 1)
