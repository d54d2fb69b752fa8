"""Selects the endpoint of a request.

Each adapter has preferred engines among the engines of both regions: the first two of its
rendezvous ranking. Normally it is loaded at the first healthy one with headroom. The adapter is
then fetched from the weight store once, its prompt prefixes are prefilled once, and after an
eviction it is reloaded from that engine's warm cache. Another engine loads the adapter only when
the backlog at the engines that hold it would cost callers more than a load. This suits a load of a
few hot adapters with a long tail of cold ones, and a peak load that fills all adapter slots at
times.
"""

from __future__ import annotations

from attrs import frozen

from poplarhoist.decisions.gateway import adapter_versions, expected_waits, paces
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.endpoints import usable_endpoints
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.limits import (
    DECODE_STEP_S,
    PREFILL_TOKENS_PER_S,
    USAGE_STALE_S,
)
from poplarhoist.decisions.gateway.models import AdapterKey, Prompt
from poplarhoist.decisions.gateway.regions import cross_region_s
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds for which the load in an endpoint's response stays valid.
LOAD_REPORT_FRESH_S = 1.0
# Seconds of attention per pair of prompt tokens; half of the site file's figure, as the square of
# the prompt's length counts every pair twice.
ATTENTION_S_PER_TOKEN_PAIR = 0.37e-9
# Seconds that each running request at an engine adds to the latency of the others. Over a stream of
# usual length that is about two decode steps, according to the data sheet's decode step time by
# batch size.
LATENCY_S_PER_RUNNING_REQUEST = DECODE_STEP_S * 2
# Load added to an endpoint of a plain service in another zone or another region, in requests;
# crossing costs less than the work of a request.
CROSS_ZONE_LOAD = 0.2
CROSS_REGION_LOAD = 2.5
# Seconds added to the cost of an engine with an error rate of 1.
ERROR_COST_S = 1.2
# Requests added to the load of a plain endpoint with an error rate of 1.
ERROR_LOAD = 20.0
# The next five are penalties, in seconds of waiting, for an engine that does not hold the adapter.
# Those of a fetch from the weight store exceed its duration, since each fetch is billed like half a
# request. They stay low enough that a fetch is preferred to a late request, which loses more.
# Penalty while the engine is loading the adapter.
LOADING_COST_S = 0.1
# Penalty of a reload from the engine's warm cache.
WARM_COST_S = 0.06
# Penalty of a fetch at the first preferred engine, and its increase with each further rank.
PREFERRED_COST_S = 0.65
PREFERRED_RANK_COST_S = 0.3
# Penalty of a fetch at any other engine.
COLD_COST_S = 1.15
# Penalty of an engine that has told that it is full; a fetch at another engine is preferred to it.
FULL_COST_S = COLD_COST_S + 0.5
# Penalty of an engine without a free slot that the request has asked already; a fetch at any engine
# that may have one is preferred.
ASKED_COST_S = COLD_COST_S
# Number of preferred engines of an adapter; with two, the less busy one can be chosen.
PREFERRED_ENGINE_COUNT = 2
# Engines of an adapter's ranking that are considered besides those that hold or held it; the least
# busy of twelve is hardly busier than the least busy of all.
MAX_RANKED_ENGINES = 12
# Expected wait in seconds, at an engine that holds an older version of the adapter, until the
# requests on that version have ended and the newer one can be loaded.
VERSION_SWAP_S = 0.5
# Seconds until an engine whose slots are all in use has a free one. Requests take two seconds, so
# of eight slots one becomes free every 0.25 s.
SLOT_WAIT_S = 0.25
# Maximum age in seconds of a View that tells which adapters are loading, and of one that tells the
# headroom.
LOADING_FRESH_S = 0.6
HEADROOM_FRESH_S = 1.0
# Seconds for which a prefix segment is assumed to stay in an engine's prefix cache.
PREFIX_CACHE_S = 15.0
# Prefix segments remembered per engine; bounds memory.
MAX_TRACKED_SEGMENTS = 4096


@frozen
class Choice:
    """The endpoint selected for a request, and whether it holds the adapter."""

    endpoint: EndpointState
    has_adapter: bool


def adapter_ranking(state: GatewayState, service: str, key: AdapterKey) -> tuple[str, ...]:
    """Return the first engines of a service in the adapter's rendezvous order, best first."""
    cached = state.rankings.get((service, key))
    if cached is None:
        names = state.endpoints_by_service.get(service, ())
        ordered = rendezvous_order(str(key), names)
        cached = state.rankings[service, key] = tuple(ordered[:MAX_RANKED_ENGINES])
    return cached


