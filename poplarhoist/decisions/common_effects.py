"""Effects of the decisions of both interfaces."""

from attrs import field, frozen


@frozen
class Count:
    """Add to a metrics counter; ``labels`` are in the order in which the counter declares them."""

    counter: str
    labels: tuple[str, ...] = ()
    amount: float = 1.0


@frozen
class Observe:
    """Record a duration in a histogram; ``labels`` are in the order that it declares."""

    histogram: str
    labels: tuple[str, ...]
    seconds: float


@frozen
class LogChange:
    """Write a log line about a change of state; ``change`` is the name of the log event."""

    change: str
    fields: dict[str, object] = field(factory=dict)


@frozen
class Stop:
    """Let the process exit: a drained entry has no request, grant, open order or lease left."""
