"""Polls endpoints for reports and sends orders to engines."""

import eventlet
import orjson
from urllib3.exceptions import HTTPError

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.entry.core import Core
from poplarhoist.entry.http import (
    is_connection_refused,
    never_sent,
    request_once,
)
from poplarhoist.models import Endpoint, EndpointReport

REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_MARGIN_S = 30.0
# Longest report or answer to an order; a report has some 50 bytes for each resident adapter.
MAX_RESPONSE_BYTES = 1_048_576


def endpoint_url(endpoint: Endpoint) -> str:
    """Return the base URL of an endpoint."""
    return f"http://{endpoint.host}:{endpoint.port}"


class EndpointEffects:
    """Runs the polls and orders that the decisions emit, each in its own green thread."""

    def __init__(self, core: Core) -> None:
        self.core = core
        core.set_handler(fx.PollEndpoint, lambda effect: eventlet.spawn_n(self.poll, effect))
        core.set_handler(fx.SendOrder, lambda effect: eventlet.spawn_n(self.run_order, effect))

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return a listed endpoint; None if the name is not listed."""
        view = self.core.state.members.endpoints.get(name)
        return view.endpoint if view else None

    def poll(self, effect: fx.PollEndpoint) -> None:
        """Fetch an endpoint's report and submit it, or submit that the endpoint is silent."""
        endpoint = self.find_endpoint(effect.endpoint)
        if endpoint is None:
            return
        polled_at = self.core.event_time()
        try:
            report = self.fetch_report(endpoint)
        except HTTPError as error:
            connection_refused = is_connection_refused(error)
            self.core.submit(
                ev.EndpointSilent(self.core.event_time(), effect.endpoint, connection_refused)
            )
            return
        except Exception:
            # A report that cannot be decoded counts as no report.
            self.core.submit(ev.EndpointSilent(self.core.event_time(), effect.endpoint))
            return
        self.core.submit(ev.EndpointReported(self.core.event_time(), polled_at, report))

    def fetch_report(self, endpoint: Endpoint) -> EndpointReport:
        """Return an endpoint's report; retry once over another connection.

        A connection may be dead without notice. None is kept: an earlier report that came once more
        would be taken for one from after an order.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no response arrives.
        """
        call = ("GET", endpoint_url(endpoint) + "/report", REPORT_TIMEOUT_S, MAX_RESPONSE_BYTES)
        try:
            _, data = request_once(*call)
        except HTTPError as error:
            if is_connection_refused(error):
                raise
            _, data = request_once(*call)
        return wire.load(orjson.loads(data), EndpointReport)

    def run_order(self, effect: fx.SendOrder) -> None:
        """Send an order and submit its outcome."""
        outcome, reason = self.send_order(effect)
        event = ev.OrderAnswered(
            self.core.event_time(), effect.endpoint, effect.order_id, outcome, reason
        )
        self.core.submit(event)

    def send_order(self, effect: fx.SendOrder) -> tuple[ev.OrderOutcome, str]:
        """Send an order over a new connection; return its outcome and the reason.

        The outcome is ``REFUSED`` if the order was certainly not sent and ``UNKNOWN`` if it may
        have been applied.
        """
        endpoint = self.find_endpoint(effect.endpoint)
        if endpoint is None:
            return ev.OrderOutcome.REFUSED, "not listed"
        data = {
            "order_id": effect.order_id,
            "kind": effect.kind,
            "epoch": effect.epoch,
            "ref": str(effect.ref) if effect.ref else None,
            "replaces": str(effect.replaces) if effect.replaces else None,
        }
        total_s = self.core.state.limits.order_s + ORDER_TIMEOUT_MARGIN_S
        try:
            _, answer = request_once(
                "POST",
                endpoint_url(endpoint) + "/orders",
                total_s,
                MAX_RESPONSE_BYTES,
                body=orjson.dumps(data),
                headers={"Content-Type": "application/json", "Connection": "close"},
            )
            result = orjson.loads(answer)
            return ev.OrderOutcome(result["outcome"]), str(result.get("reason", ""))
        except HTTPError as error:
            if never_sent(error):
                return ev.OrderOutcome.REFUSED, "not sent"
            return ev.OrderOutcome.UNKNOWN, str(error)
        except (ValueError, KeyError) as error:
            return ev.OrderOutcome.UNKNOWN, str(error)
