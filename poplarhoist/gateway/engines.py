"""HTTP calls to engines: orders to load and unload adapters, and reports of their state."""

from http import HTTPStatus

import eventlet
import structlog
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import (
    CheckEndpoint,
    ProbeEndpoint,
    ReadReport,
    SendOrder,
)
from poplarhoist.decisions.gateway.models import EndpointRecord, EngineReport
from poplarhoist.entry.http import (
    is_connection_refused,
    never_sent,
    request_once,
)
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.connections import ConnectionPool, Purpose
from poplarhoist.gateway.interfaces import Dialect
from poplarhoist.gateway.report_calls import MAX_RESPONSE_BYTES, get_over_kept
from poplarhoist.gateway.sockets import socket_options

# Seconds until a request for a report counts as unanswered. An engine responds within milliseconds;
# connecting and one round trip between regions take 0.12 s.
CALL_TIMEOUT_S = 0.35
# Seconds for the answer to a probe: a connection and a round trip between regions, and shorter than
# the interval of probes.
PROBE_TIMEOUT_S = 0.45
# Seconds for the whole response.
RESPONSE_TIMEOUT_S = 2 * CALL_TIMEOUT_S


class EngineClient:
    """Calls engines and probes endpoints, each in a green thread.

    Orders and probes go over new connections: an order must be carried out at most once, and a probe
    is to find out whether connections can be made. Reports may go over kept ones.

    Attributes
    ----------
    holder : str
        Identity of this entry as lead, which each order carries.
    pool : ConnectionPool or None
        None to make a new connection for each call.
    """

    def __init__(
        self,
        decision_loop: DecisionLoop,
        dialect: Dialect,
        holder: str,
        pool: ConnectionPool | None = None,
    ) -> None:
        self.pool = pool
        self.decision_loop = decision_loop
        self.dialect = dialect
        self.holder = holder
        decision_loop.set_handler(
            SendOrder, lambda effect: eventlet.spawn_n(self.send_order, effect)
        )
        decision_loop.set_handler(
            ReadReport, lambda effect: eventlet.spawn_n(self.read_report, effect)
        )
        decision_loop.set_handler(
            CheckEndpoint, lambda effect: eventlet.spawn_n(self.check, effect)
        )
        decision_loop.set_handler(
            ProbeEndpoint, lambda effect: eventlet.spawn_n(self.probe, effect)
        )

    def request(
        self,
        record: EndpointRecord,
        method: str,
        path: str,
        headers,
        body: bytes | None,
        timeout_s: float = CALL_TIMEOUT_S,
        purpose: Purpose = Purpose.REPORT,
    ) -> tuple[int, bytes]:
        """Make an HTTP call to an engine and return the status and body of the response.

        The connection is a new one.

        If the head of the response says that the engine is stopping, that is submitted at once.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no whole response arrived in time.
        """

        if self.pool is not None:
            self.pool.count_opened(purpose)
        return request_once(
            method,
            f"http://{record.host}:{record.port}{path}",
            RESPONSE_TIMEOUT_S,
            MAX_RESPONSE_BYTES,
            lambda response_headers: self.check_leaving(record, response_headers),
            socket_options(timeout_s),
            body=body,
            headers=dict(headers),
            timeout=Timeout(total=timeout_s),
        )

    def check_leaving(self, record: EndpointRecord, response_headers) -> None:
        """Submit it if the head of a response says that its engine is stopping."""
        if self.dialect.says_leaving(response_headers.items()):
            self.submit_leaving(record)

    def submit_leaving(self, record: EndpointRecord) -> None:
        """Submit that an engine has said that it is stopping."""
        self.decision_loop.submit(
            ev.EndpointSaidLeaving(self.decision_loop.event_time(), record.name, record.incarnation)
        )

    def send_order(self, effect: SendOrder) -> None:
        """Send an order and submit how it ended.

        Without a response the status is REFUSED if the order was certainly not sent, and UNKNOWN if
        the engine may have received it.
        """
        path, headers, body = self.dialect.build_order_request(effect, self.holder)
        detail = ""
        try:
            code, answer = self.request(
                effect.engine, "POST", path, headers, body, effect.timeout_s, Purpose.ORDER
            )
            status = self.dialect.order_status_of(code)
            detail = f"{code} {answer[:100]!r}"
        except HTTPError as error:
            status = ev.OrderStatus.REFUSED if never_sent(error) else ev.OrderStatus.UNKNOWN
            detail = type(error).__name__
        fields = {"engine": effect.engine.name, "number": effect.number, "detail": detail}
        if status not in (ev.OrderStatus.ACCEPTED, ev.OrderStatus.DONE):
            structlog.get_logger().warning("order-not-taken", status=status, **fields)
        self.decision_loop.submit(
            ev.OrderEnded(
                self.decision_loop.event_time(), effect.engine.name, effect.number, status
            )
        )

    def fetch_report(self, record: EndpointRecord) -> tuple[int, EngineReport | None]:
        """Ask an engine for its report; return the status, and the report if that is 200.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no whole response arrived in time.
        ValueError
            If the report cannot be decoded.
        """
        headers = self.dialect.build_report_headers(record)
        path = self.dialect.report_path()
        if self.pool is not None and self.pool.is_in_force:
            code, report = get_over_kept(
                self.pool,
                record,
                path,
                headers,
                CALL_TIMEOUT_S,
                lambda response_headers: self.check_leaving(record, response_headers),
                self.decode_response,
            )
        else:
            code, report = self.decode_response(*self.request(record, "GET", path, headers, None))
        if report is not None and report.draining:
            self.submit_leaving(record)
        return code, report

    def decode_response(self, code: int, body: bytes) -> tuple[int, EngineReport | None]:
        """Return the status of a response, and the report if that is 200.

        Raises
        ------
        ValueError
            If the report cannot be decoded.
        """
        return code, self.dialect.decode_report(body) if code == HTTPStatus.OK else None

    def read_report(self, effect: ReadReport) -> None:
        """Read an engine's report and submit it; None if it did not arrive or cannot be decoded."""
        asked_at = self.decision_loop.event_time()
        report = None
        try:
            _, report = self.fetch_report(effect.engine)
        except (HTTPError, ValueError) as error:
            structlog.get_logger().warning(
                "report-not-read", engine=effect.engine.name, detail=type(error).__name__
            )
        self.decision_loop.submit(
            ev.ReportReceived(self.decision_loop.event_time(), asked_at, effect.engine.name, report)
        )

    def check(self, effect: CheckEndpoint) -> None:
        """Ask an engine whether it still runs, and submit the answer."""
        record = effect.record
        has_crashed = False
        try:
            code, report = self.fetch_report(record)
            if report is not None:
                # Without both starts it is not known whether they differ.
                is_known = bool(report.incarnation and record.incarnation)
                has_crashed = is_known and report.incarnation != record.incarnation
            else:
                has_crashed = self.dialect.order_status_of(code) is ev.OrderStatus.GONE
        except (HTTPError, ValueError) as error:
            has_crashed = isinstance(error, HTTPError) and is_connection_refused(error)
            structlog.get_logger().warning(
                "engine-not-checked", engine=record.name, detail=type(error).__name__
            )
        self.decision_loop.submit(
            ev.EndpointChecked(self.decision_loop.event_time(), record, has_crashed)
        )

    def probe(self, effect: ProbeEndpoint) -> None:
        """Ask an endpoint for its report or health, and submit whether it answered anything."""
        record = effect.record
        began_at = self.decision_loop.event_time()
        detail = ""
        path = effect.health_path or self.dialect.report_path()
        headers = self.dialect.build_report_headers(record)
        try:
            self.request(record, "GET", path, headers, None, PROBE_TIMEOUT_S, Purpose.PROBE)
        except HTTPError as error:
            detail = type(error).__name__
        structlog.get_logger().info("endpoint-probed", endpoint=record.name, failure=detail)
        self.decision_loop.submit(
            ev.EndpointProbed(self.decision_loop.event_time(), record.name, began_at, not detail)
        )