def expected_version(
    state: GatewayState, endpoint: EndpointState, request: RequestState, at: float
) -> int:
    """Return the version that an engine must have to run a request; 0 for any.

    The engine compares for equality, so that it is the one that it is believed to hold, if that is
    newer than the required one.
    """
    required = adapter_versions.required_version(state, request, at)
    return max(required, endpoint.held.get(request.prompt.key, 0)) if required else 0


def has_version(endpoint: EndpointState, key: AdapterKey, version: int) -> bool:
    """Return whether an engine is believed to hold an adapter in this version or a newer one."""
    held = endpoint.held.get(key)
    return held is not None and held >= version


def uncached_prompt_tokens(endpoint: EndpointState, prompt: Prompt, at: float) -> int:
    """Return the prompt tokens that an engine would have to prefill.

    After the first segment that is no longer cached all later segments count too.
    """
    uncached = prompt.tokens - sum(segment.tokens for segment in prompt.prefix_segments)
    is_miss = False
    for segment in prompt.prefix_segments:
        sent_at = endpoint.segment_sent_at.get((prompt.key, segment.name), float("-inf"))
        is_miss = is_miss or at - sent_at > PREFIX_CACHE_S
        if is_miss:
            uncached += segment.tokens
    return max(0, uncached)


def record_sent_segments(endpoint: EndpointState, prompt: Prompt, at: float) -> None:
    """Record that the prefix segments of a prompt are sent to an engine."""
    for segment in prompt.prefix_segments:
        endpoint.segment_sent_at[prompt.key, segment.name] = at
    while len(endpoint.segment_sent_at) > MAX_TRACKED_SEGMENTS:
        del endpoint.segment_sent_at[next(iter(endpoint.segment_sent_at))]


def record_sent(endpoint: EndpointState, request: RequestState, at: float) -> None:
    """Record a model request that is sent to an engine, among its requests in flight already."""
    prompt = request.prompt
    uncached_tokens = uncached_prompt_tokens(endpoint, prompt, at)
    if endpoint.pace.is_told:
        tokens, in_flight = backlog(endpoint, at)
        request.forecast = paces.Forecast(
            prefill_s(uncached_tokens),
            prefill_s(tokens),
            (in_flight - 1) * LATENCY_S_PER_RUNNING_REQUEST,
        )
    endpoint.prefill_tokens_by_request[request.request_id] = uncached_tokens
    record_sent_segments(endpoint, prompt, at)


def prefill_s(tokens: int) -> float:
    """Return the prefill time of a prompt in seconds.

    The attention part grows with the square of the prompt's length.
    """
    return tokens / PREFILL_TOKENS_PER_S + ATTENTION_S_PER_TOKEN_PAIR * tokens * tokens


def backlog(endpoint: EndpointState, at: float) -> tuple[int, int]:
    """Return the prompt tokens and the requests before a new request at an engine.

    The requests of other entries are taken from the lead's latest View, less what this entry had
    reported to the lead itself.
    """
    prefill_tokens = sum(endpoint.prefill_tokens_by_request.values())
    in_flight = len(endpoint.in_flight)
    if endpoint.lead_view is not None and at - endpoint.lead_view_at < USAGE_STALE_S:
        lead_view = endpoint.lead_view
        sent_usage = endpoint.sent_usage
        prefill_tokens += max(
            0, lead_view.prefill_tokens - (sent_usage.prefill_tokens if sent_usage else 0)
        )
        in_flight += max(
            0, lead_view.running - (sum(sent_usage.running.values()) if sent_usage else 0)
        )
    if at - endpoint.load_reported_at < LOAD_REPORT_FRESH_S:
        in_flight = max(in_flight, endpoint.reported_load)
    return prefill_tokens, in_flight


def backlog_s(endpoint: EndpointState, at: float) -> float:
    """Return how many seconds a new request would wait at an engine before its prefill."""
    tokens, in_flight = backlog(endpoint, at)
    latency_s = in_flight * LATENCY_S_PER_RUNNING_REQUEST
    return paces.engine_s(endpoint.pace, prefill_s(tokens), latency_s, at)


def backlog_log_fields(endpoint: EndpointState, at: float) -> dict[str, object]:
    """Return log fields with what is believed of the queue and the pace of an endpoint."""
    return {
        "backlog_s": round(backlog_s(endpoint, at), 4),
        "view_age_s": round(min(at - endpoint.lead_view_at, 999.0), 2),
        **paces.log_fields(endpoint.pace, at),
    }


