"""Switches for the placement mechanisms. All are on, except in an experiment that measures the effect of
one."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class PlacementOptions:
    """One switch for each mechanism. With all of them off, placement compares two candidates by payoff / (1 +
    own requests in flight)."""

    reserved_servers: bool = True
    """Prefill-heavy requests mostly avoid some servers, which are reserved for decode-heavy ones
    (`placement/reserved_servers.py`)."""
    reserved_growth: bool = True
    """More servers are reserved while answers begin late at the reserved ones."""
    home_advantage: bool = True
    """The first server of a request's affinity order gets it unless the second looks much better."""
    load_bound: bool = True
    """A server with many own requests in flight, or with late answers, is skipped for the next one of the
    order."""
    learnt_delays: bool = True
    """Late first tokens count against a server."""
    cache_model: bool = True
    """The prompts sent to a server are assumed to be in its prefix cache, up to its capacity."""
    failure_rate: bool = True
    """Servers that fail requests, here or at other proxies, are avoided for a while."""
    doubts: bool = True
    """A server that sends nothing while a request waits for its answer is avoided."""
    patience: bool = True
    """A retryable request is moved to another server if its server seems to hang."""
    nearby_streams: bool = True
    """Requests with a long answer and a small shared prefix go to servers in the proxy's own zone, by
    load."""
    reported_loads: bool = True
    """The load that servers report in their answers counts."""
    late_last: bool = True
    """Requests whose latency objective has already passed get the lowest priority at the server."""


IN_USE = PlacementOptions()
"""The options that the program runs with."""
