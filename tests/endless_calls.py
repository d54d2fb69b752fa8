"""Makes calls of an entry or the operators' tool to servers that never end their responses.

Runs in a process of its own, with the arguments CALL PORT..., since the limits of calls are timers
of green threads. Prints the seconds that each call took and how it ended, and by how many
kilobytes the largest memory of the process grew.
"""

import eventlet

eventlet.monkey_patch()

import json
import random
import resource
import sys
import time
from types import SimpleNamespace

from urllib3.exceptions import HTTPError

from poplarhoist.clock import SystemClock
from poplarhoist.ctl.session import OperatorSession
from poplarhoist.decisions.effects import Dispatch, SendOrder
from poplarhoist.decisions.limits import Limits
from poplarhoist.decisions.state import State
from poplarhoist.entry import endpoint_effects, platform
from poplarhoist.entry.attempts import Attempt, CallerRequest
from poplarhoist.entry.core import Core
from poplarhoist.entry.metrics import Metrics
from poplarhoist.entry.peers import PeerTransport
from poplarhoist.errors import EntryError
from poplarhoist.models import AdapterRef, Endpoint, EndpointKind, Instance, Place
from poplarhoist.settings.models import EntrySettings, PlatformSettings, StreamSettings

HOST = "127.0.0.1"
PLACE = Place("r1", "r1-a")
STREAMS = StreamSettings(
    connect_s=0.5, first_byte_s=0.5, gap_s=0.3, whole_s=1.0, answer_bytes=99999
)
# Seconds in place of those that are too long for a test.
MARGIN_S = 0.2


def make_core() -> Core:
    """Return the decision loop of an entry without a site."""
    state = State(Instance("entry-1", PLACE, HOST, 1), "boot", random.Random(0), services={})
    return Core(state, SystemClock(), Metrics())


def make_attempt(port: int, is_streamed: bool) -> Attempt:
    """Return an attempt at an engine."""
    core = make_core()
    endpoint = Endpoint("e1", EndpointKind.ENGINE, "base", PLACE, HOST, port)
    core.state.members.endpoints["e1"] = SimpleNamespace(endpoint=endpoint)
    request = CallerRequest("r1", "POST", "/v1/completions", b"{}", is_streamed=is_streamed)
    return Attempt(core, STREAMS, request, Dispatch("r1", 1, "e1", AdapterRef("a1", 1)))


def call_platform(port: int, method: str, *args: object) -> str:
    """Make a call to the platform."""
    platform.LONG_POLL_MARGIN_S = MARGIN_S
    settings = PlatformSettings(HOST, port, timeout_s=0.5, watch_s=0.3)
    return str(getattr(platform.HttpPlatform(settings), method)(*args).status)


def post_batch(port: int) -> str:
    """Send messages to a peer."""
    transport = PeerTransport(make_core(), "peer-key")
    return str(transport.post_batch(Instance("entry-2", PLACE, HOST, port), b"{}", 1))


def fetch_report(port: int) -> str:
    """Poll an endpoint."""
    effects = endpoint_effects.EndpointEffects(make_core())
    try:
        effects.fetch_report(Endpoint("e1", EndpointKind.ENGINE, "base", PLACE, HOST, port))
    except HTTPError as error:
        return type(error).__name__
    return "report"


def send_order(port: int) -> str:
    """Send an order to an engine."""
    endpoint_effects.ORDER_TIMEOUT_MARGIN_S = MARGIN_S
    core = make_core()
    core.state.limits = Limits(order_s=0.3)
    endpoint = Endpoint("e1", EndpointKind.ENGINE, "base", PLACE, HOST, port)
    core.state.members.endpoints["e1"] = SimpleNamespace(endpoint=endpoint)
    effects = endpoint_effects.EndpointEffects(core)
    return str(effects.send_order(SendOrder("e1", "o1", "load", 1, AdapterRef("a1", 1)))[0])


def run_plain(port: int) -> str:
    """Run an attempt that is not streamed."""
    return str(make_attempt(port, False).run().outcome)


def run_stream(port: int) -> str:
    """Run a streamed attempt."""
    attempt = make_attempt(port, True)
    response = attempt.start()
    for _ in attempt.iter_events(response):
        pass
    return str(attempt.result.outcome)


def cancel(port: int) -> str:
    """Cancel a stream."""
    attempt = make_attempt(port, True)
    attempt.cancel()
    return str(attempt.core.metrics.registry.get_sample_value("poplarhoist_cancel_failed_total"))


def call_entry(port: int) -> str:
    """Call an entry as the operators' tool does."""
    session = OperatorSession.__new__(OperatorSession)
    session.site = SimpleNamespace(interfaces=SimpleNamespace(operator_key="k"))
    try:
        session.call_entry(EntrySettings("entry-1", "r1", "r1-a", HOST, port), "GET", "/x")
    except EntryError as error:
        return error.message
    return "answer"


CALLS = {
    "platform-get": lambda port: call_platform(port, "get", "x"),
    "platform-list": lambda port: call_platform(port, "list", ("x",)),
    "platform-watch": lambda port: call_platform(port, "watch", ("x",), 1),
    "peer": post_batch,
    "report": fetch_report,
    "order": send_order,
    "plain": run_plain,
    "stream": run_stream,
    "cancel": cancel,
    "operator": call_entry,
}


def main(name: str, ports: list[int]) -> None:
    """Make a call to each server at the same time and print what came of them."""
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    def call(port: int) -> tuple[float, str]:
        started_at = time.monotonic()
        end = CALLS[name](port)
        return time.monotonic() - started_at, end

    ends = list(eventlet.GreenPool().imap(call, ports))
    growth_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    print(json.dumps([ends, growth_kb]))


def main_from_arguments() -> None:
    """Make the calls that the arguments name."""
    main(sys.argv[1], [int(port) for port in sys.argv[2:]])
