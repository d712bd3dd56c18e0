"""From an old process to a new one: the listening socket, what the old one knows, and a line between them.

The old process listens on a Unix socket in the temporary folder. A new one that finds it there gets the
clients' listening socket itself (SCM_RIGHTS), so there is one accept queue and nothing in it is lost when
the old process closes its copy. Until one of them ends they tell each other what operators asked of either.

Whatever goes wrong on the way, the new process starts plainly: a peer that is dead, silent or talks
nonsense must not keep a new version from coming up.
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

VERSION = 1  # of the state; the listening socket is of use whatever the state's version
ANSWER_S = 1.5  # for the whole handover, seen from the new process
HELLO_S = 1.0  # for the new process to say what it wants
MOST_STATE = 8 * 1024 * 1024
MOST_LINE = 64 * 1024
HEADER = 8  # the state's length in bytes, as hexadecimal digits
log = logging.getLogger(__name__)


def path_for(listen: Address) -> Path:
    """Named for the clients' address: other client proxies may share the folder."""
    host = listen[0].replace(":", "_")
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir(), f"cypresswinch-{host}-{listen[1]}.sock")


def write_memory(memory: BalancerState) -> Json:
    return asdict(memory)


def read_memory(found: Any, now_ms: float) -> BalancerState:
    """Raises ValueError for anything but a memory: the module believes what it is handed."""

    def number(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
            raise ValueError(f"not a figure: {value!r}")
        return float(value)

    def text(value: Any) -> str:
        if not isinstance(value, str):
            raise ValueError(f"not a name: {value!r}")
        return value

    def names(value: Any) -> tuple[str, ...]:
        if not isinstance(value, list):
            raise ValueError(f"not names: {value!r}")
        return tuple(map(text, value))

    try:
        return BalancerState(
            cordons=names(found["cordons"]),
            listed=names(found["listed"]),
            back_ms=tuple((text(name), min(now_ms, number(at_ms))) for name, at_ms in found["back_ms"]),
            tokens=number(found["tokens"]),
            peak_rate=number(found["peak_rate"]),
            flow_limit=number(found["flow_limit"]),
            endpoints=tuple(
                EndpointEstimates(
                    name=text(e["name"]),
                    started_ms=None if e["started_ms"] is None else float(e["started_ms"]),
                    earned=number(e["earned"]),
                    slowness=max(0.01, number(e["slowness"])),
                    limit=number(e["limit"]),
                    latency_ms=number(e["latency_ms"]),
                    # It can be overdrawn by a part of one request, which is then a little less than nothing.
                    cold_credit=None if e["cold_credit"] is None else number(max(0, e["cold_credit"])),
                )
                for e in found["endpoints"]
            ),
            classes=tuple(
                LatencyEstimates(
                    name=text(c["name"]),
                    mean_ms=number(c["mean_ms"]),
                    base_ms=number(c["base_ms"]),
                    slow_ratio=number(c["slow_ratio"]),
                    seen=int(number(c["seen"])),
                )
                for c in found["classes"]
            ),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a memory: {error!r}") from error


class Link:
    """A line to the other process: JSON objects, one a line, either way."""

    def __init__(
        self, sock: socket.socket, on_message: Callable[[Link, Json], None], on_end: Callable[[Link], None]
    ) -> None:
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._writer: asyncio.StreamWriter | None = None
        self._early: list[bytes] = []  # said before the streams were up
        self._task = asyncio.get_running_loop().create_task(self._read())

    def say(self, message: Json) -> None:
        line = json.dumps(message).encode() + b"\n"
        if self._writer is None:
            self._early.append(line)
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
            reader, self._writer = await asyncio.open_connection(sock=self._sock, limit=MOST_LINE)
            self._writer.writelines(self._early)
            while line := await reader.readline():
                message = json.loads(line)
                if not isinstance(message, dict):
                    raise ValueError("not an object")
                self._on_message(self, message)
        except (OSError, ValueError) as error:
            log.warning("the line to the other process: %s: %s", type(error).__name__, error)
        if self._writer is not None:
            self._writer.close()
        self._on_end(self)


class Giver:
    """The old process's side: waits for a new one, and gives."""

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
        """Take the name over, from a predecessor too: a rename leaves no moment without one."""
        own = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        own.unlink(missing_ok=True)
        self._sock.setblocking(False)
        # A Unix address is short, and the folder's name may be long: go by the folder's descriptor.
        folder = os.open(self._path.parent, os.O_PATH | os.O_DIRECTORY)
        try:
            self._sock.bind(f"/proc/self/fd/{folder}/{own.name}")
        finally:
            os.close(folder)
        os.chmod(own, 0o600)
        self._sock.listen(4)
        os.rename(own, self._path)
        self._inode = os.stat(self._path).st_ino
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._sock.close()
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:  # a successor's stays
                os.unlink(self._path)

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            peer, _ = await loop.sock_accept(self._sock)
            try:
                async with asyncio.timeout(HELLO_S):
                    peer.setblocking(False)
                    hello = await loop.sock_recv(peer, 256)
                    if hello.strip() != b"take over":
                        raise ValueError(f"not a greeting: {hello!r}")
                    state = json.dumps({"version": VERSION, **self._state()}).encode()
                    socket.send_fds(peer, [b"%08x" % len(state)], [self._listener.fileno()])
                    await loop.sock_sendall(peer, state)
            except (OSError, ValueError) as error:  # TimeoutError among them
                log.warning("handing over failed: %s: %s", type(error).__name__, error)
                peer.close()
                continue
            self._on_link(peer)


@dataclass(slots=True)
class Inheritance:
    listener: socket.socket
    peer: socket.socket
    state: Json  # empty: of a version that is not understood, or unreadable


def take(path: Path) -> Inheritance | None:
    """What the process before has to give; None where there is none, or none that can be used.

    Blocks, for a bounded time: a process that has not begun has nothing else to do.
    """
    until = time.monotonic() + ANSWER_S
    peer = socket.socket(socket.AF_UNIX)
    found: list[int] = []
    try:
        folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
        try:
            peer.settimeout(ANSWER_S)
            peer.connect(f"/proc/self/fd/{folder}/{path.name}")
        finally:
            os.close(folder)
        peer.sendall(b"take over\n")
        header, found, _, _ = socket.recv_fds(peer, HEADER, 4)
        if not found:
            raise ValueError("no listening socket came")
        while len(header) < HEADER:
            header += _more(peer, HEADER - len(header), until)
        size = int(header, 16)
        if size > MOST_STATE:
            raise ValueError(f"a state of {size} bytes")
        data = bytearray()
        while len(data) < size:
            data += _more(peer, size - len(data), until)
        listener = socket.socket(fileno=found.pop(0))
        listener.setblocking(False)
        return Inheritance(listener, peer, _read_state(bytes(data)))
    except (FileNotFoundError, ConnectionRefusedError):
        log.info("no process before this one")
    except (OSError, ValueError) as error:
        log.warning("nothing usable from the process before: %s: %s", type(error).__name__, error)
    finally:
        for number in found:
            os.close(number)
    peer.close()
    return None


def _more(peer: socket.socket, size: int, until: float) -> bytes:
    peer.settimeout(max(0.001, until - time.monotonic()))
    data = peer.recv(min(size, 65536))
    if not data:
        raise ValueError("the handover ended early")
    return data


def _read_state(data: bytes) -> Json:
    state: Any = json.loads(data)
    if not isinstance(state, dict) or state.get("version") != VERSION:
        log.warning("the process before speaks another version: only its listening socket is taken over")
        return {}
    return state
