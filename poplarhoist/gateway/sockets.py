"""Socket options: detect connections whose other side has gone silent, and close by a reset."""

import socket
import struct

# Seconds of silence before the first TCP keepalive probe, seconds between probes, and probes that
# may be lost. Together they stay below the time after which callers leave a silent stream.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def socket_options(user_timeout_s: float) -> list[tuple[int, int, int]]:
    """Return the options of a connection to an endpoint or the store.

    Parameters
    ----------
    user_timeout_s : float
        Seconds that sent bytes may stay unacknowledged before the connection is dropped.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ]


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a socket reset its connection; bytes that are not yet sent are dropped."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
