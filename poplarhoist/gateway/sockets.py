"""Socket options that find connections which went silent."""

import socket

# Seconds of silence before the first keep-alive probe, between probes, and how many may be lost;
# together below the time after which callers leave a silent stream.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def socket_options(user_timeout_s: float) -> list[tuple[int, int, int]]:
    """Return the options of a connection to an endpoint or the store.

    Parameters
    ----------
    unacknowledged_s : float
        Seconds for which bytes that were sent may stay without acknowledgement.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ]
