"""Records that a simulation keeps of requests and entries."""

from collections.abc import Callable

from attrs import define, field

from poplarhoist.decisions.state import State
from poplarhoist.models import AdapterRef, Refusal


@define
class RequestRecord:
    """A request and its result; times are virtual seconds.

    Attributes
    ----------
    idempotency_key : str
        Key of a service call that must not run twice; empty if there is none.
    poison : bool
        Whether the request crashes the engine that runs it.
    dispatched_endpoints : list of str
        Endpoint of each attempt, in order.
    dispatched_at : float or None
        When the first attempt was dispatched.
    first_at, ended_at : float or None
        When the first token was generated, and when the answer or refusal was complete.
    answered_by : AdapterRef or None
        Adapter version whose answer the caller got.
    replayed : bool
        Whether the caller got the stored answer of an earlier run.
    """

    request_id: str
    entry: str
    target: str
    tokens: int
    sent_at: float
    is_service: bool = False
    idempotency_key: str = ""
    poison: bool = False
    dispatched_endpoints: list[str] = field(factory=list)
    dispatched_at: float | None = None
    first_at: float | None = None
    ended_at: float | None = None
    answered_by: AdapterRef | None = None
    completed: bool = False
    replayed: bool = False
    refusal: Refusal | None = None


@define(eq=False)
class FakeEntry:
    """A simulated entry: its state, and the switches that stop or pause it.

    Attributes
    ----------
    alive : bool
        False after the entry was killed.
    stopped : bool
        True after the entry stopped gracefully.
    deferred : list
        Events and effects that arrived while the entry was paused.
    pause_before : type or None
        Effect type; the entry pauses just before its next effect of this type.
    sequence_by_peer : dict
        Sequence number of the last message to each peer.
    watching : bool
        False while changes on the platform do not reach the entry.
    counters : dict
        Values of the entry's metrics by name and labels.
    """

    state: State
    alive: bool = True
    paused: bool = False
    deferred: list[Callable[[], None]] = field(factory=list)
    pause_before: type | None = None
    sequence_by_peer: dict[str, int] = field(factory=dict)
    watching: bool = True
    stopped: bool = False
    counters: dict[tuple[str, tuple[str, ...]], float] = field(factory=dict)
