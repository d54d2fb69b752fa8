"""Looks for a free adapter slot at further engines when the asked engine has none.

Answers a load that uses most of the adapter slots of uneven engines: the first engines of an
adapter's ranking are full while others have free slots, and a request that waits for its first
engine is refused although one of these would have served it in time. The search ends after a few
engines, so that requests do not go round when all are full.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway import leads
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import AskWithdrawn
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.routing import Choice
from poplarhoist.decisions.gateway.state import GatewayState, PendingAsk

# Engines that a request asks for a slot. A question and its answer take up to 0.06 s, and a request
# is refused after a quarter of its latency target, 0.26 s for the streams of both sites.
MAX_ASKED_ENGINES = 4


def is_in_force(state: GatewayState, engine: str) -> bool:
    """Return whether the engine tells its pace, as uneven engines do."""
    endpoint = state.endpoints.get(engine)
    return endpoint is not None and endpoint.pace.is_told


def may_move_at_once(state: GatewayState, request: RequestState, choice: Choice) -> bool:
    """Return whether a request leaves a full engine without waiting there."""
    name = choice.endpoint.record.name
    if not is_in_force(state, request.asked_engine):
        return False
    if choice.has_adapter:
        return True
    return name not in request.asked_engines and len(request.asked_engines) < MAX_ASKED_ENGINES


def withdraw_ask(state: GatewayState, pending: PendingAsk, at: float, effects: list) -> None:
    """Tell the lead of an engine that nobody here waits for an adapter there any more.

    Otherwise the lead loads it for nobody, or counts it among the demands for half a second, so that
    its engine looks fuller than it is.
    """
    lead = leads.lead_of(state, pending.engine)
    if not is_in_force(state, pending.engine) or not lead or leads.is_silent(state, lead, at):
        return
    key = pending.key
    effects.append(SendPeer(lead, AskWithdrawn(pending.engine, key.model, key.adapter)))
    effects.append(Count("ask_withdrawn"))


def on_withdrawn(state: GatewayState, sender: str, message: AskWithdrawn) -> None:
    """Forget the demand of an entry for an adapter that is not loading yet."""
    table = state.slot_tables.get(message.engine)
    key = AdapterKey(message.model, message.adapter)
    demand = table.demands.get(key) if table is not None else None
    if demand is None or key in table.loading:
        return
    demand.entries.discard(sender)
    if not demand.entries:
        del table.demands[key]
