"""Socket options and checks below the level of asyncio."""

from __future__ import annotations

import select
import socket
import struct
from contextlib import suppress

READ_BYTES = 64 * 1024  # size of the read buffer shared by all connections of a loop
BACKLOG = 1024
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# SO_LINGER on with timeout 0: close() sends a reset and drops unsent data.
LINGER_RESET = struct.pack("ii", 1, 0)


def _peek(sock: socket.socket) -> bytes | None:
    """Returns the first unread byte; empty at the end of input or after a reset, None without input."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


def unread(sock: socket.socket) -> bool:
    """Whether data, the end of input or a reset waits to be read."""
    return _peek(sock) is not None


def hung_up(sock: socket.socket) -> bool:
    """Whether the peer has closed its side or reset the connection.

    The end may follow unread bytes; only then the additional poll call is needed.
    """
    first = _peek(sock)
    if not first:
        return first is not None
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(event & HANG_UP_EVENTS for _, event in poll.poll(0))


def reset_at_close(sock: socket.socket) -> None:
    """Makes close() send a reset.

    After an orderly close, an incomplete response that is delimited by the end of the connection would look
    complete.
    """
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def disable_nagle(sock: socket.socket) -> None:
    """Sets TCP_NODELAY.

    asyncio sets it only on sockets created with an explicit protocol number, which accepted sockets lack.
    Without it the last small piece of a response waits in the kernel until the peer has acknowledged the
    piece before, and is lost if the socket is closed with unread input.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_user_timeout(sock: socket.socket, after_s: float) -> None:
    """Breaks the connection if sent data stays unacknowledged for `after_s` seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(after_s * 1000))


def family_of(address: tuple[str, int]) -> socket.AddressFamily:
    """Returns the address family of an IPv4 or IPv6 address and port."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Creates a socket to connect to `address`. Raises OSError if descriptors or memory run out."""
    sock = socket.socket(family_of(address))
    sock.setblocking(False)
    disable_nagle(sock)
    return sock


def bind(address: tuple[str, int]) -> socket.socket:
    """Returns a listening socket. Raises OSError if the address cannot be bound."""
    listener = socket.socket(family_of(address))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # A new process that cannot inherit this socket from the old one can still bind the address.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener
