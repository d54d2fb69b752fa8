"""Following the store: few calls while it is away, and a missed change made good by other entries."""

from collections import Counter

import eventlet
import pytest

from poplarhoist.clock import SuspendAwareClock
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.decisions.gateway.gossip import GOSSIP_FANOUT
from poplarhoist.decisions.gateway.reducer import reduce
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics
from poplarhoist.gateway.interfaces import StoreChanges, WatchSpec
from poplarhoist.gateway.store_watcher import StoreWatcher
from tests.gateway import Gateway, configuration, effects_of

PROBE_SPEC = WatchSpec("endpoints", long_poll_s=0.2, probes_store=True)
NOTIFYING_SPEC = WatchSpec("configuration", long_poll_s=1.0, notifies_peers=True)
PLAIN_SPEC = WatchSpec("leads", long_poll_s=0.2)


class StubStore:
    """A store whose watches wait in vain, fail, or show one change to those who ask anew."""

    watch_specs = (PROBE_SPEC, NOTIFYING_SPEC, PLAIN_SPEC)

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.unavailable = False
        self.latest_revision = 0
        self.watch_waits_s: list[float] = []

    def read_all(self, kind: str) -> StoreChanges:
        """Read all records of a kind."""
        return StoreChanges(CallStatus.OK, 1)

    def watch(self, spec: WatchSpec, since: int) -> StoreChanges:
        """Wait for changes of a kind; a watch that waits does not show them."""
        self.calls[spec.kind] += 1
        if self.unavailable:
            eventlet.sleep(0.001)
            return StoreChanges(CallStatus.REFUSED)
        if spec.notifies_peers and self.latest_revision > since:
            event = ev.ConfigurationSeen(0.0, configuration(self.latest_revision))
            return StoreChanges(CallStatus.OK, self.latest_revision, self.latest_revision, (event,))
        self.watch_waits_s.append(spec.long_poll_s)
        eventlet.sleep(spec.long_poll_s)
        return StoreChanges(CallStatus.OK, since)

    def register(self, name: str, zone: str, host: str, port: int) -> CallStatus:
        """Write where this entry takes messages."""
        return CallStatus.OK

    def claim(self, claim: fx.Claim):
        """Write who leads an engine."""
        return CallStatus.OK, 2, None


@pytest.fixture
def following():
    """Return a store, and the decisions that follow it among a number of entries."""

    def build(entries: int) -> tuple[StubStore, DecisionLoop]:
        store = StubStore()
        state = Gateway(peers=tuple(f"entry-{n}" for n in range(2, entries + 1))).state
        core = DecisionLoop(state, SuspendAwareClock(), Metrics(), "entry-1", reduce, ())
        core.set_handler(SendPeer, lambda effect: None)
        StoreWatcher(core, store).start("entry-1", "north-a", "10.0.2.1", 7000)
        eventlet.sleep(0.05)
        return store, core

    return build


def test_one_kind_is_tried_for_all_while_the_store_is_away(following):
    store, core = following(9)
    store.unavailable = True
    eventlet.sleep(0.7)
    assert core.state.store_unavailable
    store.calls.clear()
    eventlet.sleep(1.2)
    assert store.calls[PROBE_SPEC.kind] >= 1
    assert store.calls[NOTIFYING_SPEC.kind] == store.calls[PLAIN_SPEC.kind] == 0


def test_all_kinds_are_read_as_soon_as_the_store_is_back(following):
    store, core = following(9)
    store.unavailable = True
    eventlet.sleep(0.7)
    store.unavailable = False
    store.latest_revision = 5
    store.calls.clear()
    with eventlet.Timeout(1.5):
        while core.state.configuration is None:
            eventlet.sleep(0.01)
    assert not core.state.store_unavailable


@pytest.mark.parametrize(("entries", "longest_s"), [(4, 1.0), (9, 9 / 4), (64, 8.0)])
def test_watches_wait_longer_among_more_entries(following, entries, longest_s):
    store, _ = following(entries)
    assert longest_s / 2 <= max(store.watch_waits_s) <= longest_s + 1e-9
    # Those of kinds that entries do not tell each other of stay as they are.
    assert min(store.watch_waits_s) <= 0.2 + 1e-9


def test_a_change_that_the_own_watch_missed_is_read_at_the_word_of_another(following):
    store, core = following(64)
    store.latest_revision = 5
    news = messages.News(NOTIFYING_SPEC.kind, 5)
    core.submit(ev.PeerMessageReceived(core.event_time(), "entry-2", news))
    eventlet.sleep(0.6)
    assert core.state.configuration.version == 5


def test_news_of_what_is_known_costs_no_call(following):
    store, core = following(64)
    store.calls.clear()
    core.submit(
        ev.PeerMessageReceived(core.event_time(), "entry-2", messages.News(PLAIN_SPEC.kind, 1))
    )
    eventlet.sleep(0.45)
    assert store.calls[PLAIN_SPEC.kind] <= 3


@pytest.mark.parametrize(
    ("entries", "told"), [(3, 0), (9, 8), (64, GOSSIP_FANOUT), (350, GOSSIP_FANOUT)]
)
def test_each_entry_tells_a_few_others_of_a_change(entries, told):
    gateway = Gateway(peers=tuple(f"entry-{n}" for n in range(2, entries + 1)))
    sent = effects_of(
        fx.SendPeer, gateway.submit(ev.StoreChangesRead, kind="configuration", revision=7)
    )
    assert len({effect.peer for effect in sent}) == len(sent) == told
    assert all(effect.peer != "entry-1" for effect in sent)
