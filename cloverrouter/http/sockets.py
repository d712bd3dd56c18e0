"""What sockets are asked and told beneath asyncio."""

from __future__ import annotations

import select
import socket
import struct
from contextlib import suppress

READ_BYTES = 64 * 1024  # of the one buffer that all connections of a loop read into
BACKLOG = 1024
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: the end is a reset, and what has not gone out is dropped


def _peek(sock: socket.socket) -> bytes | None:
    """The first byte not read yet; empty for the peer's end or a reset, None if nothing has come."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


def unread(sock: socket.socket) -> bool:
    """Has the peer sent something, or its end, that has not been read yet?"""
    return _peek(sock) is not None


def hung_up(sock: socket.socket) -> bool:
    """Has the peer ended its side, or reset the connection? Its end may stand behind bytes that nobody has
    read yet, which takes one call more to see."""
    first = _peek(sock)
    if not first:
        return first is not None
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(how & ENDED for _, how in poll.poll(0))


def reset_at_close(sock: socket.socket) -> None:
    """Danger: half an answer whose end is the connection's is whole, after an orderly end."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def send_at_once(sock: socket.socket) -> None:
    """Danger: the loop does so only for sockets made with the protocol's number; those of a plain listener
    are not. The last small piece of an answer would wait in the system for the peer to acknowledge the one
    before, and go with a close over unread bytes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def notice_dead_peer(sock: socket.socket, after_s: float) -> None:
    """Break the connection if sent bytes are not acknowledged for so long."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(after_s * 1000))


def family_of(address: tuple[str, int]) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def open_socket(address: tuple[str, int]) -> socket.socket:
    """For a connection to `address`. Raises OSError for a lack of our own: no descriptor, no memory."""
    sock = socket.socket(family_of(address))
    sock.setblocking(False)
    send_at_once(sock)
    return sock


def bind(address: tuple[str, int]) -> socket.socket:
    """A listening socket."""
    listener = socket.socket(family_of(address))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # A new process that can't get this socket from the old one can still start beside it.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener
