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
        step: Callable[[object, object], list],
        request_effects: tuple[type, ...],
    ) -> None:
        self.state = state
        self.step = step
        self.clock = clock
        self.metrics = metrics
        self.log = structlog.get_logger().bind(entry=name)
        self.mailboxes: dict[str, LightQueue] = {}
        self.runners: dict[type, Callable[[object], None]] = {
            fx.Count: self.count,
            fx.Observe: self.observe,
            fx.LogChange: self.log_change,
        }
        for kind in request_effects:
            self.runners[kind] = self.deliver

    def at(self) -> float:
        """Return the time for an event."""
        return self.clock.monotonic()

    def on(self, kind: type, runner: Callable[[object], None]) -> None:
        """Set what runs an effect; a runner must not block."""
        self.runners[kind] = runner

    def submit(self, event: ev.Event) -> None:
        """Apply an event and run its effects."""
        for effect in self.step(self.state, event):
            self.runners[type(effect)](effect)

    def open(self, request_id: str) -> LightQueue:
        """Return the mailbox that gets the effects for a request."""
        mailbox = self.mailboxes[request_id] = LightQueue()
        return mailbox

    def close(self, request_id: str) -> None:
        """Drop the mailbox of a request."""
        self.mailboxes.pop(request_id, None)

    def deliver(self, effect: object) -> None:
        """Put an effect into the mailbox of its request."""
        mailbox = self.mailboxes.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def count(self, effect: fx.Count) -> None:
        """Add to a counter."""
        self.metrics.count(effect.counter, effect.labels, effect.amount)

    def observe(self, effect: fx.Observe) -> None:
        """Add to a histogram."""
        self.metrics.observe(effect.histogram, effect.labels, effect.seconds)

    def log_change(self, effect: fx.LogChange) -> None:
        """Log a change of state."""
        self.log.info(effect.change, **effect.fields)