def cost_s(state: GatewayState, endpoint: EndpointState, prompt: Prompt, at: float) -> float:
    """Return the cost, in seconds, of a request at an engine that holds the adapter.

    It is the expected time to the first byte, with penalties for the engine's error rate, and for an
    engine that is full.
    """
    error_cost_s = endpoint.error_rate * ERROR_COST_S
    full_cost_s = FULL_COST_S if paces.is_full(endpoint.pace, at) else 0.0
    return first_byte_s(state, endpoint, prompt, at) + error_cost_s + full_cost_s


def first_byte_s(state: GatewayState, endpoint: EndpointState, prompt: Prompt, at: float) -> float:
    """Return the expected seconds to the first byte at an engine that holds the adapter."""
    own_prefill_s = prefill_s(uncached_prompt_tokens(endpoint, prompt, at))
    own_prefill_s = paces.engine_s(endpoint.pace, own_prefill_s, 0.0, at)
    crossing_s = cross_region_s(state, endpoint.record.zone)
    return backlog_s(endpoint, at) + own_prefill_s + crossing_s


def newer_version_needed(
    state: GatewayState, request: RequestState, endpoint: EndpointState, at: float
) -> int:
    """Return the version that a request needs, as it may begin too late at an engine; else 0."""
    prompt = request.prompt
    latest = state.announced_versions.get(prompt.key) if prompt is not None else None
    if latest is None or has_version(endpoint, prompt.key, latest.version):
        return 0
    held = endpoint.held.get(prompt.key, 0)
    expected_s = first_byte_s(state, endpoint, prompt, at)
    return adapter_versions.newer_version_needed(state, prompt.key, held, expected_s, at)


def choose_engine(state: GatewayState, request: RequestState, at: float) -> Choice | None:
    """Return the engine for a model request; None if no usable engine holds the base model."""
    prompt = request.prompt
    base_model = AdapterKey(prompt.key.model)
    candidates = usable_endpoints(state, request, at)
    candidates = [endpoint for endpoint in candidates if base_model in endpoint.held]
    if not candidates:
        return None
    if not prompt.key.adapter:
        return Choice(
            min(candidates, key=lambda endpoint: cost_s(state, endpoint, prompt, at)), True
        )
    return choose_for_adapter(state, request, candidates, at)


def choose_for_adapter(state, request: RequestState, endpoints, at: float) -> Choice:
    """Return the engine with the lowest expected cost for a request with an adapter.

    Engines that hold the adapter are compared with engines that have to load it. Among many engines
    only those are considered that hold or held the adapter, and the first of its ranking, so that
    the time of a choice hardly grows with the number of engines.
    """
    prompt = request.prompt
    key = prompt.key
    version = adapter_versions.required_version(state, request, at)
    ranks = {name: rank for rank, name in enumerate(adapter_ranking(state, request.service, key))}
    candidates = [
        endpoint
        for endpoint in endpoints
        if endpoint.record.name in ranks
        or key in endpoint.held
        or key in endpoint.warm_adapters
        or is_loading(endpoint, key, at)
    ] or endpoints
    options: list[tuple[float, int, EndpointState, bool]] = []
    for endpoint in candidates:
        rank = ranks.get(endpoint.record.name, MAX_RANKED_ENGINES)
        cost = cost_s(state, endpoint, prompt, at)
        if has_version(endpoint, key, version):
            options.append((cost, rank, endpoint, True))
        elif is_loading(endpoint, key, at):
            options.append((cost + LOADING_COST_S, rank, endpoint, False))
        elif at >= endpoint.no_asks_until:
            wait_s = 0.0 if has_headroom(state, endpoint, at) else slot_wait_s(state, endpoint)
            if wait_s and endpoint.pace.is_told and endpoint.record.name in request.asked_engines:
                wait_s += ASKED_COST_S
            if key in endpoint.held:
                wait_s += VERSION_SWAP_S
            cost += load_cost_s(endpoint, key, rank) + wait_s
            options.append((cost, rank, endpoint, False))
    if not options:
        # No lead answers; the request waits at its preferred engine until one does.
        preferred = min(
            candidates, key=lambda endpoint: ranks.get(endpoint.record.name, MAX_RANKED_ENGINES)
        )
        return Choice(preferred, False)
    _, _, best, ready = min(options, key=lambda option: option[:2])
    return Choice(best, ready)


