"""The product's own decisions, as a policy to compare with the baselines."""

import orjson

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.publish import Draft
from poplarhoist.replay.fleet import (
    CROSS_REGION_LATENCY_S,
    LATENCY_S,
    REQUEST_BYTES,
    Call,
    apply_change,
    engine_violations,
)
from poplarhoist.replay.shapes import SiteShape
from poplarhoist.replay.simulation import FakeEntry, Simulation
from poplarhoist.replay.traces import Change, ChangeKind

MAX_RESENDS = 3
CALLER_DEADLINE_S = 30.0


class HoistPolicy:
    """Runs the reducers of all entries in a simulation.

    After a refusal with Retry-After a caller sends its call again, ``MAX_RESENDS`` times at most.
    """

    def __init__(self, shape: SiteShape, seed: int) -> None:
        self.simulation = Simulation(
            entries=shape.entries,
            engines=shape.engines,
            slots=shape.slots,
            batch=shape.batch,
            places=shape.places,
            limits=shape.limits(),
            seed=seed,
            step_s=shape.step_s,
            latency_s=LATENCY_S,
            cross_region_latency_s=CROSS_REGION_LATENCY_S,
        )
        self.simulation.configure(shape.adapters, shape.preset)
        self.clock = self.simulation.clock
        self.engines = self.simulation.engines
        self.store = self.simulation.store
        self.calls_by_request: dict[str, Call] = {}
        self.message_bytes = 0
        self.simulation.hooks.append(self.observe)

    def submit(self, call: Call) -> None:
        """Send a call to the entry at which it arrives."""
        arrival = call.arrival
        request_id = f"r{len(self.simulation.requests_by_id)}"
        self.calls_by_request[request_id] = call
        entry = f"entry-{arrival.entry + 1}"
        adapter = f"a{arrival.adapter}"
        self.simulation.ask(
            entry, adapter, arrival.tokens, CALLER_DEADLINE_S, body_bytes=REQUEST_BYTES
        )

    def observe(self, entry: FakeEntry, effect: object) -> None:
        """Record dispatches, refusals and bytes of messages from the effects of an entry."""
        if isinstance(effect, fx.Dispatch):
            call = self.calls_by_request[effect.request_id]
            call.endpoints.append(effect.endpoint)
            if call.dispatched_at is None:
                call.dispatched_at = self.clock.seconds
        elif isinstance(effect, fx.Refuse):
            self.on_refusal(self.calls_by_request[effect.request_id], effect)
        elif isinstance(effect, fx.SendMessage):
            self.count_message_bytes(entry, effect)

    def on_refusal(self, call: Call, effect: fx.Refuse) -> None:
        """Schedule the caller's resend, or record the refusal as final."""
        if effect.refusal.retry_after_s > 0.0 and call.resends < MAX_RESENDS:
            call.resends += 1
            self.clock.after(effect.refusal.retry_after_s, lambda: self.submit(call))
            return
        call.refused = effect.refusal.reason.value
        call.ended_at = self.clock.seconds

    def count_message_bytes(self, entry: FakeEntry, effect: fx.SendMessage) -> None:
        """Count the bytes of a message if it goes to another region."""
        peer = self.simulation.entries.get(effect.peer)
        if peer is None or peer.state.me.place.region == entry.state.me.place.region:
            return
        self.message_bytes += len(orjson.dumps(wire.dump_messages([effect.message])))

    def on_change(self, change: Change) -> None:
        """Apply a change of the site; a preset is published as an operator does it."""
        if change.kind is not ChangeKind.PRESET:
            apply_change(change, self.engines, self.store)
            return

        def edit(draft: Draft) -> None:
            draft.put_preset(change.preset)
            draft.preset = change.preset.name

        self.simulation.publisher().apply_change(edit)

    def control_bytes(self) -> int:
        """Return the bytes of the entries' messages between regions."""
        return self.message_bytes

    def complete_records(self) -> None:
        """Copy the answers from the simulation's records to the calls.

        An answer of a wrong adapter version does not count as completed.
        """
        for request_id, call in self.calls_by_request.items():
            record = self.simulation.requests_by_id[request_id]
            if record.first_at is not None:
                call.first_at = record.first_at
            if record.completed:
                call.completed = str(record.answered_by) == call.ref
                call.ended_at = record.ended_at

    def violations(self) -> list[str]:
        """Return the violations that the engines recorded."""
        return engine_violations(self.engines)
