"""Distributes committed configurations to all machines as versioned updates over long-lived connections,
similar to xDS.

Each machine subscribes to all voters. Each voter offers its newest sequence number at each change and once or
twice a second. One voter is the machine's source, in its own zone if possible: it pushes updates as they are
committed, and missing state is pulled from it, or from another voter if it does not answer. A machine that
has the preceding state gets updates, any other one a snapshot. Long content is sent in parts of 64 KiB, at
most two in flight, so that a slow link stays free for other messages. A machine is current while it has
received messages from a majority of the voters within their leases.

Cost with 350 machines and 3 voters: each voter sends each machine one offer per second (350 x 16 bytes/s
per voter), and each machine sends a subscription every 2 s (10 bytes). A change costs, per machine, one push
(the update + 20 bytes; each voter sends a third of the pushes), two offers of 16 bytes and an acknowledgement
of 10 bytes. A snapshot of 1 MB (about 120 KB deflated) for 117 machines costs each voter 14 MB. With
thousands of machines, pushes would have to be relayed through a tree with proxies of each zone as inner
nodes, while offers stay direct.
"""

from __future__ import annotations

from cloverrouter.control.distribution_messages import NOTHING
from cloverrouter.control.publisher import Publisher, SnapshotWanted
from cloverrouter.control.subscriber import Apply, Replace, Subscriber
from cloverrouter.control.voter_choice import VoterAddress

__all__ = ["NOTHING", "Apply", "Publisher", "Replace", "SnapshotWanted", "Subscriber", "VoterAddress"]
