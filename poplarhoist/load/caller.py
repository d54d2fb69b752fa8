"""A test caller of a running site: sends calls, resends after Retry-After, checks answers."""

import re
import uuid
from collections.abc import Iterator

import eventlet
import orjson
import urllib3
from attrs import define, field
from urllib3.exceptions import HTTPError

from poplarhoist.clock import Clock

MAX_RESENDS = 3
TIMEOUT_S = 60.0
READ_CHUNK_BYTES = 65536
TOKEN_PATTERN = re.compile(r" (\S+)@(\d+):(\d+)")


@define
class CallOutcome:
    """The result of a call; times are those of the monotonic clock, in seconds.

    Attributes
    ----------
    due_at : float
        When the call was due; latencies count from here, also if it was sent late.
    first_at, ended_at : float or None
        When the first chunk and the end of the answer arrived.
    gaps : list of float
        Seconds between the chunks of the answer.
    complete : bool
        Whether the answer is whole and correct.
    wrong : bool
        Whether the answer ended normally but is not the expected one.
    refused : str
        Reason of the final refusal; empty if there is none.
    not_run : bool
        Whether the final refusal said that the call was not run.
    resends : int
        How often the call was sent again.
    stalled : bool
        Whether its adapter was resident on no engine when the call was sent.
    """

    due_at: float
    first_at: float | None = None
    ended_at: float | None = None
    gaps: list[float] = field(factory=list)
    complete: bool = False
    wrong: bool = False
    refused: str = ""
    not_run: bool = False
    resends: int = 0
    stalled: bool = False


@define
class CallerClient:
    """Sends calls to the entries of a site, each over a new connection."""

    clock: Clock
    token: str
    urls: tuple[str, ...]
    deadline_s: float = 30.0

    def build_headers(self, **more: str) -> dict[str, str]:
        """Return the headers of a call, with additional ones."""
        return {
            "Authorization": f"Bearer {self.token}",
            "Content-Type": "application/json",
            "X-Deadline-Seconds": str(self.deadline_s),
            "Connection": "close",
            **more,
        }

    def post(self, entry: int, path: str, body: dict, **headers: str):
        """Send one request and return its response, whose body is not read yet.

        Raises
        ------
        HTTPError
            If there is no answer.
        """
        pool = urllib3.PoolManager(retries=False, maxsize=1, timeout=TIMEOUT_S)
        return pool.request(
            "POST",
            self.urls[entry % len(self.urls)] + path,
            body=orjson.dumps(body),
            headers=self.build_headers(**headers),
            preload_content=False,
            redirect=False,
        )

    def list_models(self) -> list[str]:
        """Return the sorted names of the adapters that the caller may use.

        Raises
        ------
        HTTPError
            If the entry does not answer.
        """
        pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        answer = pool.request("GET", self.urls[0] + "/v1/models", headers=self.build_headers())
        return sorted(model["id"] for model in answer.json()["data"])

    def request_completion(
        self, outcome: CallOutcome, entry: int, adapter: str, tokens: int
    ) -> CallOutcome:
        """Request a streamed completion, check every token and fill in the outcome."""
        body = {"model": adapter, "prompt": uuid.uuid4().hex, "max_tokens": tokens, "stream": True}
        response = self.send_with_resends(
            outcome, lambda: self.post(entry, "/v1/completions", body)
        )
        if response is None:
            return outcome
        data = b"".join(self.read_chunks(outcome, response))
        outcome.ended_at = self.clock.monotonic()
        check_stream(outcome, data, adapter, tokens)
        return outcome

    def request_booking(self, outcome: CallOutcome, entry: int, path: str, key: str) -> CallOutcome:
        """Send a call that must not run twice; resends have the same idempotency key."""
        post = lambda: self.post(entry, path, {"crew": 1}, **{"Idempotency-Key": key})
        response = self.send_with_resends(outcome, post)
        if response is None:
            return outcome
        data = b"".join(self.read_chunks(outcome, response))
        outcome.ended_at = self.clock.monotonic()
        outcome.complete = orjson.loads(data).get("key") == key
        outcome.wrong = not outcome.complete
        return outcome

    def send_with_resends(self, outcome: CallOutcome, post):
        """Send a call, and resend it after Retry-After, ``MAX_RESENDS`` times at most.

        Returns None if the call is refused, which the outcome records, or not answered.
        """
        while True:
            try:
                response = post()
                if response.status < 300:
                    return response
                problem = orjson.loads(response.read())
            except (HTTPError, orjson.JSONDecodeError):
                return None
            retry_after = response.headers.get("Retry-After")
            if retry_after is None or outcome.resends >= MAX_RESENDS:
                outcome.refused = str(problem.get("reason", response.status))
                outcome.not_run = problem.get("ran") == "no"
                outcome.ended_at = self.clock.monotonic()
                return None
            outcome.resends += 1
            eventlet.sleep(float(retry_after))

    def read_chunks(self, outcome: CallOutcome, response) -> Iterator[bytes]:
        """Yield the chunks of an answer and record when they arrived; stop if it breaks off."""
        last_at = None
        try:
            for chunk in response.stream(READ_CHUNK_BYTES, decode_content=False):
                now = self.clock.monotonic()
                if last_at is None:
                    outcome.first_at = now
                else:
                    outcome.gaps.append(now - last_at)
                last_at = now
                yield chunk
        except HTTPError:
            return


def check_stream(outcome: CallOutcome, data: bytes, adapter: str, tokens: int) -> None:
    """Record in the outcome whether a streamed answer is complete, wrong, refused or cut off."""
    events = [line for line in data.split(b"\n\n") if line]
    if events and events[-1].startswith(b"event: error"):
        problem = orjson.loads(events[-1].partition(b"data: ")[2])["error"]
        outcome.refused = problem["reason"]
        return
    if not events or events[-1] != b"data: [DONE]":
        return
    texts = [
        orjson.loads(event.removeprefix(b"data: "))["choices"][0]["text"] for event in events[:-1]
    ]
    outcome.complete = is_correct_answer(texts, adapter, tokens)
    outcome.wrong = not outcome.complete


def is_correct_answer(texts: list[str], adapter: str, tokens: int) -> bool:
    """Return whether the tokens are all from one version of an adapter, complete and in order.

    If ``adapter`` names a version, the tokens have to be from that version.
    """
    name, _, expected_version = adapter.partition("@")
    matches = [TOKEN_PATTERN.fullmatch(text) for text in texts]
    if len(texts) != tokens or not all(matches):
        return False
    names = {match[1] for match in matches}
    versions = {match[2] for match in matches}
    numbers = [int(match[3]) for match in matches]
    version_fits = versions == {expected_version} if expected_version else len(versions) == 1
    return names == {name} and version_fits and numbers == list(range(tokens))
