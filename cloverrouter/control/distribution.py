"""Committed configurations to every machine, by versioned updates over long-lived links, after the manner
of xDS.

Every machine subscribes to all voters, each of which offers the newest sequence number at each change and
twice a second. One of them (its source: in its own zone if it can be) pushes updates as they are committed;
what is missing is pulled from it, or from another one if it does not answer. Updates where the machine has
the state before, a snapshot where not; long ones in parts of 64 KiB, two under way at a time, so that a
slow link stays free for other messages. A majority of voters heard of within the lease is what lets a
machine call itself current.

Cost at 350 machines and 3 voters: offers 1 a second from each voter to each machine (350 x 16 B a second
from a voter), subscriptions every 2 s (10 B); a change is a push to each machine (its bytes + 20 B, a third
of them from each voter), two offers of 16 B and a receipt of 10 B. A snapshot of 1 MB (about 120 KB
deflated) for 117 machines is 14 MB from each voter. For thousands of machines the pushes would go down a
tree whose inner places are the proxies of a zone, while offers stay direct.
"""

from __future__ import annotations

from cloverrouter.control.distribution_messages import NOTHING
from cloverrouter.control.publisher import Publisher, SnapshotWanted
from cloverrouter.control.subscriber import Apply, Replace, Subscriber
from cloverrouter.control.voter_choice import VoterAddress

__all__ = ["NOTHING", "Apply", "Publisher", "Replace", "SnapshotWanted", "Subscriber", "VoterAddress"]
