"""Figures of a play, from what its judge has been told."""

from __future__ import annotations

from collections import Counter

import attrs

from cloverrouter.lab.fleet.judge import Ask, Judge


@attrs.frozen(slots=True)
class KindFigures:
    """Of one kind of request. Latencies in milliseconds, to the first event for streams."""

    name: str
    asked: int
    served: int
    p50_ms: float
    p99_ms: float


@attrs.frozen(slots=True)
class Figures:
    """Of a whole play."""

    asked: int
    served: int
    owed: int
    owed_served: int
    events: int
    tries: int
    runs: int
    statuses: dict[str, int]
    kinds: tuple[KindFigures, ...]

    @property
    def served_share(self) -> float:
        """Of what was owed: without what went beyond a quota on purpose."""
        return self.owed_served / self.owed if self.owed else 0.0


class Tally:
    """Counts for the live lines, and the figures at the end."""

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._told: Counter[str] = Counter()

    def line(self) -> str:
        """What has come since the last line."""
        now = self._counts()
        new = now - self._told
        self._told = now
        return (
            f"served {new['served']:3}  events {new['events']:4}  refused {new['refused']:2}  "
            f"failed {new['failed']:2}  cut {new['cut']:2}"
        )

    def _counts(self) -> Counter[str]:
        counts: Counter[str] = Counter()
        for answer in self._judge.answers.values():
            counts["events"] += len(answer.events)
            if answer.status is None or (answer.status < 300 and not answer.whole):
                counts["cut"] += 1
            elif answer.status < 300:
                counts["served"] += 1
            elif answer.status in (429, 503):
                counts["refused"] += 1
            else:
                counts["failed"] += 1
        return counts

    def figures(self) -> Figures:
        asks = list(self._judge.asks.values())
        statuses = Counter(str(a.status or "none") for a in self._judge.answers.values())
        names = sorted({ask.route for ask in asks})
        return Figures(
            asked=len(asks),
            served=sum(ask.served_at is not None for ask in asks),
            owed=sum(ask.owed for ask in asks),
            owed_served=sum(ask.owed and ask.served_at is not None for ask in asks),
            events=sum(ask.events for ask in asks),
            tries=len(self._judge.requests),
            runs=sum(len(runs) for runs in self._judge.runs.values()),
            statuses=dict(sorted(statuses.items())),
            kinds=tuple(_of_kind(name, [ask for ask in asks if ask.route == name]) for name in names),
        )


def _of_kind(name: str, asks: list[Ask]) -> KindFigures:
    latencies = sorted(ask.latency_ms for ask in asks if ask.served_at is not None)
    return KindFigures(name, len(asks), len(latencies), _quantile(latencies, 0.5), _quantile(latencies, 0.99))


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
