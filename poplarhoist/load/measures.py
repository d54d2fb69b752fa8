"""What a run under load measured, and its report."""

from collections.abc import Iterable

import orjson
from attrs import asdict, define, field
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

MICROSECONDS_PER_S = 1_000_000
MAX_TIME_US = 3600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)


def record_seconds(times: HdrHistogram, seconds: float) -> None:
    """Add a time to a histogram."""
    times.record_value(min(MAX_TIME_US, max(1, round(seconds * MICROSECONDS_PER_S))))


def percentiles_ms(times: HdrHistogram) -> tuple[float, ...]:
    """Return the times at the percentiles of the report, in milliseconds."""
    return tuple(times.get_value_at_percentile(p) / 1000 for p in PERCENTILES)


@define
class Measures:
    """Measures of one run.

    Attributes
    ----------
    stalled : int
        Requests whose adapter was resident nowhere when they arrived.
    stall_s, stall_worst_s : float
        Seconds that those waited until their dispatch, in total and the longest.
    wait_s : float
        Seconds that the others waited until their dispatch.
    batch_efficiency : float
        Tokens given, over the batch limit of the engine steps that ran.
    first_ms, gap_ms : tuple of float
        Time to the first token and between tokens at 50, 95 and 99 in 100.
    crossed_bytes, control_bytes : int
        Bytes between regions, of requests with their answers and among the entries.
    span_s, took_s : float
        Seconds of the run that were measured, and real seconds that it took.
    wrong, lost, doubled : int
        Answers that are wrong or cut, requests without any answer, calls that ran twice.
    """

    site: str
    trace: str
    policy: str
    asked: int = 0
    answered: int = 0
    resent: int = 0
    stalled: int = 0
    stall_s: float = 0.0
    stall_worst_s: float = 0.0
    wait_s: float = 0.0
    batch_efficiency: float = 0.0
    first_ms: tuple[float, ...] = ()
    gap_ms: tuple[float, ...] = ()
    loads: int = 0
    crossed_bytes: int = 0
    control_bytes: int = 0
    wrong: int = 0
    lost: int = 0
    doubled: int = 0
    booked: int = 0
    span_s: float = 0.0
    took_s: float = 0.0
    refused: dict[str, int] = field(factory=dict)
    notes: dict[str, float] = field(factory=dict)

    def add_stall(self, waited_s: float) -> None:
        """Count a request that waited on a load."""
        self.stalled += 1
        self.stall_s += waited_s
        self.stall_worst_s = max(self.stall_worst_s, waited_s)


HEADERS = (
    "site",
    "trace",
    "policy",
    "asked",
    "stalled",
    "stall s",
    "worst s",
    "other wait s",
    "batch eff",
    "first ms 50/95/99",
    "loads",
    "crossed kB",
    "control kB",
    "refused",
    "wrong/lost/doubled",
)


def table_row(item: Measures) -> tuple[object, ...]:
    """Return the table row of one run."""
    refused = ", ".join(f"{reason} {count}" for reason, count in sorted(item.refused.items()))
    return (
        item.site,
        item.trace,
        item.policy,
        item.asked,
        item.stalled,
        f"{item.stall_s:.1f}",
        f"{item.stall_worst_s:.2f}",
        f"{item.wait_s:.1f}",
        f"{item.batch_efficiency:.3f}",
        "/".join(f"{value:.0f}" for value in item.first_ms),
        item.loads,
        item.crossed_bytes // 1000,
        item.control_bytes // 1000,
        refused or "-",
        f"{item.wrong}/{item.lost}/{item.doubled}",
    )


def table(items: Iterable[Measures]) -> str:
    """Return the runs as a table for people."""
    rows = [table_row(item) for item in items]
    return tabulate(rows, HEADERS, tablefmt="github", disable_numparse=True)


def to_json(items: Iterable[Measures]) -> str:
    """Return the runs as JSON."""
    return orjson.dumps([asdict(item) for item in items], option=orjson.OPT_INDENT_2).decode()
