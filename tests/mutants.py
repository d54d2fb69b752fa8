"""Protections of the decisions that can be broken one at a time, to see that the matrix bites."""

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

ANY_EPOCH = 10**9


def nothing(*args, **kwargs) -> None:
    """Do nothing."""


def break_fencing(patch) -> None:
    """Send every order with a fencing number that no endpoint refuses."""
    order = Simulation.send_order
    runner = lambda bench, entry, effect: order(bench, entry, evolve(effect, epoch=ANY_EPOCH))
    patch.setitem(simulation.EFFECT_HANDLERS, fx.SendOrder, runner)


def break_eviction_checks(patch) -> None:
    """Hand grants back, and take slots for idle, while requests run under them."""

    def recall(state, sender, message, out) -> None:
        held = grants.find(state, message.ref, message.endpoint)
        in_flight = held.in_flight if held else 0
        if held:
            held.in_flight = 0
        recall_once(state, sender, message, out)
        if held:
            held.in_flight = in_flight

    def check(board, engine, slot, running, *times) -> None:
        check_once(board, engine, slot, 0, *times)

    recall_once, check_once = grants.on_recall, residency.check_slot
    patch.setattr(grants, "on_recall", recall)
    patch.setattr(residency, "check_slot", check)


def break_grant_check(patch) -> None:
    """Go on using grants after they were handed back."""
    patch.setattr(grants, "drop", nothing)


def break_intents(patch) -> None:
    """Forget the orders that earlier leads may still have under way."""
    patch.setattr(intents, "suspend", nothing)


def break_record(patch) -> None:
    """Write records of calls over those that are there."""
    put = simulation.EFFECT_HANDLERS[fx.PlatformPut]

    def runner(bench, entry, effect) -> None:
        if effect.path.startswith("runs/"):
            current = bench.platform.objects.get(effect.path, (0, None))[0]
            effect = evolve(effect, expected_version=current)
        put(bench, entry, effect)

    patch.setitem(simulation.EFFECT_HANDLERS, fx.PlatformPut, runner)


def break_repeat(patch) -> None:
    """Treat every call as one that may repeat."""
    patch.setattr(requests, "may_repeat", lambda routes, method, path: True)


def break_revision_floor(patch) -> None:
    """Take any index that somebody tells of."""

    def consider_index(state, index, *args) -> None:
        config = state.config
        if config.index is not None and index.revision < config.revision:
            config.index = evolve(config.index, revision=index.revision - 1)
        original(state, index, *args)

    original = revisions.consider_index
    patch.setattr(revisions, "consider_index", consider_index)


def break_isolation(patch) -> None:
    """Run suspects among other requests, and convict nobody."""
    patch.setattr(quarantine, "is_suspect", lambda state, digest: False)
    patch.setattr(quarantine, "is_quarantined", lambda state, digest: False)


def break_drain_wait(patch) -> None:
    """Stop a draining entry at once."""

    def stop(state, *args) -> None:
        if state.draining and not state.stopped:
            state.stopped = True
            args[-1].append(fx.Stop())

    patch.setattr(reducer, "stop_when_idle", stop)


def break_lease_end(patch) -> None:
    """Go on leading after the lease ran out."""
    patch.setattr(leadership, "expire_leases", nothing)


def break_leaving(patch) -> None:
    """Give endpoints that leave new work all the same."""
    for module in (membership, listing):
        patch.setattr(module, "mark_leaving", nothing)


def break_pause_check(patch) -> None:
    """Take no notice of a pause of the entry."""
    patch.setattr(reducer, "detect_pause", nothing)


def break_ran(patch) -> None:
    """Tell every refused caller that its request was not run."""

    def refuse(out, request_id, refusal) -> None:
        original(out, request_id, evolve(refusal, ran=Ran.NO))

    original = requests.emit_refusal
    patch.setattr(requests, "emit_refusal", refuse)


@frozen
class Cell:
    """A cell of the matrix in which a mutant shows."""

    step: str
    faults: tuple[str, ...]
    checks_fencing: bool = True
    skip: int = 0


PAUSE_AND_SHIFT = ("lease-lapsed", "popularity-shift")

# Each protection with cells, of which at least one must fail once the protection is broken.
MUTANTS: dict[str, tuple[Callable[[object], None], tuple[Cell, ...]]] = {
    "fencing": (
        break_fencing,
        (Cell("evict", PAUSE_AND_SHIFT, skip=15), Cell("order", PAUSE_AND_SHIFT, skip=21)),
    ),
    "intent": (
        break_intents,
        (
            Cell("evict", PAUSE_AND_SHIFT, False, 15),
            Cell("order", PAUSE_AND_SHIFT, False, 21),
        ),
    ),
    "grant-check": (
        break_grant_check,
        (Cell("watch", ("popularity-shift",)), Cell("wait-for-load", ("platform-down",))),
    ),
    "eviction-checks": (
        break_eviction_checks,
        (Cell("watch", ("popularity-shift",)), Cell("dispatch", ("load-failure",))),
    ),
    "lease-end": (
        break_lease_end,
        (Cell("lease-renewed", ("lease-lapsed",)), Cell("gather", ("long-pause",))),
    ),
    "record": (
        break_record,
        (Cell("recall", ("service-answer-lost",)), Cell("evict", ("service-answer-lost",))),
    ),
    "repeat": (
        break_repeat,
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
        break_leaving,
        (Cell("order", ("engine-restart",)), Cell("ordered", ("popularity-shift",))),
    ),
    "pause-check": (
        break_pause_check,
        (Cell("gather", ("long-pause",)), Cell("gather", ("lease-lapsed",))),
    ),
    "ran": (
        break_ran,
        (Cell("record-answer", ("crashing-request",)), Cell("recall", ("service-answer-lost",))),
    ),
}
