"""Stand-in for the weight store, and the client with which engines load from it."""

from typing import Protocol

import eventlet
import urllib3
from attrs import define, field

from poplarhoist.clock import Clock
from poplarhoist.settings.models import PlatformSettings, StoreSettings

FETCH_TIMEOUT_S = 60.0


class WeightSource(Protocol):
    """Source from which an engine loads weights."""

    def fetch(self, ref: str) -> bool:
        """Load the weights of an adapter version; return whether the load succeeded."""


class HttpWeightSource:
    """Loads weights over HTTP from the store that the platform's stand-in serves."""

    def __init__(self, platform: PlatformSettings) -> None:
        self.url = f"http://{platform.host}:{platform.port}/store/load"
        self.http_pool = urllib3.PoolManager(retries=False, timeout=FETCH_TIMEOUT_S)

    def fetch(self, ref: str) -> bool:
        """Load the weights of an adapter version; return whether the load succeeded."""
        try:
            return self.http_pool.request("POST", self.url, json={"ref": ref}).status == 200
        except urllib3.exceptions.HTTPError:
            return False


@define
class WeightStore:
    """Weight store with a rate limit that slows down above its rated number of loads in flight.

    Attributes
    ----------
    is_down : bool
        Whether the store refuses all loads.
    slowdown_factor : float
        Factor on the duration of a load.
    rate_tokens : float
        Tokens of the rate limit, one per load; negative while reserved loads wait to start.
    refilled_at : float
        When the tokens were last refilled, in seconds.
    load_count : int
        Loads started so far.
    """

    settings: StoreSettings
    clock: Clock
    is_down: bool = False
    slowdown_factor: float = 1.0
    rate_tokens: float = 1.0
    refilled_at: float = field(init=False)
    in_flight: int = 0
    load_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.refilled_at = self.clock.monotonic()

    def fetch(self, ref: str) -> bool:
        """Sleep for the wait and the duration of a load; return False if the store is down."""
        if self.is_down:
            return False
        wait_s = self.reserve_load()
        self.in_flight += 1
        self.load_count += 1
        try:
            eventlet.sleep(wait_s + self.load_duration_s())
        finally:
            self.in_flight -= 1
        return not self.is_down

    def reserve_load(self) -> float:
        """Take a token for one load; return the seconds until the load may start."""
        rate = self.settings.loads_per_s
        now = self.clock.monotonic()
        self.rate_tokens = min(rate, self.rate_tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        wait_s = max(0.0, (1.0 - self.rate_tokens) / rate)
        self.rate_tokens -= 1.0
        return wait_s

    def load_duration_s(self) -> float:
        """Return the duration of a load in seconds at the current number of loads in flight."""
        overload_factor = max(1.0, self.in_flight / self.settings.in_flight)
        return self.settings.load_s * overload_factor * self.slowdown_factor
