"""Runs a second attempt of a request beside the one that its handler runs, and ends attempts early.

The handler's green thread reads the response to the first attempt, so a green thread of its own
reads the response to the second. Whichever has a whole response first, or one too long to be held,
claims the request; the reducer then cuts the other one.
"""

from __future__ import annotations

from collections.abc import Iterator

import eventlet
import greenlet
from attrs import define
from eventlet.event import Event
from eventlet.hubs import get_hub

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway.events import Outcome, ResponseChosen
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.exchange import Exchange


class ConnectStopped(OSError):
    """The connection of an attempt is not needed any more."""


@define
class HandlerThread:
    """The handler of a request, and the green thread that runs it."""

    handler: object
    thread: greenlet.greenlet


class HedgeRunner:
    """Carries out the effects about second attempts, and about attempts that end early.

    Attributes
    ----------
    threads_by_request : dict
        The handlers of the callers' open requests.
    """

    def __init__(self, decision_loop: DecisionLoop) -> None:
        self.threads_by_request: dict[str, HandlerThread] = {}
        decision_loop.set_handler(fx.Hedge, self.on_hedge)
        decision_loop.set_handler(fx.CancelAttempt, self.on_cancel)
        decision_loop.set_handler(fx.BreakOffAttempt, self.on_break_off)

    def add(self, handler) -> None:
        """Record that the current green thread runs the handler of a request."""
        self.threads_by_request[handler.request.request_id] = HandlerThread(
            handler, greenlet.getcurrent()
        )

    def remove(self, request_id: str) -> None:
        """Forget a request that has its response."""
        self.threads_by_request.pop(request_id, None)

    def on_hedge(self, effect: fx.Hedge) -> None:
        """Begin a second attempt."""
        known = self.threads_by_request.get(effect.request_id)
        if known is not None:
            known.handler.hedge = HedgedAttempt(known.handler, effect.dispatch)
            eventlet.spawn_n(known.handler.hedge.run)

    def on_cancel(self, effect: fx.CancelAttempt) -> None:
        """Cut the attempt with this number, whichever of the two it is."""
        known = self.threads_by_request.get(effect.request_id)
        if known is None:
            return
        hedge = known.handler.hedge
        if hedge is not None and hedge.exchange.dispatch.attempt == effect.attempt:
            hedge.exchange.cancel()
            return
        first = known.handler.request.active_exchange
        if first is None or first.dispatch.attempt != effect.attempt:
            return
        first.cancel()
        self.schedule_stop_connecting(known, first)

    def on_break_off(self, effect: fx.BreakOffAttempt) -> None:
        """End the attempt with this number, unless its response has begun."""
        known = self.threads_by_request.get(effect.request_id)
        exchange = known.handler.request.active_exchange if known is not None else None
        if exchange is None or exchange.dispatch.attempt != effect.attempt:
            return
        if not exchange.response_started:
            exchange.break_off()
            self.schedule_stop_connecting(known, exchange)

    def schedule_stop_connecting(self, known: HandlerThread, exchange: Exchange) -> None:
        """Let an attempt without a connection end now, and not only when the connection is made."""
        if exchange.sock is None:
            get_hub().schedule_call_global(0, self.stop_connecting, known, exchange)

    def stop_connecting(self, known: HandlerThread, exchange: Exchange) -> None:
        """End the attempt of a handler that still waits for its connection."""
        is_connecting = exchange.sock is None and not exchange.is_given_back
        if known.handler.request.active_exchange is exchange and is_connecting:
            known.thread.throw(ConnectStopped())


class HedgedAttempt:
    """The second attempt of a request.

    Attributes
    ----------
    exchange : Exchange
        The second attempt.
    winner : Exchange or None
        The attempt whose response the caller gets; None while neither has one.
    chunks : iterator or None
        The rest of a response that is too long to be held.
    ended : Event
        Sent when the second attempt needs no more waiting for.
    """

    def __init__(self, handler, dispatch: fx.Dispatch) -> None:
        self.handler = handler
        self.decision_loop = handler.decision_loop
        self.exchange = Exchange(
            self.decision_loop, handler.dialect, handler.request, dispatch, handler.pool
        )
        self.exchange.cancelled = handler.caller_disconnected
        self.winner: Exchange | None = None
        self.first_chunk: bytes | None = None
        self.chunks: Iterator[bytes] | None = None
        self.ended = Event()

    def run(self) -> None:
        """Run the second attempt until its response is whole or too long to be held."""
        exchange = self.exchange
        try:
            if exchange.start():
                if exchange.result.outcome is Outcome.FAILED:
                    exchange.read_body()
                elif exchange.read_beginning() and not exchange.cancelled:
                    self.begin_long(exchange)
        finally:
            if self.first_chunk is None:
                exchange.close()
                self.claim_whole(exchange)
                self.handler.submit_attempt_ended(exchange)
            self.ended.send()

    def begin_long(self, exchange: Exchange) -> None:
        """Let the handler pass on a long response, unless the other attempt has one already."""
        if self.winner is not None:
            exchange.cancel()
            return
        self.chunks = exchange.iter_plain()
        self.first_chunk = next(self.chunks)
        self.claim_long(exchange)

    def claim_whole(self, exchange: Exchange) -> None:
        """Make an attempt with a whole response the winner, unless the other one is."""
        if self.winner is None and exchange.result.outcome is Outcome.DONE:
            self.winner = exchange

    def claim_long(self, exchange: Exchange) -> bool:
        """Make an attempt the winner whose response is passed on as it arrives; False if it is not."""
        if self.winner is None:
            self.winner = exchange
            self.decision_loop.submit(
                ResponseChosen(
                    self.decision_loop.event_time(),
                    exchange.dispatch.request_id,
                    exchange.dispatch.attempt,
                )
            )
        return self.winner is exchange

    def cancel(self) -> None:
        """Cut the second attempt, as the caller left."""
        self.exchange.cancel()

    def settle(
        self, first: Exchange, first_chunk: bytes | None, chunks: Iterator[bytes] | None
    ) -> tuple[Exchange, bytes | None, Iterator[bytes] | None, bool]:
        """Return the attempt that ends the request, or that failed last.

        Parameters
        ----------
        first, first_chunk, chunks : Exchange, bytes or None, iterator or None
            The first attempt and what it has of a long response, as `start_plain` returns them.

        Returns
        -------
        tuple
            The attempt, the two parts of its response if that is long, and whether the result of
            the attempt was submitted already.
        """
        if first_chunk is not None:
            if self.claim_long(first):
                return first, first_chunk, chunks, False
            self.handler.end_exchange(first)
        else:
            self.claim_whole(first)
        if self.winner is first:
            return first, None, None, False
        if self.winner is None:
            # It failed. The reducer lets the second attempt go on, if that still runs.
            is_last = self.ended.ready()
            self.handler.submit_attempt_ended(first)
            if is_last or self.handler.caller_disconnected:
                return first, None, None, True
            self.ended.wait()
        if self.first_chunk is not None:
            self.handler.request.active_exchange = self.exchange
        return self.exchange, self.first_chunk, self.chunks, True
