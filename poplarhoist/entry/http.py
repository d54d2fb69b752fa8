"""Connection pools for calls to the platform, peers and endpoints; urllib3 does not retry."""

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

MAX_POOL_AGE_S = 5.0
CONNECTIONS_PER_HOST = 16


def single_use_pool(**options) -> urllib3.PoolManager:
    """Return a pool for one request over a new connection."""
    return urllib3.PoolManager(num_pools=1, maxsize=1, retries=False, **options)


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
        return urllib3.PoolManager(
            num_pools=1024, maxsize=CONNECTIONS_PER_HOST, retries=False, block=False
        )

    def renew(self) -> None:
        """Use new connections from now on; requests in flight keep theirs."""
        self.pool = self.create_pool()
        self.renewed_at = self.clock.monotonic()

    def request(self, method: str, url: str, **options) -> urllib3.BaseHTTPResponse:
        """Send a request without following redirects and return the response.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no response arrives; the pool is replaced then.
        """
        if self.clock.monotonic() - self.renewed_at > MAX_POOL_AGE_S:
            self.renew()
        try:
            return self.pool.request(method, url, redirect=False, **options)
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
