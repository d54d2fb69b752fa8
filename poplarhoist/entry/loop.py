"""Feeds events to the reducer and runs the effects that it returns."""

from collections.abc import Callable

import eventlet
import structlog
from eventlet.queue import LightQueue

from poplarhoist.clock import Clock
from poplarhoist.decisions.common_effects import Count, LogChange, Observe
from poplarhoist.entry.metrics import Metrics


class DecisionLoop:
    """Holds the state of a reducer and the handlers of its effects.

    Parameters
    ----------
    state : object
        State that the reducer modifies.
    name : str
        Name of this entry, bound to each log line.
    reducer : callable
        Applies an event to the state and returns the resulting effects.
    request_effects : tuple
        Effect classes that are put into the mailbox of their request.

    Attributes
    ----------
    mailboxes : dict
        Queues of effects by request id, read by the green threads that serve the requests.
    handlers : dict
        Handlers by effect class.
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
            Count: self.on_count,
            Observe: self.on_observe,
            LogChange: self.on_log_change,
        }
        for effect_type in request_effects:
            self.handlers[effect_type] = self.put_in_mailbox

    def event_time(self) -> float:
        """Return the monotonic time for an event, in seconds."""
        return self.clock.monotonic()

    def set_handler(self, effect_type: type, handler: Callable[[object], None]) -> None:
        """Set the handler of an effect class; a handler must not block."""
        self.handlers[effect_type] = handler

    def submit(self, event: object) -> None:
        """Apply an event to the state and run the handlers of its effects.

        The state counts on all effects. So those after one whose handler raises are carried out too.
        """
        for effect in self.reducer(self.state, event):
            try:
                self.handlers[type(effect)](effect)
            except Exception:
                # The event has been applied and cannot be taken back. The log shows the cause.
                self.log.exception("effect-failed", effect=type(effect).__name__)

    def run_ticks(self, tick_type: type, interval_s: float) -> None:
        """Submit a tick every `interval_s` seconds until the process ends."""
        while True:
            try:
                self.submit(tick_type(self.event_time()))
            except Exception:
                # An exception in the reducer must not end this loop: every policy depends on the
                # ticks. The log shows the cause.
                self.log.exception("tick-failed")
            eventlet.sleep(interval_s)

    def open_mailbox(self, request_id: str) -> LightQueue:
        """Create and return the mailbox for the effects of a request."""
        mailbox = self.mailboxes[request_id] = LightQueue()
        return mailbox

    def close_mailbox(self, request_id: str) -> None:
        """Remove the mailbox of a request; later effects for it are dropped."""
        self.mailboxes.pop(request_id, None)

    def put_in_mailbox(self, effect: object) -> None:
        """Put an effect into the mailbox of its request; drop it if there is none."""
        mailbox = self.mailboxes.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def on_count(self, effect: Count) -> None:
        """Increase a counter."""
        self.metrics.count(effect.counter, effect.labels, effect.amount)

    def on_observe(self, effect: Observe) -> None:
        """Add a duration to a histogram."""
        self.metrics.observe(effect.histogram, effect.labels, effect.seconds)

    def on_log_change(self, effect: LogChange) -> None:
        """Log a change of state under its event name."""
        self.log.info(effect.change, **effect.fields)
