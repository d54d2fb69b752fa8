"""Stand-in for a plain service that counts every run by key, and its fault switches."""

import uuid

import eventlet
from attrs import define, field
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.models import Endpoint, EndpointReport, Liveness
from poplarhoist.standins.web import App, reply


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    slow_s : float
        Seconds that a call takes.
    lose_answers : int
        So many of the next calls run but their answers are lost.
    down : bool
        Everything is refused, as if nothing listened.
    """

    slow_s: float = 0.0
    lose_answers: int = 0
    down: bool = False


@define
class ServiceStandin:
    """State of the stand-in."""

    endpoint: Endpoint
    faults: Faults = field(factory=Faults)
    boot: str = field(factory=lambda: uuid.uuid4().hex[:8])
    state: Liveness = Liveness.LIVE
    runs_by_key: dict[str, int] = field(factory=dict)
    running: int = 0

    def app(self) -> App:
        """Return the WSGI application."""
        methods = ("GET", "POST", "PUT", "PATCH", "DELETE")
        calls = [(method, "/call/<path:path>", self.call) for method in methods]
        return App(
            [
                *calls,
                ("GET", "/report", self.report),
                ("POST", "/control", self.control),
                ("GET", "/control/state", self.show_state),
            ]
        )

    def call(self, request: Request, path: str) -> Response:
        """Run a call and count it."""
        if self.faults.down:
            raise ConnectionResetError("down")
        if self.state is not Liveness.LIVE:
            return reply({"reason": "leaving"}, 503, {"X-Ran": "no"})
        key = request.headers.get("Idempotency-Key", request.headers["X-Request-Id"])
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.running += 1
        try:
            eventlet.sleep(self.faults.slow_s)
        finally:
            self.running -= 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionResetError("answer lost")
        data = {"path": path, "key": key, "run": self.runs_by_key[key], "by": self.endpoint.name}
        return reply(data, 201, {"X-Request-Id": request.headers["X-Request-Id"]})

    def report(self, request: Request) -> Response:
        """Report load."""
        if self.faults.down:
            raise ConnectionResetError("down")
        report = EndpointReport(self.endpoint.name, self.boot, 0.0, self.state, self.running)
        return reply(wire.converter.unstructure(report))

    def control(self, request: Request) -> Response:
        """Set fault switches or change the state."""
        data = request.get_json()
        if "state" in data:
            self.state = Liveness(data.pop("state"))
        self.faults = wire.load({**wire.converter.unstructure(self.faults), **data}, Faults)
        return reply({})

    def show_state(self, request: Request) -> Response:
        """Show how often each key was run."""
        return reply({"runs_by_key": self.runs_by_key})
