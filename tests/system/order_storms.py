"""Seeded fault-injection runs with concurrent operators. To run them by hand:

python -m tests.system.order_storms [--seeds 200] [--first 1] [--seconds 20]
"""

from __future__ import annotations

import argparse

import attrs

from tests.system.order_world import Operator, Operators, OrderWorld
from tests.system.replica_world import Violation

OPERATORS = 3
MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S = 0.1, 0.8


@attrs.frozen
class Result:
    """The result of a run: the numbers of accepted and of refused orders."""

    acknowledged: int
    refused: int


class FaultInjector:
    """Injects faults one after another: kills proxies and heads, freezes heads, stalls disks, cuts links."""

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
        world.at(world.now + world.random.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S), self._next)

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
    """Runs one seed. Raises `Violation` if an invariant is broken."""
    world = OrderWorld(seed, 3, 1)
    world.run(2.0)
    operators = Operators(world)
    senders = [Operator(operators, name, loss_rate=0.3, retry_s=0.4) for name in "abc"[:OPERATORS]]
    faults = FaultInjector(world)
    world.run(seconds)
    faults.stopped = True
    for sender in senders:
        sender.stopped = True
    world.cuts.clear()
    _read_back(world, operators)
    return Result(sum(len(sender.accepted) for sender in senders), operators.refusals)


def _read_back(world: OrderWorld, operators: Operators) -> None:
    """Checks that after all faults have ended every proxy reads the configuration."""
    world.run(6.0)
    found: list[object] = []
    for proxy in world.proxies:
        operators.read(proxy, found.append)
    world.run(4.0)
    if len(found) < len(world.proxies) or None in found:
        raise Violation("a proxy reads no configuration after all faults have ended")


def main() -> None:
    parser = argparse.ArgumentParser(description="Fault-injection runs with concurrent operators.")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    failed = accepted = refused = 0
    for seed in range(options.first, options.first + options.seeds):
        try:
            result = storm(seed, options.seconds)
        except Violation as violation:
            failed += 1
            print(f"seed {seed}: {violation}")
        else:
            accepted += result.acknowledged
            refused += result.refused
    print(f"{options.seeds} runs, {failed} failed; {accepted} orders accepted, {refused} refusals")


if __name__ == "__main__":
    main()
