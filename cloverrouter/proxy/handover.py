"""The handover from an old process to a new one: the listening socket, the balancer's state, and a link.

The old process listens on a Unix socket in the temporary directory. A new process that finds it there
receives the clients' listening socket itself (SCM_RIGHTS), so that there is one accept queue, and nothing in
it is lost when the old process closes its copy. Until one of them ends, each forwards operators' requests to
the other over the link.

If anything fails, the new process starts without a handover: an old process that is dead, silent or sends
invalid data must not prevent a new version from starting.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from cloverrouter.interface import BalancerState, EndpointEstimates, LatencyEstimates
from cloverrouter.proxy.config import Address, Json

VERSION = 1  # of the state; the listening socket is taken over whatever the state's version
HANDOVER_TIMEOUT_S = 1.5  # for the whole handover, on the new process's side
REQUEST_TIMEOUT_S = 1.0  # for the new process to send its request
MAX_STATE_BYTES = 8 * 1024 * 1024
MAX_LINE_BYTES = 64 * 1024
HEADER_BYTES = 8  # the state's length in bytes, as hexadecimal digits
log = logging.getLogger(__name__)


def path_for(listen: Address) -> Path:
    """Returns the path of the handover socket. It contains the listening address, because other client
    proxies may use the same directory."""
    host = listen[0].replace(":", "_")
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir(), f"cypresswinch-{host}-{listen[1]}.sock")


def encode_state(balancer_state: BalancerState) -> Json:
    """Returns the state as a JSON object whose keys are the names of its fields."""
    return asdict(balancer_state)


def decode_state(raw: Any, now_ms: float) -> BalancerState:
    """Reads a state written by `encode_state`. Raises ValueError for an invalid one: the balancer does not
    check what it is given. Times after `now_ms` are set to it."""

    def number(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
            raise ValueError(f"not a number in range: {value!r}")
        return float(value)

    def text(value: Any) -> str:
        if not isinstance(value, str):
            raise ValueError(f"not a string: {value!r}")
        return value

    def names(value: Any) -> tuple[str, ...]:
        if not isinstance(value, list):
            raise ValueError(f"not a list: {value!r}")
        return tuple(map(text, value))

    try:
        return BalancerState(
            cordons=names(raw["cordons"]),
            listed=names(raw["listed"]),
            back_ms=tuple((text(name), min(now_ms, number(at_ms))) for name, at_ms in raw["back_ms"]),
            tokens=number(raw["tokens"]),
            peak_rate=number(raw["peak_rate"]),
            flow_limit=number(raw["flow_limit"]),
            endpoints=tuple(
                EndpointEstimates(
                    name=text(e["name"]),
                    started_ms=None if e["started_ms"] is None else float(e["started_ms"]),
                    earned=number(e["earned"]),
                    slowness=max(0.01, number(e["slowness"])),
                    limit=number(e["limit"]),
                    latency_ms=number(e["latency_ms"]),
                    # It may be overdrawn by a fraction of one request, and then be slightly negative.
                    cold_credit=None if e["cold_credit"] is None else number(max(0, e["cold_credit"])),
                )
                for e in raw["endpoints"]
            ),
            classes=tuple(
                LatencyEstimates(
                    name=text(c["name"]),
                    mean_ms=number(c["mean_ms"]),
                    base_ms=number(c["base_ms"]),
                    slow_ratio=number(c["slow_ratio"]),
                    seen=int(number(c["seen"])),
                )
                for c in raw["classes"]
            ),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a balancer state: {error!r}") from error


class Link:
    """The link to the other process: JSON objects in both directions, one a line."""

    def __init__(
        self, sock: socket.socket, on_message: Callable[[Link, Json], None], on_end: Callable[[Link], None]
    ) -> None:
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._writer: asyncio.StreamWriter | None = None
        self._pending_lines: list[bytes] = []  # sent before the streams were open
        self._task = asyncio.get_running_loop().create_task(self._read())

    def send(self, message: Json) -> None:
        """Sends a message, once the link is open."""
        line = json.dumps(message).encode() + b"\n"
        if self._writer is None:
            self._pending_lines.append(line)
        else:
            self._writer.write(line)

    def close(self) -> None:
        self._task.cancel()
        if self._writer is not None:
            self._writer.close()
        else:
            self._sock.close()

    async def _read(self) -> None:
        try:
            self._sock.setblocking(False)
            reader, self._writer = await asyncio.open_connection(sock=self._sock, limit=MAX_LINE_BYTES)
            self._writer.writelines(self._pending_lines)
            while line := await reader.readline():
                message = json.loads(line)
                if not isinstance(message, dict):
                    raise ValueError("not an object")
                self._on_message(self, message)
        except (OSError, ValueError) as error:
            log.warning("link to the other process: %s: %s", type(error).__name__, error)
        if self._writer is not None:
            self._writer.close()
        self._on_end(self)


class HandoverServer:
    """The old process's side: waits for a new process and hands over to it."""

    def __init__(
        self,
        path: Path,
        listener: socket.socket,
        state: Callable[[], Json],
        on_link: Callable[[socket.socket], None],
    ) -> None:
        self._path = path
        self._listener = listener
        self._state = state
        self._on_link = on_link
        self._sock = socket.socket(socket.AF_UNIX)
        self._inode = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listens on the handover path. The rename replaces a predecessor's socket atomically."""
        own_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        own_path.unlink(missing_ok=True)
        self._sock.setblocking(False)
        # The path may be too long for a Unix socket address; the directory's descriptor shortens it.
        folder = os.open(self._path.parent, os.O_PATH | os.O_DIRECTORY)
        try:
            self._sock.bind(f"/proc/self/fd/{folder}/{own_path.name}")
        finally:
            os.close(folder)
        os.chmod(own_path, 0o600)
        self._sock.listen(4)
        os.rename(own_path, self._path)
        self._inode = os.stat(self._path).st_ino
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._sock.close()
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:  # not if a successor has replaced it
                os.unlink(self._path)

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            peer, _ = await loop.sock_accept(self._sock)
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    peer.setblocking(False)
                    request = await loop.sock_recv(peer, 256)
                    if request.strip() != b"take over":
                        raise ValueError(f"not a handover request: {request!r}")
                    state = json.dumps({"version": VERSION, **self._state()}).encode()
                    socket.send_fds(peer, [b"%08x" % len(state)], [self._listener.fileno()])
                    await loop.sock_sendall(peer, state)
            except (OSError, ValueError) as error:  # includes TimeoutError
                log.warning("handover to a new process failed: %s: %s", type(error).__name__, error)
                peer.close()
                continue
            self._on_link(peer)


