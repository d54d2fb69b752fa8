"""Membership under restarts, partitions, pauses and flapping, with bounded messages."""

import eventlet
import pytest
from attrs import evolve

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions import membership, relay
from poplarhoist.decisions.membership import ENDPOINT_PREFIX, INSTANCE_PREFIX
from poplarhoist.decisions.messages import Heartbeat
from poplarhoist.decisions.state import State
from poplarhoist.entry.core import Core
from poplarhoist.entry.metrics import Metrics
from poplarhoist.entry.peers import PEER_CHECK_INTERVAL_S, PeerTransport
from poplarhoist.models import LifecycleState, Place, Preset
from poplarhoist.replay.clock import VirtualClock
from poplarhoist.replay.simulation import EFFECT_HANDLERS, Simulation

PLACES = (Place("r1", "r1-a"), Place("r2", "r2-a"))
SETTLE_S = 6.0


def make_bench(entries: int = 4, **options) -> Simulation:
    bench = Simulation(entries=entries, engines=2, places=PLACES, **options)
    bench.configure()
    bench.run(5.0)
    return bench


def members(bench: Simulation, name: str) -> membership.MembershipState:
    return bench.entries[name].state.members


def live_names(bench: Simulation, name: str) -> set[str]:
    return set(membership.live_entries(bench.entries[name].state, bench.clock.seconds))


def record_messages(bench: Simulation, kind: type) -> list:
    """Return a list to which every message of a type is added when it is sent."""
    messages = []
    send = bench.send_message

    def record(self, entry, effect):
        if isinstance(effect.message, kind):
            messages.append((entry.state.me.name, effect.peer, effect.message))
        send(entry, effect)

    EFFECT_HANDLERS[fx.SendMessage] = record
    return messages


@pytest.fixture(autouse=True)
def restore_runners():
    kept = dict(EFFECT_HANDLERS)
    yield
    EFFECT_HANDLERS.clear()
    EFFECT_HANDLERS.update(kept)


def test_a_rolling_restart_of_all_entries_loses_no_request():
    bench = make_bench()
    asked = []
    for number in range(1, 5):
        name = f"entry-{number}"
        place = bench.entries[name].state.me.place
        bench.drain(name)
        other = f"entry-{number % 4 + 1}"
        asked += [bench.ask(other, f"a{number}"), bench.book(other, f"key {number}")]
        bench.run(20.0)
        assert bench.entries[name].stopped
        bench.add_entry(name, place)
        bench.run(SETTLE_S)
    assert all(item.completed for item in asked)
    for name in bench.entries:
        assert live_names(bench, name) == set(bench.entries)
        assert not any(peer.draining for peer in members(bench, name).peers.values())
    assert bench.violations() == []


def test_a_partition_between_regions_for_an_hour_heals():
    bench = make_bench()
    near, far = ("entry-1", "entry-3"), ("entry-2", "entry-4")
    bench.partitioned_pairs |= {frozenset((a, b)) for a in near for b in far}
    for name in far:
        bench.entries[name].watching = False
    bench.run(10.0)
    index = bench.publisher().apply_change(lambda draft: draft.put_preset(Preset("peak")))
    bench.run(3600.0)
    assert live_names(bench, "entry-1") == set(near)
    assert live_names(bench, "entry-2") == set(far)
    assert bench.ask("entry-2", "a1").refusal is None
    bench.partitioned_pairs.clear()
    bench.run(SETTLE_S)
    assert {e.state.config.revision for e in bench.entries.values()} == {index.revision}
    assert live_names(bench, "entry-1") == set(bench.entries)
    assert bench.violations() == []


def test_flap_damping_delay_of_a_peer_grows_up_to_its_limit():
    bench = make_bench()
    waits = []
    for _ in range(4):
        bench.pause("entry-2")
        bench.run(3.0)
        assert "entry-2" not in live_names(bench, "entry-1")
        bench.resume("entry-2")
        heard_at = bench.clock.seconds
        while "entry-2" not in live_names(bench, "entry-1"):
            bench.run(0.1)
        waits.append(bench.clock.seconds - heard_at)
    assert waits == sorted(waits) and waits[-1] > 2 * waits[0]
    assert waits[-1] <= membership.FLAP_DAMPING_MAX_S + 1.0


@pytest.mark.parametrize(
    ("sender", "boot", "sequence", "cause"),
    [
        ("entry-9", "x", 1, "unknown-sender"),
        ("entry-2", "current", 0, "out-of-order"),
        ("entry-2", "earlier", 10**9, "old-boot"),
    ],
)
def test_late_messages_and_those_of_unknown_senders_are_dropped(sender, boot, sequence, cause):
    bench = make_bench()
    bench.kill("entry-2", listed=True)
    old = bench.entries["entry-2"].state.boot
    bench.add_entry("entry-2", PLACES[1])
    bench.run(SETTLE_S)
    boot = {"earlier": old, "current": bench.entries["entry-2"].state.boot}.get(boot, boot)
    entry = bench.entries["entry-1"]
    beat = Heartbeat(10**6, True)
    bench.submit(entry, lambda at: ev.PeerSaid(at, sender, boot, sequence, beat))
    assert entry.counters[("peer_message_dropped", (cause,))] == 1
    assert members(bench, "entry-1").peers["entry-2"].boot == bench.entries["entry-2"].state.boot
    assert not members(bench, "entry-1").peers["entry-2"].draining


