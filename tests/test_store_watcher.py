"""Watching the store: few calls while it is unreachable, and notices from peers about changes.

A peer's notice makes up for a change that this entry's own watch has missed.
"""

import random
from collections import Counter

import eventlet
import pytest

from poplarhoist.clock import SuspendAwareClock
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.decisions.gateway.gossip import (
    FRESH_READERS,
    GOSSIP_FANOUT,
    Freshness,
    needs_fresh_watch,
)
from poplarhoist.decisions.gateway.models import ServiceVersion
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.reducer import reduce
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics
from poplarhoist.gateway.interfaces import StoreChanges, WatchSpec
from poplarhoist.gateway.store_watcher import PEER_NOTICE_DELAY_S, StoreWatcher
from tests.gateway import Gateway, configuration, effects_of

PROBE_SPEC = WatchSpec("endpoints", long_poll_s=0.2, probes_store=True)
NOTIFYING_SPEC = WatchSpec("configuration", Freshness.SHARED, long_poll_s=1.0, notifies_peers=True)
PLAIN_SPEC = WatchSpec("leads", long_poll_s=0.2)


class StubStore:
    """A store whose watches time out, fail, or show one change if they begin after it.

    Attributes
    ----------
    calls, fresh_calls : Counter
        Watches by kind, and those of them that must be up to date.
    unavailable, failing_kinds : bool, set
        Whether watches are refused, and kinds of which they are.
    errors : list
        Exceptions that the next watches of the kind that notifies peers raise.
    latest_revision : int
        Revision of the change to the kind that notifies peers; 0 for none.
    watch_waits_s : list
        Long polls of the watches that found no change.
    response_s : float
        Seconds from the head to the end of a response that shows the change.
    """

    watch_specs = (PROBE_SPEC, NOTIFYING_SPEC, PLAIN_SPEC)
    generation = 0

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.fresh_calls: Counter[str] = Counter()
        self.unavailable = False
        self.failing_kinds: set[str] = set()
        self.errors: list[Exception] = []
        self.latest_revision = 0
        self.watch_waits_s: list[float] = []
        self.response_s = 0.0

    def read_all(self, kind: str, on_begun=None) -> StoreChanges:
        """Return an empty list at revision 1."""
        return StoreChanges(CallStatus.OK, Position(0, 1))

    def watch(
        self, spec: WatchSpec, since: Position, fresh: bool, on_begun=lambda: None
    ) -> StoreChanges:
        """Wait for changes of a kind; a watch that waits already or is stale shows no change."""
        self.calls[spec.kind] += 1
        self.fresh_calls[spec.kind] += fresh
        if self.unavailable or spec.kind in self.failing_kinds:
            eventlet.sleep(0.001)
            return StoreChanges(CallStatus.REFUSED)
        if spec.notifies_peers and self.errors:
            raise self.errors.pop()
        if fresh and spec.notifies_peers and self.latest_revision > since.revision:
            on_begun()
            eventlet.sleep(self.response_s)
            event = ev.ConfigurationSeen(0.0, configuration(self.latest_revision))
            latest = Position(0, self.latest_revision)
            return StoreChanges(CallStatus.OK, latest, latest, (event,))
        self.watch_waits_s.append(spec.long_poll_s)
        eventlet.sleep(spec.long_poll_s)
        return StoreChanges(CallStatus.OK, since)

    def register(self, name: str, zone: str, host: str, port: int, relay_port: int) -> CallStatus:
        """Accept the record of this entry."""
        return CallStatus.OK

    def write_software(self, service_version: ServiceVersion) -> CallStatus:
        """Accept the record of a software version."""
        return CallStatus.OK

    def claim(self, claim: fx.Claim):
        """Accept a claim to lead an engine."""
        return CallStatus.OK, Position(0, 2), None