def load_cost_s(endpoint: EndpointState, key: AdapterKey, rank: int) -> float:
    """Return the penalty, in seconds of waiting, of loading an adapter at an engine.

    It is low if the engine is known to have the adapter in its warm cache; one that holds an older
    version has to fetch the newer one. At the preferred engines it is lower than elsewhere: the adapter
    is likely to be in the warm cache there, as all entries prefer them.
    """
    if key in endpoint.warm_adapters and key not in endpoint.held:
        return WARM_COST_S
    if rank < PREFERRED_ENGINE_COUNT:
        return PREFERRED_COST_S + rank * PREFERRED_RANK_COST_S
    return COLD_COST_S


def slot_wait_s(state: GatewayState, endpoint: EndpointState) -> float:
    """Return how many seconds an adapter would wait for a slot at an engine without a free one."""
    excess_demands = max(0, -endpoint.lead_view.room) if endpoint.lead_view is not None else 0
    wait_s = SLOT_WAIT_S * (1 + count_asks_since_view(state, endpoint) + excess_demands)
    return wait_s * paces.factor(endpoint.pace, state.last_event_at)


def headroom_log_fields(state: GatewayState, request: RequestState, at: float) -> dict[str, object]:
    """Return log fields with the headroom at the asked engine, and how many engines have any.

    They are empty for a request that has asked no engine, and do not grow with the engines.
    """
    if not request.asked_engine:
        return {}
    names = state.endpoints_by_service.get(request.service, ())
    fields: dict[str, object] = {
        "engines": len(names),
        "with_room": sum(has_headroom(state, state.endpoints[name], at) for name in names),
    }
    asked = state.endpoints.get(request.asked_engine)
    if asked is not None and asked.lead_view is not None:
        fields |= {"room": asked.lead_view.room, "view_age_s": round(at - asked.lead_view_at, 2)}
    return fields


def count_asks_since_view(state: GatewayState, endpoint: EndpointState) -> int:
    """Return the number of this entry's asks for an engine since the lead's latest View."""
    return sum(
        1
        for ask in state.pending_asks.values()
        if ask.engine == endpoint.record.name and ask.sent_at > endpoint.lead_view_at
    )


def is_loading(endpoint: EndpointState, key: AdapterKey, at: float) -> bool:
    """Return whether a fresh View says that an engine is loading an adapter."""
    is_fresh = endpoint.lead_view is not None and at - endpoint.lead_view_at < LOADING_FRESH_S
    return is_fresh and str(key) in endpoint.lead_view.coming


def has_headroom(state: GatewayState, endpoint: EndpointState, at: float) -> bool:
    """Return whether an engine can load another adapter now.

    Without a fresh View it is assumed to, unless its lead is silent.
    """
    if at < endpoint.no_asks_until:
        return False
    if endpoint.lead_view is None or at - endpoint.lead_view_at > HEADROOM_FRESH_S:
        return True
    return endpoint.lead_view.room > count_asks_since_view(state, endpoint)


def choose_plain_endpoint(
    state: GatewayState,
    request: RequestState,
    at: float,
    candidates: list[EndpointState] | None = None,
) -> EndpointState | None:
    """Return the least loaded endpoint of a plain service, at random among equals; None if none.

    Where endpoints tell their pace, one is drawn by the expected waits. Without `candidates`, all
    usable ones are considered.
    """
    if candidates is None:
        candidates = usable_endpoints(state, request, at)
    if not candidates:
        return None
    if any(endpoint.pace.is_told for endpoint in candidates):
        return expected_waits.choose_plain(state, candidates, at)
    entries = max(1, len(state.entries))

    def effective_load(endpoint: EndpointState) -> float:
        reported = (
            endpoint.reported_load if at - endpoint.load_reported_at < LOAD_REPORT_FRESH_S else 0
        )
        # Other entries send it requests too; up to three entries are assumed to send as many.
        in_flight = max(len(endpoint.in_flight) * min(entries, 3), reported)
        distance_load = 0.0
        if endpoint.record.zone != state.zone:
            distance_load = (
                CROSS_REGION_LOAD
                if cross_region_s(state, endpoint.record.zone)
                else CROSS_ZONE_LOAD
            )
        return in_flight + distance_load + endpoint.error_rate * ERROR_LOAD

    lowest_load = min(effective_load(endpoint) for endpoint in candidates)
    return state.random.choice(
        [endpoint for endpoint in candidates if effective_load(endpoint) <= lowest_load + 1e-9]
    )
