"""Stand-in for the platform: object API, delayed lists and weight store, with fault switches."""

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
from poplarhoist.standins.web import App, cut_connection, json_response, update_faults

MAX_HISTORY = 5000
WATCH_MAX_S = 30.0
WATCH_POLL_S = 0.5
HANG_POLL_S = 0.05


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    outage : bool
        Refuses every call with 503.
    hang : bool
        Holds every call, watches included, without a response until it is switched off.
    slow_s : float
        Seconds added to every call.
    lose_answers : int
        Number of the next writes that take effect but end in a cut connection.
    lose_below : str
        Path prefix to which ``lose_answers`` is limited.
    list_lag_s : float
        Seconds until a change of the instance and endpoint lists becomes visible.
    calls_per_s : float
        Calls allowed per second, above which calls get 429; 0 for no limit.
    store_down : bool
        The weight store refuses all loads.
    store_slow : float
        Factor on the duration of a load.
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
    """An object; its version is the revision at which it was last written."""

    version: int
    value: object


@define
class HistoryEntry:
    """A change in the watch history; the value None stands for a deletion."""

    path: str
    version: int
    value: object


@define
class PlatformStandin:
    """State of the stand-in.

    Attributes
    ----------
    revision : int
        Number of writes and deletions so far.
    history : deque
        Latest changes, the oldest first; a watch that starts before them gets 410.
    changed : Event
        Sent after every change, and then replaced by a new one.
    call_counts : dict
        Calls so far by kind, refused ones included.
    rate_tokens, refilled_at : float, float
        Token bucket of ``calls_per_s``: tokens left, and when it was last refilled, in seconds.
    """

    site: Site
    clock: Clock
    faults: Faults = field(factory=Faults)
    revision: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    history: deque[HistoryEntry] = field(factory=lambda: deque(maxlen=MAX_HISTORY))
    changed: Event = field(factory=Event)
    call_counts: dict[str, int] = field(factory=dict)
    rate_tokens: float = 0.0
    refilled_at: float = 0.0
    store: WeightStore = field(init=False)
    app: App = field(init=False)

    def __attrs_post_init__(self) -> None:
        for entry in self.site.entries:
            self.write(f"instances/{entry.name}", wire.dump(to_instance(entry)))
        for endpoint in self.site.endpoints:
            self.write(f"endpoints/{endpoint.name}", wire.dump(to_endpoint(endpoint)))
        self.refilled_at = self.clock.monotonic()
        self.store = WeightStore(self.site.store, self.clock)
        self.app = App(
            [
                ("GET", "/v1/objects/<path:path>", self.handle_get),
                ("PUT", "/v1/objects/<path:path>", self.handle_put),
                ("DELETE", "/v1/objects/<path:path>", self.handle_delete),
                ("GET", "/v1/list", self.handle_list),
                ("GET", "/v1/watch", self.handle_watch),
                ("POST", "/store/load", self.handle_store_load),
                ("POST", "/control/faults", self.handle_set_faults),
                ("POST", "/control/member", self.handle_set_member),
                ("GET", "/control/state", self.handle_state),
            ]
        )

    def write(self, path: str, value: object) -> int:
        """Store an object, or delete it if the value is None; return the new revision."""
        self.revision += 1
        if value is None:
            self.objects.pop(path, None)
        else:
            self.objects[path] = StoredObject(self.revision, value)
        self.history.append(HistoryEntry(path, self.revision, value))
        changed, self.changed = self.changed, Event()
        changed.send()
        return self.revision

    def admit(self, kind: str) -> Response | None:
        """Count a call, apply hang, delay, outage and rate limit; None if it is admitted."""
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1
        while self.faults.hang:
            eventlet.sleep(HANG_POLL_S)
        if self.faults.slow_s:
            eventlet.sleep(self.faults.slow_s)
        if self.faults.outage:
            return json_response({"error": "outage"}, 503)
        if not self.take_rate_token():
            return json_response({"error": "rate limit"}, 429)
        return None

    def take_rate_token(self) -> bool:
        """Take a token for one call; return whether there was one or no limit is set."""
        rate = self.faults.calls_per_s
        if not rate:
            return True
        now = self.clock.monotonic()
        self.rate_tokens = min(rate, self.rate_tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        if self.rate_tokens < 1.0:
            return False
        self.rate_tokens -= 1.0
        return True

    def handle_get(self, request: Request, path: str) -> Response:
        """Return an object with its version; 404 if there is none."""
        refusal = self.admit("get")
        if refusal is not None:
            return refusal
        stored = self.objects.get(path)
        if stored is None:
            return json_response({"error": "not found"}, 404)
        return json_response({"version": stored.version, "value": stored.value})

    def handle_put(self, request: Request, path: str) -> Response:
        """Write an object if its version is the expected one."""
        return self.write_if_version(request, path, "put", request.get_json())

    def handle_delete(self, request: Request, path: str) -> Response:
        """Delete an object if its version is the expected one."""
        return self.write_if_version(request, path, "delete", None)

    def write_if_version(self, request: Request, path: str, kind: str, value: object) -> Response:
        """Apply a conditional write or deletion.

        An absent object has version 0. On a conflict, the response is 409 with the current version
        and value.
        """
        refusal = self.admit(kind)
        if refusal is not None:
            return refusal
        stored = self.objects.get(path)
        version = stored.version if stored else 0
        if version != int(request.args["expect"]):
            return json_response(
                {"version": version, "value": stored.value if stored else None}, 409
            )
        written = self.write(path, value)
        if self.faults.lose_answers > 0 and path.startswith(self.faults.lose_below):
            self.faults.lose_answers -= 1
            cut_connection()
        return json_response({"version": written})

    def handle_list(self, request: Request) -> Response:
        """Return the current revision and all objects under the given prefixes."""
        refusal = self.admit("list")
        if refusal is not None:
            return refusal
        prefixes = tuple(request.args.getlist("prefix"))
        objects = [
            {"path": path, "version": item.version, "value": item.value}
            for path, item in sorted(self.objects.items())
            if path.startswith(prefixes)
        ]
        return json_response({"revision": self.revision, "objects": objects})

    def handle_watch(self, request: Request) -> Response:
        """Return the changes under the given prefixes after a revision.

        Waits until there is one or the timeout has passed; the response is empty then. A revision
        older than the history gets 410.
        """
        refusal = self.admit("watch")
        if refusal is not None:
            return refusal
        since = int(request.args["since"])
        prefixes = tuple(request.args.getlist("prefix"))
        timeout_s = min(WATCH_MAX_S, float(request.args.get("timeout_s", WATCH_MAX_S)))
        deadline_at = self.clock.monotonic() + timeout_s
        while True:
            if self.history and since < self.history[0].version - 1:
                return json_response({"error": "too old"}, 410)
            entries = [c for c in self.history if c.version > since and c.path.startswith(prefixes)]
            remaining_s = deadline_at - self.clock.monotonic()
            if self.faults.outage:
                return json_response({"error": "outage"}, 503)
            if self.faults.hang:
                eventlet.sleep(HANG_POLL_S)
                continue
            if entries or remaining_s <= 0:
                changes = [
                    {"path": c.path, "version": c.version, "value": c.value} for c in entries
                ]
                return json_response({"revision": self.revision, "changes": changes})
            since = max(since, self.revision)
            with eventlet.Timeout(min(remaining_s, WATCH_POLL_S), False):
                self.changed.wait()

    def handle_store_load(self, request: Request) -> Response:
        """Load an adapter version from the weight store; 503 if the store is down."""
        ref = request.get_json()["ref"]
        if not self.store.fetch(ref):
            return json_response({"error": "store down"}, 503)
        return json_response({"loaded": ref})

    def handle_set_faults(self, request: Request) -> Response:
        """Set fault switches and return all of them."""
        self.faults = update_faults(self.faults, request.get_json())
        self.store.is_down = self.faults.store_down
        self.store.slowdown_factor = self.faults.store_slow
        return json_response(wire.dump(self.faults))

    def handle_set_member(self, request: Request) -> Response:
        """Change the instance or endpoint list; takes effect after ``list_lag_s``."""
        data = request.get_json()
        eventlet.spawn_after(self.faults.list_lag_s, self.write, data["path"], data["value"])
        return json_response({})

    def handle_state(self, request: Request) -> Response:
        """Return counters, for tests and measurements."""
        return json_response(
            {
                "revision": self.revision,
                "calls": self.call_counts,
                "store_loads": self.store.load_count,
                "objects": len(self.objects),
            }
        )
