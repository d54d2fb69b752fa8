"""Prefix cache of a stand-in engine; its events are published with a delay and with gaps."""

from collections import OrderedDict

import xxhash
from attrs import define, field

from poplarhoist.clock import Clock

BLOCK_CHARACTERS = 256
MAX_EVENTS = 4096


@define
class CacheEvent:
    """A block was stored or dropped.

    Attributes
    ----------
    sequence : int
        Consecutive number of the event; a missing number shows that an event was lost.
    at : float
        Time of the event on the stand-in's monotonic clock, in seconds.
    kind : str
        ``stored`` or ``dropped``.
    block : str
        Key of the block.
    """

    sequence: int
    at: float
    kind: str
    block: str


@define
class PrefixCache:
    """LRU cache of prompt blocks.

    Attributes
    ----------
    max_blocks : int
        Number of blocks that the cache holds.
    lag_s : float
        Age in seconds at which an event is published.
    gap_every : int
        Every ``gap_every``-th event is never published; 0 publishes all events.
    blocks : OrderedDict
        Keys of the cached blocks, the least recently used first.
    sequence : int
        Number of the latest event, published or not.
    """

    clock: Clock
    max_blocks: int = 1024
    lag_s: float = 0.0
    gap_every: int = 0
    blocks: OrderedDict[str, None] = field(factory=OrderedDict)
    events: list[CacheEvent] = field(factory=list)
    sequence: int = 0

    def add_prompt(self, ref: str, prompt: str) -> int:
        """Use the blocks of a prompt and store the missing ones; return how many were missing."""
        missing_blocks = 0
        for block in block_keys(ref, prompt):
            if block in self.blocks:
                self.blocks.move_to_end(block)
                continue
            missing_blocks += 1
            self.blocks[block] = None
            self.record_event("stored", block)
            if len(self.blocks) > self.max_blocks:
                dropped, _ = self.blocks.popitem(last=False)
                self.record_event("dropped", dropped)
        return missing_blocks

    def clear(self) -> None:
        """Drop all blocks and events, as a restart does; no event is published for it."""
        self.blocks.clear()
        self.events.clear()

    def record_event(self, kind: str, block: str) -> None:
        """Record an event, unless it is one that is never published."""
        self.sequence += 1
        if self.gap_every and self.sequence % self.gap_every == 0:
            return
        self.events.append(CacheEvent(self.sequence, self.clock.monotonic(), kind, block))
        del self.events[:-MAX_EVENTS]

    def published_events(self, since: int) -> list[CacheEvent]:
        """Return the events after a sequence number that are at least ``lag_s`` old."""
        published_until = self.clock.monotonic() - self.lag_s
        return [
            event for event in self.events if event.sequence > since and event.at <= published_until
        ]


def block_keys(ref: str, prompt: str) -> list[str]:
    """Return the keys of a prompt's complete blocks.

    A key covers the adapter version and the prompt up to the end of the block; a partial last block
    has none.
    """
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [xxhash.xxh64_hexdigest(f"{ref}|{prompt[:end]}".encode()) for end in ends]
