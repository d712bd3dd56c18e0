"""Datagrams from client proxy to client proxy. Nothing depends on them: they come late, twice, or never."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from cloverrouter.proxy import config

log = logging.getLogger(__name__)


class Peers(asyncio.DatagramProtocol):
    """The socket for them. `on_news` gets what came."""

    def __init__(self, told: config.Peers, on_news: Callable[[bytes], None]) -> None:
        self._told = told
        self._on_news = on_news
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Without a socket the proxy works alone; that is logged once."""
        loop = asyncio.get_running_loop()
        try:
            # Two processes share the address while one takes over from the other.
            await loop.create_datagram_endpoint(lambda: self, local_addr=self._told.listen, reuse_port=True)
        except OSError as error:
            log.warning("no news from other proxies: %s", error)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_news(data)

    def error_received(self, exc: Exception) -> None:
        """A peer is not there: that is the others' business."""

    def say(self, data: bytes) -> None:
        """To all of them."""
        if self._transport is not None:
            for address in self._told.to:
                self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