@pytest.fixture
def build_watcher():
    """Return a function that starts a watcher among a number of entries."""

    def build(entries: int) -> tuple[StubStore, DecisionLoop]:
        store = StubStore()
        state = Gateway(peers=tuple(f"entry-{n}" for n in range(2, entries + 1))).state
        decision_loop = DecisionLoop(state, SuspendAwareClock(), Metrics(), "entry-1", reduce, ())
        decision_loop.set_handler(SendPeer, lambda effect: None)
        StoreWatcher(decision_loop, store).start("entry-1", "north-a", "10.0.2.1", 7000)
        eventlet.sleep(0.05)
        return store, decision_loop

    return build


def test_only_the_probing_kind_is_retried_while_the_store_is_unreachable(build_watcher):
    store, decision_loop = build_watcher(9)
    store.unavailable = True
    eventlet.sleep(0.7)
    assert decision_loop.state.store_unavailable
    store.calls.clear()
    eventlet.sleep(1.2)
    assert store.calls[PROBE_SPEC.kind] >= 1
    assert store.calls[NOTIFYING_SPEC.kind] == store.calls[PLAIN_SPEC.kind] == 0


def test_all_kinds_are_read_once_the_store_is_reachable_again(build_watcher):
    store, decision_loop = build_watcher(9)
    store.unavailable = True
    eventlet.sleep(0.7)
    store.unavailable = False
    store.latest_revision = 5
    store.calls.clear()
    with eventlet.Timeout(1.5):
        while decision_loop.state.configuration is None:
            eventlet.sleep(0.01)
    assert not decision_loop.state.store_unavailable


# The divisor 4 is FULL_RATE_READERS: up to that number of entries the long poll is not scaled.
@pytest.mark.parametrize(("entries", "longest_s"), [(4, 1.0), (9, 9 / 4), (64, 8.0)])
def test_long_polls_grow_with_the_number_of_entries(build_watcher, entries, longest_s):
    store, _ = build_watcher(entries)
    assert longest_s / 2 <= max(store.watch_waits_s) <= longest_s + 1e-9
    # Long polls of kinds that do not notify peers keep their length.
    assert min(store.watch_waits_s) <= 0.2 + 1e-9


def test_change_missed_by_the_watch_is_read_after_a_peers_notice(build_watcher):
    store, decision_loop = build_watcher(64)
    store.latest_revision = 5
    news = messages.News(NOTIFYING_SPEC.kind, 5)
    decision_loop.submit(ev.PeerMessageReceived(decision_loop.event_time(), "entry-2", news))
    eventlet.sleep(0.6)
    assert decision_loop.state.configuration.version == 5


@pytest.mark.parametrize("cause", ["notices", "failed-watches"])
def test_long_response_is_not_given_up_while_it_is_read(build_watcher, cause):
    """Each new watch reads the record from its beginning, so that it may never be read whole."""
    store, decision_loop = build_watcher(64)
    store.latest_revision, store.response_s = 5, 1.2
    at = decision_loop.event_time()
    decision_loop.submit(
        ev.PeerMessageReceived(at, "entry-2", messages.News(NOTIFYING_SPEC.kind, 5))
    )
    eventlet.sleep(PEER_NOTICE_DELAY_S + 0.1)
    store.calls.clear()
    for number in range(3, 8):
        if cause == "notices":
            news = messages.News(NOTIFYING_SPEC.kind, 5)
            at = decision_loop.event_time()
            decision_loop.submit(ev.PeerMessageReceived(at, f"entry-{number}", news))
        else:
            store.failing_kinds.add(PROBE_SPEC.kind)
        eventlet.sleep(0.25)
    assert decision_loop.state.configuration.version == 5
    assert store.calls[NOTIFYING_SPEC.kind] <= 1


