"""What a bench notes of requests and entries."""

from collections.abc import Callable

from attrs import define, field

from poplarhoist.decisions.state import State
from poplarhoist.models import AdapterRef, Refusal


@define
class Asked:
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
    asked_at: float
    service: bool = False
    key: str = ""
    poison: bool = False
    dispatches: list[str] = field(factory=list)
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
    held: list[Callable[[], None]] = field(factory=list)
    pause_at: type | None = None
    sequences: dict[str, int] = field(factory=dict)
    watching: bool = True
    stopped: bool = False
    counts: dict[tuple[str, tuple[str, ...]], float] = field(factory=dict)
