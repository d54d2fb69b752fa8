"""Reads reports of engines over kept connections, and once more over a new one if that fails."""

import contextlib
from collections.abc import Callable
from http import HTTPStatus
from http.client import HTTPException

import eventlet
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError, ProtocolError

from poplarhoist.decisions.gateway.connection_reuse import Drop
from poplarhoist.decisions.gateway.models import EndpointRecord, EngineReport
from poplarhoist.entry.http import read_bounded
from poplarhoist.gateway.connections import (
    ConnectionPool,
    EndpointConnection,
    Purpose,
    describe_end,
)
from poplarhoist.gateway.interfaces import Headers

# Share of the time of a call that a kept connection gets. An engine answers within milliseconds, and
# what is left is enough for a new connection and a round trip between regions.
KEPT_SHARE = 0.4
# Longest body of a response to any call. A report lists some dozens of adapters, and a lead reads those
# of all its engines at once.
MAX_RESPONSE_BYTES = 262144

Decoded = tuple[int, EngineReport | None]
Decode = Callable[[int, bytes], Decoded]


def get_over_kept(
    pool: ConnectionPool,
    record: EndpointRecord,
    path: str,
    headers: Headers,
    timeout_s: float,
    on_head: Callable,
    decode: Decode,
) -> Decoded:
    """Read and decode a report, over a kept connection if there is one.

    A response has no id that tells to which call it belongs. So one that arrives on a kept connection
    counts only if it is a report; else the connection is closed, and the report is read again over a
    new one within the same time.

    Parameters
    ----------
    timeout_s : float
        Seconds for the whole call.
    on_head : callable
        Is called with the headers of a response as soon as they have arrived.
    decode : callable
        Decodes status and body; raises ValueError if it cannot.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If no whole response arrived in time.
    ValueError
        If the report cannot be decoded.
    """
    clock = pool.decision_loop.event_time
    began_at = clock()
    kept = pool.take(record, Purpose.REPORT, KEPT_SHARE * timeout_s)
    if kept is not None:
        with contextlib.suppress(HTTPError, ValueError):
            decoded = call(pool, kept, path, headers, KEPT_SHARE * timeout_s, on_head, decode)
            if decoded[0] == HTTPStatus.OK:
                return decoded
        is_silent = not kept.has_received and clock() - began_at >= KEPT_SHARE * timeout_s
        pool.on_failed(kept, Drop.SILENT if is_silent else Drop.STALE)
    remaining_s = max(0.001, began_at + timeout_s - clock())
    connection = EndpointConnection(record, remaining_s, timeout_s)
    pool.count_opened(Purpose.REPORT)
    return call(pool, connection, path, headers, remaining_s, on_head, decode)


def call(
    pool: ConnectionPool,
    connection: EndpointConnection,
    path: str,
    headers: Headers,
    total_s: float,
    on_head: Callable,
    decode: Decode,
) -> Decoded:
    """Read and decode a report over a connection, which is kept if all is well, else closed.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If no whole response arrived in time.
    ValueError
        If the report cannot be decoded.
    """
    is_kept = False
    try:
        with eventlet.Timeout(total_s, ProtocolError("no whole response in time")):
            connection.timeout = total_s
            connection.request("GET", path, headers=HTTPHeaderDict(headers), preload_content=False)
            response = connection.getresponse()
            on_head(response.headers)
            body = read_bounded(response, MAX_RESPONSE_BYTES)
        decoded = decode(response.status, body)
        is_report = decoded[1] is not None and is_same_run(connection.record, decoded[1])
        is_kept = pool.put(connection, describe_end(connection, response, is_report))
        return decoded
    except (HTTPException, OSError) as error:
        raise ProtocolError("no whole response", error) from error
    finally:
        if not is_kept:
            connection.close()


def is_same_run(record: EndpointRecord, report: EngineReport) -> bool:
    """Return whether a report may be that of a run; a run of unknown start may be any."""
    return 0 in (record.incarnation, report.incarnation) or record.incarnation == report.incarnation
