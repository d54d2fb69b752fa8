"""Stand-in for the weight store, and the clients by which engines fetch from it."""

from typing import Protocol

import eventlet
import urllib3
from attrs import define, field

from poplarhoist.clock import Clock
from poplarhoist.settings.models import PlatformSettings, StoreSettings

TIMEOUT_S = 60.0


class Store(Protocol):
    """Where an engine gets weights."""

    def fetch(self, ref: str) -> bool:
        """Fetch the weights of an adapter version; return whether that worked."""


class HttpStore:
    """The store that listens beside the stand-in of the platform."""

    def __init__(self, platform: PlatformSettings) -> None:
        self.url = f"http://{platform.host}:{platform.port}/store/load"
        self.pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def fetch(self, ref: str) -> bool:
        """Fetch the weights of an adapter version; return whether that worked."""
        try:
            return self.pool.request("POST", self.url, json={"ref": ref}).status == 200
        except urllib3.exceptions.HTTPError:
            return False


@define
class WeightStore:
    """Limits loads by rate, and slows down beyond the loads in flight that it is made for.

    Attributes
    ----------
    credit : float
        Loads allowed at once now; negative while earlier ones wait.
    slow : float
        Factor on the time of a load.
    """

    settings: StoreSettings
    clock: Clock
    down: bool = False
    slow: float = 1.0
    credit: float = 1.0
    credit_at: float = field(init=False)
    in_flight: int = 0
    loads: int = 0

    def __attrs_post_init__(self) -> None:
        self.credit_at = self.clock.monotonic()

    def fetch(self, ref: str) -> bool:
        """Take as long as the weights of an adapter version take; False if the store is down."""
        if self.down:
            return False
        wait_s = self.reserve()
        self.in_flight += 1
        self.loads += 1
        try:
            eventlet.sleep(wait_s + self.load_s())
        finally:
            self.in_flight -= 1
        return not self.down

    def reserve(self) -> float:
        """Take one load of the rate; return the seconds until it may start."""
        rate = self.settings.loads_per_s
        now = self.clock.monotonic()
        self.credit = min(rate, self.credit + (now - self.credit_at) * rate)
        self.credit_at = now
        wait_s = max(0.0, (1.0 - self.credit) / rate)
        self.credit -= 1.0
        return wait_s

    def load_s(self) -> float:
        """Return the seconds that a load takes with as many in flight as now."""
        crowd = max(1.0, self.in_flight / self.settings.in_flight)
        return self.settings.load_s * crowd * self.slow
