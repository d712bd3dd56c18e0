"""Smoothed latencies of each request class."""

from __future__ import annotations

from cloverrouter.interface import RequestClass

SMOOTHING_GAIN = 0.2  # smoothing factor for observations of a server: about the last ten responses count
# Target slowness: 1 plus this fraction of the slack between slow responses of unloaded servers and the aim,
# within these bounds.
SLOWNESS_SLACK = 0.5
MIN_SLOWNESS, MAX_SLOWNESS = 1.25, 3.0
BASE_WINDOW = 25  # responses in one sample of a class's base latency


class ClassLatency:
    """Latency of a request class over all servers: current mean, and base latency of unloaded servers."""

    def __init__(self, cls: RequestClass) -> None:
        self.cls = cls
        self.mean_ms = cls.aim_ms / 4  # initial value
        self.base_ms = cls.aim_ms / 4  # the mean until a window is full
        self.slow_ratio = 2.0  # latency of slow unloaded responses as a multiple of base_ms
        self.seen = 0
        self._window: list[float] = []

    def add(self, latency_ms: float) -> None:
        """Adds the latency of a successful response."""
        self.seen += 1
        self.mean_ms += max(1 / self.seen, SMOOTHING_GAIN / 10) * (latency_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, 0.01)
        if self.seen <= BASE_WINDOW:
            self.base_ms = self.mean_ms
        self._window.append(latency_ms)
        if len(self._window) == BASE_WINDOW:
            # The lowest window mean, each raised by its standard error: the lowest of many noisy means would
            # be far too low and throttle healthy servers.
            mean = sum(self._window) / BASE_WINDOW
            variance = sum((x - mean) ** 2 for x in self._window) / BASE_WINDOW
            self.base_ms = max(0.01, min(self.base_ms * 1.002, mean + (variance / BASE_WINDOW) ** 0.5))
            slow = sorted(self._window)[-2] / mean  # about the 95th percentile
            self.slow_ratio += SMOOTHING_GAIN * (max(1.0, slow) - self.slow_ratio)
            self._window.clear()

    def slowness(self, latency_ms: float) -> float:
        """Returns a latency as a multiple of the base latency."""
        return latency_ms / self.base_ms

    def midpoint_ms(self) -> float:
        """Midpoint of base latency and aim: beyond it, the aim is in danger."""
        return (self.base_ms + max(self.base_ms, self.cls.aim_ms)) / 2

    def target(self) -> float:
        """Returns the slowness up to which this class lets servers be loaded."""
        slack = self.cls.aim_ms / (self.base_ms * self.slow_ratio) - 1
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, 1 + SLOWNESS_SLACK * slack))
