"""The body of a streamed response, over the attempts that deliver it."""

import itertools
from collections.abc import Callable, Iterator
from typing import Protocol

from eventlet.queue import LightQueue

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.gateway.attempts import CallerRequest
from poplarhoist.gateway.error_responses import status_line
from poplarhoist.gateway.exchange import Exchange
from poplarhoist.gateway.guarded_protocol import PROTOCOL_KEY
from poplarhoist.gateway.interfaces import Headers


class StreamHandler(Protocol):
    """Carries a request on, and runs its attempts.

    Attributes
    ----------
    mailbox : LightQueue
        Effects for the request; None means that the caller disconnected.
    """

    request: CallerRequest
    mailbox: LightQueue
    environ: dict
    start_response: Callable

    def run_attempt(
        self, effect: fx.Dispatch
    ) -> tuple[Exchange, bytes | None, Iterator[bytes] | None]:
        """Run an attempt; return its exchange, its first chunk if it streams, and the rest."""

    def end_exchange(self, exchange: Exchange) -> None:
        """Close the exchange of an attempt."""

    def submit_attempt_ended(self, exchange: Exchange) -> None:
        """Submit the result of an attempt."""

    def endpoint_headers(self, exchange: Exchange | None) -> Headers:
        """Return the headers that tell another entry which endpoint responds."""

    def finish(self) -> None:
        """Let go of the request, which has ended."""


class StreamBroken(Exception):
    """A streamed response cannot be completed; the server ends the caller's connection."""


class StreamedBody:
    """Iterates over a streamed response; a broken stream resumes at another endpoint if allowed.

    Attributes
    ----------
    exchange : Exchange or None
        The attempt that delivers chunks; None between attempts.
    """

    def __init__(
        self, handler: StreamHandler, exchange: Exchange, first_chunk: bytes, chunks: Iterator
    ) -> None:
        self.handler = handler
        self.exchange: Exchange | None = exchange
        self.chunks = itertools.chain((first_chunk,), chunks)
        headers = [h for h in exchange.result.headers if h[0].lower() != "content-length"]
        headers += handler.endpoint_headers(exchange)
        handler.start_response(status_line(exchange.result.status), headers)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the response's chunks.

        Raises
        ------
        StreamBroken
            If the attempt broke and no other endpoint may continue the stream.
        """
        while True:
            for data in self.chunks:
                self.handler.request.delivered = True
                yield data
            exchange, self.exchange = self.exchange, None
            self.handler.end_exchange(exchange)
            self.handler.submit_attempt_ended(exchange)
            if exchange.result.outcome is ev.Outcome.DONE:
                return
            self.resume()

    def resume(self) -> None:
        """Continue the stream at the endpoint of the next dispatch.

        Raises
        ------
        StreamBroken
            If the next effect is no dispatch.
        """
        handler = self.handler
        while True:
            effect = handler.mailbox.get()
            if not isinstance(effect, fx.Dispatch):
                handler.environ[PROTOCOL_KEY].break_off_response()
                raise StreamBroken
            exchange, first_chunk, chunks = handler.run_attempt(effect)
            if first_chunk is not None:
                self.exchange = exchange
                self.chunks = itertools.chain((first_chunk,), chunks)
                return
            if exchange.result.outcome is ev.Outcome.DONE:
                # A whole response that is not a stream (a status other than 200, or an empty body)
                # cannot continue one.
                exchange.result.outcome = ev.Outcome.BROKEN
            handler.submit_attempt_ended(exchange)

    def close(self) -> None:
        """Cancel the attempt if the caller disconnected during the stream; called by the server."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.cancelled = True
            self.handler.end_exchange(exchange)
            exchange.result.outcome = ev.Outcome.CANCELLED
            self.handler.submit_attempt_ended(exchange)
        self.handler.finish()
