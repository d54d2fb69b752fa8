"""Compares the product's own decisions with the baselines, against the targets."""

from collections.abc import Iterable

from attrs import frozen
from tabulate import tabulate

from poplarhoist.load.measures import Measures

HOIST = "hoist"
LRU = "lru"
RENDEZVOUS = "rendezvous"
CLAIRVOYANT = "clairvoyant"
LRU_SHARE = 0.5
CLAIRVOYANT_FACTOR = 1.3
BATCH_SITE = "tornos"


@frozen
class Verdict:
    """How the decisions compare on one trace of one site.

    Attributes
    ----------
    of_lru, of_bound : float
        Seconds stalled, as a multiple of those of least recently used and of the clairvoyant bound.
    bound_of_lru : float
        The same of the bound itself: no policy without foresight gets lower.
    of_batch : float
        Batch efficiency, as a multiple of that of static rendezvous hashing.
    beaten_by : tuple of str
        Baselines with fewer seconds stalled and a higher batch efficiency.
    """

    site: str
    trace: str
    stationary: bool
    of_lru: float
    of_bound: float
    bound_of_lru: float
    of_batch: float
    beaten_by: tuple[str, ...]

    def missed(self) -> list[str]:
        """Return the targets that are missed."""
        found = []
        if self.of_lru > LRU_SHARE:
            found.append(f"stalls over {LRU_SHARE} of {LRU}")
        if self.stationary and self.of_bound > CLAIRVOYANT_FACTOR:
            found.append(f"stalls over {CLAIRVOYANT_FACTOR} of {CLAIRVOYANT}")
        if self.site == BATCH_SITE and self.of_batch < 1.0:
            found.append(f"batch efficiency under {RENDEZVOUS}")
        found += [f"beaten by {name}" for name in self.beaten_by]
        return found


def ratio(value: float, other: float) -> float:
    """Return a multiple; infinite if only the other is zero."""
    if other > 0.0:
        return value / other
    return 1.0 if value == 0.0 else float("inf")


def judge(items: Iterable[Measures], stationary: set[str]) -> list[Verdict]:
    """Return a verdict for each trace that was run under all policies concerned."""
    runs: dict[tuple[str, str], dict[str, Measures]] = {}
    for item in items:
        runs.setdefault((item.site, item.trace), {})[item.policy] = item
    needed = {HOIST, LRU, RENDEZVOUS, CLAIRVOYANT}
    return [
        verdict(by_policy, trace in stationary)
        for (_, trace), by_policy in runs.items()
        if needed <= by_policy.keys()
    ]


def verdict(by_policy: dict[str, Measures], stationary: bool) -> Verdict:
    """Compare the runs of one trace."""
    hoist, lru = by_policy[HOIST], by_policy[LRU]
    bound, rendezvous = by_policy[CLAIRVOYANT], by_policy[RENDEZVOUS]
    baselines = (item for name, item in by_policy.items() if name not in (HOIST, CLAIRVOYANT))
    beaten_by = tuple(
        item.policy
        for item in baselines
        if item.stall_s < hoist.stall_s and item.batch_efficiency > hoist.batch_efficiency
    )
    return Verdict(
        site=hoist.site,
        trace=hoist.trace,
        stationary=stationary,
        of_lru=ratio(hoist.stall_s, lru.stall_s),
        of_bound=ratio(hoist.stall_s, bound.stall_s),
        bound_of_lru=ratio(bound.stall_s, lru.stall_s),
        of_batch=ratio(hoist.batch_efficiency, rendezvous.batch_efficiency),
        beaten_by=beaten_by,
    )


def table(verdicts: Iterable[Verdict]) -> str:
    """Return the verdicts as a table for people."""
    rows = [
        (
            item.site,
            item.trace,
            f"{item.of_lru:.2f}",
            f"{item.bound_of_lru:.2f}",
            f"{item.of_bound:.2f}",
            f"{item.of_batch:.2f}",
            "; ".join(item.missed()) or "-",
        )
        for item in verdicts
    ]
    headers = (
        "site",
        "trace",
        "stall s / lru",
        "bound / lru",
        "stall s / bound",
        "batch eff / rendezvous",
        "targets missed",
    )
    return tabulate(rows, headers, tablefmt="github", disable_numparse=True)
