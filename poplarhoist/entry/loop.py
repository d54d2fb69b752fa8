"""Feeds events to the reducer and runs the effects that it returns."""

from collections.abc import Callable

import structlog
from eventlet.queue import LightQueue

from poplarhoist.clock import Clock
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.entry.metrics import Metrics


class DecisionLoop:
    """One reducer state and the runners of its effects.

    Parameters
    ----------
    state : object
        What the reducer changes.
    name : str
        Name of this entry, for the logs.
    step : callable
        The reducer.
    request_effects : tuple
        Effects that go into the mailbox of their request.
    """

    def __init__(
        self,
        state,
        clock: Clock,
        metrics: Metrics,
        name: str,
        reducer: Callable[[object, object], list],
        request_effects: tuple[type, ...],
    ) -> None:
        self.state = state
        self.reducer = reducer
        self.clock = clock
        self.metrics = metrics
        self.log = structlog.get_logger().bind(entry=name)
        self.mailboxes: dict[str, LightQueue] = {}
        self.handlers: dict[type, Callable[[object], None]] = {
            fx.Count: self.on_count,
            fx.Observe: self.on_observe,
            fx.LogChange: self.on_log_change,
        }
        for effect_type in request_effects:
            self.handlers[effect_type] = self.put_in_mailbox

    def event_time(self) -> float:
        """Return the time for an event."""
        return self.clock.monotonic()

    def set_handler(self, effect_type: type, handler: Callable[[object], None]) -> None:
        """Set what runs an effect; a runner must not block."""
        self.handlers[effect_type] = handler

    def submit(self, event: ev.Event) -> None:
        """Apply an event and run its effects."""
        for effect in self.reducer(self.state, event):
            self.handlers[type(effect)](effect)

    def open_mailbox(self, request_id: str) -> LightQueue:
        """Return the mailbox that gets the effects for a request."""
        mailbox = self.mailboxes[request_id] = LightQueue()
        return mailbox

    def close_mailbox(self, request_id: str) -> None:
        """Drop the mailbox of a request."""
        self.mailboxes.pop(request_id, None)

    def put_in_mailbox(self, effect: object) -> None:
        """Put an effect into the mailbox of its request."""
        mailbox = self.mailboxes.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def on_count(self, effect: fx.Count) -> None:
        """Add to a counter."""
        self.metrics.count(effect.counter, effect.labels, effect.amount)

    def on_observe(self, effect: fx.Observe) -> None:
        """Add to a histogram."""
        self.metrics.observe(effect.histogram, effect.labels, effect.seconds)

    def on_log_change(self, effect: fx.LogChange) -> None:
        """Log a change of state."""
        self.log.info(effect.change, **effect.fields)
