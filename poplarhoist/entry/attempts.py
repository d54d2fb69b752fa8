"""One attempt of a request at an endpoint: send, check whose answer it is, pass it on."""

from collections.abc import Iterator

import eventlet
import orjson
from attrs import define, field
from urllib3 import Timeout
from urllib3.exceptions import HTTPError, ReadTimeoutError

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions.events import Outcome
from poplarhoist.entry.core import Core
from poplarhoist.entry.endpoints import endpoint_url
from poplarhoist.entry.http import never_sent, single_use_pool
from poplarhoist.models import AdapterRef, Endpoint
from poplarhoist.settings.models import StreamSettings

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]\n\n"
READ_BYTES = 65536
DATA_FIELD = b"data:"
RESUME_TRIES = 3
PASSED_HEADERS = ("content-type",)
WRONG_REQUEST = "request"
WRONG_ADAPTER = "adapter"


@define
class Work:
    """What a caller sent, as it goes to an endpoint.

    Attributes
    ----------
    path : str
        Path at the endpoint.
    stream : bool
        Whether the answer is passed on event by event.
    model : str
        The model as the caller named it; empty for a service call.
    running : Attempt or None
        The attempt under way.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    stream: bool = False
    model: str = ""
    running: "Attempt | None" = None


@define
class Result:
    """How an attempt ended, and its answer if that was not streamed.

    Attributes
    ----------
    delivered : bool
        Whether the caller has had any byte of the answer.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    delivered: bool = False
    size: int = 0


class WrongAnswer(Exception):
    """An answer belongs to another request, adapter or version."""


class StreamStalled(HTTPError):
    """A stream sent nothing for longer than its expected gap."""


