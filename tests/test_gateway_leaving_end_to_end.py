"""A real entry before endpoints that say in their answers that they are stopping."""

import contextlib
import http.client
import threading
import time

import pytest

from tests.platform_site import PlatformSite
from tests.platform_standins import CHUNKED_HEAD, Endpoint, EndpointHandler

# Seconds in which the entry may still use an endpoint that has just said so.
NOTICED_WITHIN_S = 0.5
REQUEST_COUNT = 6


class LeavingHandler(EndpointHandler):
    """Begins a response without a body on request."""

    def handle_request(self, body: bytes) -> None:
        """Serve a caller's request, or send no more than the head of a response."""
        if self.path != "/read/silent":
            super().handle_request(body)
            return
        self.standin.says_leaving = True
        request_id = self.headers["X-Request-Id"]
        self.standin.record_request(self.command, self.path, dict(self.headers), body)
        head = CHUNKED_HEAD.format(request_id=request_id) + "Server-Leaving: 1\r\n\r\n"
        self.wfile.write(head.encode())
        self.close_connection = True
        time.sleep(5.0)


class LeavingEndpoint(Endpoint):
    """An endpoint that begins to stop when it gets an order, if it is told to."""

    handler_class = LeavingHandler
    leaves_at_order = False

    def apply_order(self, order: dict) -> int:
        """Carry out an order; from then on all answers may say that the endpoint is stopping."""
        self.says_leaving = self.says_leaving or self.leaves_at_order
        return super().apply_order(order)


@pytest.fixture
def site(tmp_path):
    site = PlatformSite(tmp_path)
    site.endpoints |= {
        name: LeavingEndpoint(name, service)
        for name, service in (("e1", "models"), ("e2", "models"), ("d1", "desk"))
    }
    try:
        yield site
    finally:
        site.stop()


def engine_names(site) -> list[str]:
    """Return the names of the engines that got requests of callers."""
    return [name for name in ("e1", "e2") for _ in site.endpoints[name].requests]


def send_until_the_entry_ends(site, path: str) -> None:
    """Send a request whose connection may end with the entry."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        site.send_request(path, method="GET")


def test_engine_that_says_in_its_report_that_it_leaves_gets_no_requests(site):
    for name in ("e1", "e2"):
        site.endpoints[name].adapters["a1"] = 1
    site.endpoints["e1"].says_leaving = True
    site.start()
    site.wait_until(lambda: len(site.log_lines("places-known")) == 2)
    time.sleep(NOTICED_WITHIN_S)
    statuses = {site.send_request("/stream/x", "a1")[0] for _ in range(REQUEST_COUNT)}
    assert statuses == {200}
    assert engine_names(site) == ["e2"] * REQUEST_COUNT


def test_engine_that_says_in_its_answer_to_an_order_that_it_leaves_gets_no_requests(site):
    site.start()
    site.wait_until(lambda: len(site.log_lines("places-known")) == 2)
    for name in ("e1", "e2"):
        site.endpoints[name].leaves_at_order = True
    assert site.send_request("/stream/x", "a1")[0] == 503
    assert engine_names(site) == []


def test_endpoint_that_says_in_a_head_without_a_body_that_it_leaves_gets_no_requests(site):
    site.start()
    silent = threading.Thread(target=send_until_the_entry_ends, args=(site, "/read/silent"))
    silent.start()
    site.wait_until(lambda: site.endpoints["d1"].requests != [])
    time.sleep(NOTICED_WITHIN_S)
    assert site.send_request("/read/x", method="GET")[0] == 503
    assert [request[1] for request in site.endpoints["d1"].requests] == ["/read/silent"]
