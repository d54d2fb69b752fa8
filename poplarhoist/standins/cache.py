"""Prefix cache of a stand-in engine, and the events that tell of it late and with gaps."""

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
        Number of the event; a missing one shows a gap.
    """

    sequence: int
    at: float
    kind: str
    block: str


@define
class PrefixCache:
    """Blocks of prompts, the least lately used dropped first.

    Attributes
    ----------
    limit : int
        Blocks that fit into memory.
    lag_s : float
        Age at which an event is published.
    gap_every : int
        Each so many-th event is never published; 0 for none.
    """

    clock: Clock
    max_blocks: int = 1024
    lag_s: float = 0.0
    gap_every: int = 0
    blocks: OrderedDict[str, None] = field(factory=OrderedDict)
    events: list[CacheEvent] = field(factory=list)
    sequence: int = 0

    def add_prompt(self, ref: str, prompt: str) -> int:
        """Use a prompt's blocks and store the missing ones; return how many were missing."""
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
        """Lose everything, as after a restart; nothing tells of it."""
        self.blocks.clear()
        self.events.clear()

    def record_event(self, kind: str, block: str) -> None:
        """Keep an event, unless it falls into a gap."""
        self.sequence += 1
        if self.gap_every and self.sequence % self.gap_every == 0:
            return
        self.events.append(CacheEvent(self.sequence, self.clock.monotonic(), kind, block))
        del self.events[:-MAX_EVENTS]

    def published_events(self, since: int) -> list[CacheEvent]:
        """Return the events after a number that are old enough to be published."""
        published_until = self.clock.monotonic() - self.lag_s
        return [
            event for event in self.events if event.sequence > since and event.at <= published_until
        ]


def block_keys(ref: str, prompt: str) -> list[str]:
    """Return the keys of a prompt's whole blocks; each covers all of the prompt before it."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [xxhash.xxh64_hexdigest(f"{ref}|{prompt[:end]}".encode()) for end in ends]
