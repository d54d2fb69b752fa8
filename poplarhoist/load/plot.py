"""Plots of measures as PNG files."""

from collections.abc import Sequence
from pathlib import Path

from poplarhoist.load.measures import PERCENTILES, Measures

SIZE_INCHES = (10.0, 4.0)


def plot_measures(items: Sequence[Measures], path: Path) -> None:
    """Plot seconds stalled, batch efficiency and time to the first token of each run.

    Raises
    ------
    ImportError
        If matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [f"{item.trace}\n{item.policy}" for item in items]
    figure, (stalls, batches, first) = pyplot.subplots(1, 3, figsize=SIZE_INCHES)
    stalls.bar(names, [item.stall_s for item in items])
    stalls.set_title("seconds stalled")
    batches.bar(names, [item.batch_efficiency for item in items])
    batches.set_title("batch efficiency")
    labels = [f"{percentile:.0f}" for percentile in PERCENTILES]
    for name, item in zip(names, items, strict=True):
        first.plot(labels, item.first_ms, marker="o", label=name)
    first.set_title("first token, ms")
    first.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
