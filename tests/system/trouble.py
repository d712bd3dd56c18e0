"""Seeded trouble on a fleet in the small lossy world, and who is in touch meanwhile.

A machine is in touch if for the last three seconds it ran and reached every running voter that itself
reaches a majority.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tests.system.lossy_world import World

CONNECTIVITY = 3.0


class Trouble:
    """Cuts, freezes and restarts, drawn from the world's seed. `restart` puts a new process on a machine."""

    def __init__(
        self, world: World, ips: Sequence[str], voters: Sequence[str], restart: Callable[[str], None]
    ) -> None:
        self.world = world
        self.random = world.random
        self.ips = list(ips)
        self.voters = list(voters)
        self.frozen: set[str] = set()
        self._restart = restart
        self._trouble_at = dict.fromkeys(ips, 0.0)

    def make(self) -> None:
        """One more trouble, or the end of a cut."""
        kind = self.random.choice(["cut", "cut", "freeze", "restart", "restart voter", "heal"])
        ip = self.random.choice(self.ips)
        if kind == "cut":
            cut = self.random.sample(self.ips, self.random.randint(1, 4))
            self.world.cut(cut, [other for other in self.ips if other not in cut])
        elif kind == "freeze":
            self.frozen.add(ip)
            self.world.freeze(ip)
            self.world.at(self.world.now + self.random.uniform(0.5, 6), lambda: self._thaw(ip))
        elif kind == "restart":
            self._start_again(ip)
        elif kind == "restart voter":
            self._start_again(self.random.choice(self.voters))
        else:
            self.world.join()

    def runs(self, ip: str) -> bool:
        """True if the machine's process is up and does something."""
        return ip in self.world.cores and ip not in self.frozen

    def majority(self) -> list[str]:
        """The running voters that reach more than half of the voters."""
        running = [ip for ip in self.voters if self.runs(ip)]
        return [
            ip
            for ip in running
            if 2 * sum(self.world.reaches(ip, other) for other in running) > len(self.voters)
        ]

    def note(self) -> None:
        """To be called often: notes who is out of touch now."""
        majority = self.majority()
        for ip in self.ips:
            reaches = majority and all(self.world.reaches(ip, voter) for voter in majority)
            if not self.runs(ip) or not reaches:
                self._trouble_at[ip] = self.world.now

    def is_in_touch(self, ip: str) -> bool:
        """True if it was in touch for long enough."""
        return self.world.now - self._trouble_at[ip] > CONNECTIVITY

    def _start_again(self, ip: str) -> None:
        self._trouble_at[ip] = self.world.now
        self._restart(ip)

    def _thaw(self, ip: str) -> None:
        self.frozen.discard(ip)
        self.world.thaw(ip)