def test_heartbeats_do_not_grow_with_endpoints_that_have_left():
    bench = make_bench()
    bench.drain_endpoint("engine-1")
    bench.run(1.0)
    assert all(members(bench, name).endpoints["engine-1"].leaving for name in bench.entries)
    bench.run(30.0)
    beats = record_messages(bench, Heartbeat)
    bench.run(2.0)
    assert beats and not any(message.leaving for _, _, message in beats)


@pytest.mark.parametrize("lag_s", [0.0, 2.0])
def test_older_reports_do_not_revoke_that_an_endpoint_is_leaving(lag_s):
    bench = make_bench()
    fake = bench.engines["engine-1"]
    fake.report_lag_s = lag_s
    bench.run(5.0)
    state = bench.entries["entry-1"].state
    fake.state = LifecycleState.LEAVING
    membership.mark_leaving(state, "engine-1", "refusal", bench.clock.seconds, [])
    for _ in range(100):
        bench.run(0.1)
        assert not membership.is_endpoint_usable(state, "engine-1")
    fake.state = LifecycleState.LIVE
    bench.run(lag_s + 3.0)
    assert membership.is_endpoint_usable(state, "engine-1")


def test_a_silent_endpoint_is_usable_only_after_it_answers_a_poll():
    bench = make_bench()
    bench.engines["engine-1"].silent = True
    bench.run(SETTLE_S)
    states = [entry.state for entry in bench.entries.values()]
    assert not any(membership.is_endpoint_usable(state, "engine-1") for state in states)
    report = members(bench, "entry-1").endpoints["engine-1"].report
    out = []
    membership.accept_report(states[0], evolve(report, age_s=0.0), bench.clock.seconds, out)
    assert not membership.is_endpoint_usable(states[0], "engine-1")
    bench.engines["engine-1"].silent = False
    bench.run(3.0)
    assert all(membership.is_endpoint_usable(state, "engine-1") for state in states)


def test_an_endpoint_listed_again_is_not_polled_more_often():
    bench = make_bench(entries=1)
    value = bench.platform.objects[ENDPOINT_PREFIX + "engine-1"][1]
    polls = []
    EFFECT_HANDLERS[fx.PollEndpoint] = lambda self, entry, effect: polls.append(effect.endpoint)
    for _ in range(5):
        bench.platform.write(ENDPOINT_PREFIX + "engine-1", None)
        bench.run(0.1)
        assert "engine-1" not in members(bench, "entry-1").endpoints
        bench.platform.write(ENDPOINT_PREFIX + "engine-1", value)
        bench.run(0.1)
    polls.clear()
    bench.run(10.0)
    assert polls.count("engine-1") <= 10.0 / bench.limits.poll_s + 1


def test_an_endpoint_with_wrong_answers_is_ejected_at_all_entries_for_a_time():
    bench = make_bench()
    state = bench.entries["entry-1"].state
    membership.eject_endpoint(state, "engine-1", "adapter", bench.clock.seconds, [])
    bench.run(1.0)
    states = [entry.state for entry in bench.entries.values()]
    assert not any(membership.is_endpoint_usable(state, "engine-1") for state in states)
    bench.run(2 * membership.EJECTION_S + 2.0)
    assert all(membership.is_endpoint_usable(state, "engine-1") for state in states)


@pytest.mark.parametrize("value", [{}, {"name": 1}, [], "x"])
def test_malformed_instances_and_endpoints_are_ignored(value):
    bench = make_bench()
    known = set(members(bench, "entry-1").endpoints), set(members(bench, "entry-1").peers)
    bench.platform.write(ENDPOINT_PREFIX + "engine-1", value)
    bench.platform.write(INSTANCE_PREFIX + "entry-2", value)
    bench.run(1.0)
    assert known == (set(members(bench, "entry-1").endpoints), set(members(bench, "entry-1").peers))


def test_the_outbox_thread_of_a_removed_peer_exits():
    bench = make_bench(entries=2)
    me, peer = (bench.entries[name].state.me for name in ("entry-1", "entry-2"))
    state = State(me, "boot", bench.random)
    relay.seed_peers(state, [peer])
    core = Core(state, VirtualClock(), Metrics())
    peers = PeerTransport(core, "key")
    peers.post_batch = lambda instance, body, sequence: True
    peers.on_send_message(fx.SendMessage("entry-2", Heartbeat(1)))
    outbox = peers.outboxes["entry-2"]
    eventlet.sleep(0)
    state.members.peers.clear()
    peers.on_send_message(fx.SendMessage("entry-2", Heartbeat(1)))
    with eventlet.Timeout(PEER_CHECK_INTERVAL_S + 5.0):
        outbox.thread.wait()
    assert peers.outboxes == {}
    count = core.metrics.counters["peer_message_dropped"].labels("peer-gone")
    assert count._value.get() == 1.0


def test_batches_stay_below_the_size_limit_of_a_peer():
    bench = make_bench(entries=2)
    state = State(bench.entries["entry-1"].state.me, "boot", bench.random)
    relay.seed_peers(state, [bench.entries["entry-2"].state.me])
    peers = PeerTransport(Core(state, VirtualClock(), Metrics()), "key")
    bodies = []
    peers.post_batch = lambda instance, body, sequence: bodies.append(body) or True
    copy = wire.load_messages([{"type": "PageCopy", "digest": "d", "text": "x" * 100_000}])[0]
    for _ in range(20):
        peers.on_send_message(fx.SendMessage("entry-2", copy))
    eventlet.sleep(0)
    assert len(bodies) == 10
    assert max(len(body) for body in bodies) < 300_000
