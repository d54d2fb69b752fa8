"""Which entry leads an engine: silent leads, claims, pauses and stops."""

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import leads, messages
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.decisions.gateway.hashing import rendezvous_weight
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.reducer import reduce
from tests.gateway import Gateway, effects_of, engine, only_effect


def gateway_with_engine(*peers: str, holder: str = "") -> Gateway:
    gateway = Gateway(peers=peers)
    gateway.configure()
    gateway.list_endpoints(engine(1))
    if holder:
        gateway.set_lead("e1", holder)
    return gateway


def claims(effects: list) -> list[fx.Claim]:
    return effects_of(fx.Claim, effects)


def test_engine_without_lead_is_claimed_by_one_entry():
    gateways = [gateway_with_engine("entry-2", "entry-3")]
    for name, peers in (("entry-2", ("entry-1", "entry-3")), ("entry-3", ("entry-1", "entry-2"))):
        gateway = Gateway(name, peers)
        gateway.configure()
        gateway.list_endpoints(engine(1))
        gateways.append(gateway)
    for gateway in gateways:
        gateway.advance(2.0)
    assert len([g for g in gateways if claims(g.effects)]) == 1


def test_entry_in_the_engines_region_is_preferred_as_lead():
    gateway = Gateway("far", ())
    gateway.state.entries["far"].zone = "south-a"
    gateway.submit(ev.EntryRecordChanged, name="near", host="10.0.2.1", port=1, zone="north-b")
    gateway.configure()
    gateway.list_endpoints(engine(1))
    gateway.advance(2.0)
    assert claims(gateway.effects) == []


def test_new_lead_waits_for_the_lease_before_orders():
    gateway = gateway_with_engine("other", holder="other#b9")
    gateway.submit(ev.EntryRecordChanged, name="other")
    claim = claims(gateway.advance(2.5))[0]
    assert claim.epoch == 2
    gateway.submit(
        ev.ClaimEnded, engine="e1", epoch=2, status=CallStatus.OK, position=Position(0, 5)
    )
    gateway.report("e1")
    gateway.receive("third", messages.Ask("e1", "base", "a1", 0, 1))
    assert not effects_of(fx.SendOrder, gateway.advance(3.0))
    gateway.receive("third", messages.Ask("e1", "base", "a1", 0, 1))
    assert effects_of(fx.SendOrder, gateway.advance(0.5))


def test_new_process_of_the_same_entry_does_not_wait():
    gateway = gateway_with_engine(holder="entry-1#older")
    claim = claims(gateway.advance(0.3))[0]
    gateway.submit(
        ev.ClaimEnded, engine="e1", epoch=claim.epoch, status=CallStatus.OK, position=Position(0, 5)
    )
    gateway.report("e1")
    assert only_effect(fx.SendOrder, gateway.receive("x", messages.Ask("e1", "base", "a1", 0, 1)))


def test_engine_is_not_claimed_from_an_entry_that_also_restarts():
    gateway = Gateway(peers=("other",))
    gateway.state.entries_listed = False
    gateway.state.entries.pop("other")
    gateway.configure()
    gateway.list_endpoints(engine(1))
    gateway.set_lead("e1", "other#b1", 4, 7)
    assert claims(gateway.advance(3.0)) == []
    gateway.submit(ev.EntryRecordChanged, name="other", host="10.0.2.2", port=1, zone="north-a")
    gateway.submit(ev.EntriesListed, names=frozenset(("entry-1", "other")))
    assert claims(gateway.advance(3.0)) == []


def test_restarted_entry_claims_its_own_engines_at_once():
    gateway = gateway_with_engine("other", holder="entry-1#older")
    gateway.state.started_at = gateway.at
    assert claims(gateway.advance(0.3))


@pytest.mark.parametrize("status", [CallStatus.CONFLICT, CallStatus.REFUSED, CallStatus.UNKNOWN])
def test_unsuccessful_claim_sends_no_orders(status):
    gateway = gateway_with_engine()
    claim = claims(gateway.advance(2.0))[0]
    gateway.submit(ev.ClaimEnded, engine="e1", epoch=claim.epoch, status=status)
    gateway.report("e1")
    assert not effects_of(
        fx.SendOrder, gateway.receive("x", messages.Ask("e1", "base", "a1", 0, 1))
    )


def test_unanswered_claim_takes_effect_when_its_record_is_read():
    gateway = gateway_with_engine()
    claim = claims(gateway.advance(2.0))[0]
    gateway.submit(ev.ClaimEnded, engine="e1", epoch=claim.epoch, status=CallStatus.UNKNOWN)
    gateway.set_lead("e1", claim.holder, claim.epoch, 9)
    assert "e1" in gateway.state.slot_tables