class Attempt:
    """Sends one request to one endpoint over a connection of its own.

    A connection of its own makes sure that a request is never written into a kept connection
    that has gone silent, so that "not sent" can be told from "may have run".
    """

    def __init__(self, core: Core, settings: StreamSettings, work: Work, effect: fx.Dispatch):
        self.core = core
        self.settings = settings
        self.work = work
        self.effect = effect
        view = core.state.members.endpoints.get(effect.endpoint)
        self.endpoint: Endpoint | None = view.endpoint if view else None
        self.stream_id = f"{work.request_id}.{effect.attempt}"
        self.pool = single_use_pool()
        self.result = Result(Outcome.BROKEN)
        self.offset = 0
        self.stalls = 0
        self.cancelled = False

    def headers(self) -> dict[str, str]:
        """Return the headers of the request to the endpoint."""
        headers = {
            **self.work.headers,
            "X-Request-Id": self.work.request_id,
            "X-Stream-Id": self.stream_id,
            "X-Priority": str(self.effect.priority),
            "Connection": "close",
        }
        if self.effect.ref is not None:
            headers["X-Adapter"] = str(self.effect.ref)
        return headers

    def open(self, method: str, path: str, body: bytes | None, wait_s: float):
        """Send a request and return its response, not yet read."""
        return self.pool.request(
            method,
            endpoint_url(self.endpoint) + path,
            body=body,
            headers=self.headers(),
            preload_content=False,
            redirect=False,
            timeout=Timeout(connect=self.settings.connect_s, read=wait_s),
        )

    def whole(self) -> Result:
        """Run the request and return the whole answer."""
        response = self.begin()
        if response is not None:
            self.read_whole(response)
        return self.result

    def read_whole(self, response) -> None:
        """Read an answer that is not streamed, and make sure that it is whole."""
        try:
            body = response.read()
            if self.result.outcome is Outcome.COMPLETED:
                self.check_body(body)
        except WrongAnswer as error:
            self.result = Result(Outcome.WRONG, str(error))
        except (HTTPError, orjson.JSONDecodeError) as error:
            self.broken(type(error).__name__)
        else:
            self.result.body = body
            self.result.size = len(body)

    def begin(self):
        """Send the request and judge the head of the answer; None if the attempt is over."""
        if self.endpoint is None:
            self.result = Result(Outcome.NOT_SENT, "gone")
            return None
        try:
            response = self.send()
        except HTTPError as error:
            if never_sent(error):
                self.result = Result(Outcome.NOT_SENT, "connect")
            else:
                self.broken(type(error).__name__)
            return None
        if response is None:
            return None
        if response.headers.get("X-Ran") == "no":
            self.result = Result(Outcome.REFUSED, refusal_reason(response))
            return None
        try:
            self.check(response)
        except WrongAnswer as error:
            response.close()
            self.result = Result(Outcome.WRONG, str(error))
            return None
        outcome = Outcome.COMPLETED if response.status < 400 else Outcome.FAILED
        self.result = Result(outcome, status=response.status, headers=passed(response))
        return response

    def send(self):
        """Send the request; a stream whose connection stays silent is opened again by its id."""
        work = self.work
        if not work.stream:
            return self.open(work.method, work.path, work.body, self.settings.first_byte_s)
        try:
            return self.open(work.method, work.path, work.body, self.settings.gap_s)
        except ReadTimeoutError as error:
            tries = max(1, round(self.settings.first_byte_s / self.settings.gap_s))
            return self.resume(type(error).__name__, tries)

    def broken(self, reason: str) -> None:
        """Note that the endpoint stopped answering."""
        outcome = Outcome.CANCELLED if self.cancelled else Outcome.BROKEN
        self.result = Result(outcome, reason, delivered=self.result.delivered)

    def check(self, response) -> None:
        """Make sure that an answer is for this request, adapter and version.

        Raises
        ------
        WrongAnswer
            If it is not.
        """
        if response.headers.get("X-Request-Id") != self.work.request_id:
            raise WrongAnswer(WRONG_REQUEST)
        ref = self.effect.ref
        if ref is not None and response.headers.get("X-Adapter") != str(ref):
            raise WrongAnswer(WRONG_ADAPTER)

    def check_body(self, body: bytes) -> None:
        """Make sure that the body of a model's answer is whole and names the right model.

        Raises
        ------
        WrongAnswer
            If it names another model.
        orjson.JSONDecodeError
            If it was cut off.
        """
        ref = self.effect.ref
        if ref is None:
            return
        data = orjson.loads(body)
        if not names_model(data, ref, self.work.model):
            raise WrongAnswer(WRONG_ADAPTER)

    def events(self, response) -> Iterator[bytes]:
        """Yield whole events until the last one, resuming over new connections."""
        while response is not None:
            try:
                for data in self.read_events(response):
                    yield data
                    if data.endswith(LAST_EVENT):
                        return
                reason = "ended early"
            except WrongAnswer as error:
                response.close()
                self.result = Result(Outcome.WRONG, str(error), delivered=self.result.delivered)
                return
            except HTTPError as error:
                reason = type(error).__name__
            response.close()
            self.stalls += 1
            response = self.resume(reason, RESUME_TRIES)

    def read_events(self, response) -> Iterator[bytes]:
        """Yield whole events of one connection and count them."""
        rest = b""
        checked = False
        chunks = response.stream(READ_BYTES, decode_content=False)
        while chunk := self.next_chunk(chunks):
            data = rest + chunk
            end = data.rfind(EVENT_END) + len(EVENT_END)
            if end < len(EVENT_END):
                rest = data
                continue
            data, rest = data[:end], data[end:]
            if not checked:
                self.check_event(data)
                checked = True
            self.offset += data.count(EVENT_END)
            self.stalls = 0
            self.result.size += len(data)
            self.result.delivered = True
            yield data

    def check_event(self, data: bytes) -> None:
        """Make sure that the first event of a connection names the right model.

        Raises
        ------
        WrongAnswer
            If it names another one.
        """
        first = data[: data.find(EVENT_END)]
        if self.effect.ref is None or not first.startswith(DATA_FIELD):
            return
        try:
            event = orjson.loads(first.removeprefix(DATA_FIELD))
        except orjson.JSONDecodeError:
            return
        if not names_model(event, self.effect.ref, self.work.model):
            raise WrongAnswer(WRONG_ADAPTER)

    def next_chunk(self, chunks: Iterator[bytes]) -> bytes:
        """Return the next chunk of a connection; empty at its end.

        Raises
        ------
        StreamStalled
            If nothing arrives within the expected gap.
        """
        with eventlet.Timeout(self.settings.gap_s, StreamStalled()):
            return next(chunks, b"")

    def resume(self, reason: str, tries: int):
        """Open the stream again where it stopped; None if the endpoint cannot."""
        path = f"/v1/streams/{self.stream_id}?offset={self.offset}"
        for _ in range(tries if self.stalls <= RESUME_TRIES else 0):
            if self.cancelled:
                break
            try:
                response = self.open("GET", path, None, self.settings.gap_s)
                if response.status == 200:
                    self.check(response)
                    self.core.metrics.count("stream_resumed", ("yes",))
                    return response
                break
            except WrongAnswer:
                break
            except HTTPError:
                continue
        self.core.metrics.count("stream_resumed", ("no",))
        self.broken(reason)
        return None

    def cancel(self) -> None:
        """Stop the stream at the endpoint; it ends by itself if that fails."""
        self.cancelled = True
        if self.endpoint is None or self.effect.ref is None:
            return
        pool = single_use_pool()
        url = f"{endpoint_url(self.endpoint)}/v1/streams/{self.stream_id}"
        timeout = Timeout(connect=self.settings.connect_s, read=self.settings.gap_s)
        try:
            pool.request("DELETE", url, headers=self.headers(), redirect=False, timeout=timeout)
        except HTTPError:
            self.core.metrics.count("cancel_failed")
        finally:
            pool.clear()

    def close(self) -> None:
        """Drop the connection."""
        self.pool.clear()


def names_model(data: object, ref: AdapterRef, asked: str) -> bool:
    """Return whether an answer names the adapter version, or no model at all."""
    if not isinstance(data, dict):
        return False
    return data.get("model") in (None, str(ref), ref.adapter, asked)


def refusal_reason(response) -> str:
    """Return the endpoint's reason for a refusal."""
    try:
        return str(orjson.loads(response.read())["reason"])
    except (HTTPError, ValueError, KeyError, TypeError):
        return "refused"


def passed(response) -> dict[str, str]:
    """Return the headers that are passed on to the caller."""
    return {name: response.headers[name] for name in PASSED_HEADERS if name in response.headers}
