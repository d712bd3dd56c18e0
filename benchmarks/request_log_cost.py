"""What keeping and logging a request costs a node, in microseconds of processor time.

    python benchmarks/request_log_cost.py > /dev/null

The log goes to standard output, the figures to standard error.
"""

from __future__ import annotations

import sys
import time

from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.request_traces import RequestTraces

REQUESTS = 20_000


def cost_us(level: str) -> float:
    """Of one request that is sent once and streamed."""
    traces = RequestTraces(time.monotonic, Log(level, "edge-1"))
    begun = time.process_time()
    for number in range(REQUESTS):
        record = traces.begin(b"%016x" % number, "r-summary", "summary-llm", "himal-tel")
        record.sent("i-summary-llm-3")
        record.flowing()
        record.attempt_ended("streamed")
        record.ended(200)
    return 1e6 * (time.process_time() - begun) / REQUESTS


if __name__ == "__main__":
    for level in ("errors", "requests"):
        print(f"{level}: {cost_us(level):.1f} us a request", file=sys.stderr)
