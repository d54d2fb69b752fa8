"""The measures of a run under load, and their reports."""

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
    """Add a time to a histogram, clamped to the range from 1 µs to ``MAX_TIME_US``."""
    times.record_value(min(MAX_TIME_US, max(1, round(seconds * MICROSECONDS_PER_S))))


def percentiles_ms(times: HdrHistogram) -> tuple[float, ...]:
    """Return the times at the percentiles of ``PERCENTILES``, in milliseconds."""
    return tuple(times.get_value_at_percentile(p) / 1000 for p in PERCENTILES)


@define
class Measures:
    """Measures of one run; the field names go into reports.

    Attributes
    ----------
    asked, answered, resent : int
        Calls that were sent, calls with a correct answer, and resends.
    stalled : int
        Requests whose adapter was resident on no engine when they arrived.
    stall_s, stall_worst_s : float
        Seconds that stalled requests waited until their dispatch, in total and at most.
    wait_s : float
        Seconds that the other requests waited until their dispatch, in total.
    batch_efficiency : float
        Generated tokens, as a share of the tokens that full batches would have generated.
    first_ms, gap_ms : tuple of float
        Time to the first token and time between tokens, at each of ``PERCENTILES``.
    loads : int
        Adapter loads from the weight store.
    crossed_bytes, control_bytes : int
        Bytes between regions, of requests with their answers and of messages among entries.
    wrong, lost, doubled : int
        Wrong or truncated answers, requests without a final answer, and calls that ran more than
        once. Violations on the engines count as wrong.
    booked : int
        Calls that must not run twice, without repeats.
    span_s, took_s : float
        Seconds of the run that were measured, and real seconds that the run took.
    refused : dict
        Calls that were finally refused, by reason.
    notes : dict
        Growth of the entries' metrics by name and labels; empty for a replay.
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
        """Count a stalled request and the seconds that it waited."""
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
    """Return the row of a run in the table, under ``HEADERS``."""
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
    """Return the runs as a Markdown table."""
    rows = [table_row(item) for item in items]
    return tabulate(rows, HEADERS, tablefmt="github", disable_numparse=True)


def to_json(items: Iterable[Measures]) -> str:
    """Return the runs as JSON."""
    return orjson.dumps([asdict(item) for item in items], option=orjson.OPT_INDENT_2).decode()
