"""How the costs of the decisions grow with each dimension of a site."""

from collections.abc import Callable, Iterable
from typing import TextIO

import orjson
from attrs import asdict, frozen
from tabulate import tabulate

from poplarhoist.load.dimensions import Dimension
from poplarhoist.load.fit import Line, fit
from poplarhoist.load.sampling import Sample, Sampler

MEASURED_S = 10.0
REQUEST_EVENTS = ("RequestArrived", "AttemptEnded", "CallerLeft")
MILLISECONDS = 1e-3
KILOBYTES = 1e-3


@frozen
class Slope:
    """One cost at several sizes, and the line through them."""

    dimension: str
    role: str
    cost: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    line: Line


def measure(dimension: Dimension, progress: TextIO | None = None) -> list[Slope]:
    """Measure the costs at every size of a dimension and fit their slopes."""
    samples = []
    for size in dimension.sizes:
        if progress is not None:
            progress.write(f"{dimension.name} {size}\n")
            progress.flush()
        samples.append(Sampler(dimension.make(size)).run(MEASURED_S))
    return slopes_of(dimension, samples)


def slopes_of(dimension: Dimension, samples: list[Sample]) -> list[Slope]:
    """Fit a line through every cost that occurs at all sizes."""
    found = [dict(costs_of(sample)) for sample in samples]
    slopes = []
    for key in found[0]:
        if not all(key in costs for costs in found):
            continue
        role, cost, unit = key
        values = tuple(costs[key] for costs in found)
        line = fit(dimension.sizes, values)
        slopes.append(Slope(dimension.name, role, cost, unit, dimension.sizes, values, line))
    return slopes


Key = tuple[str, str, str]


def costs_of(sample: Sample) -> Iterable[tuple[Key, float]]:
    """Return every cost of a sample by role, name and unit."""
    yield from control_costs(sample)
    for (role, kind), cost in sorted(sample.events.items()):
        yield (role, f"event {kind}", "µs each"), cost.microseconds / cost.count
    for (role, kind), cost in sorted(sample.messages.items()):
        yield (role, f"message {kind}", "bytes each"), cost.bytes / cost.count
    for kind, cost in sorted(sample.codec.items()):
        yield ("any", f"code {kind}", "µs each"), cost.microseconds / cost.count
    for kind, count in sorted(sample.platform.items()):
        yield ("all", f"platform {kind}", "calls/s"), count / sample.seconds
    for (role, part), size in sorted(sample.state.items()):
        yield (role, f"state {part}", "kB"), size * KILOBYTES


def control_costs(sample: Sample) -> Iterable[tuple[Key, float]]:
    """Return what one entry of each role spends on control a second."""
    for role, count in sorted(sample.roles.items()):
        spent = 0.0
        for (of, kind), cost in sample.events.items():
            if of == role and kind not in REQUEST_EVENTS:
                spent += cost.microseconds
        sent = sum(cost.bytes for (of, _), cost in sample.messages.items() if of == role)
        messages = sum(cost.count for (of, _), cost in sample.messages.items() if of == role)
        per = count * sample.seconds
        yield (role, "control time", "ms/s"), spent * MILLISECONDS / per
        yield (role, "control sent", "kB/s"), sent * KILOBYTES / per
        yield (role, "control messages", "1/s"), messages / per


def grows(slope: Slope) -> bool:
    """Return whether a cost grows beyond the scatter of its points."""
    span = slope.sizes[-1] - slope.sizes[0]
    return abs(slope.line.slope) * span > max(2 * slope.line.residual, 0.05 * slope.values[0])


def table(slopes: Iterable[Slope], wanted: Callable[[Slope], bool] = grows) -> str:
    """Return the slopes as a table for people."""
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
        if wanted(slope)
    ]
    headers = ("per", "role", "cost", "unit", "at", "slope", "intercept", "residual")
    return tabulate(rows, headers, tablefmt="github", disable_numparse=True)


def to_json(slopes: Iterable[Slope]) -> str:
    """Return the slopes as JSON."""
    return orjson.dumps([asdict(slope) for slope in slopes], option=orjson.OPT_INDENT_2).decode()
