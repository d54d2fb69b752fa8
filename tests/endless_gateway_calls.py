"""Makes calls of a gateway's entry to servers that never end their responses, many at once.

Runs in a process of its own, with the arguments CALL COUNT PORT...: each port gets so many calls at
the same time. Prints the seconds that each call took and how it ended, and the kilobytes that were
allocated at most.
"""

import eventlet

eventlet.monkey_patch()

import json
import random
import sys
import time
import tracemalloc
from types import SimpleNamespace

import structlog
from attrs import evolve

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointRecord, RelayTerms
from poplarhoist.decisions.gateway.state import GatewayState
from poplarhoist.gateway import copies
from poplarhoist.gateway.attempts import CallerRequest
from poplarhoist.gateway.engines import EngineClient
from poplarhoist.gateway.exchange import Exchange
from poplarhoist.gateway.interfaces import RequestHead
from poplarhoist.platform import store as store_module
from poplarhoist.platform.dialect import PlatformDialect

HOST = "127.0.0.1"
# Seconds in place of those of the store and of copies, which are too long for a test.
CALL_S = 0.4


def make_loop() -> SimpleNamespace:
    """Return what calls need of a decision loop; it keeps the events."""
    state = GatewayState("entry-1", "b1", "north-a", {}, random.Random(0))
    events: list = []
    return SimpleNamespace(
        event_time=time.monotonic,
        submit=events.append,
        events=events,
        set_handler=lambda kind, handler: None,
        state=state,
        log=structlog.get_logger(),
    )


def make_record(port: int) -> EndpointRecord:
    """Return the record of an engine."""
    return EndpointRecord("e1", "models", HOST, port, "north-a", 8, incarnation=1)


def call_engine(name: str, effect) -> ev.Event:
    """Let a method of the engines' client carry out an effect; return the event that it submits."""
    loop = make_loop()
    getattr(EngineClient(loop, PlatformDialect(), "holder"), name)(effect)
    (event,) = loop.events
    return event


def probe(port: int) -> str:
    """Probe the health of an endpoint."""
    event = call_engine("probe", fx.ProbeEndpoint(make_record(port), "/health"))
    return f"reachable {event.is_reachable}"


def check(port: int) -> str:
    """Ask an engine whether it still runs."""
    return f"crashed {call_engine('check', fx.CheckEndpoint(make_record(port))).has_crashed}"


def read_report(port: int) -> str:
    """Read the report of an engine."""
    return f"report {call_engine('read_report', fx.ReadReport(make_record(port))).report}"


def send_order(port: int) -> str:
    """Send an order to an engine."""
    key = AdapterKey("base", "a1")
    order = fx.SendOrder(make_record(port), 1, fx.OrderKind.LOAD, key, 1, 0)
    return str(call_engine("send_order", order).status)


def make_store(port: int) -> store_module.ObjectStore:
    """Return a client of the store."""
    store_module.CALL_TIMEOUT_S = store_module.LONG_POLL_MARGIN_S = CALL_S
    return store_module.ObjectStore(f"{HOST}:{port}", SystemClock())


def read_store(port: int) -> str:
    """Read all kinds of records at once, as an entry does at its start."""
    store = make_store(port)
    kinds = [spec.kind for spec in store.watch_specs]
    ends = eventlet.GreenPool().imap(lambda kind: str(store.read_all(kind).status), kinds)
    return "|".join(sorted(set(ends)))


def watch_store(port: int) -> str:
    """Watch all kinds of records at once."""
    store = make_store(port)
    specs = [evolve(spec, long_poll_s=0.0) for spec in store.watch_specs]

    def watch(spec) -> str:
        return str(store.watch(spec, store_module.Position(0, 1), True).status)

    return "|".join(sorted(set(eventlet.GreenPool().imap(watch, specs))))


def write_store(port: int) -> str:
    """Write the record of this entry."""
    return str(make_store(port).register("entry-1", "north-a", HOST, 1, 2))


def copy_records(port: int) -> str:
    """Copy records from another entry."""
    copies.WHOLE_S = CALL_S
    loop = make_loop()
    reader = copies.CopyReader(loop, make_store(port), "config")
    copy = reader.request_copy(EntryState("e2", HOST, port), {"after": 0, "generation": 0})
    return f"copy {copy}"


def relay(port: int) -> str:
    """Send a request to another entry, which is to pass it on."""
    request = CallerRequest("1", "POST", "/x", b"", RequestHead("r1", None, None, []))
    terms = RelayTerms(1)
    dispatch = fx.Dispatch("1", 1, make_record(port), CALL_S, 0, False, relay=terms)
    exchange = Exchange(make_loop(), PlatformDialect(), request, dispatch)
    if exchange.start():
        exchange.read_body()
    exchange.close()
    return str(exchange.result.outcome)


CALLS = {
    "probe": probe,
    "check": check,
    "report": read_report,
    "order": send_order,
    "store-list": read_store,
    "store-watch": watch_store,
    "store-write": write_store,
    "copy": copy_records,
    "relay": relay,
}


def main(name: str, count: int, ports: list[int]) -> None:
    """Make the calls at the same time and print what came of them."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    tracemalloc.start()

    def call(port: int) -> tuple[float, str]:
        started_at = time.monotonic()
        end = CALLS[name](port)
        return time.monotonic() - started_at, end

    pool = eventlet.GreenPool(len(ports) * count)
    ends = list(pool.imap(call, [port for port in ports for _ in range(count)]))
    print(json.dumps([ends, tracemalloc.get_traced_memory()[1] // 1024]))


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), [int(port) for port in sys.argv[3:]])
