"""Sends orders to engines and reads their reports."""

import eventlet
import structlog
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import ReadReport, SendOrder
from poplarhoist.entry.http import never_sent, single_use_pool
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.interfaces import Dialect
from poplarhoist.gateway.sockets import socket_options

# Seconds until an order or a question counts as unanswered; an engine answers in milliseconds,
# a connection and an answer between regions take 0.12.
CALL_TIMEOUT_S = 0.35


class EngineClient:
    """Runs the effects that concern engines; each call has a connection of its own."""

    def __init__(self, core: DecisionLoop, dialect: Dialect, holder: str) -> None:
        self.core = core
        self.dialect = dialect
        self.holder = holder
        core.set_handler(SendOrder, lambda effect: eventlet.spawn_n(self.send_order, effect))
        core.set_handler(ReadReport, lambda effect: eventlet.spawn_n(self.read_report, effect))

    def request(self, record, method: str, path: str, headers, body: bytes | None):
        """Make a call and return the answer."""
        pool = single_use_pool(socket_options=socket_options(CALL_TIMEOUT_S))
        try:
            return pool.request(
                method,
                f"http://{record.host}:{record.port}{path}",
                body=body,
                headers=dict(headers),
                timeout=Timeout(total=CALL_TIMEOUT_S),
                redirect=False,
            )
        finally:
            pool.clear()

    def send_order(self, effect: SendOrder) -> None:
        """Send an order and tell how it ended."""
        path, headers, body = self.dialect.build_order_request(effect, self.holder)
        detail = ""
        try:
            answer = self.request(effect.engine, "POST", path, headers, body)
            status = self.dialect.order_status_of(answer.status)
            detail = f"{answer.status} {answer.data[:100]!r}"
        except HTTPError as error:
            status = ev.OrderStatus.REFUSED if never_sent(error) else ev.OrderStatus.UNKNOWN
            detail = type(error).__name__
        fields = {"engine": effect.engine.name, "number": effect.number, "detail": detail}
        if status not in (ev.OrderStatus.ACCEPTED, ev.OrderStatus.DONE):
            structlog.get_logger().warning("order-not-taken", status=status, **fields)
        self.core.submit(
            ev.OrderEnded(self.core.event_time(), effect.engine.name, effect.number, status)
        )

    def read_report(self, effect: ReadReport) -> None:
        """Read a report and tell what it says."""
        asked_at = self.core.event_time()
        report = None
        try:
            headers = self.dialect.build_report_headers(effect.engine)
            answer = self.request(effect.engine, "GET", self.dialect.report_path(), headers, None)
            if answer.status == 200:
                report = self.dialect.decode_report(answer.data)
        except (HTTPError, ValueError) as error:
            structlog.get_logger().warning(
                "report-not-read", engine=effect.engine.name, detail=type(error).__name__
            )
        self.core.submit(
            ev.ReportReceived(self.core.event_time(), asked_at, effect.engine.name, report)
        )
