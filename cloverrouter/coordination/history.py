"""The replicated state at one replica: the newest state, the committed sequence number, and the updates in
between."""

from __future__ import annotations

from cloverrouter.coordination.effects import Committed, Decision, Restored, StateMachine
from cloverrouter.store import Snapshot, StoredReplica

# Limits of committed updates that stay in memory for members that lack them.
MAX_RETAINED_BYTES = 512 * 1024
MAX_RETAINED_UPDATES = 256


class History:
    """Newest state and recent updates."""

    def __init__(self, machine: StateMachine) -> None:
        self._machine = machine
        self.newest = 0
        self.committed = 0
        self._updates: list[bytes] = []  # consecutive updates that end with `newest`
        self._bytes = 0
        self._received: Snapshot | None = None  # a state received whole that is not known to be committed
        self._cached: Snapshot | None = None

    def start(self, stored: StoredReplica) -> list[Committed | Restored]:
        """Loads what the disk holds. Returns the committed state if it is known."""
        known = stored.meta.committed
        if stored.snapshot is not None:
            self.replace(stored.snapshot.seq, stored.snapshot.data)
        effects: list[Committed | Restored] = []
        for update in stored.updates:
            if self.newest == known:
                effects += self._resume(known)
            self.append(update.data)
        if self.newest == known:
            effects += self._resume(known)
        return effects

    def _resume(self, seq: int) -> list[Committed | Restored]:
        self.committed = seq
        self._received = None
        return [Restored(seq, self.snapshot().data)] if seq else []

    def decide(self, command: bytes) -> Decision:
        """Evaluates a command against the newest state."""
        return self._machine.decide(command)

    def append(self, update: bytes) -> int:
        """Applies the next update to the newest state. Returns its sequence number."""
        self._machine.apply(update)
        self._updates.append(update)
        self._bytes += len(update)
        self.newest += 1
        self._cached = None
        return self.newest

    def replace(self, seq: int, snapshot: bytes) -> None:
        """Replaces the newest state by one received from another replica."""
        self._machine.restore(snapshot)
        self._updates.clear()
        self._bytes = 0
        self.newest = seq
        self._cached = None
        self._received = Snapshot(seq, snapshot)

    def snapshot(self) -> Snapshot:
        """Returns the newest state."""
        if self._cached is None:
            self._cached = Snapshot(self.newest, self._machine.snapshot())
        return self._cached

    def after(self, seq: int) -> tuple[bytes, ...] | None:
        """Returns the updates after `seq`, or None if they are no longer in memory."""
        count = self.newest - seq
        if not 0 <= count <= len(self._updates):
            return None
        return tuple(self._updates[len(self._updates) - count :])

    def commit(self, seq: int) -> list[Committed | Restored]:
        """Marks the state `seq`, at most the newest, as committed. Returns the effects of that."""
        effects: list[Committed | Restored] = []
        received = self._received
        # Updates before a state that was received whole are unknown here: wait for the commit of that state
        # itself.
        if seq <= self.committed or (received is not None and seq < received.seq):
            return effects
        if received is not None:
            if received.seq > self.committed:
                effects.append(Restored(received.seq, received.data))
                self.committed = received.seq
            self._received = None
        first = self.newest - len(self._updates)  # the state before the first update in memory
        for number in range(self.committed, seq):
            effects.append(Committed(number + 1, self._updates[number - first]))
        self.committed = seq
        self._trim()
        return effects

    def _trim(self) -> None:
        while self._updates and self.newest - len(self._updates) < self.committed:
            if self._bytes <= MAX_RETAINED_BYTES and len(self._updates) <= MAX_RETAINED_UPDATES:
                return
            self._bytes -= len(self._updates.pop(0))
