"""What the calls of operators and servers need of this process's control plane."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from cloverrouter.control.forwarding import CallKind
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.subscriber import Subscriber
from cloverrouter.coordination.sampling_messages import ViewSummary
from cloverrouter.daemon.configuration_feed import ConfigurationFeed
from cloverrouter.daemon.traffic import Traffic
from cloverrouter.daemon.transport import Transport


class PlanePort(Protocol):
    """The cores that calls are answered from, and the way to the head."""

    @property
    def registry(self) -> Registry: ...

    @property
    def subscriber(self) -> Subscriber: ...

    @property
    def feed(self) -> ConfigurationFeed: ...

    @property
    def traffic(self) -> Traffic: ...

    @property
    def transport(self) -> Transport: ...

    @property
    def summary(self) -> ViewSummary | None:
        """The newest view that this process knows."""
        ...

    @property
    def disk_identity(self) -> str | None:
        """The identity of this machine's disk, if it is a replica."""
        ...

    @property
    def quota_notes_refused(self) -> int:
        """Notes on the own disk that did not count."""
        ...

    def handing_over(self) -> dict[str, Any]:
        """As head: the long state that a member is handed in parts; empty: none."""
        ...

    def ask_head(self, ticket: int, kind: CallKind, command: bytes) -> None:
        """Have the head answer a call; `ControlCalls.call_ended` hears of it."""
        ...

    def note(self, effects: Iterable[Effect]) -> None:
        """Carry out what a call of the registry gave."""
        ...
