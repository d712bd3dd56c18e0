"""The one effect that all pure cores share: a message that is to go to another machine."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class Send:
    """Hand `message` to the link to the machine at `ip`; it is dropped where the link is down.

    A send to the machine's own address comes back to its own core as a received message.
    """

    ip: str
    message: object
