"""Continuous batching of a stand-in engine: every step gives each running stream one token."""

from collections import deque
from collections.abc import Iterator

import eventlet
import orjson
from attrs import define, field
from eventlet.event import Event

KEEP_ENDED_STREAMS = 256


@define(eq=False)
class Stream:
    """A generation and the events that it has produced so far."""

    stream_id: str
    request_id: str
    ref: str
    tokens: int
    chat: bool
    priority: int = 0
    events: list[bytes] = field(factory=list)
    ended: bool = False
    cancelled: bool = False
    grown: Event = field(factory=Event)

    def add(self, data: bytes) -> None:
        """Add an event and wake the readers."""
        self.events.append(data)
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        grown, self.grown = self.grown, Event()
        grown.send()

    def read(self, offset: int) -> Iterator[bytes]:
        """Yield events from an offset until the stream ends."""
        while True:
            while offset < len(self.events):
                fresh = self.events[offset:]
                offset += len(fresh)
                yield b"".join(fresh)
            if self.ended:
                return
            self.grown.wait()


@define
class Batcher:
    """Runs streams in steps.

    Attributes
    ----------
    batch : int
        Streams that one step advances at most.
    steps, filled : int
        Steps so far, and tokens that they gave.
    """

    batch: int
    step_s: float
    running: list[Stream] = field(factory=list)
    waiting: deque[Stream] = field(factory=deque)
    streams: dict[str, Stream] = field(factory=dict)
    ended: deque[str] = field(factory=deque)
    steps: int = 0
    filled: int = 0
    work: Event = field(factory=Event)

    def submit(self, stream: Stream) -> None:
        """Queue a stream; higher priority goes first."""
        self.streams[stream.stream_id] = stream
        place = len(self.waiting)
        while place > 0 and self.waiting[place - 1].priority < stream.priority:
            place -= 1
        self.waiting.insert(place, stream)
        if not self.work.ready():
            self.work.send()

    def cancel(self, stream_id: str) -> bool:
        """Stop a stream; return whether it was known."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return False
        stream.cancelled = True
        return True

    def run(self) -> None:
        """Advance streams until the process ends."""
        while True:
            if not self.running and not self.waiting:
                self.work = Event()
                self.work.wait()
            eventlet.sleep(self.step_s)
            self.step()

    def step(self) -> None:
        """Give each running stream one token."""
        while self.waiting and len(self.running) < self.batch:
            self.running.append(self.waiting.popleft())
        if not self.running:
            return
        self.steps += 1
        self.filled += len(self.running)
        for stream in self.running:
            self.advance(stream)
        for stream in [stream for stream in self.running if stream.ended]:
            self.finish(stream)

    def advance(self, stream: Stream) -> None:
        """Give one stream a token, or end it."""
        if stream.cancelled:
            stream.ended = True
            stream.wake()
            return
        index = len(stream.events)
        stream.add(event_bytes(stream, index))
        if index + 1 >= stream.tokens:
            stream.ended = True
            stream.add(b"data: [DONE]\n\n")

    def finish(self, stream: Stream) -> None:
        """Move an ended stream to those kept for resumption."""
        self.running.remove(stream)
        self.ended.append(stream.stream_id)
        while len(self.ended) > KEEP_ENDED_STREAMS:
            self.streams.pop(self.ended.popleft(), None)

    def load_by_ref(self) -> dict[str, int]:
        """Return running and waiting streams by adapter version."""
        counts: dict[str, int] = {}
        for stream in (*self.running, *self.waiting):
            counts[stream.ref] = counts.get(stream.ref, 0) + 1
        return counts


def token_text(ref: str, index: int) -> str:
    """Return the token that an adapter version gives at a position, which tests can check."""
    return f" {ref}:{index}"


def event_bytes(stream: Stream, index: int) -> bytes:
    """Return the server-sent event of one token."""
    text = token_text(stream.ref, index)
    last = index + 1 >= stream.tokens
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop" if last else None}
    if stream.chat:
        choice["delta"] = (
            {"role": "assistant", "content": text} if index == 0 else {"content": text}
        )
        kind = "chat.completion.chunk"
    else:
        choice["text"] = text
        kind = "text_completion"
    data = {"id": stream.request_id, "object": kind, "created": 0, "model": stream.ref}
    return b"data: " + orjson.dumps({**data, "choices": [choice]}) + b"\n\n"