@pytest.mark.parametrize("step", ["watch", "event"])
def test_exception_in_a_watch_does_not_end_it(build_watcher, step):
    store, decision_loop = build_watcher(64)
    reducer, failures = decision_loop.reducer, []

    def fail_once(state, event):
        if type(event) is ev.ConfigurationSeen and not failures:
            failures.append(event)
            raise OverflowError("too large")
        return reducer(state, event)

    if step == "event":
        decision_loop.reducer = fail_once
    else:
        store.errors.append(RecursionError("too deep"))
    for revision in (5, 6):
        store.latest_revision = revision
        news = messages.News(NOTIFYING_SPEC.kind, revision)
        decision_loop.submit(ev.PeerMessageReceived(decision_loop.event_time(), "entry-2", news))
        eventlet.sleep(1.2)
    assert failures or not store.errors
    assert decision_loop.state.configuration.version == 6


def test_notice_of_a_known_revision_causes_no_extra_call(build_watcher):
    store, decision_loop = build_watcher(64)
    store.calls.clear()
    decision_loop.submit(
        ev.PeerMessageReceived(
            decision_loop.event_time(), "entry-2", messages.News(PLAIN_SPEC.kind, 1)
        )
    )
    # At most three regular long polls of 0.2 s begin within 0.45 s.
    eventlet.sleep(0.45)
    assert store.calls[PLAIN_SPEC.kind] <= 3


@pytest.mark.parametrize(
    ("entries", "notified_peers"), [(3, 0), (9, 8), (64, GOSSIP_FANOUT), (350, GOSSIP_FANOUT)]
)
def test_each_entry_notifies_a_few_peers_of_a_change(entries, notified_peers):
    gateway = Gateway(peers=tuple(f"entry-{n}" for n in range(2, entries + 1)))
    sent = effects_of(
        fx.SendPeer,
        gateway.submit(ev.StoreChangesRead, kind="configuration", position=Position(0, 7)),
    )
    assert len({effect.peer for effect in sent}) == len(sent) == notified_peers
    assert all(effect.peer != "entry-1" for effect in sent)


# The share of up-to-date watches, at most, of an entry that leads no engine and of one that does.
@pytest.mark.parametrize(
    ("entries", "freshness", "share", "share_of_leads"),
    [
        (9, Freshness.SHARED, 1.0, 1.0),
        (9, Freshness.LEADS, 1.0, 1.0),
        (73, Freshness.SHARED, 12 / 73, 12 / 73),
        (195, Freshness.SHARED, 12 / 195, 12 / 195),
        (195, Freshness.LEADS, 0.0, 1.0),
        (195, Freshness.ALL, 1.0, 1.0),
        (195, Freshness.NONE, 0.0, 0.0),
    ],
)
def test_many_entries_share_the_up_to_date_watches(entries, freshness, share, share_of_leads):
    gateway = Gateway(peers=tuple(f"entry-{n}" for n in range(2, entries + 1)))
    for expected in (share, share_of_leads):
        fresh = sum(needs_fresh_watch(gateway.state, freshness) for _ in range(4000))
        assert fresh / 4000 == pytest.approx(expected, abs=0.03)
        gateway.state.pending_claims["e1"] = (1, 0.0)


def test_change_that_no_stale_watch_shows_reaches_all_entries_within_two_seconds():
    """Only entries with an up-to-date watch see the change; the others are told, and read it."""
    rng, names = random.Random(1), [f"entry-{n}" for n in range(1, 196)]
    entries = {}
    for name in names:
        entries[name] = Gateway(name, tuple(peer for peer in names if peer != name))
        entries[name].state.random.seed(name)
    # Three quarters of the entries with up-to-date watches are cut off from the store.
    readers = rng.sample(names, FRESH_READERS // 4)
    known_at = dict.fromkeys(readers, 0.0)
    pending = [(0.0, name) for name in readers]
    while pending:
        pending.sort()
        at, name = pending.pop(0)
        sent = entries[name].submit(
            ev.StoreChangesRead, kind="configuration", position=Position(0, 7)
        )
        for peer in {effect.peer for effect in effects_of(fx.SendPeer, sent)} - known_at.keys():
            known_at[peer] = at + PEER_NOTICE_DELAY_S + 0.05
            pending.append((known_at[peer], peer))
    assert len(known_at) == len(names)
    assert max(known_at.values()) <= 2.0
