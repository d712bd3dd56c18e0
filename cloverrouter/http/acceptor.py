"""A listening socket from which connections are taken a few at a time."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

ACCEPTED_AT_ONCE = 16  # then those that are open have their turn
PAUSE_S = 0.2  # after a lack of descriptors or memory
log = logging.getLogger(__name__)


class Acceptor:
    """Hands each new connection's socket, not blocking, to `take`.

    Danger: the loop's own server takes a whole backlog before one of them is counted; it runs out of
    descriptors then, and stops accepting for a second.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        take: Callable[[socket.socket], None],
        make_room: Callable[[], object],
    ) -> None:
        self._loop = loop
        self.listener = listener
        self._take = take
        self._make_room = make_room
        self._accepting = False

    def start(self) -> None:
        self._accepting = True
        self._loop.add_reader(self.listener, self.accept)

    def stop(self) -> None:
        """Leave the queue of new connections to another process, for now or for good."""
        self._accepting = False
        self._loop.remove_reader(self.listener)

    @property
    def accepting(self) -> bool:
        return self._accepting

    def close(self) -> None:
        self.stop()
        self.listener.close()

    def accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                sock, _peer = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # out of descriptors or memory: make room, and come back to it
                log.error("accept: %s", error)
                self._make_room()
                self._loop.remove_reader(self.listener)
                self._loop.call_later(PAUSE_S, self._resume)
                return
            sock.setblocking(False)
            self._take(sock)

    def _resume(self) -> None:
        if self._accepting:
            self.start()
