"""Who asks for what, and when. Arrivals are drawn ahead: nobody waits for an answer before asking."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import pi, sin

from cloverrouter.lab.draws import Draws, Weighted, Zipf, lognormal
from cloverrouter.lab.scenario import Fault, Scenario

SKEW_OF_PROXIES = 0.5  # most carry little, some far more


@dataclass(frozen=True, slots=True)
class Ask:
    """What somebody wants: their first try, and all that follow from it."""

    number: int
    at_ms: float  # when it is meant to be sent: latency counts from here
    proxy: int
    cls: str
    member: str
    key: str
    work: float
    patience_ms: float  # of each try
    leaves_ms: float | None  # after which its client goes away; None: it stays
    answer_bytes: int = 0  # size of its answer's body; 0: a few bytes
    reads_kb_s: float | None = None  # how fast its client reads; None: as fast as it comes


def mean_work(scenario: Scenario) -> float:
    """Of a request, over all classes."""
    classes = scenario.load.classes
    return sum(c.share * c.mean_work for c in classes) / sum(c.share for c in classes)


def per_ms(scenario: Scenario, capacity: float) -> float:
    """The usual number of requests a millisecond, for a fleet that does so much work in one."""
    if scenario.load.level is not None:
        return scenario.load.level * capacity / mean_work(scenario)
    return (scenario.load.rate or 0.0) / 1000


def rate_at(scenario: Scenario, base: float, at_ms: float) -> float:
    """Requests a millisecond at this time, `base` being the usual."""
    # Two waves that never meet again: it wanders, and is the same for each seed.
    wave = (sin(2 * pi * at_ms / 17_000.0) + sin(2 * pi * at_ms / 7300.0 + 1.0)) / 2
    rate = base * (1 + scenario.load.wander * wave)
    for fault in scenario.faults:
        if fault.kind == "burst":
            rate *= _burst(fault, at_ms)
    members = scenario.load.members
    usual = sum(m.share for m in members)
    return rate * sum(shares_at(scenario, at_ms).values()) / usual


def shares_at(scenario: Scenario, at_ms: float) -> dict[str, float]:
    """Each member's share of the usual load at this time: a surge raises that of its member."""
    shares = {m.name: m.share for m in scenario.load.members}
    for fault in scenario.faults:
        if fault.kind == "surge":
            shares[fault.member] *= _burst(fault, at_ms)
    return shares


def _burst(fault: Fault, at_ms: float) -> float:
    """Up to its size within a tenth of its length, and down again so."""
    into = (at_ms / 1000.0 - fault.at_s) / fault.len_s
    if not 0 <= into <= 1:
        return 1.0
    return 1 + (fault.size - 1) * min(1.0, 10 * into, 10 * (1 - into))


def asks(scenario: Scenario, draws: Draws, base: float) -> Iterator[Ask]:
    """All of them in order; `base` is the usual number a millisecond."""
    load, when = scenario.load, draws.stream("arrivals")
    classes = {c.name: c for c in load.classes}
    cls_of = Weighted({c.name: c.share for c in load.classes})
    member_of = Weighted(shares_at(scenario, -1.0))
    surges = any(f.kind == "surge" for f in scenario.faults)
    keys, proxies = Zipf(load.keys, load.skew), Zipf(scenario.proxies, SKEW_OF_PROXIES)
    streams = {
        name: draws.stream(name)
        for name in (
            "class",
            "member",
            "key",
            "proxy",
            "work",
            "patience",
            "leave",
            "answer",
            "reader",
        )
    }
    most = base * (1 + load.wander)
    for fault in scenario.faults:
        if fault.kind in ("burst", "surge"):
            most *= max(1.0, fault.size)
    at_ms, number = 0.0, 0
    while True:
        at_ms += when.expovariate(most)
        if at_ms >= scenario.seconds * 1000.0:
            return
        if when.random() * most > rate_at(scenario, base, at_ms):
            continue
        number += 1
        cls = classes[cls_of.draw(streams["class"])]
        least, greatest = load.clients.patience
        patience_ms = cls.deadline_ms * streams["patience"].uniform(least, greatest)
        leaves = streams["leave"].random() < load.clients.leave_share
        slow = streams["reader"].random() < load.clients.slow_share
        if surges:
            member_of = Weighted(shares_at(scenario, at_ms))
        yield Ask(
            number,
            at_ms,
            proxies.draw(streams["proxy"]),
            cls.name,
            member_of.draw(streams["member"]),
            f"k{keys.draw(streams['key'])}",
            lognormal(streams["work"], cls.mean_work, cls.spread),
            patience_ms,
            streams["leave"].uniform(0, patience_ms) if leaves else None,
            int(lognormal(streams["answer"], cls.answer_kb * 1024, cls.answer_spread))
            if cls.answer_kb
            else 0,
            load.clients.slow_kb_s if slow else None,
        )
