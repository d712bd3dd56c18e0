"""Subsetting: strategies by which an instance chooses the servers that it uses, and measures of quality.

A strategy takes the servers in any order, the size of the subset, the instance's number and the number of
instances, and returns names. All are deterministic: instances need not communicate.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from math import sqrt
from random import Random

from cloverrouter.indexes import Ring

Strategy = Callable[[Sequence[str], int, int, int], list[str]]
GOLDEN = (sqrt(5) - 1) / 2


def hash64(*parts: object) -> int:
    """Returns a hash of 64 bits, the same in every process."""
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def golden_ratio_position(number: int) -> float:
    """Returns a position from 0 to 1, such that any run of consecutive numbers is evenly spread: the
    fractional part of a multiple of the golden ratio (three-distance theorem)."""
    return number * GOLDEN % 1.0


def _ring(servers: Iterable[str]) -> list[str]:
    """Returns the servers in the order of the balancer's own ring."""
    ring: Ring[str] = Ring()
    for name in servers:
        ring.add(name, 1.0, name)
    return ring.members


def _consecutive(ring: Sequence[str], position: float, size: int) -> list[str]:
    start = int(position * len(ring))
    return [ring[(start + i) % len(ring)] for i in range(min(size, len(ring)))]


def random_aperture(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """Returns a random sample, seeded with the number."""
    return Random(number).sample(sorted(servers), min(size, len(servers)))


def rendezvous(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """Returns the servers with the highest hashes of (server, number): rendezvous hashing, Thaler and
    Ravishankar, 1998."""
    return sorted(servers, key=lambda name: hash64(name, number), reverse=True)[:size]


def deterministic_subsetting(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """Deterministic subsetting (Site Reliability Engineering, 2016, chapter 20): each round of instances
    shuffles the servers and divides them into whole subsets, one an instance."""
    subset_count = max(1, len(servers) // size)
    shuffled = sorted(servers)
    Random(number // subset_count).shuffle(shuffled)
    start = number % subset_count * size
    return shuffled[start : start + size]


def aperture(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """Returns consecutive servers of a ring from the position number / instances on."""
    return _consecutive(_ring(servers), number / instances % 1.0, size)


def golden_ratio_aperture(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """Returns consecutive servers of a ring from a position independent of the number of instances."""
    return _consecutive(_ring(servers), golden_ratio_position(number), size)


STRATEGIES: dict[str, Strategy] = {
    "random aperture": random_aperture,
    "rendezvous": rendezvous,
    "rounds": deterministic_subsetting,
    "aperture": aperture,
    "golden": golden_ratio_aperture,
}


@dataclass(frozen=True, slots=True)
class Quality:
    """How evenly a strategy loads the servers of one fleet, and how much changes of the fleet change it."""

    most: float  # instances that use the server with the most of them, as a multiple of the mean
    least: float  # and those of the server with the fewest
    server_churn: float  # fraction of an instance's subset that is new after one server was added
    instance_churn: float  # the same after one instance was added
    doubled_churn: float  # the same after the number of instances has doubled
    gaps_most: float  # as `most`, if every third instance number is unused


def coverage(
    strategy: Strategy, servers: Sequence[str], size: int, numbers: Collection[int], instances: int
) -> list[int]:
    """Returns how many instances use each server."""
    counts: Counter[str] = Counter(dict.fromkeys(servers, 0))
    for number in numbers:
        counts.update(strategy(servers, size, number, instances))
    return list(counts.values())


def churn(strategy: Strategy, size: int, numbers: Collection[int], before: Fleet, after: Fleet) -> float:
    """Returns the fraction of the instances' subsets that is new after a change."""
    new = 0
    for number in numbers:
        new += len(
            set(strategy(after[0], size, number, after[1]))
            - set(strategy(before[0], size, number, before[1]))
        )
    return new / (size * len(numbers))


Fleet = tuple[Sequence[str], int]  # servers, instances


def quality(strategy: Strategy, servers: Sequence[str], size: int, instances: int) -> Quality:
    """Returns the quality of a strategy, measured by applying it to a fleet of that size."""
    numbers = range(instances)
    counts = coverage(strategy, servers, size, numbers, instances)
    mean = sum(counts) / len(counts)
    sampled_numbers = range(0, instances, max(1, instances // 100))
    now = servers, instances
    with_gaps = coverage(strategy, servers, size, [n for n in numbers if n % 3], instances)
    return Quality(
        most=max(counts) / mean,
        least=min(counts) / mean,
        server_churn=churn(strategy, size, sampled_numbers, now, ([*servers, "one more"], instances)),
        instance_churn=churn(strategy, size, sampled_numbers, now, (servers, instances + 1)),
        doubled_churn=churn(strategy, size, sampled_numbers, now, (servers, 2 * instances)),
        gaps_most=max(with_gaps) / (sum(with_gaps) / len(with_gaps)),
    )
