"""The gateway's dialect on the users' platform."""

from collections.abc import Iterable

import orjson

from poplarhoist.decisions.gateway.effects import Dispatch, SendOrder
from poplarhoist.decisions.gateway.events import OrderStatus
from poplarhoist.decisions.gateway.models import EndpointRecord, EngineReport
from poplarhoist.gateway.interfaces import AnswerHead, CallerHead, Headers
from poplarhoist.platform import documents, headers

ORDER_STATUS = {
    200: OrderStatus.DONE,
    202: OrderStatus.ACCEPTED,
    409: OrderStatus.MISMATCH,
    412: OrderStatus.FENCED,
    421: OrderStatus.GONE,
}


class PlatformDialect:
    """Translates between the platform's wire and the product."""

    ready_path = "/api/ready"

    def read_head(self, pairs: Iterable[tuple[str, str]]) -> CallerHead:
        """Read the head of a caller's request."""
        return headers.read_head(pairs)

    def request_headers(self, head: CallerHead, order: Dispatch, resume_after: str) -> Headers:
        """Return the headers of a request to an endpoint."""
        return headers.request_headers(head, order, resume_after)

    def read_answer(self, status: int, pairs: Iterable[tuple[str, str]]) -> AnswerHead:
        """Read the head of an endpoint's answer."""
        return headers.read_answer(status, pairs)

    def report_path(self) -> str:
        """Return where an engine reports."""
        return "/api/report"

    def report_headers(self, record: EndpointRecord) -> Headers:
        """Return the headers of a question for a report."""
        return [(headers.TARGET, record.name)]

    def read_report(self, data: bytes) -> EngineReport:
        """Read an engine's report; raises ValueError if it cannot be read."""
        try:
            return documents.read_report(orjson.loads(data))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"report: {error!r}") from error

    def order_request(self, order: SendOrder, holder: str) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of an order."""
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
        pairs = [("Content-Type", "application/json"), (headers.TARGET, order.engine.name)]
        return "/api/order", pairs, orjson.dumps(body)

    def order_status(self, status: int) -> OrderStatus:
        """Return what an engine's answer to an order means."""
        return ORDER_STATUS.get(status, OrderStatus.REFUSED)
