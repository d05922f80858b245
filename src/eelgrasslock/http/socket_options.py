"""Options of connections: when the kernel gives them up, and how much a read takes."""

import asyncio
import fcntl
import socket
import struct
import termios

READ_BYTES = 32_768
TCP_USER_TIMEOUT_MILLISECONDS = 2_500
TCP_KEEPALIVE_IDLE_SECONDS = 2
TCP_KEEPALIVE_INTERVAL_SECONDS = 1
TCP_KEEPALIVE_PROBES = 2


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Let each read from a socket take less memory."""
    if hasattr(transport, "max_size"):
        transport.max_size = READ_BYTES


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged."""
    buffered = transport.get_write_buffer_size()
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is None:
        return buffered
    try:
        size = fcntl.ioctl(connected_socket, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return buffered
    return buffered + int(struct.unpack("i", size)[0])


def set_socket_options(connected_socket: socket.socket) -> None:
    """Make the kernel close an unresponsive connection within seconds."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
    )
    for level, name, value in options:
        connected_socket.setsockopt(level, name, value)
