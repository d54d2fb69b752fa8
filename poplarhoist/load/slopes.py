"""Growth of the cost of the decisions along each dimension of a site."""

from collections.abc import Callable, Iterable
from typing import TextIO

import orjson
from attrs import asdict, frozen
from tabulate import tabulate

from poplarhoist.load.dimensions import Dimension
from poplarhoist.load.fit import Line, fit_line
from poplarhoist.load.sampling import CostSampler, Sample

MEASURED_S = 10.0
REQUEST_EVENTS = ("RequestArrived", "AttemptEnded", "CallerLeft")
MS_PER_US = 1e-3
KB_PER_BYTE = 1e-3


@frozen
class Slope:
    """One cost at several sizes, and the fitted line."""

    dimension: str
    role: str
    cost: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    line: Line


def measure_slopes(dimension: Dimension, progress: TextIO | None = None) -> list[Slope]:
    """Measure the costs at every size of a dimension and fit a line through each."""
    samples = []
    for size in dimension.sizes:
        if progress is not None:
            progress.write(f"{dimension.name} {size}\n")
            progress.flush()
        samples.append(CostSampler(dimension.make_simulation(size)).run(MEASURED_S))
    return fit_slopes(dimension, samples)


def fit_slopes(dimension: Dimension, samples: list[Sample]) -> list[Slope]:
    """Return a slope for every cost that occurs at all sizes."""
    costs_by_size = [dict(iter_costs(sample)) for sample in samples]
    slopes = []
    for key in costs_by_size[0]:
        if not all(key in costs for costs in costs_by_size):
            continue
        role, cost, unit = key
        values = tuple(costs[key] for costs in costs_by_size)
        line = fit_line(dimension.sizes, values)
        slopes.append(Slope(dimension.name, role, cost, unit, dimension.sizes, values, line))
    return slopes


CostKey = tuple[str, str, str]


def iter_costs(sample: Sample) -> Iterable[tuple[CostKey, float]]:
    """Yield every cost of a sample with its role, name and unit."""
    yield from iter_control_costs(sample)
    for (role, kind), cost in sorted(sample.event_costs.items()):
        yield (role, f"event {kind}", "µs each"), cost.microseconds / cost.count
    for (role, kind), cost in sorted(sample.message_costs.items()):
        yield (role, f"message {kind}", "bytes each"), cost.bytes / cost.count
    for kind, cost in sorted(sample.codec_by_kind.items()):
        yield ("any", f"code {kind}", "µs each"), cost.microseconds / cost.count
    for kind, count in sorted(sample.platform_calls.items()):
        yield ("all", f"platform {kind}", "calls/s"), count / sample.seconds
    for (role, part), size in sorted(sample.state_bytes.items()):
        yield (role, f"state {part}", "kB"), size * KB_PER_BYTE


def iter_control_costs(sample: Sample) -> Iterable[tuple[CostKey, float]]:
    """Yield the control costs a second of one entry of each role.

    The time leaves out the events of ``REQUEST_EVENTS``.
    """
    for role, count in sorted(sample.entries_by_role.items()):
        time_us = 0.0
        for (of, kind), cost in sample.event_costs.items():
            if of == role and kind not in REQUEST_EVENTS:
                time_us += cost.microseconds
        sent_bytes = sum(cost.bytes for (of, _), cost in sample.message_costs.items() if of == role)
        messages = sum(cost.count for (of, _), cost in sample.message_costs.items() if of == role)
        entry_seconds = count * sample.seconds
        yield (role, "control time", "ms/s"), time_us * MS_PER_US / entry_seconds
        yield (role, "control sent", "kB/s"), sent_bytes * KB_PER_BYTE / entry_seconds
        yield (role, "control messages", "1/s"), messages / entry_seconds


def is_growing(slope: Slope) -> bool:
    """Return whether a cost changes by more than the scatter of its points.

    The change over all sizes has to exceed twice the residual and 5% of the first value.
    """
    size_range = slope.sizes[-1] - slope.sizes[0]
    return abs(slope.line.slope) * size_range > max(2 * slope.line.residual, 0.05 * slope.values[0])


def table(slopes: Iterable[Slope], is_included: Callable[[Slope], bool] = is_growing) -> str:
    """Return the slopes for which ``is_included`` is true as a Markdown table."""
    rows = [
        (
            slope.dimension,
            slope.role,
            slope.cost,
            slope.unit,
            " ".join(f"{size}:{v:.4g}" for size, v in zip(slope.sizes, slope.values, strict=True)),
            f"{slope.line.slope:.4g}",
            f"{slope.line.intercept:.4g}",
            f"{slope.line.residual:.2g}",
        )
        for slope in slopes
        if is_included(slope)
    ]
    headers = ("per", "role", "cost", "unit", "at", "slope", "intercept", "residual")
    return tabulate(rows, headers, tablefmt="github", disable_numparse=True)


def to_json(slopes: Iterable[Slope]) -> str:
    """Return the slopes as JSON."""
    return orjson.dumps([asdict(slope) for slope in slopes], option=orjson.OPT_INDENT_2).decode()
