"""Client of the demonstration: streamed requests, bookings and their measures."""

import itertools
import random

import eventlet
import orjson
import urllib3
from attrs import define, field
from hdrh.histogram import HdrHistogram
from urllib3.exceptions import HTTPError

from poplarhoist.clock import Clock
from poplarhoist.demo.site import DemoSite

CALLER_TOKEN = "token-of-the-demo"
TOKENS_PER_ANSWER = 8
CONCURRENCY = 6
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.3
MAX_LATENCY_MS = 60_000
SEED = 7


@define
class StreamedAnswer:
    """A streamed answer.

    Attributes
    ----------
    text : str
        Tokens received so far.
    failure : str
        Reason for a refusal or an interruption; empty if the answer is complete.
    first_token_s : float
        Seconds until the first bytes arrived; 0 if none arrived.
    """

    model: str
    text: str = ""
    failure: str = ""
    first_token_s: float = 0.0

    @property
    def refs(self) -> set[str]:
        """Return the adapter versions that generated the tokens."""
        return {word.rpartition(":")[0] for word in self.text.split()}


@define
class CallerStats:
    """Measures of the client.

    Attributes
    ----------
    complete : int
        Answers with all requested tokens.
    retries : int
        Failed attempts; each one is retried up to ``MAX_ATTEMPTS`` attempts per request.
    stalls : int
        Answers whose first token took longer than one load.
    wrong_adapter : int
        Answers with a token from an adapter that was not requested.
    first_token_ms : HdrHistogram
        Time to first token of the answers, in milliseconds.
    """

    requests: int = 0
    complete: int = 0
    retries: int = 0
    stalls: int = 0
    wrong_adapter: int = 0
    first_token_ms: HdrHistogram = field(factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, 3))


class DemoClient:
    """Sends requests to all entries in turn and collects measures."""

    def __init__(self, site: DemoSite, clock: Clock) -> None:
        self.site = site
        self.clock = clock
        self.http_pool = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=CONCURRENCY)
        self.entry_cycle = itertools.cycle(site.entries)
        self.random = random.Random(SEED)
        self.stats = CallerStats()

    def request_headers(self, key: str = "") -> dict[str, str]:
        """Return the headers of a request, with an idempotency key if one is given."""
        headers = {"Authorization": f"Bearer {CALLER_TOKEN}", "Content-Type": "application/json"}
        return {**headers, "Idempotency-Key": key} if key else headers

    def request_stream(
        self, entry: str, model: str, prompt: str, tokens: int = TOKENS_PER_ANSWER
    ) -> StreamedAnswer:
        """Request a streamed answer in a single attempt; errors are recorded in the answer."""
        answer = StreamedAnswer(model)
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
        sent_at = self.clock.monotonic()
        try:
            response = self.http_pool.request(
                "POST",
                self.site.url(entry) + "/v1/completions",
                body=orjson.dumps(body),
                headers=self.request_headers(),
                preload_content=False,
            )
            if response.status != 200:
                answer.failure = str(orjson.loads(response.read())["reason"])
                return answer
            for data in response.stream(65536):
                answer.first_token_s = answer.first_token_s or self.clock.monotonic() - sent_at
                self.append_events(answer, data)
        except HTTPError as error:
            answer.failure = type(error).__name__
        return answer

    def append_events(self, answer: StreamedAnswer, data: bytes) -> None:
        """Append the tokens of complete events to an answer; an error event ends in a failure."""
        for line in data.decode().splitlines():
            text = line.removeprefix("data: ")
            if text == line or text == "[DONE]":
                continue
            event = orjson.loads(text)
            if "error" in event:
                answer.failure = event["error"]["reason"]
            else:
                answer.text += event["choices"][0]["text"]

    def request_with_retries(
        self, model: str, entry: str = "", tokens: int = TOKENS_PER_ANSWER
    ) -> StreamedAnswer:
        """Request a streamed answer and measure it; retries after a refusal or an interruption."""
        self.stats.requests += 1
        prompt = f"survey {self.stats.requests}"
        for _ in range(MAX_ATTEMPTS):
            answer = self.request_stream(entry or next(self.entry_cycle), model, prompt, tokens)
            if not answer.failure:
                break
            self.stats.retries += 1
            eventlet.sleep(RETRY_DELAY_S)
        self.record(answer, tokens)
        return answer

    def record(self, answer: StreamedAnswer, tokens: int) -> None:
        """Add an answer to the measures; a failed one is left out."""
        stats = self.stats
        if answer.failure:
            return
        stats.complete += len(answer.text.split()) == tokens
        stats.wrong_adapter += any(ref.partition("@")[0] != answer.model for ref in answer.refs)
        stats.stalls += answer.first_token_s > self.site.settings.store.load_s
        stats.first_token_ms.record_value(max(1, round(answer.first_token_s * 1000)))

    def request_many(self, models: list[str], count: int) -> list[StreamedAnswer]:
        """Request answers concurrently; the model of rank n is chosen with weight 1/n."""
        weights = [1.0 / rank for rank in range(1, len(models) + 1)]
        requested_models = self.random.choices(models, weights, k=count)
        return list(
            eventlet.GreenPool(CONCURRENCY).imap(self.request_with_retries, requested_models)
        )

    def book(self, entry: str, key: str) -> tuple[int, bool]:
        """Book a crew; return how often the booking ran and whether the response is a replay."""
        response = self.http_pool.request(
            "POST",
            self.site.url(entry) + "/services/booking/crews",
            body=orjson.dumps({"crew": "north"}),
            headers=self.request_headers(key),
        )
        return orjson.loads(response.data)["run"], response.headers.get("X-Replayed") == "true"
