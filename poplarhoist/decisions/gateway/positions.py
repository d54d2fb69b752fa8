"""Positions in the history of the store, which may be restored from an older copy.

After that the store gives revisions out again, so that a revision alone does not tell which of two
records is newer. The store counts its restorations; each one begins a generation.
"""

from attrs import frozen

# Epochs of leads that one generation of the store can give out for an engine: one every second for
# twelve days. An epoch is the generation times this number, plus a count. So an epoch that was lost
# with a restoration is not given out again, and engines reject orders with it.
EPOCHS_PER_GENERATION = 1 << 20


@frozen(order=True)
class Position:
    """A revision, and the generation of the store that gave it out; later generations are newer.

    Attributes
    ----------
    generation : int
        0 if the store does not say, or before it was asked.
    """

    generation: int = 0
    revision: int = 0


def next_epoch(generation: int, latest: int) -> int:
    """Return an epoch above `latest` and above all epochs of earlier generations."""
    return max(latest, generation * EPOCHS_PER_GENERATION) + 1


def generation_of(epoch: int) -> int:
    """Return the generation of the store in which an epoch was given out."""
    return epoch // EPOCHS_PER_GENERATION
