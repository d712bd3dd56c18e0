"""Which servers an instance keeps to: ways to choose, each from its number alone, and how good each is.

A way takes the servers in any order, how many to keep to, the instance's number and how many instances there
are, and gives names. All are deterministic: instances need not speak to each other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from math import sqrt
from random import Random

from cloverrouter.indexes import Ring

Way = Callable[[Sequence[str], int, int, int], list[str]]
GOLDEN = (sqrt(5) - 1) / 2


def hashed(*parts: object) -> int:
    """64 bits, the same in every process."""
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def golden_place(number: int) -> float:
    """A place from 0 to 1 for each number, so that any run of numbers lies evenly, however many there are:
    the fractional parts of multiples of the golden ratio (three-distance theorem)."""
    return number * GOLDEN % 1.0


def _ring(servers: Iterable[str]) -> list[str]:
    """In the order in which the decision module has them."""
    ring: Ring[str] = Ring()
    for name in servers:
        ring.add(name, 1.0, name)
    return ring.members


def _from(ring: Sequence[str], place: float, size: int) -> list[str]:
    start = int(place * len(ring))
    return [ring[(start + i) % len(ring)] for i in range(min(size, len(ring)))]


def random_aperture(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """By lot, seeded with the number."""
    return Random(number).sample(sorted(servers), min(size, len(servers)))


def rendezvous(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """The highest of hashes of (server, number): Thaler and Ravishankar, 1998."""
    return sorted(servers, key=lambda name: hashed(name, number), reverse=True)[:size]


def rounds(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """Instances in rounds, each of which shuffles the servers and deals them out in whole subsets: the
    published deterministic subsetting (Site Reliability Engineering, 2016, chapter 20)."""
    count = max(1, len(servers) // size)
    shuffled = sorted(servers)
    Random(number // count).shuffle(shuffled)
    at = number % count * size
    return shuffled[at : at + size]


def aperture(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """What follows in a ring from a place of number / instances on."""
    return _from(_ring(servers), number / instances % 1.0, size)


def golden(servers: Sequence[str], size: int, number: int, instances: int) -> list[str]:
    """What follows in a ring from a place that does not depend on how many instances there are."""
    return _from(_ring(servers), golden_place(number), size)


WAYS: dict[str, Way] = {
    "random aperture": random_aperture,
    "rendezvous": rendezvous,
    "rounds": rounds,
    "aperture": aperture,
    "golden": golden,
}


@dataclass(frozen=True, slots=True)
class Quality:
    """How good a way is for one fleet."""

    most: float  # instances on the server that has the most, as a multiple of the mean
    least: float  # and on the one with the fewest
    server_churn: float  # of what an instance keeps to, the part that is new once a server has come
    instance_churn: float  # the same once there is one instance more
    doubled_churn: float  # the same once there are twice as many
    gaps_most: float  # as `most`, if every third number is missing


def coverage(
    way: Way, servers: Sequence[str], size: int, numbers: Collection[int], instances: int
) -> list[int]:
    """How many instances keep to each server."""
    met: Counter[str] = Counter(dict.fromkeys(servers, 0))
    for number in numbers:
        met.update(way(servers, size, number, instances))
    return list(met.values())


def churn(way: Way, size: int, numbers: Collection[int], before: Fleet, after: Fleet) -> float:
    """The part of what instances keep to that is new after a change."""
    new = 0
    for number in numbers:
        new += len(set(way(after[0], size, number, after[1])) - set(way(before[0], size, number, before[1])))
    return new / (size * len(numbers))


Fleet = tuple[Sequence[str], int]  # servers, instances


def quality(way: Way, servers: Sequence[str], size: int, instances: int) -> Quality:
    """Measured, not reckoned."""
    numbers = range(instances)
    met = coverage(way, servers, size, numbers, instances)
    mean = sum(met) / len(met)
    some = range(0, instances, max(1, instances // 100))
    now = servers, instances
    holey = coverage(way, servers, size, [n for n in numbers if n % 3], instances)
    return Quality(
        most=max(met) / mean,
        least=min(met) / mean,
        server_churn=churn(way, size, some, now, ([*servers, "one more"], instances)),
        instance_churn=churn(way, size, some, now, (servers, instances + 1)),
        doubled_churn=churn(way, size, some, now, (servers, 2 * instances)),
        gaps_most=max(holey) / (sum(holey) / len(holey)),
    )
