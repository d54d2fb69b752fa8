"""A caller's request, and how an attempt to run it ended."""

from typing import Protocol

from attrs import define, field

from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.gateway.interfaces import Headers, RequestHead
from poplarhoist.gateway.room import UNBOUNDED, Room, UnboundedRoom


class Cancellable(Protocol):
    """An attempt in flight."""

    def cancel(self) -> None:
        """Cut its connection."""


@define
class CallerRequest:
    """A caller's request, shared by all of its attempts.

    Attributes
    ----------
    target : str
        Request target as the caller sent it: path and query.
    last_event_id : str
        Id of the last event that the caller has received; a resumed stream continues after it.
    delivered : bool
        Whether the caller has received a part of the response.
    active_exchange : Cancellable or None
        The attempt that is cancelled if the caller disconnects.
    room : Room
        Counts what is held for the request.
    """

    request_id: str
    method: str
    target: str
    body: bytes | memoryview
    head: RequestHead
    last_event_id: str = ""
    delivered: bool = False
    active_exchange: Cancellable | None = None
    room: Room | UnboundedRoom = UNBOUNDED


@define
class AttemptResult:
    """How an attempt ended, and the response body unless it was streamed.

    Attributes
    ----------
    reason : str
        Cause of a failure, for the logs.
    status : int
        The endpoint's status code; 0 if there was no response.
    connection_refused : bool
        Whether the endpoint's address refused the connection.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    headers: Headers = field(factory=list)
    body: bytes = b""
    connection_refused: bool = False
