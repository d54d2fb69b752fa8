"""What must always hold, checked on a bench after every event and at the end."""

from poplarhoist.decisions import events as ev
from poplarhoist.models import Ran
from poplarhoist.replay.simulation import FakeEntry, RequestRecord, Simulation

LEASE_SLACK_S = 0.2
ENGINES_LOST_TO_ONE_CONTENT = 2


class Invariants:
    """Checks of one bench; what was broken is kept as text."""

    def __init__(self, bench: Simulation) -> None:
        self.bench = bench
        self.broken: list[str] = []
        self.revisions: dict[str, int] = {}
        self.accepted: list[tuple[float, int, str]] = []
        self.completions: dict[str, set[int]] = {}
        self.allowed_versions: dict[str, set[int]] = {}
        self.checked: set[str] = set()
        self.most_poisoned = ENGINES_LOST_TO_ONE_CONTENT
        bench.checks.append(self.check)
        bench.hooks.append(self.observe)

    def report(self, text: str) -> None:
        """Keep what was broken, once."""
        line = f"{self.bench.clock.seconds:.2f} s: {text}"
        if text not in {known.split(": ", 1)[1] for known in self.broken}:
            self.broken.append(line)

    def observe(self, entry: FakeEntry, item: object) -> None:
        """Note which versions a request may be answered by."""
        if isinstance(item, ev.RequestArrived) and not item.is_service:
            self.note_versions(entry, item)
        if isinstance(item, ev.AttemptEnded) and item.outcome is ev.Outcome.COMPLETED:
            request = entry.state.requests.get(item.request_id)
            if request is not None and request.attempt == item.attempt:
                self.completions.setdefault(item.request_id, set()).add(item.attempt)

    def note_versions(self, entry: FakeEntry, item: ev.RequestArrived) -> None:
        """Note the version that a request names, or that is current at its entry."""
        name, _, version = item.target.partition("@")
        adapter = entry.state.config.adapters_by_name.get(name)
        if adapter is not None:
            self.allowed_versions[item.request_id] = {int(version or adapter.current)}

    def check(self, bench: Simulation) -> None:
        """Check what must hold after every event."""
        for text in bench.violations():
            self.report(text)
        self.check_leads()
        for entry in bench.entries.values():
            self.check_revision(entry)
        poisoned = sum(engine.poison_crashes for engine in bench.engines.values())
        if poisoned > self.most_poisoned:
            self.report(f"one content crashed {poisoned} engines")
        for key, runs in bench.services["booking-1"].runs_by_key.items():
            if runs > 1:
                self.report(f"key {key} ran {runs} times")
        for asked in bench.requests_by_id.values():
            if asked.ended_at is not None and asked.request_id not in self.checked:
                self.check_answer(asked)

    def check_leads(self) -> None:
        """At most one lead of a base model acts at a time."""
        now = self.bench.clock.seconds
        acting: dict[str, list[str]] = {}
        for name, entry in self.bench.entries.items():
            if not entry.alive or entry.paused or entry.stopped:
                continue
            for base in entry.state.boards:
                until = entry.state.leadership.leases_by_base[base].lead_until
                if now < until:
                    acting.setdefault(base, []).append(name)
                elif now > until + LEASE_SLACK_S:
                    self.report(f"{name} leads {base} after its lease")
        for base, names in acting.items():
            if len(names) > 1:
                self.report(f"{base} is led by {names}")

    def check_revision(self, entry: FakeEntry) -> None:
        """The revision in force on an entry never goes back."""
        if not entry.alive:
            return
        boot, revision = entry.state.boot, entry.state.config.revision
        if revision < self.revisions.get(boot, 0):
            self.report(f"{entry.state.me.name} went back to revision {revision}")
        self.revisions[boot] = revision

    def check_answer(self, asked: RequestRecord) -> None:
        """An answer is whole, from the right adapter, and 'not run' means not run."""
        self.checked.add(asked.request_id)
        who = f"{asked.request_id} ({asked.target})"
        if asked.completed and asked.refusal is not None:
            self.report(f"{who} was answered and refused")
        if asked.answered_by is not None:
            allowed = self.allowed_versions.get(asked.request_id, set())
            name = asked.target.partition("@")[0]
            if asked.answered_by.adapter != name or asked.answered_by.version not in allowed:
                self.report(f"{who} was answered by {asked.answered_by}")
        if asked.refusal is not None and asked.refusal.ran is Ran.NO and self.was_run(asked):
            self.report(f"{who} was told 'not run' by {asked.refusal} but ran")

    def was_run(self, asked: RequestRecord) -> bool:
        """Return whether any endpoint started a request."""
        endpoints = [*self.bench.engines.values(), *self.bench.services.values()]
        return any(asked.request_id in endpoint.started_requests for endpoint in endpoints)

    def accept(self, revision: int, preset: str) -> None:
        """Note a change that its writer was told is accepted."""
        self.accepted.append((self.bench.clock.seconds, revision, preset))

    def check_end(self, lost_entries: set[str]) -> None:
        """Check what must hold once the faults are over and the time for answers has passed."""
        for request_id, attempts in self.completions.items():
            if len(attempts) > 1:
                self.report(f"{request_id} completed {len(attempts)} times")
        for asked in self.bench.requests_by_id.values():
            if asked.ended_at is None and asked.entry not in lost_entries:
                self.report(f"{asked.request_id} ({asked.target}) got no final answer")
            if asked.refusal is not None and asked.refusal.ran is Ran.NO and self.was_run(asked):
                self.report(f"{asked.request_id} was told 'not run' and ran later")
        if not self.accepted:
            return
        _, revision, preset = max(self.accepted, key=lambda item: item[1])
        for name, entry in self.bench.entries.items():
            if not entry.alive or entry.stopped:
                continue
            config = entry.state.config
            if config.revision < revision:
                self.report(f"{name} is at revision {config.revision}, not {revision}")
            elif config.revision == revision and config.preset.name != preset:
                self.report(f"{name} has preset {config.preset.name}, not {preset}")
