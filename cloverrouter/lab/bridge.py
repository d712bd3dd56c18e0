"""One bridge server as a model: what it does with the work it is given. No I/O, no clock, no draws.

Requests in work share the cores evenly (processor sharing). That is reckoned in virtual time: each request
in work gets the same service a millisecond, so one that needs `w` ends when the virtual clock has gone on by
`w`, whatever else comes and goes; the clock's pace follows from how many there are.

Times are milliseconds, work is in milliseconds of one core of speed 1.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush


@dataclass(frozen=True, slots=True)
class Shape:
    """What kind of machine it is."""

    cores: int = 4
    speed: float = 1.0
    slots: int = 64  # requests in work at most
    room: int = 128  # and waiting; what comes beyond is turned away
    cold_share: float = 0.12  # of its capacity, when it has just started
    cold_ms: float = 0.0  # until it is warm; 0: it is warm at once
    fall_multiple: float = 3.0  # cold, it falls over if sent more than this multiple of what it can do
    fall_ms: float = 2000.0  # for this long
    choke_waiting: float = 0.0  # requests held a core, above which it gets crowded; 0: never
    choke_after_ms: float = 2000.0
    choke_factor: float = 2.5  # so many times slower it is then
    choke_rest_ms: float = 3500.0  # until it has been mostly idle for so long
    memory_keys: int = 200  # keys met lately that it remembers
    memory_ms: float = 5000.0
    memory_saves: float = 0.0  # the part of a request's work that a remembered key spares
    connections: int = 450
    handshake: float = 2.0  # work for a new connection
    probe: float = 0.6  # work for a probe


class Verdict(Enum):
    TAKEN = "taken"  # it ends later, by `advance`
    FULL = "full"  # turned away unseen
    ERROR = "error"  # fails fast
    DROPPED = "dropped"  # a repeat of what its bay has seen lately
    DOWN = "down"  # nobody is there


@dataclass(slots=True)
class Job:
    """A request in work, or waiting for it."""

    id: int
    work: float
    key: str | None
    began_ms: float = 0.0
    ends_at: float = 0.0  # on the virtual clock
    cancelled: bool = False


class Bay:
    """Servers that know of each other's keyed requests, and drop a repeat for a while."""

    def __init__(self, window_ms: float = 10_000.0) -> None:
        self.window_ms = window_ms
        self._met: OrderedDict[str, float] = OrderedDict()

    def repeats(self, now_ms: float, key: str) -> bool:
        """Has this been met lately? If not, it counts as met from now on."""
        while self._met and now_ms - next(iter(self._met.values())) > self.window_ms:
            self._met.popitem(last=False)
        if key in self._met:
            return True
        self._met[key] = now_ms
        return False


@dataclass(slots=True)
class Totals:
    """What a server has done since it was made."""

    taken: int = 0
    full: int = 0
    errors: int = 0
    dropped: int = 0
    done: int = 0
    work: float = 0.0  # of all that it has ended
    wasted: float = 0.0  # of that, for requests that nobody waited for any more
    fell: int = 0
    choked_ms: float = 0.0


