"""Stand-in of the object store of a platform; a test injects faults through its fields."""

import json
import threading
import time
from bisect import bisect_right
from operator import itemgetter

from tests.standin_server import Handler, StandIn

# In place of a status: the connection ends without a response.
CUT_OFF = None
# Seconds for which a call hangs at a store that never responds.
HANG_S = 40.0


class StoreHandler(Handler):
    """Handles calls to the store."""

    def handle_call(self) -> None:
        """Serve a call, or simulate the fault that is set at the store."""
        store, body = self.standin, self.read_body()
        if store.unavailable:
            self.respond(503, **store.headers())
            return
        if store.hangs:
            # Accepts the call and never responds, while the connection stays alive.
            time.sleep(HANG_S)
            self.close_connection = True
            return
        path, _, query = self.path.partition("?")
        values = dict(part.split("=") for part in query.split("&") if part)
        _, _, kind, *rest = path.strip("/").split("/")
        status, data = store.handle(self.command, kind, rest, values, json.loads(body or b"null"))
        if status is CUT_OFF:
            self.close_connection = True
            return
        if store.lose_responses and self.command != "GET":
            self.close_connection = True
            return
        self.respond(status, json.dumps(data).encode(), **store.headers())

    do_GET = do_POST = do_PUT = do_DELETE = handle_call


class Store(StandIn):
    """Objects by kind and name, with one revision and a history that can be dropped.

    Attributes
    ----------
    revision : int
        Revision of the last write to any object.
    oldest_revision : int
        A watch from an earlier revision gets status 410, since its history was dropped.
    unavailable : bool
        Whether calls get status 503.
    lose_responses : bool
        Whether writes are carried out without a response.
    hangs : bool
        Whether calls are accepted and never answered.
    misses_changes : bool
        Whether open watches miss changes; a watch made later sees them.
    cuts : int
        How often all watches that wait were cut off.
    generation : int or str or None
        How often it was restored, as its responses say; None if they do not.
    """

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.revision = 1
        self.oldest_revision = 0
        self.unavailable = False
        self.lose_responses = False
        self.hangs = False
        self.misses_changes = False
        self.cuts = 0
        self.generation: int | str | None = 1
        super().__init__(StoreHandler)

    def headers(self) -> dict[str, str]:
        """Return the headers of all responses."""
        return {} if self.generation is None else {"Store_Era": str(self.generation)}

    def copy(self) -> tuple:
        """Return a copy of all that the store holds, to which it can be restored."""
        with self.condition:
            return dict(self.objects), list(self.history), self.revision

    def restore(self, copy: tuple, away_s: float = 0.3) -> dict[tuple[str, str], dict]:
        """Be away for a moment, and come back as of a copy; watches of later revisions get 410.

        Returns
        -------
        dict
            All objects that the store held, by kind and name.
        """
        self.unavailable = True
        with self.condition:
            self.condition.notify_all()
        time.sleep(away_s)
        with self.condition:
            lost = self.objects
            objects, history, self.revision = copy
            self.objects, self.history = dict(objects), list(history)
            if isinstance(self.generation, int):
                self.generation += 1
            self.unavailable = False
            return lost

    def handle(self, method: str, kind: str, names: list[str], query: dict, body):
        """Carry out a call; return status and response data."""
        if method == "GET":
            return self.list_or_watch(kind, query)
        if method == "POST":
            return self.put(kind, body["metadata"]["name"], body["spec"], 0)
        if method == "PUT":
            expected = body["metadata"].get("revision")
            return self.put(kind, names[0], body["spec"], expected)
        self.remove(kind, names[0])
        return 200, {}

    def list_or_watch(self, kind: str, query: dict):
        """List the objects of a kind, or with ``watch`` wait for changes after that revision."""
        with self.condition:
            if "watch" not in query:
                items = [item for (other, _), item in self.objects.items() if other == kind]
                return 200, {"items": items, "truncated": False, "currentRev": self.revision}
            since = hidden_until_revision = int(query["watch"])
            # Equals `since` until this watch has missed a change.
            cuts = self.cuts
            ends_at = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                if since < self.oldest_revision or since > self.revision:
                    return 410, {}
                first = bisect_right(self.history, hidden_until_revision, key=itemgetter(0))
                events = [
                    {"object": item, "tombstone": gone}
                    for _, other, item, gone in self.history[first:]
                    if other == kind
                ]
                left_s = ends_at - time.monotonic()
                if events and self.misses_changes:
                    # This watch hides all changes up to now and returns no later revision than
                    # `since`, so a watch made afterwards shows them.
                    hidden_until_revision, events = self.revision, []
                if events or left_s <= 0:
                    revision_reached = (
                        int(query["watch"]) if hidden_until_revision != since else self.revision
                    )
                    return 200, {"events": events, "currentRev": revision_reached}
                if self.unavailable:
                    return 503, {}
                if self.cuts != cuts:
                    return CUT_OFF, {}
                self.condition.wait(min(left_s, 0.5))

    def put(self, kind: str, name: str, spec, expected: int | None = None):
        """Write an object; ``expected`` 0 only creates it, None accepts any revision."""
        with self.condition:
            existing = self.objects.get((kind, name))
            if existing is not None and expected not in (None, existing["metadata"]["revision"]):
                return 409, existing
            if existing is None and expected:
                return 404, {}
            self.revision += 1
            item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
            self.objects[kind, name] = item
            self.history.append((self.revision, kind, item, False))
            self.condition.notify_all()
            return 200, item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists; watches show a tombstone."""
        with self.condition:
            item = self.objects.pop((kind, name), None)
            if item is not None:
                self.revision += 1
                self.history.append((self.revision, kind, item, True))
                self.condition.notify_all()

    def cut_watches(self) -> None:
        """End the connections of all watches that wait, without a response."""
        with self.condition:
            self.cuts += 1
            self.condition.notify_all()

    def drop_history(self) -> None:
        """Drop the history: watches from earlier revisions get status 410."""
        with self.condition:
            self.oldest_revision = self.revision
            self.history.clear()
            self.condition.notify_all()
