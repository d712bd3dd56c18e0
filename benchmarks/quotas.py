"""What quotas cost their tenants: `python -m benchmarks.quotas`.

A fleet on a fake clock (`tests/system/quota_world.py`): links of 2 to 9 ms that lose nothing, one
tenant whose burst is one second of its rate, requests of 900 to 18,000 tokens at random moments, spread
unevenly over the proxies and differently every few seconds. A request waits up to 60 ms for credit. No
processor time.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable

from cloverrouter.placement.quota_plan import TenantLimit
from tests.system.quota_world import Load, Proxy, World

FLEETS = ((11, 20_000), (11, 60_000), (11, 280_000), (83, 280_000), (83, 2_000_000))
USUAL, HOT = 0.77, 7.5
STEADY_S = 60.0
TROUBLE_S = 7.0
BEFORE_S = 12.0


def world(proxies: int, rate: int, factor: float, seed: int) -> World:
    made = World(seed, proxies, {"a": TenantLimit(rate, rate)})
    made.run(6)
    Load(made, "a", rate * factor)
    return made


def another(made: World) -> Proxy:
    return made.proxies[1] if made.head is not made.proxies[1] else made.proxies[0]


def head_killed(made: World) -> None:
    assert made.head is not None
    made.restart(made.head, 3.0)
    successor = another(made)
    made.at(made.now + 1.0, lambda: made.elect(successor))


def head_moves(made: World) -> None:
    made.elect(another(made))


def view_changes(made: World) -> None:
    made.change_view()


def most_cut_off(made: World) -> None:
    for proxy in made.proxies[2:]:
        proxy.cut_until = made.now + 4


def no_head(made: World) -> None:
    made.lose_head()
    made.at(made.now + 4, lambda: made.elect(made.proxies[0]))


def all_restarted(made: World) -> None:
    for proxy in made.proxies:
        made.restart(proxy, 1.0)
    made.at(made.now + 2.0, lambda: made.elect(made.proxies[1]))


def most_restarted(made: World) -> None:
    for proxy in made.proxies[2 : len(made.proxies) * 8 // 11]:
        made.restart(proxy, 1.5)


TROUBLES: dict[str, Callable[[World], None]] = {
    "a new view under the same head": view_changes,
    "the head moves to another machine": head_moves,
    "the head is killed, another one after 1 s": head_killed,
    "two thirds are restarted, not the head": most_restarted,
    "all but two are cut off for 4 s": most_cut_off,
    "no head for 4 s": no_head,
    "all are restarted within 1 s, a head after 2 s": all_restarted,
}


def steady(proxies: int, rate: int, factor: float) -> str:
    made = world(proxies, rate, factor, seed=1)
    made.run(BEFORE_S)
    tally = made.tallies["a"]
    asked, run, waited, requests, sent = tally.asked, tally.run, tally.waited, tally.requests, made.sent
    owed = tally.entitled
    made.run(STEADY_S)
    refused = 1 - (tally.run - run) / (tally.asked - asked)
    alone = 1 - (tally.entitled - owed) / (tally.asked - asked)
    return (
        f"asks {(tally.asked - asked) / rate / STEADY_S:5.2f} of its rate, runs "
        f"{(tally.run - run) / rate / STEADY_S:5.3f}, refused {max(refused, 0):6.2%} "
        f"(one bucket of rate and burst that sees all: {alone:6.2%}); "
        f"{(tally.waited - waited) / (tally.requests - requests):4.0%} of the requests wait; "
        f"worst window {made.worst_window('a'):5.1%} of the rule; "
        f"{(made.sent - sent) / STEADY_S:5.0f} messages/s"
    )


def troubled(proxies: int, rate: int, trouble: Callable[[World], None], seeds: int) -> str:
    refused = []
    for seed in range(seeds):
        made = world(proxies, rate, USUAL, seed)
        made.run(BEFORE_S)
        tally = made.tallies["a"]
        asked, run = tally.asked, tally.run
        trouble(made)
        made.run(TROUBLE_S)
        refused.append(max(1 - (tally.run - run) / max(tally.asked - asked, 1), 0.0))
    return f"refused in the {TROUBLE_S:.0f} s after: mean {statistics.mean(refused):6.1%}"


def main() -> None:
    for proxies, rate in FLEETS:
        print(f"{proxies} proxies, {rate:,} tokens/s")
        print(f"  usual:  {steady(proxies, rate, USUAL)}")
        print(f"  hot:    {steady(proxies, rate, HOT)}")
        for name, trouble in TROUBLES.items():
            print(f"  {name}: {troubled(proxies, rate, trouble, 20 if proxies < 50 else 5)}")


if __name__ == "__main__":
    main()
