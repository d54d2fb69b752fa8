"""Which endpoint a request goes to.

An adapter has one home over all engines of both regions: the first sound engine of its ranking,
by hash, that has room. Its fetch from the weight store is paid once, its prompts are read once, and
when it made way there it comes back from the engine's memory. Another engine gets it only when the
backlog at those that hold it would cost callers more than a fetch. This answers loads with a few
hot adapters and a long tail of cold ones, and heavy days on which all places are in use at times.
"""

from __future__ import annotations

from attrs import frozen

from poplarhoist.decisions.gateway.endpoints import usable
from poplarhoist.decisions.gateway.hashing import weight
from poplarhoist.decisions.gateway.limits import (
    CROSS_REGION_S,
    PREFILL_TOKENS_PER_S,
    STEP_S,
    USE_STALE_S,
)
from poplarhoist.decisions.gateway.models import AdapterKey, Prompt
from poplarhoist.decisions.gateway.state import EndpointView, GatewayState, RequestState

# Seconds for which the load that an endpoint told with an answer counts.
TOLD_FRESH_S = 1.0
# Seconds by pair of tokens of a prompt; half of what the site files tell for a pair.
ATTENTION_S = 0.37e-9
# Seconds that one more running request at an engine adds to the time of the others, for a
# stream of usual length; from the step time by batch size of the sheet.
RUNNING_S = STEP_S * 2
# Cost of one request already at a plain service, in requests, for an endpoint in another zone
# or region; a crossing costs less than a request's work time.
CROSS_ZONE_LOAD = 0.2
CROSS_REGION_LOAD = 2.5
# Seconds that a moving share of failures of one costs an engine.
ERROR_COST_S = 1.2
# Requests that an endpoint's moving share of failures counts as.
ERROR_LOAD = 20.0
# Costs, in seconds of waiting, of an adapter that is not at an engine: on its way; in the engine's
# memory; to be fetched from the weight store at one of its homes, or at another engine. A fetch is
# priced like half a request, and a late request loses more than that.
COMING_S = 0.1
WARM_COST_S = 0.06
HOME_COST_S = 0.65
SECOND_HOME_S = 0.3
COLD_COST_S = 1.15
# Engines that are homes of an adapter; with two, the less busy one can be chosen.
HOMES = 2
# Engines of an adapter's ranking that are looked at besides those that have or had it; the least
# busy of a dozen is hardly busier than that of all.
CANDIDATES = 12
# Seconds until the runs of an older version have ended at an engine that holds it.
OLD_VERSION_S = 0.5
# Seconds until an engine whose places are all in use has one free; requests last two seconds.
PLACE_WAIT_S = 0.25
# Seconds for which a lead's word on what is coming, and on room, holds.
COMING_FRESH_S = 0.6
ROOM_FRESH_S = 1.0
# Seconds for which a prompt part is taken to stay in an engine's memory.
PART_KEPT_S = 15.0
# Parts remembered by engine; bounds memory.
PARTS_KEPT = 4096


@frozen
class Choice:
    """The endpoint for a request, and whether it has the adapter."""

    endpoint: EndpointView
    ready: bool


def ranking(state: GatewayState, service: str, key: AdapterKey) -> tuple[str, ...]:
    """Return the first engines of a service in the order in which they are homes of an adapter."""
    known = state.rankings.get((service, key))
    if known is None:
        names = state.endpoints_by_service.get(service, ())
        ordered = sorted(names, key=lambda name: -weight(str(key), name))
        known = state.rankings[service, key] = tuple(ordered[:CANDIDATES])
    return known


def required_version(state: GatewayState, key: AdapterKey, at: float) -> int:
    """Return the version below which no request may begin; 0 for any.

    An announced version is required only after a while, so that engines can fetch it meanwhile.
    """
    announced = state.versions.get(key)
    if announced is None or at - announced.at < state.limits.version_s * 0.4:
        return 0
    return announced.version


def holds(view: EndpointView, key: AdapterKey, version: int) -> bool:
    """Return whether an engine is believed to have an adapter in a version or a newer one."""
    held = view.held.get(key)
    return held is not None and held >= version


def unread_tokens(view: EndpointView, prompt: Prompt, at: float) -> int:
    """Return the prompt tokens that an engine would have to read."""
    unread = prompt.tokens - sum(part.tokens for part in prompt.parts)
    missing = False
    for part in prompt.parts:
        seen_at = view.parts.get((prompt.key, part.name), float("-inf"))
        missing = missing or at - seen_at > PART_KEPT_S
        if missing:
            unread += part.tokens
    return max(0, unread)


def note_sent(view: EndpointView, prompt: Prompt, at: float) -> None:
    """Remember the parts of a prompt that an engine is about to read."""
    for part in prompt.parts:
        view.parts[prompt.key, part.name] = at
    while len(view.parts) > PARTS_KEPT:
        del view.parts[next(iter(view.parts))]


def reading_s(tokens: int) -> float:
    """Return how long an engine reads a prompt: attention grows with the square of its length."""
    return tokens / PREFILL_TOKENS_PER_S + ATTENTION_S * tokens * tokens


def backlog_s(view: EndpointView, at: float) -> float:
    """Return how long a new request would wait at an engine before it is read."""
    unread = sum(view.unread_tokens.values())
    running = len(view.running)
    if view.view is not None and at - view.view_at < USE_STALE_S:
        told = view.view
        sent = view.use_sent
        unread += max(0, told.prefill_tokens - (sent.prefill_tokens if sent else 0))
        running += max(0, told.running - (sum(sent.running.values()) if sent else 0))
    if at - view.told_at < TOLD_FRESH_S:
        running = max(running, view.told_load)
    return reading_s(unread) + running * RUNNING_S