def test_leadership_ends_with_the_next_claim():
    gateway = gateway_with_engine("other")
    gateway.set_lead("e1")
    assert "e1" in gateway.state.slot_tables
    gateway.set_lead("e1", "other#b9", 2, 7)
    assert "e1" not in gateway.state.slot_tables


def test_older_record_does_not_end_the_leadership():
    gateway = gateway_with_engine("other")
    gateway.set_lead("e1", revision=5)
    gateway.set_lead("e1", "other#b9", 1, 3)
    assert "e1" in gateway.state.slot_tables


def test_engine_is_claimed_only_if_its_lead_does_not_answer():
    for answers in (True, False):
        gateway = gateway_with_engine("other", holder="other#b9")
        gateway.state.started_at = -10.0
        gateway.request("/stream/x", "a1")
        effects = []
        for _ in range(60):
            step = gateway.advance(0.025)
            effects += step
            if answers and effects_of(fx.SendPeer, step):
                view = messages.View("e1", {"base": 1}, {}, 0, 0, 0)
                effects += gateway.receive("other", view)
        assert bool(claims(effects)) is not answers


def test_paused_lead_reads_a_report_before_orders():
    gateway = gateway_with_engine("other")
    gateway.set_lead("e1")
    gateway.report("e1")
    gateway.at += 4.0
    effects = gateway.receive("other", messages.Ask("e1", "base", "a1", 0, 1))
    assert not effects_of(fx.SendOrder, effects)
    assert not gateway.state.slot_tables["e1"].synced
    gateway.advance(0.5)
    gateway.report("e1")
    assert not effects_of(fx.SendOrder, gateway.effects)
    orders = []
    for _ in range(5):
        orders += gateway.receive("other", messages.Ask("e1", "base", "a1", 0, 1))
        orders += gateway.advance(0.2)
    assert effects_of(fx.SendOrder, orders)


def test_stopping_entry_releases_its_leadership():
    gateway = gateway_with_engine("other")
    gateway.set_lead("e1")
    effects = gateway.submit(ev.DrainRequested)
    assert only_effect(fx.Claim, effects).holder == ""
    assert gateway.state.slot_tables == {}
    assert not claims(gateway.advance(3.0))


def test_late_event_is_not_taken_for_a_pause():
    gateway = gateway_with_engine()
    gateway.advance(5.0)
    late = ev.VersionSeen(gateway.at - 4.0, "base", "a1", 2)
    reduce(gateway.state, late)
    gateway.advance(0.1)
    assert not [e for e in gateway.effects if getattr(e, "change", "") == "entry-was-paused"]


@pytest.mark.parametrize("entry_count", [3, 73, 195])
def test_each_engine_without_a_lead_is_claimed_by_one_entry_near_it(entry_count):
    zones = ("north-a", "north-b", "south-a")
    names = [f"entry-{number}" for number in range(1, entry_count + 1)]
    claimed_by: list[tuple[str, str]] = []
    for name in names:
        gateway = Gateway(name)
        for number, peer in enumerate(names):
            fields = {"name": peer, "host": "10.0.2.1", "port": 7000, "zone": zones[number % 3]}
            gateway.submit(ev.EntryRecordChanged, **fields)
        gateway.configure()
        gateway.list_endpoints(*(engine(n, zone=zones[n % 3]) for n in range(1, 13)))
        gateway.state.started_at = gateway.at - 10.0
        claimed_by += [(c.engine, name) for c in effects_of(fx.Claim, gateway.advance(0.3))]
    assert sorted(claimed for claimed, _ in claimed_by) == sorted(f"e{n}" for n in range(1, 13))
    zone_of = {name: zones[number % 3] for number, name in enumerate(names)}
    assert all(zone_of[name] == zones[int(claimed[1:]) % 3] for claimed, name in claimed_by)


def test_entries_that_look_for_the_lead_of_an_engine_compare_few_others(monkeypatch):
    """With many entries and engines, a walk over all pairs took most of an entry's time."""
    weights = []
    monkeypatch.setattr(
        leads, "rendezvous_weight", lambda *pair: weights.append(pair) or rendezvous_weight(*pair)
    )
    gateway = Gateway("entry-1", tuple(f"entry-{n}" for n in range(2, 196)))
    gateway.configure()
    gateway.list_endpoints(*(engine(n) for n in range(1, 79)))
    gateway.state.started_at = gateway.at - 10.0
    gateway.submit(ev.Tick)
    assert 0 < len(weights) <= 78 * 195 / 10


