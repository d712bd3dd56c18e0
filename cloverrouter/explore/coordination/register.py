"""The state machine of the model: a log of orders, each taken once."""

from __future__ import annotations

from cloverrouter.coordination.effects import Decision


class Register:
    """The names of the orders taken, in their order; the state's number is how many they are."""

    def __init__(self) -> None:
        self.orders: list[str] = []

    def decide(self, command: bytes) -> Decision:
        """An order that was taken is confirmed again under its number, any other is taken."""
        name = command.decode()
        if name in self.orders:
            return Decision(str(self.orders.index(name) + 1).encode(), None)
        return Decision(str(len(self.orders) + 1).encode(), command)

    def apply(self, update: bytes) -> None:
        """An order is taken."""
        self.orders.append(update.decode())

    def snapshot(self) -> bytes:
        """All of them."""
        return " ".join(self.orders).encode()

    def restore(self, snapshot: bytes) -> None:
        """Others in their place."""
        self.orders = snapshot.decode().split()


def orders_of(snapshot: bytes) -> list[str]:
    """The orders in a state."""
    return snapshot.decode().split()
