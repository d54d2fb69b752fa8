"""What a bench notes of requests and entries."""

from collections.abc import Callable

from attrs import define, field

from poplarhoist.decisions.state import State
from poplarhoist.models import AdapterRef, Refusal


@define
class RequestRecord:
    """A request and what became of it.

    Attributes
    ----------
    answered_by : AdapterRef or None
        Whose answer the caller got.
    first_at, ended_at : float or None
        When the first token and the end of the answer were out.
    loads_waited : bool
        Whether it had to wait before its first dispatch.
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
    """An entry: its state, and the switches that stop or pause it.

    Attributes
    ----------
    held : list
        Events and effects that arrived while it was paused.
    pause_at : type or None
        Effect type at which the entry pauses just before running the effect.
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
