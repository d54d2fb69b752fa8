"""Connections and pools for calls to the platform, peers and endpoints; urllib3 does not retry."""

import socket

import eventlet
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
    ProtocolError,
)

from poplarhoist.entry.strict_response import StrictResponse

MAX_POOL_AGE_S = 5.0
CONNECTIONS_PER_HOST = 16
READ_CHUNK_BYTES = 65536


class BodyTooLong(ProtocolError):
    """A body, or a part of it that must be held as a whole, does not end within its bound."""


class StrictConnection(HTTPConnection):
    """A connection whose responses are strict.

    Attributes
    ----------
    has_sent_body : bool
        Whether the latest request had a body.
    """

    has_sent_body = False

    def request(self, method: str, url: str, body=None, *args, **options) -> None:
        """Send a request as the base class does, and remember whether it has a body."""
        self.has_sent_body = bool(body)
        super().request(method, url, body, *args, **options)

    def response_class(self, sock: socket.socket, *args, **options) -> StrictResponse:
        """Create the response that is read next."""
        return StrictResponse(sock, *args, follows_body=self.has_sent_body, **options)


class StrictPool(HTTPConnectionPool):
    """A pool of strict connections to one host."""

    ConnectionCls = StrictConnection


def create_pool_manager(**options) -> urllib3.PoolManager:
    """Return pools of strict connections; they do not retry."""
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = manager.pool_classes_by_scheme | {"http": StrictPool}
    return manager


def single_use_pool(**options) -> urllib3.PoolManager:
    """Return a pool for one request over a new connection."""
    return create_pool_manager(num_pools=1, maxsize=1, **options)


class ShortLivedPool:
    """Connection pool that is replaced every ``MAX_POOL_AGE_S`` and after each failed request.

    An old kept-alive connection may be dead without notice.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.pool = self.create_pool()
        self.renewed_at = clock.monotonic()

    def create_pool(self) -> urllib3.PoolManager:
        """Return an empty pool that neither retries nor follows redirects."""
        return create_pool_manager(num_pools=1024, maxsize=CONNECTIONS_PER_HOST, block=False)

    def renew(self) -> None:
        """Use new connections from now on; requests in flight keep theirs."""
        self.pool = self.create_pool()
        self.renewed_at = self.clock.monotonic()

    def request(
        self, method: str, url: str, total_s: float, max_bytes: int, **options
    ) -> tuple[int, bytes]:
        """Make a call as `request_bounded` does; return its status and body.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no response arrives, or one that takes longer or is longer; the pool is replaced
            then.
        """
        if self.clock.monotonic() - self.renewed_at > MAX_POOL_AGE_S:
            self.renew()
        timeout = urllib3.Timeout(total=total_s)
        try:
            return request_bounded(
                self.pool, method, url, total_s, max_bytes, timeout=timeout, **options
            )
        except HTTPError:
            self.renew()
            raise


def is_connection_refused(error: HTTPError) -> bool:
    """Return whether the host answered but no process listens on the port."""
    return isinstance(error, NewConnectionError) and isinstance(
        error.__cause__, ConnectionRefusedError
    )


def never_sent(error: HTTPError) -> bool:
    """Return whether a failed request was certainly not sent to the server."""
    return isinstance(error, NewConnectionError | ConnectTimeoutError | NameResolutionError)


def read_bounded(response, max_bytes: int, on_bytes=None) -> bytes:
    """Read the body of a response and close it, or return its connection to its pool.

    Parameters
    ----------
    on_bytes : callable or None
        Is called with the number of bytes of each part of the body that has arrived.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the body breaks off or is longer than `max_bytes`.
    """
    body = bytearray()
    try:
        while len(body) <= max_bytes and (data := response.read1(READ_CHUNK_BYTES)):
            body += data
            if on_bytes is not None:
                on_bytes(len(data))
            # A read of data that is there already lets neither timers nor other threads run.
            eventlet.sleep(0)
    finally:
        if response.closed:
            response.release_conn()
        else:
            response.close()
    if len(body) > max_bytes:
        raise BodyTooLong(f"body longer than {max_bytes} bytes")
    return bytes(body)


def request_bounded(
    pool,
    method: str,
    url: str,
    total_s: float,
    max_bytes: int,
    on_head=None,
    on_bytes=None,
    stall_s: float | None = None,
    **options,
) -> tuple[int, bytes]:
    """Make a call whose whole response must arrive in time; return its status and body.

    Parameters
    ----------
    on_head : callable or None
        Is called with the headers of the response as soon as they have arrived.
    on_bytes : callable or None
        As in `read_bounded`.
    stall_s : float or None
        Longest pause in seconds within the body; None for the timeout of the pool, which has to
        allow for the wait before the head.
    total_s : float
        Seconds for the whole exchange. The timeout of a pool holds for each read only.
    max_bytes : int
        Longest body.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If no response arrives, or one that takes longer or is longer.
    """
    error = ProtocolError("no whole response in time")
    with eventlet.Timeout(total_s, error):
        response = pool.request(
            method, url, preload_content=False, redirect=False, retries=False, **options
        )
        if on_head is not None:
            on_head(response.headers)
        connection = response.connection
        if stall_s is not None and connection is not None and connection.sock is not None:
            # The next call over this connection sets its own timeout.
            connection.sock.settimeout(stall_s)
        return response.status, read_bounded(response, max_bytes, on_bytes)


def request_once(
    method: str,
    url: str,
    total_s: float,
    max_bytes: int,
    on_head=None,
    socket_options=(),
    **options,
) -> tuple[int, bytes]:
    """Make a call as `request_bounded` does, over a connection that is closed after it.

    What the other side sends later cannot be taken for the response to another call. Without a
    `timeout` in the options, connecting and each read may take as long as the whole.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If no response arrives, or one that takes longer or is longer.
    """
    pool = single_use_pool(socket_options=socket_options)
    try:
        options.setdefault("timeout", urllib3.Timeout(total=total_s))
        return request_bounded(pool, method, url, total_s, max_bytes, on_head, **options)
    finally:
        pool.clear()
