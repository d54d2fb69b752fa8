"""Records of orders to engines that do not check epochs; ``intents`` stores and handles them."""

from __future__ import annotations

from attrs import define, field, frozen

from poplarhoist.models import AdapterRef


@frozen
class Intent:
    """An order that may be under way, as it is stored on the platform.

    Attributes
    ----------
    epoch : int
        Epoch of the lead that created the order.
    load, replaces : str
        Adapter version to load, and the one that it evicts; the latter empty if none.
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
    """An order that this entry sent and that may still be applied.

    Attributes
    ----------
    may_apply_until : float
        Latest time at which it may be applied; infinity while its call has not ended. In
        ``Suspension``, None stands for an unknown end instead.
    """

    base: str
    may_apply_until: float = float("inf")


@define
class Suspension:
    """Adapter versions on an engine that a late order may still load or evict.

    They are neither granted, loaded nor evicted there until a report is sampled after
    ``may_apply_until``.

    Attributes
    ----------
    sender, sender_boot : str
        Entry that sends the order, and its boot id.
    may_apply_until : float or None
        Latest time at which the order may be applied; None while its sender may still send it, so
        that no end is known.
    """

    order_id: str
    endpoint: str
    refs: frozenset[AdapterRef]
    sender: str
    sender_boot: str
    may_apply_until: float | None = None


@define
class IntentState:
    """Stored intents of one base model, and those waiting to be stored.

    Attributes
    ----------
    needed : bool
        Whether any engine of the base model does not check epochs; nothing is stored otherwise.
    was_read : bool
        Whether the stored object was read and is not of a later epoch.
    first_written_at : float or None
        When the object was first rewritten under this lead's epoch; None before that.
    version : int
        Version of the object when it was last read or written here; 0 if it does not exist.
    open_by_id : dict
        Intents of orders that may be under way, by order id.
    queued_order_ids : list
        Ids of orders that wait for their intent to be stored.
    order_ids_by_nonce : dict
        Ids of the orders in each write that may have taken effect, by the write's nonce.
    write_count : int
        Number of writes under this epoch; part of the nonce.
    dirty : bool
        Whether the stored object may list orders that have ended, or must be written again.
    call_since : float or None
        When the platform call that is under way was made; None if none is.
    next_call_at : float
        No call is made before this time.
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


def prune_and_check_open_orders(
    orders: dict[str, OpenOrder], at: float, base: str | None = None
) -> bool:
    """Remove orders that can no longer be applied from ``orders``; return whether any is left.

    Parameters
    ----------
    base : str or None
        Only orders of this base model count; None counts all.
    """
    for order_id in [order_id for order_id, order in orders.items() if at > order.may_apply_until]:
        del orders[order_id]
    return any(base in (None, order.base) for order in orders.values())
