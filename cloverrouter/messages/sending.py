"""The effect that all cores without I/O share: sending a message to another machine."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class Send:
    """Requests that `message` be sent to the machine at `ip`. It is dropped if the connection is down.

    A message to the machine's own address is delivered to its own core as a received message.
    """

    ip: str
    message: object
