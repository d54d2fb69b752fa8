"""State of hedged requests: second attempts beside slow first ones; only the reducer changes it.

All times are monotonic seconds of this process.
"""

from collections import deque

from attrs import define, field


@define
class ParallelAttempt:
    """A running attempt of a request beside the one that its other fields describe.

    Attributes
    ----------
    attempt : int
        Its number.
    endpoint_name, incarnation, software : str, int, str
        The run of the endpoint that it was sent to, and its software version.
    sent_at : float
        When it was sent.
    started_at : float or None
        When the first byte of its response arrived; None before.
    """

    attempt: int
    endpoint_name: str
    incarnation: int
    software: str
    sent_at: float
    started_at: float | None = None


@define
class ServiceHedges:
    """What this entry has seen of one service.

    Attributes
    ----------
    first_byte_times : deque
        Seconds until the first byte of recent responses, with the time at which they were seen. A
        cancelled attempt counts with the seconds that it had lasted.
    credit : float
        Second attempts that may be sent now; each request of the service adds a part of one.
    percentile_s, percentile_at : float or None, float
        Percentile of the times, None if there are too few, and when it was found out.
    """

    first_byte_times: deque[tuple[float, float]] = field(factory=deque)
    credit: float = 0.0
    percentile_s: float | None = None
    percentile_at: float = float("-inf")


@define
class HedgeState:
    """What is kept for second attempts; empty while they are switched off.

    Attributes
    ----------
    by_service : dict
        What was seen of a service, by its name.
    reasons_by_request : dict
        The requests that may get a second attempt, in the order in which they were sent, and why
        one was not sent when it was due; an empty text before.
    """

    by_service: dict[str, ServiceHedges] = field(factory=dict)
    reasons_by_request: dict[str, str] = field(factory=dict)

    def of(self, service: str) -> ServiceHedges:
        """Return what was seen of a service, created on first use."""
        return self.by_service.setdefault(service, ServiceHedges())
