"""Metrics in the Prometheus text exposition format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n", '"': r"\""})


@attrs.frozen(slots=True)
class Figure:
    """One metric with its samples."""

    name: str
    kind: str
    """``counter`` or ``gauge``."""
    meaning: str
    samples: tuple[tuple[Mapping[str, str], float], ...]
    """The labels and the value of each sample."""

    @classmethod
    def single(cls, name: str, kind: str, meaning: str, value: float) -> Figure:
        """Returns a metric with one sample that has no labels."""
        return cls(name, kind, meaning, (({}, value),))


def prometheus_text(figures: Iterable[Figure]) -> bytes:
    """Returns the text of all metrics, in their order."""
    lines: list[str] = []
    for figure in figures:
        lines.append(f"# HELP {figure.name} {figure.meaning.translate(_ESCAPES)}")
        lines.append(f"# TYPE {figure.name} {figure.kind}")
        lines += (f"{figure.name}{_labels(labels)} {value:.17g}" for labels, value in figure.samples)
    return "".join(f"{line}\n" for line in lines).encode()


def _labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{value.translate(_ESCAPES)}"' for name, value in labels.items())
    return f"{{{','.join(pairs)}}}"
