"""Helpers for tests of leads, grants and loads on the bench."""


def lead_of(bench):
    """Return the entry that leads the base model, and its board."""
    leads = [entry for entry in bench.entries.values() if entry.alive and entry.state.boards]
    assert len(leads) == 1
    return leads[0], leads[0].state.boards["base"]


def run_decision(bench, entry, call, *args):
    """Call a decision of an entry and run its effects."""
    out = []
    result = call(*args, bench.clock.seconds, out)
    for effect in out:
        bench.effect(entry, effect)
    return result


def wait_until(bench, condition, timeout_s=20.0):
    """Let time pass until a condition holds."""
    end = bench.clock.seconds + timeout_s
    while not condition():
        assert bench.clock.seconds < end
        bench.run(0.05)


def acting_leads(bench, base="base"):
    """Return the entries that act as the lead of a base model now."""
    now = bench.clock.seconds
    return [
        name
        for name, entry in bench.entries.items()
        if entry.alive
        and not entry.paused
        and not entry.stopped
        and base in entry.state.boards
        and entry.state.leadership.leases_by_base[base].lead_until > now
    ]


def check_at_most_one_lead(bench):
    """Check after an event that no two entries act as the lead, and that engines saw no harm."""
    assert len(acting_leads(bench)) <= 1
    assert bench.violations() == []


def send_requests(bench, entries, targets, duration_s, every_s=0.1, tokens=8, deadline_s=30.0):
    """Send requests to some entries and for some adapters in turn; return their records."""
    asked = []
    end = bench.clock.seconds + duration_s
    while bench.clock.seconds < end:
        number = len(asked)
        entry = entries[number % len(entries)]
        target = targets[(number // len(entries)) % len(targets)]
        asked.append(bench.ask(entry, target, tokens=tokens, deadline_s=deadline_s))
        bench.run(every_s)
    return asked