@dataclass(slots=True)
class Bridge:
    """A server's state. `advance` first, then whatever happens at that time."""

    name: str
    shape: Shape
    bay: Bay | None = None
    started_ms: float | None = None  # None: long ago, and warm
    drops_waiting: bool = False  # cancelled work that still waits is dropped
    up: bool = True
    taken_share: float = 0.0  # of the machine, by a neighbour
    error_share: float = 0.0  # of requests that fail fast
    totals: Totals = field(default_factory=Totals)
    connections: int = 0
    _virtual: float = 0.0
    _at_ms: float = 0.0
    _work: list[tuple[float, int]] = field(default_factory=list)  # (virtual end, id), a heap
    _jobs: dict[int, Job] = field(default_factory=dict)
    _waiting: deque[int] = field(default_factory=deque)
    _in_work: int = 0
    _met: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _choked: bool = False
    _crowded_since_ms: float | None = None
    _idle_since_ms: float | None = None
    _latency_ms: float = 0.0
    _busy: float = 0.0  # smoothed share of the cores in use
    _pushed: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) while cold
    _own: int = -1  # ids of its own work: handshakes and probes

    # What it can do now

    def warmth(self, now_ms: float) -> float:
        """The share of its capacity that it has."""
        if self.started_ms is None or self.shape.cold_ms <= 0:
            return 1.0
        age = min(1.0, max(0.0, now_ms - self.started_ms) / self.shape.cold_ms)
        return self.shape.cold_share + (1 - self.shape.cold_share) * age

    def capacity(self, now_ms: float) -> float:
        """Work a millisecond, with all cores in use."""
        shape = self.shape
        power = shape.cores * shape.speed * (1 - self.taken_share) * self.warmth(now_ms)
        return power / shape.choke_factor if self._choked else power

    def _pace(self, now_ms: float) -> float:
        """Work a millisecond that each request in work gets."""
        if not self._in_work:
            return 0.0
        return self.capacity(now_ms) * min(1.0, self._in_work / self.shape.cores) / self._in_work

    @property
    def held(self) -> int:
        """Requests in work and waiting."""
        return self._in_work + len(self._waiting)

    # Time

    def advance(self, now_ms: float) -> list[Job]:
        """Let time pass; the requests that ended in it, in that order, cancelled ones too.

        Raises ValueError if time runs backwards.
        """
        if now_ms < self._at_ms - 1e-9:
            raise ValueError(f"{self.name}: time ran backwards: {now_ms} after {self._at_ms}")
        ended: list[Job] = []
        while self.up:
            due_ms = self.next_ms()
            if due_ms is None or due_ms > now_ms:
                break
            self._pass(due_ms)
            virtual, job_id = heappop(self._work)
            self._virtual = max(self._virtual, virtual)
            ended.append(self._end(due_ms, job_id))
        self._pass(now_ms)
        self._mood(now_ms)
        return [job for job in ended if job.id >= 0]

    def next_ms(self) -> float | None:
        """When the next request ends, if nothing changes; None if nothing is in work."""
        if not self._work or not self.up:
            return None
        pace = self._pace(self._at_ms)
        left = max(0.0, self._work[0][0] - self._virtual)
        return self._at_ms + left / pace if pace > 0 else None

    @property
    def at_ms(self) -> float:
        """The time up to which it has been advanced."""
        return self._at_ms

    def restart_clock(self) -> None:
        """The clock begins anew at 0. Only for a server on which nothing is."""
        if self._jobs:
            raise ValueError(f"{self.name}: there is work on it")
        self._at_ms = 0.0

    def _pass(self, now_ms: float) -> None:
        span_ms = now_ms - self._at_ms
        if span_ms <= 0:
            return
        self._virtual += self._pace(self._at_ms) * span_ms
        used = min(1.0, self._in_work / self.shape.cores)
        keep = 0.5 ** (span_ms / 200.0)
        self._busy = keep * self._busy + (1 - keep) * used
        if self._choked:
            self.totals.choked_ms += span_ms
        self._at_ms = now_ms

    def _mood(self, now_ms: float) -> None:
        """Far more held than there are cores, for a while, makes it slow, until it has rested."""
        shape = self.shape
        if not shape.choke_waiting:
            return
        if self.held > shape.choke_waiting * shape.cores:
            self._idle_since_ms = None
            if self._crowded_since_ms is None:
                self._crowded_since_ms = now_ms
            elif now_ms - self._crowded_since_ms >= shape.choke_after_ms:
                self._choked = True
            return
        self._crowded_since_ms = None
        if self.held > shape.cores / 2:
            self._idle_since_ms = None
        elif self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        elif now_ms - self._idle_since_ms >= shape.choke_rest_ms:
            self._choked = False

    # Work

    def offer(self, now_ms: float, job: Job, error_draw: float, repeat_key: str | None = None) -> Verdict:
        """A whole request has come. `error_draw` is from 0 to 1; `repeat_key` is by what its bay knows it."""
        if not self.up:
            return Verdict.DOWN
        if repeat_key is not None and self.bay is not None and self.bay.repeats(now_ms, repeat_key):
            self.totals.dropped += 1
            return Verdict.DROPPED
        if self.error_share and error_draw < self.error_share:
            self.totals.errors += 1
            return Verdict.ERROR
        if self._in_work >= self.shape.slots and len(self._waiting) >= self.shape.room:
            self.totals.full += 1
            return Verdict.FULL
        if job.key is not None and self._remembers(now_ms, job.key):
            job.work *= 1 - self.shape.memory_saves
        if self._push(now_ms, job.work):
            return Verdict.DOWN
        self.totals.taken += 1
        self._jobs[job.id] = job
        if self._in_work < self.shape.slots:
            self._begin(now_ms, job)
        else:
            self._waiting.append(job.id)
        self._mood(now_ms)
        return Verdict.TAKEN

    def _remembers(self, now_ms: float, key: str) -> bool:
        met_ms = self._met.pop(key, None)
        self._met[key] = now_ms
        if len(self._met) > self.shape.memory_keys:
            self._met.popitem(last=False)
        return met_ms is not None and now_ms - met_ms <= self.shape.memory_ms

    def _push(self, now_ms: float, work: float) -> bool:
        """Does it fall over? Cold, it bears only so much in any window."""
        warmth = self.warmth(now_ms)
        if warmth >= 1:
            self._pushed.clear()
            return False
        self._pushed.append((now_ms, work))
        while now_ms - self._pushed[0][0] > self.shape.fall_ms:
            self._pushed.popleft()
        bears = self.shape.fall_multiple * self.capacity(now_ms) * self.shape.fall_ms
        if sum(work for _, work in self._pushed) <= bears:
            return False
        self.totals.fell += 1
        self.stop()
        return True

    def _begin(self, now_ms: float, job: Job) -> None:
        job.began_ms = now_ms
        job.ends_at = self._virtual + job.work
        heappush(self._work, (job.ends_at, job.id))
        self._in_work += 1

    def _end(self, now_ms: float, job_id: int) -> Job:
        self._in_work -= 1
        job = self._jobs.pop(job_id)
        self.totals.done += job_id >= 0
        self.totals.work += job.work
        if job.cancelled:
            self.totals.wasted += job.work
        if job_id >= 0:
            took_ms = now_ms - job.began_ms
            self._latency_ms += (0.2 if self._latency_ms else 1.0) * (took_ms - self._latency_ms)
        while self._waiting and self._in_work < self.shape.slots:
            self._begin(now_ms, self._jobs[self._waiting.popleft()])
        return job

    def cancel(self, job_id: int) -> bool:
        """Nobody waits for it any more. Work goes on once begun; True if it was dropped unbegun."""
        job = self._jobs.get(job_id)
        if job is None:
            return False
        job.cancelled = True
        if self.drops_waiting and job_id in self._waiting:
            self._waiting.remove(job_id)
            del self._jobs[job_id]
            return True
        return False

    def connect(self, now_ms: float) -> bool:
        """A new connection; False if it holds as many as it can, or is down."""
        if not self.up or self.connections >= self.shape.connections:
            return False
        self.connections += 1
        self._own_work(now_ms, self.shape.handshake)
        return True

    def probed(self, now_ms: float) -> tuple[float, float, float] | None:
        """A probe, which costs work: (inflight, util, latency_ms); None if it is down."""
        if not self.up:
            return None
        self._own_work(now_ms, self.shape.probe)
        return self.report()

    def report(self) -> tuple[float, float, float]:
        """What a load report says now, without noise."""
        return float(self.held), self._busy, self._latency_ms

    def _own_work(self, now_ms: float, work: float) -> None:
        if work > 0:
            self._own -= 1
            job = Job(self._own, work, None)
            self._jobs[job.id] = job
            self._begin(now_ms, job)

    # Its process

    def stop(self) -> list[int]:
        """The process is gone, with all it had: the ids of requests that were on it."""
        lost = [job_id for job_id in self._jobs if job_id >= 0]
        self.up, self.connections, self._in_work = False, 0, 0
        self._work.clear()
        self._jobs.clear()
        self._waiting.clear()
        self._met.clear()
        self._pushed.clear()
        self._choked, self._crowded_since_ms, self._idle_since_ms = False, None, None
        self._latency_ms = self._busy = 0.0
        return lost

    def start(self, now_ms: float) -> None:
        """A new process, cold."""
        self.up, self.started_ms, self._at_ms = True, now_ms, now_ms
