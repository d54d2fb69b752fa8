"""Priority queue of adapter versions to load.

A sorted list rather than a heap, so that the rank of an item and its removal need no scan.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from attrs import define, field

from poplarhoist.models import AdapterRef

QueueKey = tuple[float, float]


@define
class LoadQueue:
    """Adapter versions ordered by key, the smallest first; each is in it at most once."""

    keys_by_ref: dict[AdapterRef, QueueKey] = field(factory=dict)
    ordered: list[tuple[QueueKey, AdapterRef]] = field(factory=list)

    def __contains__(self, ref: AdapterRef) -> bool:
        return ref in self.keys_by_ref

    def __len__(self) -> int:
        return len(self.ordered)

    def __iter__(self) -> Iterator[AdapterRef]:
        return (ref for _, ref in self.ordered)

    def put(self, ref: AdapterRef, key: QueueKey) -> None:
        """Add an adapter version, or change its key."""
        old = self.keys_by_ref.get(ref)
        if old == key:
            return
        if old is not None:
            self.discard(ref)
        self.keys_by_ref[ref] = key
        bisect.insort(self.ordered, (key, ref))

    def discard(self, ref: AdapterRef) -> None:
        """Remove an adapter version if it is queued."""
        key = self.keys_by_ref.pop(ref, None)
        if key is not None:
            del self.ordered[bisect.bisect_left(self.ordered, (key, ref))]

    def rank(self, ref: AdapterRef) -> int:
        """Return how many adapter versions are ahead of one that is queued.

        Raises ``KeyError`` if it is not queued.
        """
        return bisect.bisect_left(self.ordered, (self.keys_by_ref[ref], ref))

    def first(self) -> AdapterRef | None:
        """Return the adapter version with the smallest key; None if the queue is empty."""
        return self.ordered[0][1] if self.ordered else None
