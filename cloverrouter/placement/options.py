"""Which mechanisms of placement are in use: all of them, but in an experiment that measures one."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class PlacementOptions:
    """A switch for each mechanism. What is left with all of them off is the design's comparison of two
    candidates by payoff / (1 + own in flight)."""

    reserved_servers: bool = True
    """Some servers are kept from long prompts, for requests that talk (`placement/reserved.py`)."""
    reserved_growth: bool = True
    """More servers are kept calm while answers begin late there."""
    home_advantage: bool = True
    """The first of a subject's order keeps a request unless the second looks much better."""
    load_bound: bool = True
    """A server with many own requests under way, or late answers, hands on to the next of the order."""
    learnt_delays: bool = True
    """Answers that begin late count against a server."""
    cache_model: bool = True
    """What was sent to a server is taken to be kept there, as far as its memory goes."""
    failure_rate: bool = True
    """Servers that fail requests, here or at other proxies, are left alone for a while."""
    doubts: bool = True
    """A server that sends nothing while a request waits there is passed over."""
    patience: bool = True
    """A request that may run again leaves a server that seems to hang."""
    nearby_streams: bool = True
    """Long answers to little that is shared come from the own zone, by load."""
    reported_loads: bool = True
    """What servers tell of their load counts, where they do."""
    late_last: bool = True
    """Requests whose objective has passed let others go first at a server."""


IN_USE = PlacementOptions()
"""What the program runs with."""
