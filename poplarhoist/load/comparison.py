"""Compares the product's own decisions with the baselines, and checks the targets."""

from collections.abc import Iterable

from attrs import frozen
from tabulate import tabulate

from poplarhoist.load.measures import Measures

HOIST = "hoist"
LRU = "lru"
RENDEZVOUS = "rendezvous"
CLAIRVOYANT = "clairvoyant"
MAX_STALL_RATIO_TO_LRU = 0.5
MAX_STALL_RATIO_TO_CLAIRVOYANT = 1.3
BATCH_EFFICIENCY_SITE = "tornos"


@frozen
class PolicyComparison:
    """Ratios of the product's measures to the baselines', on one trace of one site.

    Attributes
    ----------
    stationary : bool
        Whether popularity, rate and site stay the same during the trace.
    stall_to_lru, stall_to_clairvoyant : float
        Seconds stalled, as a multiple of those of the LRU and of the clairvoyant policy.
    clairvoyant_to_lru : float
        Seconds stalled of the clairvoyant policy, as a multiple of those of the LRU policy. This
        is the lower bound: no policy without foresight gets lower.
    batch_to_rendezvous : float
        Batch efficiency, as a multiple of that of static rendezvous hashing.
    beaten_by : tuple of str
        Baselines with fewer seconds stalled and also a higher batch efficiency.
    """

    site: str
    trace: str
    stationary: bool
    stall_to_lru: float
    stall_to_clairvoyant: float
    clairvoyant_to_lru: float
    batch_to_rendezvous: float
    beaten_by: tuple[str, ...]

    def missed_targets(self) -> list[str]:
        """Return a line for each target that is missed."""
        missed = []
        if self.stall_to_lru > MAX_STALL_RATIO_TO_LRU:
            missed.append(f"stalls over {MAX_STALL_RATIO_TO_LRU} of {LRU}")
        if self.stationary and self.stall_to_clairvoyant > MAX_STALL_RATIO_TO_CLAIRVOYANT:
            missed.append(f"stalls over {MAX_STALL_RATIO_TO_CLAIRVOYANT} of {CLAIRVOYANT}")
        if self.site == BATCH_EFFICIENCY_SITE and self.batch_to_rendezvous < 1.0:
            missed.append(f"batch efficiency under {RENDEZVOUS}")
        missed += [f"beaten by {name}" for name in self.beaten_by]
        return missed


def compute_ratio(value: float, other: float) -> float:
    """Return the ratio of two values; 1 if both are zero, infinite if only the other is."""
    if other > 0.0:
        return value / other
    return 1.0 if value == 0.0 else float("inf")


def compare_policies(items: Iterable[Measures], stationary: set[str]) -> list[PolicyComparison]:
    """Return a comparison for each trace that ran under all required policies."""
    runs: dict[tuple[str, str], dict[str, Measures]] = {}
    for item in items:
        runs.setdefault((item.site, item.trace), {})[item.policy] = item
    required_policies = {HOIST, LRU, RENDEZVOUS, CLAIRVOYANT}
    return [
        compare_runs(by_policy, trace in stationary)
        for (_, trace), by_policy in runs.items()
        if required_policies <= by_policy.keys()
    ]


def compare_runs(by_policy: dict[str, Measures], stationary: bool) -> PolicyComparison:
    """Compare the runs of one trace; the clairvoyant policy is no baseline to beat."""
    hoist, lru = by_policy[HOIST], by_policy[LRU]
    clairvoyant, rendezvous = by_policy[CLAIRVOYANT], by_policy[RENDEZVOUS]
    baselines = (item for name, item in by_policy.items() if name not in (HOIST, CLAIRVOYANT))
    beaten_by = tuple(
        item.policy
        for item in baselines
        if item.stall_s < hoist.stall_s and item.batch_efficiency > hoist.batch_efficiency
    )
    return PolicyComparison(
        site=hoist.site,
        trace=hoist.trace,
        stationary=stationary,
        stall_to_lru=compute_ratio(hoist.stall_s, lru.stall_s),
        stall_to_clairvoyant=compute_ratio(hoist.stall_s, clairvoyant.stall_s),
        clairvoyant_to_lru=compute_ratio(clairvoyant.stall_s, lru.stall_s),
        batch_to_rendezvous=compute_ratio(hoist.batch_efficiency, rendezvous.batch_efficiency),
        beaten_by=beaten_by,
    )


def table(comparisons: Iterable[PolicyComparison]) -> str:
    """Return the comparisons as a Markdown table."""
    rows = [
        (
            item.site,
            item.trace,
            f"{item.stall_to_lru:.2f}",
            f"{item.clairvoyant_to_lru:.2f}",
            f"{item.stall_to_clairvoyant:.2f}",
            f"{item.batch_to_rendezvous:.2f}",
            "; ".join(item.missed_targets()) or "-",
        )
        for item in comparisons
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
