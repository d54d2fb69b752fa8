"""Continuous batching of a stand-in engine: each step generates one token per running stream."""

from collections import deque
from collections.abc import Iterator

import eventlet
from attrs import define, field
from eventlet.event import Event

from poplarhoist.standins.answers import CompletionSpec, encode_event

MAX_ENDED_STREAMS = 256


@define(eq=False)
class Stream:
    """A generation and the events that it has produced so far.

    Attributes
    ----------
    priority : int
        Streams of higher priority leave the queue first.
    prefill_steps : int
        Steps left before the first token, one per prompt block that was not in the prefix cache.
    events : list
        Server-sent events, one per token and ``[DONE]`` at the end.
    cancelled : bool
        Whether the stream was stopped early; the batcher ends it in its next step.
    updated : Event
        Sent after every change of the stream, and then replaced by a new one.
    """

    stream_id: str
    answer: CompletionSpec
    priority: int = 0
    prefill_steps: int = 0
    events: list[bytes] = field(factory=list)
    ended: bool = False
    cancelled: bool = False
    updated: Event = field(factory=Event)

    def append(self, data: bytes) -> None:
        """Append an event and wake the readers."""
        self.events.append(data)
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake all readers that wait for the next event."""
        updated, self.updated = self.updated, Event()
        updated.send()

    def read(self, offset: int) -> Iterator[bytes]:
        """Yield events from an offset until the stream ends; joins those that are ready at once."""
        while True:
            while offset < len(self.events):
                new_events = self.events[offset:]
                offset += len(new_events)
                yield b"".join(new_events)
            if self.ended:
                return
            self.updated.wait()


@define
class KvCache:
    """State that another engine needs to continue a stream.

    Attributes
    ----------
    generated : int
        Number of tokens generated so far.
    """

    stream_id: str
    answer: CompletionSpec
    generated: int


@define
class Batcher:
    """Queues streams and advances the running ones step by step.

    Attributes
    ----------
    batch_size : int
        Maximum number of streams that one step advances.
    step_s : float
        Duration of a step in seconds.
    streams_by_id : dict
        Queued, running and recently ended streams; ended ones are kept for resumption.
    ended_ids : deque
        Ids of the ended streams that are kept, the oldest first.
    steps, generated_tokens : int
        Steps that ran with at least one stream, and tokens generated in them.
    work_available : Event
        Sent when a stream is queued; replaced by a new one when the batcher becomes idle.
    """

    batch_size: int
    step_s: float
    running: list[Stream] = field(factory=list)
    waiting: deque[Stream] = field(factory=deque)
    streams_by_id: dict[str, Stream] = field(factory=dict)
    ended_ids: deque[str] = field(factory=deque)
    steps: int = 0
    generated_tokens: int = 0
    work_available: Event = field(factory=Event)

    def submit(self, stream: Stream) -> None:
        """Queue a stream behind all those of the same or a higher priority."""
        self.streams_by_id[stream.stream_id] = stream
        position = len(self.waiting)
        while position > 0 and self.waiting[position - 1].priority < stream.priority:
            position -= 1
        self.waiting.insert(position, stream)
        if not self.work_available.ready():
            self.work_available.send()

    def cancel(self, stream_id: str) -> bool:
        """Mark a stream as cancelled; return whether the id is known."""
        stream = self.streams_by_id.get(stream_id)
        if stream is None:
            return False
        stream.cancelled = True
        return True

    def clear(self) -> None:
        """Drop all streams and end their readers, as a crash of the process would."""
        for stream in self.streams_by_id.values():
            stream.cancelled = True
            stream.ended = True
            stream.notify_readers()
        self.streams_by_id.clear()
        self.running.clear()
        self.waiting.clear()

    def export_kv_cache(self, stream_id: str) -> "KvCache | None":
        """Return the KV cache of a stream; None if the stream is unknown or has ended.

        The stream continues here until it is cancelled.
        """
        stream = self.streams_by_id.get(stream_id)
        if stream is None or stream.ended:
            return None
        return KvCache(stream.stream_id, stream.answer, len(stream.events))

    def resume_from(self, cache: "KvCache") -> None:
        """Continue a stream of another engine; its earlier events can be read here as well."""
        events = [encode_event(cache.answer, index) for index in range(cache.generated)]
        self.submit(Stream(cache.stream_id, cache.answer, events=events))

    def run(self) -> None:
        """Run steps until the process ends; waits while there is no stream."""
        while True:
            if not self.running and not self.waiting:
                self.work_available = Event()
                self.work_available.wait()
            eventlet.sleep(self.step_s)
            self.step()

    def step(self) -> None:
        """Fill the batch from the queue and advance every running stream."""
        while self.waiting and len(self.running) < self.batch_size:
            self.running.append(self.waiting.popleft())
        if not self.running:
            return
        self.steps += 1
        for stream in self.running:
            self.advance(stream)
        for stream in [stream for stream in self.running if stream.ended]:
            self.retain_ended(stream)

    def advance(self, stream: Stream) -> None:
        """Generate one token, use up one prefill step, or end a cancelled stream."""
        if stream.cancelled:
            stream.ended = True
            stream.notify_readers()
            return
        if stream.prefill_steps > 0:
            stream.prefill_steps -= 1
            return
        index = len(stream.events)
        self.generated_tokens += 1
        stream.append(encode_event(stream.answer, index))
        if index + 1 >= stream.answer.tokens:
            stream.ended = True
            stream.append(b"data: [DONE]\n\n")

    def retain_ended(self, stream: Stream) -> None:
        """Remove a stream from the batch and keep it for resumption; drops the oldest kept ones."""
        self.running.remove(stream)
        self.ended_ids.append(stream.stream_id)
        while len(self.ended_ids) > MAX_ENDED_STREAMS:
            self.streams_by_id.pop(self.ended_ids.popleft(), None)

    def count_streams_by_ref(self) -> dict[str, int]:
        """Return the number of running and waiting streams by adapter version."""
        counts: dict[str, int] = {}
        for stream in (*self.running, *self.waiting):
            ref = stream.answer.ref
            counts[ref] = counts.get(ref, 0) + 1
        return counts
