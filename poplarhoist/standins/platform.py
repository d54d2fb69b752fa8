"""Stand-in for the platform: object API, lagging lists and weight store, with fault switches."""

from collections import deque

import eventlet
from attrs import define, field
from eventlet.event import Event
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.clock import Clock
from poplarhoist.settings.loader import to_endpoint, to_instance
from poplarhoist.settings.models import Site
from poplarhoist.standins.store import WeightStore
from poplarhoist.standins.web import App, cut, reply, switched

HISTORY = 5000
WATCH_MAX_S = 30.0
WATCH_POLL_S = 0.5
HANG_POLL_S = 0.05


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    outage : bool
        Every call is refused with 503.
    hang : bool
        Every call is held without an answer until switched off, waiting watches too.
    slow_s : float
        Seconds added to every call.
    lose_answers : int
        So many of the next writes take effect but are answered with a broken connection.
    lose_below : str
        Only writes of paths that start so lose their answers.
    list_lag_s : float
        Seconds until a change of the instance and endpoint lists shows.
    calls_per_s : float
        Calls allowed a second; 0 for no limit.
    store_down : bool
        The weight store refuses all loads.
    store_slow : float
        Factor on the time of a load.
    """

    outage: bool = False
    hang: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_below: str = ""
    list_lag_s: float = 0.0
    calls_per_s: float = 0.0
    store_down: bool = False
    store_slow: float = 1.0


@define
class StoredObject:
    """An object and the revision at which it was last written."""

    version: int
    value: object


@define
class Change:
    """An entry of the watch history; ``value`` None means deleted."""

    path: str
    version: int
    value: object


@define
class PlatformStandin:
    """State of the stand-in."""

    site: Site
    clock: Clock
    faults: Faults = field(factory=Faults)
    revision: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    history: deque[Change] = field(factory=lambda: deque(maxlen=HISTORY))
    changed: Event = field(factory=Event)
    calls: dict[str, int] = field(factory=dict)
    credit: float = 0.0
    credit_at: float = 0.0
    store: WeightStore = field(init=False)
    app: App = field(init=False)

    def __attrs_post_init__(self) -> None:
        for entry in self.site.entries:
            self.write(f"instances/{entry.name}", wire.dump(to_instance(entry)))
        for endpoint in self.site.endpoints:
            self.write(f"endpoints/{endpoint.name}", wire.dump(to_endpoint(endpoint)))
        self.credit_at = self.clock.monotonic()
        self.store = WeightStore(self.site.store, self.clock)
        self.app = App(
            [
                ("GET", "/v1/objects/<path:path>", self.get),
                ("PUT", "/v1/objects/<path:path>", self.put),
                ("DELETE", "/v1/objects/<path:path>", self.delete),
                ("GET", "/v1/list", self.list),
                ("GET", "/v1/watch", self.watch),
                ("POST", "/store/load", self.store_load),
                ("POST", "/control/faults", self.set_faults),
                ("POST", "/control/member", self.set_member),
                ("GET", "/control/state", self.show_state),
            ]
        )

    def write(self, path: str, value: object) -> int:
        """Store or delete an object and wake the watches; return its version."""
        self.revision += 1
        if value is None:
            self.objects.pop(path, None)
        else:
            self.objects[path] = StoredObject(self.revision, value)
        self.history.append(Change(path, self.revision, value))
        changed, self.changed = self.changed, Event()
        changed.send()
        return self.revision

    def admit(self, kind: str) -> Response | None:
        """Count a call; return a refusal if a fault or the rate limit says so."""
        self.calls[kind] = self.calls.get(kind, 0) + 1
        while self.faults.hang:
            eventlet.sleep(HANG_POLL_S)
        if self.faults.slow_s:
            eventlet.sleep(self.faults.slow_s)
        if self.faults.outage:
            return reply({"error": "outage"}, 503)
        if not self.within_rate():
            return reply({"error": "rate limit"}, 429)
        return None

    def within_rate(self) -> bool:
        """Return whether the rate limit allows one more call."""
        rate = self.faults.calls_per_s
        if not rate:
            return True
        now = self.clock.monotonic()
        self.credit = min(rate, self.credit + (now - self.credit_at) * rate)
        self.credit_at = now
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def get(self, request: Request, path: str) -> Response:
        """Read an object."""
        refusal = self.admit("get")
        if refusal is not None:
            return refusal
        found = self.objects.get(path)
        if found is None:
            return reply({"error": "not found"}, 404)
        return reply({"version": found.version, "value": found.value})

    def put(self, request: Request, path: str) -> Response:
        """Write an object if its version is as expected."""
        return self.change(request, path, "put", request.get_json())

    def delete(self, request: Request, path: str) -> Response:
        """Delete an object if its version is as expected."""
        return self.change(request, path, "delete", None)

    def change(self, request: Request, path: str, kind: str, value: object) -> Response:
        """Apply a conditional write or deletion."""
        refusal = self.admit(kind)
        if refusal is not None:
            return refusal
        found = self.objects.get(path)
        version = found.version if found else 0
        if version != int(request.args["expect"]):
            return reply({"version": version, "value": found.value if found else None}, 409)
        written = self.write(path, value)
        if self.faults.lose_answers > 0 and path.startswith(self.faults.lose_below):
            self.faults.lose_answers -= 1
            cut()
        return reply({"version": written})

    def list(self, request: Request) -> Response:
        """Read all objects below some prefixes."""
        refusal = self.admit("list")
        if refusal is not None:
            return refusal
        prefixes = tuple(request.args.getlist("prefix"))
        found = [
            {"path": path, "version": item.version, "value": item.value}
            for path, item in sorted(self.objects.items())
            if path.startswith(prefixes)
        ]
        return reply({"revision": self.revision, "objects": found})

    def watch(self, request: Request) -> Response:
        """Wait for changes below some prefixes after a revision."""
        refusal = self.admit("watch")
        if refusal is not None:
            return refusal
        since = int(request.args["since"])
        prefixes = tuple(request.args.getlist("prefix"))
        timeout_s = min(WATCH_MAX_S, float(request.args.get("timeout_s", WATCH_MAX_S)))
        ends_at = self.clock.monotonic() + timeout_s
        while True:
            if self.history and since < self.history[0].version - 1:
                return reply({"error": "too old"}, 410)
            found = [c for c in self.history if c.version > since and c.path.startswith(prefixes)]
            left_s = ends_at - self.clock.monotonic()
            if self.faults.outage:
                return reply({"error": "outage"}, 503)
            if self.faults.hang:
                eventlet.sleep(HANG_POLL_S)
                continue
            if found or left_s <= 0:
                changes = [{"path": c.path, "version": c.version, "value": c.value} for c in found]
                return reply({"revision": self.revision, "changes": changes})
            since = max(since, self.revision)
            with eventlet.Timeout(min(left_s, WATCH_POLL_S), False):
                self.changed.wait()

    def store_load(self, request: Request) -> Response:
        """Serve the weights of an adapter version."""
        ref = request.get_json()["ref"]
        if not self.store.fetch(ref):
            return reply({"error": "store down"}, 503)
        return reply({"loaded": ref})

    def set_faults(self, request: Request) -> Response:
        """Set some fault switches."""
        self.faults = switched(self.faults, request.get_json())
        self.store.down = self.faults.store_down
        self.store.slow = self.faults.store_slow
        return reply(wire.dump(self.faults))

    def set_member(self, request: Request) -> Response:
        """Change the instance or endpoint list, after the lag."""
        data = request.get_json()
        eventlet.spawn_after(self.faults.list_lag_s, self.write, data["path"], data["value"])
        return reply({})

    def show_state(self, request: Request) -> Response:
        """Show counters of the stand-in."""
        return reply(
            {
                "revision": self.revision,
                "calls": self.calls,
                "store_loads": self.store.loads,
                "objects": len(self.objects),
            }
        )
