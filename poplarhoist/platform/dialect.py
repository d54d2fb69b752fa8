"""The Dialect of the platform that poplarhoist is deployed on: paths, headers, orders, reports."""

from collections.abc import Iterable

import orjson

from poplarhoist.decisions.gateway.effects import Dispatch, SendOrder
from poplarhoist.decisions.gateway.events import OrderStatus
from poplarhoist.decisions.gateway.models import EndpointRecord, EngineReport
from poplarhoist.gateway.interfaces import Headers, RequestHead, ResponseHead
from poplarhoist.platform import documents, headers

ORDER_STATUS_BY_CODE = {
    200: OrderStatus.DONE,
    202: OrderStatus.ACCEPTED,
    409: OrderStatus.MISMATCH,
    412: OrderStatus.FENCED,
    421: OrderStatus.GONE,
}


class PlatformDialect:
    """Translates between the platform's wire formats and the gateway's types."""

    ready_path = "/api/ready"

    def parse_request_head(self, pairs: Iterable[tuple[str, str]]) -> RequestHead:
        """Parse the head of a caller's request."""
        return headers.parse_request_head(pairs)

    def build_request_headers(
        self, head: RequestHead, dispatch: Dispatch, last_event_id: str
    ) -> Headers:
        """Return the headers of a request to an endpoint."""
        return headers.build_request_headers(head, dispatch, last_event_id)

    def parse_response_head(self, status: int, pairs: Iterable[tuple[str, str]]) -> ResponseHead:
        """Parse the head of an endpoint's response."""
        return headers.parse_response_head(status, pairs)

    def says_leaving(self, pairs: Iterable[tuple[str, str]]) -> bool:
        """Return whether the headers of an endpoint's answer say that the endpoint is stopping."""
        return headers.says_leaving(pairs)

    def report_path(self) -> str:
        """Return the path of an engine's report."""
        return "/api/report"

    def build_report_headers(self, record: EndpointRecord) -> Headers:
        """Return the headers of a request for a report; they name the engine that must answer."""
        return [(headers.TARGET_INSTANCE_HEADER, record.name)]

    def decode_report(self, data: bytes) -> EngineReport:
        """Decode an engine's report.

        Raises
        ------
        ValueError
            If it is not JSON or lacks a field.
        """
        try:
            return documents.decode_report(orjson.loads(data))
        except documents.DECODE_ERRORS as error:
            raise ValueError(f"invalid report: {error!r}"[:200]) from error

    def build_order_request(self, order: SendOrder, holder: str) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of an order.

        The fencing token is the epoch of the lead, and `expected` is the number of orders that the
        engine has accepted so far. With them the engine can reject an outdated order.
        """
        body = {
            "op": order.kind.value,
            "model": order.key.model,
            "holder": holder,
            "fenceToken": order.epoch,
            "expected": order.expected_orders,
        }
        if order.key.adapter:
            body["adapter"] = order.key.adapter
        if order.version:
            body["version"] = order.version
        pairs = [
            ("Content-Type", "application/json"),
            (headers.TARGET_INSTANCE_HEADER, order.engine.name),
        ]
        return "/api/order", pairs, orjson.dumps(body)

    def order_status_of(self, status: int) -> OrderStatus:
        """Return the meaning of an engine's status code for an order.

        Unknown codes count as REFUSED: the engine responded and did not carry out the order.
        """
        return ORDER_STATUS_BY_CODE.get(status, OrderStatus.REFUSED)
