"""The decision loop of an entry that serves this project's own interface."""

from poplarhoist.clock import Clock
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions.reducer import reduce
from poplarhoist.decisions.state import State
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics

REQUEST_EFFECTS = (fx.Dispatch, fx.Refuse, fx.ReplayAnswer)


class Core(DecisionLoop):
    """Decision loop with the reducer and state of ``poplarhoist.decisions``."""

    def __init__(self, state: State, clock: Clock, metrics: Metrics) -> None:
        super().__init__(state, clock, metrics, state.me.name, reduce, REQUEST_EFFECTS)