@dataclass(slots=True)
class ReceivedHandover:
    """What a new process has received from the old one."""

    listener: socket.socket  # the clients' listening socket
    peer: socket.socket  # the connection for a `Link`
    state: Json  # empty if its version is not supported, or it is unreadable


def take_over(path: Path) -> ReceivedHandover | None:
    """Returns what the old process hands over; None if there is no old process, or the handover fails.

    Blocks for at most `HANDOVER_TIMEOUT_S`: a process that has not started yet has nothing else to do.
    """
    deadline_s = time.monotonic() + HANDOVER_TIMEOUT_S
    peer = socket.socket(socket.AF_UNIX)
    descriptors: list[int] = []
    try:
        folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
        try:
            peer.settimeout(HANDOVER_TIMEOUT_S)
            peer.connect(f"/proc/self/fd/{folder}/{path.name}")
        finally:
            os.close(folder)
        peer.sendall(b"take over\n")
        header, descriptors, _, _ = socket.recv_fds(peer, HEADER_BYTES, 4)
        if not descriptors:
            raise ValueError("received no listening socket")
        while len(header) < HEADER_BYTES:
            header += _receive(peer, HEADER_BYTES - len(header), deadline_s)
        size = int(header, 16)
        if size > MAX_STATE_BYTES:
            raise ValueError(f"a state of {size} bytes is too large")
        data = bytearray()
        while len(data) < size:
            data += _receive(peer, size - len(data), deadline_s)
        listener = socket.socket(fileno=descriptors.pop(0))
        listener.setblocking(False)
        return ReceivedHandover(listener, peer, _read_state(bytes(data)))
    except (FileNotFoundError, ConnectionRefusedError):
        log.info("no previous process to take over from")
    except (OSError, ValueError) as error:
        log.warning("handover from the previous process failed: %s: %s", type(error).__name__, error)
    finally:
        for descriptor in descriptors:
            os.close(descriptor)
    peer.close()
    return None


def _receive(peer: socket.socket, size: int, deadline_s: float) -> bytes:
    peer.settimeout(max(0.001, deadline_s - time.monotonic()))
    data = peer.recv(min(size, 65536))
    if not data:
        raise ValueError("connection closed before the end of the state")
    return data


def _read_state(data: bytes) -> Json:
    state: Any = json.loads(data)
    if not isinstance(state, dict) or state.get("version") != VERSION:
        log.warning(
            "the previous process uses another version of the state: only its listening socket is taken over"
        )
        return {}
    return state