def crossing_s(state: GatewayState, view: EndpointView) -> float:
    """Return the time that the way to an endpoint and back takes beyond that within a region."""
    if state.regions.get(view.record.zone) == state.regions.get(state.zone):
        return 0.0
    return CROSS_REGION_S


def cost_s(state: GatewayState, view: EndpointView, prompt: Prompt, at: float) -> float:
    """Return the expected time to the first byte at an engine that has the adapter."""
    reading = reading_s(unread_tokens(view, prompt, at))
    trouble = view.error_rate * ERROR_COST_S
    return backlog_s(view, at) + reading + crossing_s(state, view) + trouble


def choose_engine(state: GatewayState, request: RequestState, at: float) -> Choice | None:
    """Return the engine for a model request; None if none has the base model."""
    prompt = request.prompt
    model = AdapterKey(prompt.key.model)
    views = usable(state, request.service, request.avoid, at)
    views = [view for view in views if model in view.held]
    if not views:
        return None
    if not prompt.key.adapter:
        return Choice(min(views, key=lambda view: cost_s(state, view, prompt, at)), True)
    return choose_holder(state, request, views, at)


def choose_holder(state, request: RequestState, views, at: float) -> Choice:
    """Return the engine at which an adapter costs callers least: held, kept in memory, or cold.

    Among many engines only those are looked at that have or had the adapter, and the first of its
    ranking, so that the time for a choice hardly grows with the number of engines.
    """
    prompt = request.prompt
    key = prompt.key
    version = required_version(state, key, at)
    ranks = {name: rank for rank, name in enumerate(ranking(state, request.service, key))}
    near = [
        view
        for view in views
        if view.record.name in ranks
        or key in view.held
        or key in view.warm
        or is_coming(view, key, at)
    ] or views
    options: list[tuple[float, int, EndpointView, bool]] = []
    for view in near:
        rank = ranks.get(view.record.name, CANDIDATES)
        cost = cost_s(state, view, prompt, at)
        if holds(view, key, version):
            options.append((cost, rank, view, True))
        elif is_coming(view, key, at):
            options.append((cost + COMING_S, rank, view, False))
        elif at >= view.no_orders_until:
            wait_s = 0.0 if has_room(state, view, at) else place_wait_s(state, view)
            if key in view.held:
                wait_s += OLD_VERSION_S
            cost += fetch_cost_s(view, key, rank) + wait_s
            options.append((cost, rank, view, False))
    if not options:
        # No lead answers; the request waits at its home until one does.
        home = min(near, key=lambda view: ranks.get(view.record.name, CANDIDATES))
        return Choice(home, False)
    _, _, best, ready = min(options, key=lambda option: option[:2])
    return Choice(best, ready)


def fetch_cost_s(view: EndpointView, key: AdapterKey, rank: int) -> float:
    """Return what it costs, in seconds of waiting, to bring an adapter to an engine.

    It is cheap where the engine is known to have it in memory. Its homes are the first engines of
    its ranking: there it is likely to be in memory, as all entries prefer them.
    """
    if key in view.warm:
        return WARM_COST_S
    if rank < HOMES:
        return HOME_COST_S + rank * SECOND_HOME_S
    return COLD_COST_S


def place_wait_s(state: GatewayState, view: EndpointView) -> float:
    """Return how long an adapter would wait for a place at an engine that has none free."""
    behind = max(0, -view.view.room) if view.view is not None else 0
    return PLACE_WAIT_S * (1 + asked_since(state, view) + behind)


def rooms(state: GatewayState, request: RequestState, at: float) -> dict[str, object]:
    """Return what is known of places for a waiting request, for the logs."""
    if not request.asked:
        return {}
    found = {}
    for name in state.endpoints_by_service.get(request.service, ()):
        view = state.endpoints[name]
        told = view.view
        found[name] = [told.room, round(at - view.view_at, 2)] if told is not None else None
    return {"rooms": found}


def asked_since(state: GatewayState, view: EndpointView) -> int:
    """Return the adapters that this entry has asked for since the lead's latest word."""
    return sum(
        1
        for ask in state.asks.values()
        if ask.engine == view.record.name and ask.sent_at > view.view_at
    )


def is_coming(view: EndpointView, key: AdapterKey, at: float) -> bool:
    """Return whether an adapter is on its way to an engine."""
    fresh = view.view is not None and at - view.view_at < COMING_FRESH_S
    return fresh and str(key) in view.view.coming


def has_room(state: GatewayState, view: EndpointView, at: float) -> bool:
    """Return whether an engine may get another adapter now."""
    if at < view.no_orders_until:
        return False
    if view.view is None or at - view.view_at > ROOM_FRESH_S:
        return True
    return view.view.room > asked_since(state, view)


def choose_plain(state: GatewayState, request: RequestState, at: float) -> EndpointView | None:
    """Return the least loaded endpoint of a plain service."""
    views = usable(state, request.service, request.avoid, at)
    if not views:
        return None
    entries = max(1, len(state.entries))

    def load(view: EndpointView) -> float:
        told = view.told_load if at - view.told_at < TOLD_FRESH_S else 0
        running = max(len(view.running) * min(entries, 3), told)
        away = 0.0
        if view.record.zone != state.zone:
            away = CROSS_REGION_LOAD if crossing_s(state, view) else CROSS_ZONE_LOAD
        return running + away + view.error_rate * ERROR_LOAD

    lowest = min(load(view) for view in views)
    return state.random.choice([view for view in views if load(view) <= lowest + 1e-9])
