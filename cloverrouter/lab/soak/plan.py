"""The plan of a soak run, drawn from a seed: the machines and their schedule of faults. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from random import Random

import attrs

from cloverrouter.lab.fleet.registration import Departure

SHAPES = ((3, 1), (3, 1), (5, 2), (6, 2))  # machines with a disk, and how many may be lost at once
MEAN_SERIES_GAP_S = 1.6  # mean time between the starts of two series
MEAN_DEPARTURE_GAP_S = 8.0  # mean time between the departures of two servers
MAX_SERIES_LENGTH = 6
SERIES_GAPS_S = (0.0, 0.02, 0.1, 0.3, 0.8)
FREEZE_TIMES_S = (0.3, 0.9, 2.0, 5.0)
RESTART_PAUSES_S = (0.05, 0.2, 1.0)  # between the end of a process and its next start


class Act(Enum):
    """A kind of fault of a machine's process."""

    HUP = "hup"  # the settings file is rewritten, then SIGHUP
    TERM = "term"  # SIGTERM; restarted after its end
    KILL = "kill"  # SIGKILL; restarted
    FREEZE = "freeze"  # SIGSTOP, then SIGCONT after a pause
    WIPE = "wipe"  # SIGKILL; restarted with an empty disk
    KILL_ALL = "kill-all"  # all machines with a disk at once
    RESTART_HUP = "restart-hup"  # SIGKILL; SIGHUP shortly after the restart


SERIES = (
    Act.HUP, Act.HUP, Act.HUP, Act.TERM, Act.TERM, Act.TERM, Act.KILL, Act.KILL, Act.FREEZE,
    Act.RESTART_HUP, Act.KILL_ALL,
)  # fmt: skip
"""The kinds of series; repetition sets the weight of a draw."""


@attrs.frozen(slots=True)
class Shape:
    """The machines of a run: `disks` machines have a disk; `lost_at_once` of these may be lost at once."""

    disks: int
    others: int
    lost_at_once: int

    @property
    def size(self) -> int:
        """Returns the number of machines."""
        return self.disks + self.others


@attrs.frozen(slots=True)
class Fault:
    """One scheduled fault. `machine_index` counts the machines with a disk first.

    `amount`, in seconds: the length of a freeze, or the delay of SIGHUP after a restart.
    """

    at_s: float
    act: Act
    machine_index: int
    amount: float = 0.0


@attrs.frozen(slots=True)
class Plan:
    """A whole run. Faults are in the order of time."""

    seed: int
    shape: Shape
    seconds: float
    faults: tuple[Fault, ...]
    pause_s: float  # between the end of a process and its next start
    ends_with_kill_all: bool  # all processes are killed right after an acknowledged change
    last_departure: Departure  # of a server, right before that
    departures: tuple[tuple[float, Departure], ...] = ()  # of other servers, with their times


def plan(seed: int, seconds: float, machines: int | None = None) -> Plan:
    """Returns the plan for a seed; `machines` overrides the drawn number of machines."""
    random = Random(f"soak {seed}")
    shape = _draw_shape(random, machines)
    faults = sorted(_draw_faults(random, shape, seconds), key=lambda fault: fault.at_s)
    pause_s = random.choice(RESTART_PAUSES_S)
    ends_with_kill_all = random.random() < 0.5
    departures = Random(f"soak departures {seed}")  # leaves the other draws as they were
    return Plan(
        seed,
        shape,
        seconds,
        tuple(faults),
        pause_s,
        ends_with_kill_all,
        departures.choice(tuple(Departure)),
        tuple(_draw_departures(departures, seconds)),
    )


def _draw_departures(random: Random, seconds: float) -> Iterator[tuple[float, Departure]]:
    at_s = random.expovariate(1 / MEAN_DEPARTURE_GAP_S)
    while at_s < seconds:
        yield at_s, random.choice(tuple(Departure))
        at_s += random.expovariate(1 / MEAN_DEPARTURE_GAP_S)


def _draw_shape(random: Random, machines: int | None) -> Shape:
    disks, lost_at_once = random.choice(SHAPES)
    if machines is None:
        return Shape(disks, random.randint(1, 6), lost_at_once)
    return Shape(min(disks, machines), max(0, machines - disks), lost_at_once)


def _draw_faults(random: Random, shape: Shape, seconds: float) -> Iterator[Fault]:
    at_s = random.uniform(0.0, MEAN_SERIES_GAP_S)
    while at_s < seconds:
        yield from _draw_series(random, shape, at_s, seconds)
        at_s += random.expovariate(1 / MEAN_SERIES_GAP_S)
    # A repair takes time, so a whole run loses no more disks than may be lost at once.
    for machine_index in random.sample(range(shape.disks), random.randint(0, shape.lost_at_once)):
        yield Fault(random.uniform(0.0, seconds), Act.WIPE, machine_index)


def _draw_series(random: Random, shape: Shape, at_s: float, seconds: float) -> Iterator[Fault]:
    """Yields the same fault several times, at one machine or at a random machine each time."""
    act = random.choice(SERIES)
    count = 1 if act is Act.KILL_ALL else random.randint(1, MAX_SERIES_LENGTH)
    gap_s = random.choice(SERIES_GAPS_S)
    fixed_index = random.randrange(shape.size) if random.random() < 0.5 else None
    for number in range(count):
        fault_at_s = at_s + number * gap_s
        if fault_at_s < seconds:
            machine_index = random.randrange(shape.size) if fixed_index is None else fixed_index
            yield Fault(fault_at_s, act, machine_index, _draw_amount(random, act))


def _draw_amount(random: Random, act: Act) -> float:
    if act is Act.FREEZE:
        return random.choice(FREEZE_TIMES_S)
    return random.uniform(0.0, 0.6) if act is Act.RESTART_HUP else 0.0
