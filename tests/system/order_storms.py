"""Operators that race while everything else happens, from a seed. By hand:

python -m tests.system.order_storms [--seeds 200] [--first 1] [--seconds 20]
"""

from __future__ import annotations

import argparse

import attrs

from tests.system.order_world import Operator, Operators, OrderWorld
from tests.system.replica_world import Violation

OPERATORS = 3
SHORTEST_S, LONGEST_S = 0.1, 0.8  # between troubles


@attrs.frozen
class Result:
    """What came of a storm: orders taken and refused."""

    acknowledged: int
    refused: int


class Strikes:
    """Processes of proxies and replicas end, heads freeze, stall and are cut off, one after the other."""

    def __init__(self, world: OrderWorld) -> None:
        self.world = world
        self.stopped = False
        self._next()

    def _next(self) -> None:
        if self.stopped:
            return
        world = self.world
        world.random.choices(
            [self._end_proxy, self._end_head, self._freeze, self._cut, self._stall], [4, 3, 2, 2, 1]
        )[0]()
        world.at(world.now + world.random.uniform(SHORTEST_S, LONGEST_S), self._next)

    def _end_proxy(self) -> None:
        proxy = self.world.random.choice(self.world.proxies)
        if proxy.runs:
            proxy.kill()
            self.world.at(self.world.now + self.world.random.uniform(0.02, 0.5), proxy.start)

    def _end_head(self) -> None:
        head = self.world.head()
        if head is not None:
            self.world.kill(head, power=True)
            self.world.start(head, self.world.random.uniform(0.1, 1.5))

    def _freeze(self) -> None:
        head = self.world.head()
        if head is not None:
            self.world.freeze(head, self.world.random.uniform(0.2, 2.0))

    def _stall(self) -> None:
        head = self.world.head()
        if head is not None:
            head.disk.stalled_until = self.world.now + self.world.random.uniform(0.2, 2.0)

    def _cut(self) -> None:
        world, head = self.world, self.world.head()
        if head is None:
            return
        pairs = {(head.ip, node.ip) for node in world.nodes if node is not head}
        pairs |= {(to, one) for one, to in pairs} if world.random.random() < 0.7 else set()
        world.cuts |= pairs
        world.at(world.now + world.random.uniform(0.3, 2.5), lambda: world.cuts.difference_update(pairs))


def storm(seed: int, seconds: float = 20.0) -> Result:
    """Play one. Raises Violation."""
    world = OrderWorld(seed, 3, 1)
    world.run(2.0)
    operators = Operators(world)
    senders = [Operator(operators, name, lost=0.3, patience_s=0.4) for name in "abc"[:OPERATORS]]
    strikes = Strikes(world)
    world.run(seconds)
    strikes.stopped = True
    for sender in senders:
        sender.stopped = True
    world.cuts.clear()
    _read_back(world, operators)
    return Result(sum(len(sender.taken) for sender in senders), operators.refusals)


def _read_back(world: OrderWorld, operators: Operators) -> None:
    """When all is well again the newest is read, whole."""
    world.run(6.0)
    found: list[object] = []
    for proxy in world.proxies:
        operators.read(proxy, found.append)
    world.run(4.0)
    if len(found) < len(world.proxies) or None in found:
        raise Violation("no configuration is read when all is well again")


def main() -> None:
    parser = argparse.ArgumentParser(description="Storms of racing operators.")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    broken = taken = refused = 0
    for seed in range(options.first, options.first + options.seeds):
        try:
            result = storm(seed, options.seconds)
        except Violation as violation:
            broken += 1
            print(f"seed {seed}: {violation}")
        else:
            taken += result.acknowledged
            refused += result.refused
    print(f"{options.seeds} storms, {broken} broken; {taken} orders taken, {refused} refusals")


if __name__ == "__main__":
    main()
