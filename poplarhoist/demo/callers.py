"""Callers of the demonstration: streamed requests, bookings, and what they measured."""

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

TOKEN = "token-of-the-demo"
TOKENS = 8
CONCURRENCY = 6
SEND_AGAIN = 5
SEND_AGAIN_S = 0.3
LONGEST_MS = 60_000
SEED = 7


@define
class Stream:
    """A streamed answer.

    Attributes
    ----------
    problem : str
        Reason for a refusal, or why the answer broke off; empty for a whole answer.
    first_s : float
        Seconds until the first token.
    """

    model: str
    text: str = ""
    problem: str = ""
    first_s: float = 0.0

    @property
    def refs(self) -> set[str]:
        """Return the adapter versions that gave the tokens."""
        return {word.rpartition(":")[0] for word in self.text.split()}


@define
class Tally:
    """What the callers measured."""

    requests: int = 0
    whole: int = 0
    sent_again: int = 0
    stalls: int = 0
    wrong: int = 0
    first_ms: HdrHistogram = field(factory=lambda: HdrHistogram(1, LONGEST_MS, 3))


class Callers:
    """Sends requests through all entries in turn."""

    def __init__(self, site: DemoSite, clock: Clock) -> None:
        self.site = site
        self.clock = clock
        self.pool = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=CONCURRENCY)
        self.entries = itertools.cycle(site.entries)
        self.random = random.Random(SEED)
        self.tally = Tally()

    def headers(self, key: str = "") -> dict[str, str]:
        """Return the headers of a request."""
        headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        return {**headers, "Idempotency-Key": key} if key else headers

    def stream(self, entry: str, model: str, prompt: str, tokens: int = TOKENS) -> Stream:
        """Ask for a streamed answer once."""
        stream = Stream(model)
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
        sent_at = self.clock.monotonic()
        try:
            answer = self.pool.request(
                "POST",
                self.site.url(entry) + "/v1/completions",
                body=orjson.dumps(body),
                headers=self.headers(),
                preload_content=False,
            )
            if answer.status != 200:
                stream.problem = str(orjson.loads(answer.read())["reason"])
                return stream
            for data in answer.stream(65536):
                stream.first_s = stream.first_s or self.clock.monotonic() - sent_at
                self.take(stream, data)
        except HTTPError as error:
            stream.problem = type(error).__name__
        return stream

    def take(self, stream: Stream, data: bytes) -> None:
        """Add the tokens of some events to an answer."""
        for line in data.decode().splitlines():
            text = line.removeprefix("data: ")
            if text == line or text == "[DONE]":
                continue
            event = orjson.loads(text)
            if "error" in event:
                stream.problem = event["error"]["reason"]
            else:
                stream.text += event["choices"][0]["text"]

    def ask(self, model: str, entry: str = "", tokens: int = TOKENS) -> Stream:
        """Ask for a streamed answer, again if it is refused or breaks off; measure it."""
        self.tally.requests += 1
        prompt = f"survey {self.tally.requests}"
        for _ in range(SEND_AGAIN):
            stream = self.stream(entry or next(self.entries), model, prompt, tokens)
            if not stream.problem:
                break
            self.tally.sent_again += 1
            eventlet.sleep(SEND_AGAIN_S)
        self.measure(stream, tokens)
        return stream

    def measure(self, stream: Stream, tokens: int) -> None:
        """Add an answer to the measures."""
        tally = self.tally
        if stream.problem:
            return
        tally.whole += len(stream.text.split()) == tokens
        tally.wrong += any(ref.partition("@")[0] != stream.model for ref in stream.refs)
        tally.stalls += stream.first_s > self.site.settings.store.load_s
        tally.first_ms.record_value(max(1, round(stream.first_s * 1000)))

    def ask_many(self, models: list[str], count: int) -> list[Stream]:
        """Ask for many answers, the first models most often."""
        weights = [1.0 / rank for rank in range(1, len(models) + 1)]
        chosen = self.random.choices(models, weights, k=count)
        return list(eventlet.GreenPool(CONCURRENCY).imap(self.ask, chosen))

    def book(self, entry: str, key: str) -> tuple[int, bool]:
        """Book a crew; return how often the booking ran and whether the answer is a replay."""
        answer = self.pool.request(
            "POST",
            self.site.url(entry) + "/services/booking/crews",
            body=orjson.dumps({"crew": "north"}),
            headers=self.headers(key),
        )
        return orjson.loads(answer.data)["run"], answer.headers.get("X-Replayed") == "true"
