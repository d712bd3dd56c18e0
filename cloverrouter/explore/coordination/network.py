"""Messages in flight between the parts of a world: they may be delayed, lost or reordered."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world_model import move


@attrs.frozen(slots=True, eq=False)
class Envelope:
    """A message in flight. Two messages with the same source, target and `text` count as equal."""

    source: str
    target: str
    message: object
    text: str

    def __str__(self) -> str:
        return f"{self.text} from {self.source} to {self.target}"


class Network:
    """All messages in flight, in the order in which they were sent."""

    def __init__(self) -> None:
        self.envelopes: list[Envelope] = []

    def send(self, source: str, target: str, message: object, text: str) -> None:
        """Adds a message."""
        self.envelopes.append(Envelope(source, target, message, text))

    def remove(self, position: int) -> Envelope:
        """Removes and returns the message at a position, on delivery or loss."""
        return self.envelopes.pop(position)

    def reset(self, source: str, target: str) -> None:
        """Resets a connection: all messages on it are lost."""
        self.envelopes = [each for each in self.envelopes if (each.source, each.target) != (source, target)]

    def busy_links(self) -> list[tuple[str, str]]:
        """Returns the connections that carry at least one message."""
        return list(dict.fromkeys((each.source, each.target) for each in self.envelopes))

    def moves(
        self, deliver: Callable[[int], None], lose: Callable[[int], None] | None = None
    ) -> Iterable[Action]:
        """Yields the possible deliveries and, with `lose`, losses.

        The first message of a connection is delivered in order at no cost. A later one overtakes it, as on
        a newer connection, at the cost of one deviation. A loss costs one deviation.
        """
        seen: set[str] = set()
        used_links: set[tuple[str, str]] = set()
        for position, envelope in enumerate(self.envelopes):
            link = (envelope.source, envelope.target)
            if str(envelope) not in seen:
                if link in used_links:
                    yield move(f"overtakes: {envelope}", deliver, position, cost=1)
                else:
                    yield move(f"comes: {envelope}", deliver, position)
                if lose is not None:
                    yield move(f"is lost: {envelope}", lose, position, cost=1)
            seen.add(str(envelope))
            used_links.add(link)

    def key(self) -> list[str]:
        """Returns the messages of each connection in order, as text."""
        return [str(each) for each in sorted(self.envelopes, key=lambda each: (each.source, each.target))]
