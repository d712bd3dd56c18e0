"""Scopes: the size of an explored world, and how often each kind of event may occur in it."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverrouter.interface import DedupScope, Idempotency, Limits, RequestClass, Safety, Settings

DEADLINE_MS = 400.0
TARGET_LATENCY_MS = 300.0
DEDUP_WINDOW_MS = 250.0


def settings(
    deadline_ms: float = DEADLINE_MS, aim_ms: float = TARGET_LATENCY_MS, window_ms: float = DEDUP_WINDOW_MS
) -> Settings:
    """Returns settings with two classes: "join", keyed and deduplicated per cell, and "dial-out", unsafe."""
    join = RequestClass(
        "join",
        aim_ms,
        deadline_ms,
        worth=5.0,
        late_worth=0.1,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.CELL,
        dedup_window_ms=window_ms,
    )
    dial_out = RequestClass("dial-out", aim_ms, deadline_ms, worth=8.0, idempotency=Idempotency.UNSAFE)
    return Settings(
        classes=(join, dial_out),
        proxies=1,
        proxy_index=0,
        limits=Limits(max_attempts=3, parallel_attempts=True, cancel=True),
        safety=Safety(cold_share=0.5, cold_ms=0.0),
    )


SETTINGS = settings()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that may arrive, and whether its body is still being uploaded then."""

    class_name: str
    uploading: bool = False


@dataclass(frozen=True, slots=True)
class Scope:
    """One scope: explored exhaustively up to `depth` steps, and by random walks of `walk_steps` steps."""

    name: str
    cells: tuple[int, ...]  # the cell of each server
    arrivals: tuple[Arrival, ...]
    depth: int
    walk_steps: int
    outcomes: tuple[str, ...] = ("ok", "error", "rejected", "reset")
    # Upper limit per event kind within one history; kinds that are not listed are unlimited.
    event_limits: dict[str, int] = field(default_factory=dict)
    settings: Settings = SETTINGS
    wait_ms: float = 60.0  # time that one `wait` event adds
    connect_ms: float = 250.0  # a connection that is not established by then never is


JOIN, DIAL, UPLOAD = Arrival("join"), Arrival("dial-out"), Arrival("join", uploading=True)
EVENT_LIMITS = {
    "gone": 1, "drain": 1, "back": 1, "cordon": 1, "uncordon": 1, "hedge": 1, "late": 1, "stale": 1,
    "leave": 1, "wait": 1, "part": 1, "whole": 1, "halt": 0, "spoilt": 1,
}  # fmt: skip

SCOPES = {
    scope.name: scope
    for scope in (
        Scope("small", (0, 0), (JOIN, DIAL), depth=5, walk_steps=30, event_limits=EVENT_LIMITS),
        # Small scopes with one subject each.
        Scope("join", (0, 0), (JOIN,), depth=6, walk_steps=30, event_limits=EVENT_LIMITS),
        Scope("dial-out", (0, 0), (DIAL,), depth=7, walk_steps=30, event_limits=EVENT_LIMITS),
        Scope("bays", (0, 1), (JOIN,), depth=6, walk_steps=30, event_limits=EVENT_LIMITS),
        Scope("uploads", (0, 0), (UPLOAD,), depth=6, walk_steps=30, event_limits=EVENT_LIMITS),
        Scope("queue", (0,), (DIAL, JOIN), depth=7, walk_steps=30, event_limits=EVENT_LIMITS),
        Scope("slow", (0, 0), (JOIN,), depth=6, walk_steps=30, event_limits=EVENT_LIMITS,
              settings=settings(1500.0, 1200.0, 3000.0), wait_ms=600.0, connect_ms=2000.0),
        Scope("window", (0, 0), (JOIN,), depth=6, walk_steps=30, event_limits=EVENT_LIMITS,
              settings=settings(1500.0, 1200.0, 400.0), wait_ms=400.0, connect_ms=2000.0),
        Scope("end", (0,), (DIAL, JOIN), depth=5, walk_steps=20, event_limits={**EVENT_LIMITS, "halt": 1}),
        Scope("medium", (0, 0), (JOIN, DIAL, UPLOAD), depth=6, walk_steps=45, event_limits=EVENT_LIMITS),
        Scope("deep", (0, 0, 1), (JOIN, DIAL, UPLOAD), depth=6, walk_steps=80,
              outcomes=("ok", "error", "rejected", "reset", "spoilt"),
              event_limits={kind: 2 * limit for kind, limit in EVENT_LIMITS.items()}),
    )
}  # fmt: skip
