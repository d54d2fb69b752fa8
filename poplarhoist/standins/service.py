"""Stand-in for a plain service that counts runs by idempotency key, and its fault switches."""

import uuid

import eventlet
from attrs import define, field
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.models import Endpoint, EndpointReport, LifecycleState
from poplarhoist.standins.web import App, Listener, cut_connection, json_response, update_faults

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    slow_s : float
        Duration of a call in seconds.
    lose_answers : int
        Number of the next calls that run without a response.
    down : bool
        Cuts every connection except those of control calls.
    restart_s : float
        Seconds during which the service does not listen after a restart.
    """

    slow_s: float = 0.0
    lose_answers: int = 0
    down: bool = False
    restart_s: float = 1.0


@define(eq=False)
class ServiceStandin:
    """State of the stand-in.

    Attributes
    ----------
    boot : str
        Id of this run of the process; changes with every restart.
    runs_by_key : dict
        Number of runs by idempotency key, or by request id for calls without a key.
    running : int
        Calls in flight.
    listener : Listener or None
        Closed during a restart; None if the application is called without a socket.
    """

    endpoint: Endpoint
    faults: Faults = field(factory=Faults)
    boot: str = field(factory=lambda: uuid.uuid4().hex[:8])
    state: LifecycleState = LifecycleState.LIVE
    runs_by_key: dict[str, int] = field(factory=dict)
    running: int = 0
    listener: Listener | None = None
    app: App = field(init=False)

    def __attrs_post_init__(self) -> None:
        calls = [(method, "/call/<path:path>", self.handle_call) for method in METHODS]
        self.app = App(
            [
                *calls,
                ("GET", "/report", self.handle_report),
                ("POST", "/control", self.handle_control),
                ("GET", "/control/state", self.handle_state),
            ]
        )

    def start(self) -> None:
        """Start to listen in the background."""
        setting = f"endpoints.{self.endpoint.name}"
        self.listener = Listener(self.app, self.endpoint.host, self.endpoint.port, setting)
        self.listener.open()

    def handle_call(self, request: Request, path: str) -> Response:
        """Run a call and count it; a service that is leaving refuses it without running it."""
        if self.faults.down:
            cut_connection()
        if self.state is not LifecycleState.LIVE:
            return json_response({"reason": "leaving"}, 503, {"X-Ran": "no"})
        key = request.headers.get("Idempotency-Key", request.headers["X-Request-Id"])
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.running += 1
        try:
            eventlet.sleep(self.faults.slow_s)
        finally:
            self.running -= 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            cut_connection()
        data = {"path": path, "key": key, "run": self.runs_by_key[key], "by": self.endpoint.name}
        return json_response(data, 201, {"X-Request-Id": request.headers["X-Request-Id"]})

    def handle_report(self, request: Request) -> Response:
        """Return a report with the number of calls in flight."""
        if self.faults.down:
            cut_connection()
        report = EndpointReport(self.endpoint.name, self.boot, 0.0, self.state, self.running)
        return json_response(wire.dump(report))

    def handle_control(self, request: Request) -> Response:
        """Set fault switches, restart, silence open connections, or change the liveness state."""
        data = request.get_json()
        if data.pop("silence", False):
            self.app.connections.silence_open()
        if "state" in data:
            self.state = LifecycleState(data.pop("state"))
        restart = data.pop("restart", False)
        self.faults = update_faults(self.faults, data)
        if restart:
            self.restart()
        return json_response({})

    def restart(self) -> None:
        """Cut all connections and restart, as a process that dies; the run counts are kept."""
        self.boot = uuid.uuid4().hex[:8]
        if self.listener is not None:
            self.listener.restart(self.faults.restart_s)

    def handle_state(self, request: Request) -> Response:
        """Return the number of runs by key."""
        return json_response({"runs_by_key": self.runs_by_key})
