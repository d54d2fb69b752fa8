"""Many entries on a virtual clock, of which some lose their links to all engines."""

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import links, messages
from tests.engine_site import EngineSite, SentRequest
from tests.gateway import effects_of

# The users' bounds; see test_gateway_cut_off_end_to_end.py.
COUNTED_AFTER_S = 4.0
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
LEAST_RATIO = 2 / 3
CUT_S = 10.0
# Seconds between two requests of all callers together, and the longest time that one runs.
REQUEST_INTERVAL_S = 0.02
RUN_S = 3.0
MAX_ATTEMPTS = 3


def played_site(entry_count: int, cut_count: int, cut_kind: str) -> tuple[EngineSite, list]:
    """Let entries lose their links for a while, under load; return the site and all requests."""
    site = EngineSite(entry_count, 6)
    requests = site.send_steadily(REQUEST_INTERVAL_S, "shared")
    site.run(3.0)
    site.cut_kind = cut_kind
    site.without_links = set(site.names[:cut_count])
    site.run(CUT_S)
    return site, requests


def served_share(requests: list[SentRequest]) -> float:
    """Return the share of requests that got a whole response."""
    return sum(request.is_done for request in requests) / len(requests)


def counted_requests(
    site: EngineSite, requests: list[SentRequest]
) -> tuple[list[SentRequest], list[SentRequest]]:
    """Let what runs end; return the requests that count, at entries without links and at others."""
    began_at = site.at - CUT_S
    site.run(RUN_S)
    counted = [r for r in requests if began_at + COUNTED_AFTER_S < r.at < began_at + CUT_S]
    cut_off = [request for request in counted if request.entry in site.without_links]
    return cut_off, [request for request in counted if request.entry not in site.without_links]


CASES = pytest.mark.parametrize(
    ("entry_count", "cut_count"), [(3, 1), (3, 2), (9, 3), (9, 6), (9, 8), (40, 13), (40, 39)]
)


@CASES
@pytest.mark.parametrize("cut_kind", ["refused", "hang", "silent"])
def test_callers_of_entries_without_links_are_served(entry_count, cut_count, cut_kind):
    site, requests = played_site(entry_count, cut_count, cut_kind)
    cut_off, others = counted_requests(site, requests)
    failures = [request for request in cut_off if not request.is_done]
    assert served_share(cut_off) >= LEAST_RATIO * served_share(others)
    assert len(failures) <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(cut_off)
    assert max(len(request.reached_at) for request in requests) <= MAX_ATTEMPTS


def test_mutant_that_does_not_mind_silence_is_noticed(monkeypatch):
    monkeypatch.setattr(links, "are_silent", lambda state, at: False)
    cut_off, others = counted_requests(*played_site(9, 3, "silent"))
    assert served_share(cut_off) < LEAST_RATIO * served_share(others)


@CASES
def test_helpers_share_the_requests_and_messages_stay_few(entry_count, cut_count):
    site, requests = played_site(entry_count, cut_count, "refused")
    relays = [name for name, _ in site.relays]
    helpers = [name for name in site.names if name not in site.without_links]
    assert set(relays) <= set(helpers)
    shares = [relays.count(name) for name in helpers]
    assert max(shares) <= 2 * (sum(shares) / len(shares)) + 5
    entry = site.entries[site.names[0]]
    told = [
        effect
        for effect in effects_of(fx.SendPeer, entry.effects)
        if isinstance(effect.message, messages.LinksChanged)
    ]
    # Once a second to each other entry, less often with many entries.
    assert 0 < len(told) <= (CUT_S + 2) * (entry_count - 1) / max(1.0, entry_count / 12)


@CASES
@pytest.mark.parametrize("cut_kind", ["hang", "silent"])
def test_entries_use_their_links_again_once_they_are_back(entry_count, cut_count, cut_kind):
    site, requests = played_site(entry_count, cut_count, cut_kind)
    site.without_links = set()
    site.run(2.0)
    relayed_before = len([e for name in site.names for e in relayed_effects(site, name)])
    site.run(5.0)
    assert len([e for name in site.names for e in relayed_effects(site, name)]) == relayed_before
    late = [request for request in requests if site.at - 5.0 < request.at < site.at - RUN_S]
    assert served_share(late) == 1.0


def relayed_effects(site: EngineSite, name: str) -> list[fx.Dispatch]:
    """Return the requests that an entry has sent to others."""
    dispatches = effects_of(fx.Dispatch, site.entries[name].effects)
    return [dispatch for dispatch in dispatches if dispatch.relay is not None]
