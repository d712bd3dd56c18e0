"""A run folder as one page that needs nothing else: tables, and plots over time with what went wrong."""

from __future__ import annotations

from html import escape
from io import StringIO
from statistics import mean

import matplotlib
import msgspec

from cloverrouter.lab import runner
from cloverrouter.lab.result import Result
from cloverrouter.lab.runner import Row
from cloverrouter.lab.scenario import Scenario
from cloverrouter.lab.world import START_MS

matplotlib.use("svg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem }
table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .25rem .7rem; text-align: right }
th { border-bottom: 1px solid #888 } td:first-child, th:first-child { text-align: left }
svg { width: 100%; height: auto } .bad { color: #b00020; font-weight: 600 }
pre { background: #f4f4f4; padding: 1rem }
"""
HEADS = ("policy", "runs", "worth", "least", "worst 10 s", "p50 ms", "p99 ms", "attempts", "refused",
         "wasted", "connections", "broken")  # fmt: skip


def page(told: Scenario, revision: str, results: list[Result]) -> tuple[str, bytes]:
    """The page, and the same as JSON."""
    order = [*told.policies, *told.builds]
    results = sorted(results, key=lambda r: (order.index(r.policy) if r.policy in order else -1, r.seed))
    rows = runner.rows(results)
    by_policy = {row.policy: [r for r in results if r.policy == row.policy] for row in rows}
    parts = [
        f"<h1>{escape(told.name)}</h1><p>{told.fleet.servers} servers, {told.proxies} proxies, "
        f"{told.seconds:g} s, seeds {', '.join(map(str, told.seeds))}; "
        f"code {escape(revision or 'unknown')}</p>",
        _table(rows),
        "<h2>Worth answered in time, by second</h2>",
        _lines(by_policy, "worth", "share of worth", told.seconds),
        "<h2>Refused, by second</h2>",
        _lines(by_policy, "refused", "answers a second", told.seconds),
        "<h2>Latency</h2>",
        _latency(rows, results),
        *(part for policy, of in by_policy.items() for part in _held(policy, of[0])),
        "<h2>What went wrong</h2>",
        _told(results[0]),
        "<h2>The scenario</h2>",
        f"<pre>{escape(msgspec.json.format(msgspec.json.encode(told), indent=1).decode())}</pre>",
    ]
    title = f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{escape(told.name)}</title>"
    html = f"{title}<style>{STYLE}</style><body>{''.join(parts)}</body></html>"
    data = {"scenario": told, "revision": revision, "rows": rows, "runs": results}
    return html, msgspec.json.encode(data)


def _table(rows: list[Row]) -> str:
    lines = []
    for r in rows:
        broken = ", ".join(f"{escape(rule)} {n}" for rule, n in r.broken.items())
        cells = (
            escape(r.policy), str(r.runs), f"{r.worth:.3f}", f"{r.least:.3f}", f"{r.worst:.3f}",
            f"{r.p50_ms:.0f}", f"{r.p99_ms:.0f}", f"{r.attempts:.2f}", f"{r.refused:.3f}", f"{r.wasted:.3f}",
            f"{r.connections:.0f}",
            f"<span class='bad'>{broken}</span>" if broken else "none",
        )  # fmt: skip
        lines.append("<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>")
    head = "".join(f"<th>{name}</th>" for name in HEADS)
    return f"<table><tr>{head}</tr>{''.join(lines)}</table>"


def _figure(height: float = 2.8) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(9.5, height), layout="constrained")
    axes = figure.subplots()
    axes.grid(alpha=0.3)
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _svg(figure: Figure) -> str:
    out = StringIO()
    # With no date in it, the same results give the same page.
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _mark(axes: Axes, result: Result) -> None:
    for at_s, text in result.told:
        if "begins" in text:
            axes.axvline(at_s, color="#888", linestyle=":", linewidth=1)
            axes.text(at_s, 1.0, f" {text}", transform=axes.get_xaxis_transform(), fontsize=7, va="bottom")


def _lines(by_policy: dict[str, list[Result]], name: str, label: str, seconds: float) -> str:
    figure, axes = _figure()
    first_s = int(START_MS // 1000)
    for policy, of in by_policy.items():
        series = [r.verdict.by_second.get(name, []) for r in of]
        length = min(first_s + int(seconds), max(map(len, series), default=0))
        means = [mean(s[i] if i < len(s) else 0.0 for s in series) for i in range(first_s, length)]
        axes.plot(range(len(means)), means, label=policy, linewidth=1.4)
    _mark(axes, next(iter(by_policy.values()))[0])
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    axes.legend(frameon=False, fontsize=8)
    return _svg(figure)


def _latency(rows: list[Row], results: list[Result]) -> str:
    figure, axes = _figure(2.4)
    marks = ("50", "90", "99", "99.9")
    for row in rows:
        of = [r.verdict.latency_ms for r in results if r.policy == row.policy]
        axes.plot(marks, [mean(lat.get(m, 0.0) for lat in of) for m in marks], marker="o", label=row.policy)
    axes.set_xlabel("percentile")
    axes.set_ylabel("ms, served")
    axes.set_ylim(bottom=0)
    axes.legend(frameon=False, fontsize=8)
    return _svg(figure)


def _held(policy: str, result: Result) -> list[str]:
    figure, axes = _figure()
    first_s = int(START_MS // 1000)
    for name, held in result.held.items():
        axes.plot(range(len(held) - first_s), held[first_s:], linewidth=1, label=name)
    _mark(axes, result)
    axes.set_xlabel("s")
    axes.set_ylabel("requests held")
    if len(result.held) <= 20:
        axes.legend(frameon=False, fontsize=6, ncols=4)
    return [f"<h2>Held by each server: {escape(policy)}, seed {result.seed}</h2>", _svg(figure)]


def _told(result: Result) -> str:
    if not result.told:
        return "<p>Nothing.</p>"
    lines = "".join(f"<tr><td>{escape(text)}</td><td>{at_s:.1f} s</td></tr>" for at_s, text in result.told)
    return f"<table>{lines}</table>"
