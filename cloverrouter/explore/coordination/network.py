"""Messages under way between the parts of a world: late, lost, and overtaken on newer connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.worlds import move


@attrs.frozen(slots=True, eq=False)
class Letter:
    """A message under way. `text`: what it is; two of one text are the same."""

    source: str
    target: str
    message: object
    text: str

    def __str__(self) -> str:
        return f"{self.text} from {self.source} to {self.target}"


class Network:
    """All messages under way, in the order in which they were sent."""

    def __init__(self) -> None:
        self.letters: list[Letter] = []

    def send(self, source: str, target: str, message: object, text: str) -> None:
        """A message goes out."""
        self.letters.append(Letter(source, target, message, text))

    def take(self, place: int) -> Letter:
        """A message leaves the network."""
        return self.letters.pop(place)

    def cut(self, source: str, target: str) -> None:
        """A connection is reset: what is on it is lost."""
        self.letters = [each for each in self.letters if (each.source, each.target) != (source, target)]

    def links(self) -> list[tuple[str, str]]:
        """The connections that carry something."""
        return list(dict.fromkeys((each.source, each.target) for each in self.letters))

    def moves(
        self, deliver: Callable[[int], None], lose: Callable[[int], None] | None = None
    ) -> Iterable[Action]:
        """What is first on a connection comes next; what is behind it may come first over a newer one."""
        seen: set[str] = set()
        busy: set[tuple[str, str]] = set()
        for place, letter in enumerate(self.letters):
            link = (letter.source, letter.target)
            if str(letter) not in seen:
                if link in busy:
                    yield move(f"overtakes: {letter}", deliver, place, cost=1)
                else:
                    yield move(f"comes: {letter}", deliver, place)
                if lose is not None:
                    yield move(f"is lost: {letter}", lose, place, cost=1)
            seen.add(str(letter))
            busy.add(link)

    def key(self) -> list[str]:
        """What is on each connection, in order."""
        return [str(each) for each in sorted(self.letters, key=lambda each: (each.source, each.target))]
