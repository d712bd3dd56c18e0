"""Datagrams between client proxies. Nothing relies on them: they may be late, duplicated or lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from cloverrouter.proxy import config

log = logging.getLogger(__name__)


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket for datagrams from and to peers. `on_datagram` gets each datagram received."""

    def __init__(self, settings: config.PeerSettings, on_datagram: Callable[[bytes], None]) -> None:
        self._settings = settings
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Opens the socket. If that fails, logs a warning, and the proxy works without its peers."""
        loop = asyncio.get_running_loop()
        try:
            # Two processes share the address while one takes over from the other.
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=self._settings.listen, reuse_port=True
            )
        except OSError as error:
            log.warning("can't open the socket for datagrams from other proxies: %s", error)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors: a peer that is not running needs no handling."""

    def broadcast(self, data: bytes) -> None:
        """Sends a datagram to all peers."""
        if self._transport is not None:
            for address in self._settings.targets:
                self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
