"""The store cuts off watches that wait, all at one moment, as it may at any time."""

import threading
import time

import pytest

from tests.platform_site import PlatformSite
from tests.platform_standins import Endpoint

# Seconds within which an endpoint gets no requests any more once its record was removed.
DRAIN_S = 3.0
SERVED_ON_S = 6.0
# Requests after that time, however long they take.
SERVED_AT_LEAST = 50


@pytest.fixture
def site(tmp_path):
    site = PlatformSite(tmp_path)
    site.endpoints["d2"] = Endpoint("d2", "desk")
    try:
        site.start()
        yield site
    finally:
        site.stop()


@pytest.mark.parametrize("interval_s", [0.4, 1.0, 1.8])
def test_endpoint_that_is_gone_gets_no_requests_while_watches_are_cut_off(site, interval_s):
    """Watches of several kinds that ended at one moment counted as an outage of the store, and each
    outage began the time anew in which endpoints may register again."""
    is_over = threading.Event()

    def cut_steadily() -> None:
        while not is_over.wait(interval_s):
            site.store.cut_watches()

    cutter = threading.Thread(target=cut_steadily)
    cutter.start()
    try:
        time.sleep(2.0)
        site.store.remove("servers", "d1")
        removed_at = time.monotonic()
        served = []
        while time.monotonic() < removed_at + SERVED_ON_S or len(served) <= SERVED_AT_LEAST:
            is_late = time.monotonic() > removed_at + DRAIN_S
            before = len(site.endpoints["d1"].requests)
            assert site.send_request("/read/x")[0] == 200
            if is_late:
                served.append(len(site.endpoints["d1"].requests) - before)
            time.sleep(0.02)
    finally:
        is_over.set()
        cutter.join()
    assert sum(served) == 0
    assert site.log_lines("store-lost") == []


@pytest.mark.parametrize("fault", ["hangs", "unavailable"])
def test_outage_is_noticed_while_watches_are_cut_off(site, fault):
    site.store.cut_watches()
    setattr(site.store, fault, True)
    site.store.cut_watches()
    site.wait_until(lambda: site.log_lines("store-lost"), 5.0)
    setattr(site.store, fault, False)
    site.wait_until(lambda: site.log_lines("store-regained"), 5.0)
