"""Simulation of replicas with links of limited bandwidth, in-order delivery, and large states."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from cloverrouter.coordination.effects import Answer, Outcome, StateMachine
from cloverrouter.messages.sending import Send
from tests.system.replica_world import Node, Register, World

MESSAGE_OVERHEAD_BYTES = 100
SPACING_S = 0.0008  # exceeds the links' jitter, so that messages are not reordered
BYTES_PER_S = 1_250_000  # bytes per second


class LongRegister(Register):
    """A register whose state is padded with blanks."""

    def __init__(self, padding_bytes: int) -> None:
        super().__init__()
        self._padding_bytes = padding_bytes

    def snapshot(self) -> bytes:
        return super().snapshot() + b" " * self._padding_bytes


class SlowWorld(World):
    """`state_s`: transfer time of a whole state on a link."""

    def __init__(self, seed: int, count: int, tolerance: int, state_s: float, **options: Any) -> None:
        self._padding_bytes = int(state_s * BYTES_PER_S)
        self._free: dict[tuple[str, str], float] = {}
        super().__init__(seed, count, tolerance, **options)
        self.nemesis = self._link_delay_s

    def new_machine(self) -> StateMachine:
        return LongRegister(self._padding_bytes)

    def _link_delay_s(self, node: Node, effect: Send) -> float:
        """Returns the delay until the link has carried a message and all before it."""
        link = (node.ip, effect.ip)
        begins = max(self.now, self._free.get(link, 0.0) + SPACING_S)
        self._free[link] = begins + size_of(effect.message) / BYTES_PER_S
        return self._free[link] - self.now

    def put(self, name: str, done: Callable[[bool], None]) -> None:
        """Sends a command to the head, and again until it is done."""
        head = self.head()
        if head is None:
            self.at(self.now + 0.05, lambda: self.put(name, done))
            return
        life = head.life
        answers: list[Answer] = []

        def on_answer(answer: Answer) -> None:
            answers.append(answer)
            if answer.outcome is Outcome.DONE:
                self.check_acknowledged(json.loads(answer.reply)[1], name)
                done(True)
            else:
                self.at(self.now + 0.05, lambda: self.put(name, done))

        def look() -> None:
            if not answers and head.life != life:
                self.put(name, done)
            elif not answers:
                self.at(self.now + 0.1, look)

        command = json.dumps({"id": name, "expect": None, "value": name}).encode()
        self.submit(head, command, on_answer)
        self.at(self.now + 0.1, look)


def size_of(message: object) -> int:
    """Returns the approximate size of a message in bytes."""
    snapshot = getattr(message, "snapshot", None) or b""
    updates = getattr(message, "updates", ())
    part = getattr(message, "data", b"")
    return MESSAGE_OVERHEAD_BYTES + len(snapshot) + len(part) + sum(len(update) for update in updates)
