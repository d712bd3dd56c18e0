"""Watches the list of servers: long-polls discovery with successive requests on one connection."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any

import httptools

from cloverrouter.proxy.config import Address, HostList, UnixClock, read_list

# How long a request waits for a change. A discovery agent that has failed can't be told from one that has
# nothing to report before this time is over.
LONG_POLL_MS = 3_000
RESPONSE_MARGIN_S = 2.0  # a request that exceeds its wait by this much has failed
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# An empty answer sooner than this comes from an agent that does not wait for changes. The next request is
# then delayed, lest the agent be polled in a busy loop.
IMMEDIATE_RESPONSE_S = 0.05
EMPTY_RESPONSE_DELAY_S = 0.1  # well within the 200 ms after which a watch counts as ended
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0
# A change counts as announced once the agent has it, even while no request is waiting there. So a delay
# between requests must stay below this fraction of the grace period in which a draining server may still be
# sent to.
DRAIN_GRACE_SHARE = 0.4
# A proxy that starts with a restored list asks the agent for changes before it sends anything. After this
# time without an answer, nothing has changed or discovery is down, and the proxy uses the list it has.
FIRST_RESPONSE_TIMEOUT_S = 0.25
WAIT_STEPS = 10  # the wait is divided into so many iterations of the loop
log = logging.getLogger(__name__)


class DiscoveryError(Exception):
    """A request to discovery returned no list."""


class _Response:
    """Receives one response from httptools."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()


class Watch:
    """Keeps the list of servers up to date.

    Calls `on_list` with each list or change received, and `on_failure` after a failed request. With
    `retry_on_failure` the watch then retries with a backoff; otherwise it ends until the next `start`.
    """

    def __init__(
        self,
        address: Address,
        clock: UnixClock,
        retry_on_failure: bool,
        on_list: Callable[[HostList], None],
        on_failure: Callable[[], None],
        random: Random | None = None,
        drain_grace_ms: float = 500.0,
    ) -> None:
        self._max_backoff_s = min(
            MAX_BACKOFF_S, max(IMMEDIATE_RESPONSE_S, DRAIN_GRACE_SHARE * drain_grace_ms / 1000)
        )
        self._min_backoff_s = min(MIN_BACKOFF_S, self._max_backoff_s / 2)
        self._address = address
        self._clock = clock
        self._retry_on_failure = retry_on_failure
        self._on_list = on_list
        self._on_failure = on_failure
        self._random = random or Random()
        self._task: asyncio.Task[None] | None = None
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.version: int | None = None
        self._last_malformed = False  # the last answer, or a part of it, was malformed
        self._skipped_entries: list[Any] = []
        self._first_call_ended = asyncio.Event()  # successfully or not
        self._retired = False  # no request follows the current one
        self.long_poll_ms = LONG_POLL_MS
        self.response_margin_s = RESPONSE_MARGIN_S

    def start(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def wait_for_first_answer(self) -> None:
        """Waits for the first answer of the agent, at most `FIRST_RESPONSE_TIMEOUT_S`.

        A change made while this process was down counts as announced once the agent has it. A proxy that
        used its old list until the first answer would send to servers that have been announced as gone. A
        starting process may also be suspended for longer than the whole wait, with an answer already in the
        socket's buffer; so the wait is divided into several iterations of the loop, which read it.
        """
        for _ in range(WAIT_STEPS):
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_RESPONSE_TIMEOUT_S / WAIT_STEPS):
                    await self._first_call_ended.wait()
                    return

    def retire(self) -> None:
        """Ends the watch after the current request, because another watch takes over. The request is not
        cancelled: a change that its agent has already written counts as announced, read or not."""
        self._retired = True

    def stop(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        self._close()

    async def _run(self) -> None:
        backoff_s = 0.0
        while True:
            started_s = asyncio.get_running_loop().time()
            try:
                hosts = await self._call()
            except Exception as error:
                # Catches everything: an answer that fails to parse in an unforeseen way would end the watch
                # for good. No code of the balancer runs here, so its crashes are not hidden.
                log.warning("discovery: %s: %s", type(error).__name__, error)
                self._close()
                if self._retired:
                    return
                if not isinstance(error, OSError | EOFError | DiscoveryError):
                    self.version = None  # further changes can't be trusted: request the whole list
                self._first_call_ended.set()
                self._on_failure()
                if not self._retry_on_failure:
                    return
                if backoff_s == 0:  # retry a watch that worked until now at once
                    backoff_s = self._min_backoff_s
                    continue
                # Decorrelated jitter, also at the upper bound, so that proxies that fail at the same time
                # do not retry at the same time.
                range_s = min(self._max_backoff_s, 3 * backoff_s) - self._min_backoff_s
                backoff_s = self._min_backoff_s + self._random.random() * range_s
                await asyncio.sleep(backoff_s)
                continue
            backoff_s = 0.0
            self.version = hosts.version
            self._on_list(hosts)
            if self._retired:
                self._close()
                return
            if not self._first_call_ended.is_set():
                self._first_call_ended.set()
                continue
            if not hosts.entries and asyncio.get_running_loop().time() - started_s < IMMEDIATE_RESPONSE_S:
                await asyncio.sleep(EMPTY_RESPONSE_DELAY_S)

    async def _call(self) -> HostList:
        target, long_poll_s = "/v1/servers", 0.0
        if self.version is not None:
            long_poll_ms = self.long_poll_ms if self._first_call_ended.is_set() else 0
            target, long_poll_s = f"{target}?from={self.version}&hold_ms={long_poll_ms}", long_poll_ms / 1000
        async with asyncio.timeout(long_poll_s + self.response_margin_s):
            status, body = await self._get(target)
        if status != 200:
            raise DiscoveryError(f"answered with status {status}")
        return self._parse(json.loads(body))

    def _parse(self, message: Any) -> HostList:
        """Raises ValueError for a list that must not be applied; the whole list is requested next.

        An entry that stays malformed would hide the drains of all others. So if the whole list was requested
        for that reason and is malformed as well, its valid entries are used.
        """
        unreadable: list[Any] | None = [] if self._last_malformed and self.version is None else None
        self._last_malformed = True
        hosts = read_list(message, self._clock, unreadable)
        if self.version is None and not hosts.full:
            raise ValueError("requested the whole list, but received changes")
        if self.version is not None and not hosts.full and hosts.version < self.version:
            raise ValueError(f"received changes for version {hosts.version}, older than {self.version}")
        self._last_malformed = bool(unreadable)
        if unreadable and unreadable != self._skipped_entries:
            log.warning("discovery: skipped %d malformed entries: %r", len(unreadable), unreadable[:3])
        self._skipped_entries = unreadable or []
        return hosts

    async def _get(self, target: str) -> tuple[int, bytes]:
        if self._streams is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        host, port = self._address
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        response = _Response()
        while not response.complete:
            data = await reader.read(65536)
            if not data:
                raise EOFError("connection closed before the end of the response")
            response.parser.feed_data(data)
            if len(response.body) > MAX_RESPONSE_BYTES:
                raise DiscoveryError("the response is too large")
        if not response.keep_alive:
            self._close()
        return response.parser.get_status_code(), bytes(response.body)

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
