"""HTTP client of the platform's object API."""

import hashlib
from typing import Protocol
from urllib.parse import quote, urlencode

import orjson
from attrs import frozen
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.events import CallStatus
from poplarhoist.entry.http import never_sent, request_once
from poplarhoist.entry.metrics import Metrics
from poplarhoist.settings.models import PlatformSettings

LONG_POLL_MARGIN_S = 5.0
# Longest response with one object; the largest objects are pages of the configuration.
MAX_OBJECT_BYTES = 8_388_608
# Longest listing; that of 100,000 records of calls has some 60 MB.
MAX_LISTING_BYTES = 67_108_864
CALL_STATUS_BY_CODE = {
    200: CallStatus.OK,
    404: CallStatus.NOT_FOUND,
    409: CallStatus.CONFLICT,
    429: CallStatus.REFUSED,
    503: CallStatus.REFUSED,
}


@frozen
class CallResult:
    """Result of a call for one object.

    Attributes
    ----------
    version : int
        Version of the object; 0 if the response has none.
    value : object
        The object; on a conflict, the stored one if the platform returns it.
    """

    status: CallStatus
    version: int = 0
    value: object = None


@frozen
class ListedObject:
    """An object in a listing, or a change in a watch; ``value`` is None after a deletion."""

    path: str
    version: int
    value: object


@frozen
class Listing:
    """Objects of a listing, or changes of a watch, up to a revision.

    Attributes
    ----------
    history_gone : bool
        Whether the platform no longer has the changes after the requested revision, so that the
        objects must be listed again.
    """

    status: CallStatus
    revision: int = 0
    objects: tuple[ListedObject, ...] = ()
    history_gone: bool = False


class Platform(Protocol):
    """Operations on the platform's objects that entries and the operators' tool use.

    Failed calls do not raise; their status says so.
    """

    def get(self, path: str) -> CallResult:
        """Read an object."""

    def put(self, path: str, value: object, expect: int) -> CallResult:
        """Write an object if its version is ``expect``; 0 means that it must not exist."""

    def delete(self, path: str, expect: int) -> CallResult:
        """Delete an object if its version is ``expect``."""

    def list(self, prefixes: tuple[str, ...]) -> Listing:
        """Read all objects whose paths start with one of the prefixes."""

    def watch(self, prefixes: tuple[str, ...], since: int) -> Listing:
        """Wait for changes after revision ``since``; none may have come when it returns."""


class HttpPlatform:
    """The platform's objects over HTTP and JSON, each call over a connection of its own.

    Responses name no call, so that one that comes late or twice on a kept connection may be taken for
    the response to the next call.
    """

    def __init__(self, settings: PlatformSettings, metrics: Metrics | None = None) -> None:
        self.settings = settings
        self.base_url = f"http://{settings.host}:{settings.port}/v1"
        self.metrics = metrics

    def get(self, path: str) -> CallResult:
        """Read an object; the status is ``NOT_FOUND`` if there is none."""
        return self.request_object("get", "GET", f"/objects/{quote(path)}")

    def put(self, path: str, value: object, expect: int) -> CallResult:
        """Write an object if its version is ``expect``; 0 means that it must not exist."""
        body = orjson.dumps(value)
        return self.request_object("put", "PUT", f"/objects/{quote(path)}?expect={expect}", body)

    def delete(self, path: str, expect: int) -> CallResult:
        """Delete an object if its version is ``expect``."""
        return self.request_object("delete", "DELETE", f"/objects/{quote(path)}?expect={expect}")

    def list(self, prefixes: tuple[str, ...]) -> Listing:
        """Read all objects whose paths start with one of the prefixes."""
        query = urlencode([("prefix", prefix) for prefix in prefixes])
        return self.request_listing("list", f"/list?{query}", "objects", self.settings.timeout_s)

    def watch(self, prefixes: tuple[str, ...], since: int) -> Listing:
        """Wait up to ``PlatformSettings.watch_s`` for changes after revision ``since``."""
        long_poll_s = self.settings.watch_s
        prefix_pairs = [("prefix", prefix) for prefix in prefixes]
        query = urlencode([*prefix_pairs, ("since", since), ("timeout_s", long_poll_s)])
        return self.request_listing(
            "watch", f"/watch?{query}", "changes", long_poll_s + LONG_POLL_MARGIN_S
        )

    def request_object(
        self, kind: str, method: str, path: str, body: bytes | None = None
    ) -> CallResult:
        """Make a call for one object.

        The status is ``REFUSED`` if the call certainly had no effect and ``UNKNOWN`` if it may have
        had one.
        """
        headers = {"Content-Type": "application/json"}
        try:
            code, answer = request_once(
                method,
                self.base_url + path,
                self.settings.timeout_s,
                MAX_OBJECT_BYTES,
                body=body,
                headers=headers,
            )
            status = CALL_STATUS_BY_CODE.get(code, CallStatus.UNKNOWN)
            data = orjson.loads(answer) if answer else {}
        except HTTPError as error:
            status = CallStatus.REFUSED if never_sent(error) else CallStatus.UNKNOWN
            data = {}
        except orjson.JSONDecodeError:
            status, data = CallStatus.UNKNOWN, {}
        self.count_call(kind, status)
        return CallResult(status, data.get("version", 0), data.get("value"))

    def request_listing(self, kind: str, path: str, items_key: str, timeout_s: float) -> Listing:
        """Make a call that returns the objects or changes under ``items_key``."""
        try:
            code, answer = request_once("GET", self.base_url + path, timeout_s, MAX_LISTING_BYTES)
            data = orjson.loads(answer)
        except (HTTPError, orjson.JSONDecodeError):
            self.count_call(kind, CallStatus.UNKNOWN)
            return Listing(CallStatus.UNKNOWN)
        if code != 200:
            self.count_call(kind, CallStatus.REFUSED)
            return Listing(CallStatus.REFUSED, history_gone=code == 410)
        self.count_call(kind, CallStatus.OK)
        objects = tuple(ListedObject(o["path"], o["version"], o["value"]) for o in data[items_key])
        return Listing(CallStatus.OK, data["revision"], objects)

    def count_call(self, kind: str, status: CallStatus) -> None:
        """Count a call by kind and status, if there are metrics."""
        if self.metrics is not None:
            self.metrics.count("platform_call", (kind, status))


def token_digest(token: str) -> str:
    """Return the SHA-256 digest of a caller's token; only the digest is stored."""
    return hashlib.sha256(token.encode()).hexdigest()
