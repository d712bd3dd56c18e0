"""The interface of the control plane that the calls of operators and servers use."""

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
    """The cores that answer calls, and the forwarding of calls to the head."""

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
        """The identity of this machine's disk, or None if it is not a replica."""
        ...

    @property
    def quota_notes_refused(self) -> int:
        """The number of quota notes on this machine's disk that were rejected."""
        ...

    def catch_up_progress(self) -> dict[str, Any]:
        """Returns the progress of a state transfer that this head sends in parts; empty if none."""
        ...

    def ask_head(self, ticket: int, kind: CallKind, command: bytes) -> None:
        """Forwards a call to the head; `ControlCalls.complete_call` receives the result."""
        ...

    def apply_registry_effects(self, effects: Iterable[Effect]) -> None:
        """Applies effects that a call of the registry returned."""
        ...
