"""Orders written down before they are sent, for engines that do not check epochs."""

from __future__ import annotations

from attrs import define, field, frozen

from poplarhoist.models import AdapterRef


@frozen
class Intent:
    """An order that may be under way, as it is written on the platform.

    Attributes
    ----------
    holder, boot : str
        Entry that sends the order, and its boot id.
    """

    order_id: str
    endpoint: str
    epoch: int
    load: str
    replaces: str
    holder: str
    boot: str


@define
class OpenOrder:
    """An order that this entry sent.

    Attributes
    ----------
    until : float
        When it can no longer take effect; infinity while its call has not ended.
    """

    base: str
    may_apply_until: float = float("inf")


@define
class Suspension:
    """Adapter versions on an engine that a late order may still load or evict.

    Attributes
    ----------
    holder, boot : str
        Entry that sends the order, and its boot id.
    until : float or None
        When the order can no longer take effect; None until its sender has ended it.
    """

    order_id: str
    endpoint: str
    refs: frozenset[AdapterRef]
    sender: str
    sender_boot: str
    may_apply_until: float | None = None


@define
class IntentState:
    """The written intents of one base model and those waiting to be written.

    Attributes
    ----------
    needed : bool
        Whether any engine of the base model does not check epochs.
    read : bool
        Whether the intents of earlier leads were read.
    known_at : float or None
        When the object was first rewritten under this lead's epoch.
    version : int
        Version of the object when it was last read or written here.
    open_by_id : dict
        Intents of orders that may be under way.
    queued : list
        Ids of orders that are not written yet.
    writing : dict
        Ids of the orders in each write that may have taken effect, by the write's nonce.
    dirty : bool
        Whether the written object names orders that have ended.
    busy_since : float or None
        When the call to the platform that is under way was made.
    """

    needed: bool = False
    was_read: bool = False
    first_written_at: float | None = None
    version: int = 0
    open_by_id: dict[str, Intent] = field(factory=dict)
    queued_order_ids: list[str] = field(factory=list)
    order_ids_by_nonce: dict[str, list[str]] = field(factory=dict)
    write_count: int = 0
    dirty: bool = False
    call_since: float | None = None
    next_call_at: float = float("-inf")


def has_open_orders(orders: dict[str, OpenOrder], at: float, base: str | None = None) -> bool:
    """Return whether any order may still take effect; forgets those that cannot.

    Parameters
    ----------
    base : str or None
        Only orders of this base model count; None counts all.
    """
    for order_id in [order_id for order_id, order in orders.items() if at > order.may_apply_until]:
        del orders[order_id]
    return any(base in (None, order.base) for order in orders.values())
