"""Mutants of the decisions: each disables one protection, and the fault matrix must detect it."""

from collections.abc import Callable

from attrs import evolve, frozen

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import (
    grants,
    intents,
    leadership,
    listing,
    membership,
    quarantine,
    reducer,
    requests,
    residency,
    revisions,
)
from poplarhoist.models import Ran
from poplarhoist.replay import simulation
from poplarhoist.replay.simulation import Simulation

HIGHEST_EPOCH = 10**9


def do_nothing(*args, **kwargs) -> None:
    """Do nothing."""


def break_fencing(monkeypatch) -> None:
    """Send every order with a fencing token so high that no endpoint refuses it."""
    original_order = Simulation.send_order
    handler = lambda sim, entry, effect: original_order(
        sim, entry, evolve(effect, epoch=HIGHEST_EPOCH)
    )
    monkeypatch.setitem(simulation.EFFECT_HANDLERS, fx.SendOrder, handler)


def break_eviction_checks(monkeypatch) -> None:
    """Return grants, and treat slots as idle, while requests are in flight under them."""

    def recall(state, sender, message, out) -> None:
        held = grants.find(state, message.ref, message.endpoint)
        in_flight = held.in_flight if held else 0
        if held:
            held.in_flight = 0
        original_recall(state, sender, message, out)
        if held:
            held.in_flight = in_flight

    def check(pool, engine, slot, running, *times) -> None:
        original_check(pool, engine, slot, 0, *times)

    original_recall, original_check = grants.on_recall, residency.check_slot
    monkeypatch.setattr(grants, "on_recall", recall)
    monkeypatch.setattr(residency, "check_slot", check)


def break_grant_return(monkeypatch) -> None:
    """Keep using grants after they were returned."""
    monkeypatch.setattr(grants, "drop", do_nothing)


def break_intents(monkeypatch) -> None:
    """Ignore orders of earlier leads that may still take effect."""
    monkeypatch.setattr(intents, "suspend", do_nothing)


def break_run_records(monkeypatch) -> None:
    """Overwrite existing run records instead of failing on a version conflict."""
    original_put = simulation.EFFECT_HANDLERS[fx.PlatformPut]

    def handler(sim, entry, effect) -> None:
        if effect.path.startswith("runs/"):
            current = sim.platform.objects.get(effect.path, (0, None))[0]
            effect = evolve(effect, expected_version=current)
        original_put(sim, entry, effect)

    monkeypatch.setitem(simulation.EFFECT_HANDLERS, fx.PlatformPut, handler)


def break_repeat_check(monkeypatch) -> None:
    """Treat every service call as safe to repeat."""
    monkeypatch.setattr(requests, "may_repeat", lambda routes, method, path: True)


def break_revision_floor(monkeypatch) -> None:
    """Accept any configuration index received, also one older than that in force."""

    def consider_index(state, index, *args) -> None:
        config = state.config
        if config.index is not None and index.revision < config.revision:
            config.index = evolve(config.index, revision=index.revision - 1)
        original(state, index, *args)

    original = revisions.consider_index
    monkeypatch.setattr(revisions, "consider_index", consider_index)


def break_isolation(monkeypatch) -> None:
    """Run suspect requests among others, and quarantine no content."""
    monkeypatch.setattr(quarantine, "is_suspect", lambda state, digest: False)
    monkeypatch.setattr(quarantine, "is_quarantined", lambda state, digest: False)


def break_drain_wait(monkeypatch) -> None:
    """Stop a draining entry at once, without waiting until it is idle."""

    def stop(state, *args) -> None:
        if state.draining and not state.stopped:
            state.stopped = True
            args[-1].append(fx.Stop())

    monkeypatch.setattr(reducer, "stop_when_idle", stop)


def break_lease_expiry(monkeypatch) -> None:
    """Keep leading after the lease has expired."""
    monkeypatch.setattr(leadership, "expire_leases", do_nothing)


def break_endpoint_draining(monkeypatch) -> None:
    """Keep sending new requests to draining endpoints."""
    for module in (membership, listing):
        monkeypatch.setattr(module, "mark_leaving", do_nothing)


def break_pause_detection(monkeypatch) -> None:
    """Skip the detection of pauses of the entry."""
    monkeypatch.setattr(reducer, "detect_pause", do_nothing)


def break_ran_claim(monkeypatch) -> None:
    """Tell every refused caller that its request has not run, also if it may have."""

    def refuse(out, request_id, refusal) -> None:
        original(out, request_id, evolve(refusal, ran=Ran.NO))

    original = requests.emit_refusal
    monkeypatch.setattr(requests, "emit_refusal", refuse)


@frozen
class Cell:
    """A cell of the fault matrix in which a mutant is expected to be detected.

    The fields are parameters of ``tests.matrix.run_cell``.
    """

    step: str
    faults: tuple[str, ...]
    checks_fencing: bool = True
    occurrence: int = 0


PAUSE_AND_POPULARITY_SHIFT = ("lease-lapsed", "popularity-shift")

# Mutants by name. Each has cells, at least one of which must fail once the mutant is applied.
MUTANTS: dict[str, tuple[Callable[[object], None], tuple[Cell, ...]]] = {
    "fencing": (
        break_fencing,
        (
            Cell("evict", PAUSE_AND_POPULARITY_SHIFT, occurrence=15),
            Cell("order", PAUSE_AND_POPULARITY_SHIFT, occurrence=21),
        ),
    ),
    "intent": (
        break_intents,
        (
            Cell("evict", PAUSE_AND_POPULARITY_SHIFT, False, 15),
            Cell("order", PAUSE_AND_POPULARITY_SHIFT, False, 21),
        ),
    ),
    "grant-check": (
        break_grant_return,
        (Cell("watch", ("popularity-shift",)), Cell("wait-for-load", ("platform-down",))),
    ),
    "eviction-checks": (
        break_eviction_checks,
        (Cell("watch", ("popularity-shift",)), Cell("dispatch", ("load-failure",))),
    ),
    "lease-end": (
        break_lease_expiry,
        (Cell("lease-renewed", ("lease-lapsed",)), Cell("gather", ("long-pause",))),
    ),
    "record": (
        break_run_records,
        (Cell("recall", ("service-answer-lost",)), Cell("evict", ("service-answer-lost",))),
    ),
    "repeat": (
        break_repeat_check,
        (Cell("recall", ("service-answer-lost",)), Cell("evict", ("service-answer-lost",))),
    ),
    "revision-floor": (
        break_revision_floor,
        (Cell("evict", ("silent-connection",)), Cell("wait-for-load", ("silent-connection",))),
    ),
    "suspect-isolation": (
        break_isolation,
        (Cell("record-answer", ("crashing-request",)), Cell("order", ("crashing-request",))),
    ),
    "drain-wait": (
        break_drain_wait,
        (Cell("ordered", ("store-slow",)), Cell("evict", ("silent-connection",))),
    ),
    "leaving": (
        break_endpoint_draining,
        (Cell("order", ("engine-restart",)), Cell("ordered", ("popularity-shift",))),
    ),
    "pause-check": (
        break_pause_detection,
        (Cell("gather", ("long-pause",)), Cell("gather", ("lease-lapsed",))),
    ),
    "ran": (
        break_ran_claim,
        (Cell("record-answer", ("crashing-request",)), Cell("recall", ("service-answer-lost",))),
    ),
}
