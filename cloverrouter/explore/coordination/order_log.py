"""The replicated state machine of the model: a log that accepts each order once."""

from __future__ import annotations

from cloverrouter.coordination.effects import Decision


class OrderLog:
    """The accepted orders in sequence. The sequence number of a state is the number of its orders."""

    def __init__(self) -> None:
        self.orders: list[str] = []

    def decide(self, command: bytes) -> Decision:
        """Accepts a new order; answers a repeated one with its existing number and no update."""
        name = command.decode()
        if name in self.orders:
            return Decision(str(self.orders.index(name) + 1).encode(), None)
        return Decision(str(len(self.orders) + 1).encode(), command)

    def apply(self, update: bytes) -> None:
        """Appends an order."""
        self.orders.append(update.decode())

    def snapshot(self) -> bytes:
        """Returns all orders, separated by spaces."""
        return " ".join(self.orders).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replaces all orders by those of a snapshot."""
        self.orders = snapshot.decode().split()


def orders_of(snapshot: bytes) -> list[str]:
    """Returns the orders of a snapshot."""
    return snapshot.decode().split()
