"""The state of one server as estimated by this proxy."""

from __future__ import annotations

from cloverrouter.decide.latency import SMOOTHING_GAIN
from cloverrouter.indexes import PairMean
from cloverrouter.interface import EndpointState, ListedEndpoint, Safety

# A server with pending requests counts as silent after this many mean gaps between responses; by chance that
# happens once in e**5 gaps.
SILENT_GAPS = 5.0
LIMIT_GROWTH = 0.25  # per round of responses; slow, as latencies show a surge only after some rounds
INITIAL_LIMIT = 1.0  # requests in flight to an unknown server: many proxies may start at once


class Endpoint:
    """One server as estimated by this proxy."""

    def __init__(self, listed: ListedEndpoint, all_means: PairMean, safety: Safety) -> None:
        self.all_means = all_means
        self.safety = safety
        self.listed, self.weight = listed, max(0.0, listed.weight)
        self.earned, self.slowness = all_means.means()  # smoothed: share of worth; latency / base latency
        self.load_ratio = 1.0  # smoothed latency relative to its target; above 1: overloaded
        self.in_flight = 0
        self.limit = INITIAL_LIMIT  # maximum of this proxy's requests in flight to it
        self.latency_ms = 0.0  # smoothed, over all classes
        self.waiting_since_ms = 0.0  # start of the current wait for a response
        self.failures = 0  # in a row; a burst counts once
        self.paused_until_ms = 0.0
        self.learned_ms: float | None = None  # time of the last outcome that affected the estimates
        self.cold_credit = 0.0  # work that it may be sent while cold
        self.cold_credit_ms: float | None = None  # when the credit was last computed
        self.restored_credit: float | None = None  # initial credit, if the previous balancer has spent some
        self.share = 1.0  # relative probability of being drawn
        self.cordoned = False  # excluded by an operator
        self.down = False  # the last probe failed
        self.back_ms: float | None = None  # when the last cordon ended; it may have restarted until then
        self.unused = False  # it has been sent nothing since then
        self.cold_until_ms = self._cold_until_ms()

    def has_slot(self, now_ms: float) -> bool:
        """Returns whether it has a free slot: it may get another request now."""
        if self.down or now_ms < self.paused_until_ms:
            return False
        return not self.in_flight or (self.in_flight < self.limit and not self.silent(now_ms))

    def silent(self, now_ms: float) -> bool:
        """Detects a hung or unreachable server before a timeout: several mean gaps without a response."""
        if not self.in_flight or not self.latency_ms:
            return False
        return now_ms - self.waiting_since_ms > SILENT_GAPS * self.latency_ms / min(self.in_flight, 4)

    def avoided(self, now_ms: float) -> bool:
        """Returns whether it is excluded now, rather than just full."""
        paused = bool(self.failures) and now_ms < self.paused_until_ms
        drains = self.listed.state is not EndpointState.READY
        return self.cordoned or self.down or drains or paused or self.silent(now_ms)

    def reset(self) -> None:
        """Resets the estimates: the server is, or may be, a new process."""
        self._set_estimates(*self.all_means.means())
        self.cold_credit, self.cold_credit_ms, self.restored_credit = 0.0, None, None
        self.down = False

    def _set_estimates(self, earned: float, slowness: float) -> None:
        if self.learned_ms is not None:
            self.all_means.change(earned - self.earned, slowness - self.slowness)
        self.earned, self.slowness = earned, slowness

    def record_response(self, now_ms: float, latency_ms: float) -> None:
        self.waiting_since_ms = now_ms
        self.failures = 0
        self.latency_ms += (SMOOTHING_GAIN if self.latency_ms else 1.0) * (latency_ms - self.latency_ms)

    def record_failure(self, now_ms: float, pause_ms: float, longest_ms: float, broken: bool = False) -> None:
        """Pauses a server that rejects or fails requests, twice as long each time, and halves its limit. A
        server that fails at once would otherwise attract and fail more than its share."""
        if now_ms >= self.paused_until_ms:
            self.failures += 1
            # Connections to all servers break now and then, and a pause for each would exclude the whole
            # fleet. If the server is down, the next connection breaks as well.
            if broken and self.failures == 1:
                return
            self.paused_until_ms = now_ms + min(longest_ms, pause_ms * 2.0 ** min(self.failures - 1, 16))
            self.limit = max(min(1.0, self.limit), self.limit / 2)

    def learn(self, now_ms: float, earned: float, slowness: float) -> None:
        if self.learned_ms is None:
            self.all_means.add(self.earned, self.slowness)
        self.learned_ms = now_ms
        self.decay_towards(SMOOTHING_GAIN, earned, slowness)

    def adapt_limit(self, now_ms: float, latency_ms: float, load_ratio: float, min_limit: float) -> None:
        """Adapts the concurrency limit: slow growth while latencies are on target, reduction in proportion to
        slowness otherwise, as overloaded servers slow down, time out and congest. Below one, a pause follows
        each response, as one request from each of many proxies is an overload already."""
        self.load_ratio += SMOOTHING_GAIN * (load_ratio - self.load_ratio)
        if self.load_ratio > 1:
            self.limit -= min(1.0, self.limit) * (1 - 1 / self.load_ratio)
        elif self.limit < 1:
            self.limit = min(1.0, 2 * self.limit)
        elif self.in_flight + 1 >= self.limit:
            self.limit += LIMIT_GROWTH / self.limit
        self.limit = max(min_limit, self.limit)
        if self.limit < 1:
            rest_ms = latency_ms * (1 / self.limit - 1)
            self.paused_until_ms = max(self.paused_until_ms, now_ms + rest_ms)

    def decay_towards(self, share: float, earned: float, slowness: float) -> None:
        """Moves the estimates towards the mean of all: a server judged bad is never drawn, so nothing would
        show that it has recovered."""
        self._set_estimates(
            self.earned + share * (earned - self.earned), self.slowness + share * (slowness - self.slowness)
        )

    def update_listing(self, listed: ListedEndpoint) -> None:
        """Updates the entry from discovery."""
        if self.listed.started_ms != listed.started_ms:
            self.reset()
        self.listed, self.weight = listed, max(0.0, listed.weight)
        self.cold_until_ms = self._cold_until_ms()

    def end_cordon(self, now_ms: float) -> None:
        """Handles the end of a cordon."""
        self.reset()
        self.back_ms, self.unused = now_ms, True
        self.failures, self.paused_until_ms = 0, now_ms
        self.limit = max(self.limit, INITIAL_LIMIT)
        self.cold_until_ms = self._cold_until_ms()

    def _started_ms(self) -> float | None:
        started_ms = self.listed.started_ms
        if started_ms is None or (self.back_ms is not None and self.back_ms > started_ms):
            started_ms = self.back_ms
        return started_ms

    def _cold_until_ms(self) -> float:
        started_ms = self._started_ms()
        return float("-inf") if started_ms is None else started_ms + max(0.0, self.safety.cold_ms)

    def warmth(self, now_ms: float) -> float:
        """Returns the fraction of its full capacity that it has at least, as it warms up."""
        started_ms = self._started_ms()
        if now_ms >= self.cold_until_ms or started_ms is None:
            return 1.0
        age = max(0.0, now_ms - started_ms) / self.safety.cold_ms
        return min(1.0, self.safety.cold_share + (1 - self.safety.cold_share) * age)

    def score(self) -> float:
        """Returns the figure by which two drawn servers are compared. Only credit limits a cold server: with
        a lower score as well, it would be idle while the warm ones are full."""
        return self.earned / self.slowness / (1 + self.in_flight)
