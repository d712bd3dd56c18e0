"""What comes of one run, in simulated or in real time, as it is kept, compared and reported."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverrouter.lab.judge import Verdict


@dataclass(slots=True)
class Result:
    """One run: the verdict, what each server did, and what it cost to play."""

    policy: str  # in real time: the build of the proxies
    seed: int
    verdict: Verdict
    simulated_s: float  # played, by the scenario's own clock
    took_s: float
    decided_s: float  # in the policy; in real time: CPU of the proxies, all that they do
    work: float  # that servers did, as a share of what they could have done
    wasted: float  # of that work, for requests that nobody waited for any more
    turned_away: int  # by servers, full
    connections: float  # the most that a server held at once
    told: tuple[tuple[float, str], ...]  # what went wrong, and when
    held: dict[str, list[int]]  # by each server, each second
    events: int = 0
    calls_per_s: float = 0.0  # to discovery, all proxies together, in the busiest second after the warm-up
    most_calls_per_s: float = 0.0  # and in the busiest of all, when they start
    handshakes_per_s: float = 0.0  # on the server that has the most
    void: str = ""  # why nothing should be concluded from it
    late_share: float = 0.0  # of sends that came late from the lab
    lab_cpu: float = 0.0  # cores that the lab itself took
    died: list[str] = field(default_factory=list)  # proxies that ended on their own

    def amiss(self, most: int) -> list[str]:
        """What speaks against it, with so many of the rules broken at most."""
        return [*self.verdict.broken[:most], *self.died, *([f"void: {self.void}"] if self.void else [])]

    @property
    def speed(self) -> float:
        """Simulated seconds a second."""
        return self.simulated_s / self.took_s if self.took_s else 0.0

    @property
    def decided_us(self) -> float:
        """Time in the policy a first try; in real time, the proxies' whole CPU."""
        return self.decided_s / max(1, self.verdict.asked) * 1e6
