"""Statistics of a run, from the judge's records."""

from __future__ import annotations

from collections import Counter

import attrs

from cloverrouter.lab.fleet.judge import Judge, Operation


@attrs.frozen(slots=True)
class KindFigures:
    """Statistics of one kind of request. Latencies in milliseconds, to the first event for streams."""

    name: str
    operation_count: int
    served: int
    p50_ms: float
    p99_ms: float


@attrs.frozen(slots=True)
class Figures:
    """Statistics of a whole run."""

    operation_count: int
    served: int
    within_quota: int
    within_quota_served: int
    events: int
    attempt_count: int
    runs: int
    statuses: dict[str, int]
    kinds: tuple[KindFigures, ...]

    @property
    def served_share(self) -> float:
        """Returns the served share of operations, without those that exceed a quota on purpose."""
        return self.within_quota_served / self.within_quota if self.within_quota else 0.0


class Tally:
    """Counts for the progress lines, and the statistics at the end."""

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._last_counts: Counter[str] = Counter()

    def progress_line(self) -> str:
        """Returns the counts since the last call, as text."""
        now = self._counts()
        new = now - self._last_counts
        self._last_counts = now
        return (
            f"served {new['served']:3}  events {new['events']:4}  refused {new['refused']:2}  "
            f"failed {new['failed']:2}  cut {new['cut']:2}"
        )

    def _counts(self) -> Counter[str]:
        counts: Counter[str] = Counter()
        for answer in self._judge.answers.values():
            counts["events"] += len(answer.events)
            if answer.status is None or (answer.status < 300 and not answer.is_complete):
                counts["cut"] += 1
            elif answer.status < 300:
                counts["served"] += 1
            elif answer.status in (429, 503):
                counts["refused"] += 1
            else:
                counts["failed"] += 1
        return counts

    def figures(self) -> Figures:
        """Returns the statistics of everything recorded so far."""
        operations = list(self._judge.operations.values())
        statuses = Counter(str(a.status or "none") for a in self._judge.answers.values())
        names = sorted({operation.route for operation in operations})
        return Figures(
            operation_count=len(operations),
            served=sum(operation.served_at is not None for operation in operations),
            within_quota=sum(operation.within_quota for operation in operations),
            within_quota_served=sum(
                operation.within_quota and operation.served_at is not None for operation in operations
            ),
            events=sum(operation.events for operation in operations),
            attempt_count=len(self._judge.requests),
            runs=sum(len(runs) for runs in self._judge.runs.values()),
            statuses=dict(sorted(statuses.items())),
            kinds=tuple(
                _kind_figures(name, [operation for operation in operations if operation.route == name])
                for name in names
            ),
        )


def _kind_figures(name: str, operations: list[Operation]) -> KindFigures:
    latencies = sorted(operation.latency_ms for operation in operations if operation.served_at is not None)
    return KindFigures(
        name, len(operations), len(latencies), _quantile(latencies, 0.5), _quantile(latencies, 0.99)
    )


def _quantile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
