"""Invariants of a simulated site, checked after every event and at the end of a run."""

from poplarhoist.decisions import events as ev
from poplarhoist.models import Ran
from poplarhoist.replay.simulation import FakeEntry, RequestRecord, Simulation

# Seconds after the end of its lease within which a lead must have stepped down.
LEASE_SLACK_S = 0.2
# Engine crashes that one content may cause before it is quarantined.
MAX_POISON_CRASHES = 2


class InvariantChecker:
    """Checks the invariants of one simulated site and records violations as text.

    Attributes
    ----------
    violations : list
        One line per violation, with the simulated time; each text appears once.
    last_revision_by_boot : dict
        Highest configuration revision seen in force, by boot id of the entry.
    accepted_changes : list
        Time, revision and preset of each change that its writer was told is accepted.
    completed_attempts : dict
        Attempts that completed, by request id.
    allowed_versions : dict
        Adapter versions that may answer, by request id.
    checked_request_ids : set
        Requests whose answer has been checked.
    max_poison_crashes : int
        Engine crashes that one content may cause. Faults that hide crashes raise it.
    """

    def __init__(self, sim: Simulation) -> None:
        self.sim = sim
        self.violations: list[str] = []
        self.last_revision_by_boot: dict[str, int] = {}
        self.accepted_changes: list[tuple[float, int, str]] = []
        self.completed_attempts: dict[str, set[int]] = {}
        self.allowed_versions: dict[str, set[int]] = {}
        self.checked_request_ids: set[str] = set()
        self.max_poison_crashes = MAX_POISON_CRASHES
        sim.checks.append(self.check_after_event)
        sim.hooks.append(self.observe)

    def record_violation(self, text: str) -> None:
        """Record a violation with the time, unless the same text is recorded already."""
        line = f"{self.sim.clock.seconds:.2f} s: {text}"
        if text not in {known.split(": ", 1)[1] for known in self.violations}:
            self.violations.append(line)

    def observe(self, entry: FakeEntry, item: object) -> None:
        """Record allowed versions and completed attempts, before an event is applied."""
        if isinstance(item, ev.RequestArrived) and not item.is_service:
            self.record_allowed_versions(entry, item)
        if isinstance(item, ev.AttemptEnded) and item.outcome is ev.Outcome.COMPLETED:
            request = entry.state.requests.get(item.request_id)
            if request is not None and request.attempt == item.attempt:
                self.completed_attempts.setdefault(item.request_id, set()).add(item.attempt)

    def record_allowed_versions(self, entry: FakeEntry, item: ev.RequestArrived) -> None:
        """Record the version that a request names, or else the one that is current at its entry."""
        name, _, version = item.target.partition("@")
        adapter = entry.state.config.adapters_by_name.get(name)
        if adapter is not None:
            self.allowed_versions[item.request_id] = {int(version or adapter.current)}

    def check_after_event(self, sim: Simulation) -> None:
        """Check the invariants that hold after every event."""
        for text in sim.violations():
            self.record_violation(text)
        self.check_leads()
        for entry in sim.entries.values():
            self.check_revision(entry)
        crashes = sum(engine.poison_crashes for engine in sim.engines.values())
        if crashes > self.max_poison_crashes:
            self.record_violation(f"one content crashed {crashes} engines")
        for key, runs in sim.services["booking-1"].runs_by_key.items():
            if runs > 1:
                self.record_violation(f"key {key} ran {runs} times")
        for request in sim.requests_by_id.values():
            if request.ended_at is not None and request.request_id not in self.checked_request_ids:
                self.check_answer(request)

    def check_leads(self) -> None:
        """Check that at most one entry acts as lead of a base model, within its lease."""
        now = self.sim.clock.seconds
        acting_leads: dict[str, list[str]] = {}
        for name, entry in self.sim.entries.items():
            if not entry.alive or entry.paused or entry.stopped:
                continue
            for base in entry.state.boards:
                lead_until = entry.state.leadership.leases_by_base[base].lead_until
                if now < lead_until:
                    acting_leads.setdefault(base, []).append(name)
                elif now > lead_until + LEASE_SLACK_S:
                    self.record_violation(f"{name} leads {base} after its lease")
        for base, names in acting_leads.items():
            if len(names) > 1:
                self.record_violation(f"{base} is led by {names}")

    def check_revision(self, entry: FakeEntry) -> None:
        """Check that the configuration revision of a running entry never decreases."""
        if not entry.alive:
            return
        boot, revision = entry.state.boot, entry.state.config.revision
        if revision < self.last_revision_by_boot.get(boot, 0):
            self.record_violation(f"{entry.state.me.name} went back to revision {revision}")
        self.last_revision_by_boot[boot] = revision

    def check_answer(self, request: RequestRecord) -> None:
        """Check the answer or refusal of a request that has ended.

        A request must not be both answered and refused. The answer must come from an allowed
        version of the adapter. A refusal that says 'not run' requires that no endpoint has started
        the request.
        """
        self.checked_request_ids.add(request.request_id)
        label = f"{request.request_id} ({request.target})"
        if request.completed and request.refusal is not None:
            self.record_violation(f"{label} was answered and refused")
        if request.answered_by is not None:
            allowed = self.allowed_versions.get(request.request_id, set())
            name = request.target.partition("@")[0]
            if request.answered_by.adapter != name or request.answered_by.version not in allowed:
                self.record_violation(f"{label} was answered by {request.answered_by}")
        if (
            request.refusal is not None
            and request.refusal.ran is Ran.NO
            and self.has_started(request)
        ):
            self.record_violation(f"{label} was told 'not run' by {request.refusal} but ran")

    def has_started(self, request: RequestRecord) -> bool:
        """Return whether any endpoint has started a request."""
        endpoints = [*self.sim.engines.values(), *self.sim.services.values()]
        return any(request.request_id in endpoint.started_requests for endpoint in endpoints)

    def record_accepted_change(self, revision: int, preset: str) -> None:
        """Record a change that its writer was told is accepted."""
        self.accepted_changes.append((self.sim.clock.seconds, revision, preset))

    def check_final_state(self, killed_entries: set[str]) -> None:
        """Check the invariants that hold once the faults have ended and all deadlines have passed.

        Each request completed at most once, and got a final answer unless its entry was killed. No
        request that was refused as 'not run' has started since. Each running entry has at least
        the last accepted revision, with its preset.
        """
        for request_id, attempts in self.completed_attempts.items():
            if len(attempts) > 1:
                self.record_violation(f"{request_id} completed {len(attempts)} times")
        for request in self.sim.requests_by_id.values():
            if request.ended_at is None and request.entry not in killed_entries:
                self.record_violation(
                    f"{request.request_id} ({request.target}) got no final answer"
                )
            if (
                request.refusal is not None
                and request.refusal.ran is Ran.NO
                and self.has_started(request)
            ):
                self.record_violation(f"{request.request_id} was told 'not run' and ran later")
        if not self.accepted_changes:
            return
        _, revision, preset = max(self.accepted_changes, key=lambda item: item[1])
        for name, entry in self.sim.entries.items():
            if not entry.alive or entry.stopped:
                continue
            config = entry.state.config
            if config.revision < revision:
                self.record_violation(f"{name} is at revision {config.revision}, not {revision}")
            elif config.revision == revision and config.preset.name != preset:
                self.record_violation(f"{name} has preset {config.preset.name}, not {preset}")