def restored(gateway: Gateway, generation: int = 2) -> None:
    """Let the entry learn that the store was restored."""
    gateway.submit(ev.StoreGenerationSeen, generation=generation - 1)
    gateway.submit(ev.StoreGenerationSeen, generation=generation)


# Holder and epoch that the restored store has, the second one relative to that of this entry's lead
# (None: no record), and whether the entry leads on.
@pytest.mark.parametrize(
    ("holder", "change", "leads_on"),
    [
        ("entry-1#b1", 0, True),
        ("entry-1#older", -1, False),
        ("other#b9", -1, False),
        ("other#b9", 0, False),
        ("", -1, False),
        (None, None, False),
    ],
)
def test_lead_whose_claim_the_restored_store_lost_sends_no_orders(holder, change, leads_on):
    gateway = gateway_with_engine("other")
    gateway.submit(ev.StoreGenerationSeen, generation=1)
    gateway.submit(ev.LeadsListed, generation=1)
    gateway.state.store_generation_seen_at = -10.0
    gateway.set_lead("e1", revision=9)
    gateway.report("e1")
    epoch = gateway.state.slot_tables["e1"].epoch
    gateway.submit(ev.StoreGenerationSeen, generation=2)
    ask = messages.Ask("e1", "base", "a1", 0, 1)
    effects = gateway.receive("other", ask) + gateway.advance(1.0)
    assert effects_of(fx.SendOrder, effects) == claims(effects) == []
    if holder is not None:
        fields = {"engine": "e1", "holder": holder, "epoch": epoch + change}
        gateway.submit(ev.LeadSeen, position=Position(2, 5), **fields)
    gateway.submit(ev.LeadsListed, generation=2)
    ordered = effects_of(fx.SendOrder, gateway.receive("other", ask) + gateway.advance(0.3))
    assert bool(ordered) == leads_on == ("e1" in gateway.state.slot_tables)
    for claim in claims(gateway.advance(3.0)):
        assert claim.epoch > epoch
        assert claim.position.generation == 2


@pytest.mark.parametrize("holder", ["entry-1#older", "", "other#b9"])
def test_first_claim_of_a_generation_waits_for_leads_whose_claims_are_lost(holder):
    """Two leads would take turns at the engine until the other one learns of the restoration."""
    gateway = gateway_with_engine("other")
    restored(gateway)
    gateway.submit(ev.LeadSeen, engine="e1", holder=holder, epoch=1, position=Position(2, 5))
    gateway.state.started_at = -10.0
    if holder == "other#b9":
        gateway.submit(ev.EntryRecordChanged, name="other")
    gateway.submit(ev.LeadsListed, generation=2)
    restored_at = gateway.at
    claim = claims(gateway.advance(2.0))[-1]
    gateway.submit(
        ev.ClaimEnded,
        engine="e1",
        epoch=claim.epoch,
        status=CallStatus.OK,
        position=Position(2, 6),
    )
    gateway.report("e1")
    orders = []
    while not orders and gateway.at < restored_at + 10.0:
        gateway.receive("x", messages.Ask("e1", "base", "a1", 0, 1))
        orders = effects_of(fx.SendOrder, gateway.advance(0.1))
    assert restored_at + 3.0 < gateway.at < restored_at + 6.0


def test_claim_that_was_answered_in_another_generation_does_not_count():
    """The record that it replaced may be another one with the same revision."""
    gateway = gateway_with_engine()
    claim = claims(gateway.advance(2.0))[0]
    restored(gateway)
    fields = {"engine": "e1", "epoch": claim.epoch}
    gateway.submit(ev.ClaimEnded, status=CallStatus.OK, position=Position(2, 6), **fields)
    gateway.set_lead("e1", claim.holder, claim.epoch, 6)
    assert "e1" not in gateway.state.slot_tables


def test_claim_whose_answer_was_lost_waits_for_the_previous_lead():
    gateway = gateway_with_engine("other", holder="other#b9")
    gateway.submit(ev.EntryRecordChanged, name="other")
    claim = claims(gateway.advance(2.5))[0]
    gateway.submit(ev.ClaimEnded, engine="e1", epoch=claim.epoch, status=CallStatus.UNKNOWN)
    gateway.set_lead("e1", claim.holder, claim.epoch, 9)
    table = gateway.state.slot_tables["e1"]
    assert table.orders_allowed_at >= gateway.at + gateway.state.limits.lease_s


@pytest.mark.parametrize("generation", [None, 0])
def test_store_without_generations_gives_out_epochs_one_by_one(generation):
    gateway = gateway_with_engine(holder="entry-1#older")
    if generation is not None:
        gateway.submit(ev.StoreGenerationSeen, generation=generation)
    assert claims(gateway.advance(0.3))[0].epoch == 2
