"""Helpers for tests of leads, grants and loads on the bench."""


def lead_of(bench):
    """Return the only entry that leads, and its engine pool."""
    leads = [entry for entry in bench.entries.values() if entry.alive and entry.state.boards]
    assert len(leads) == 1
    return leads[0], leads[0].state.boards["base"]


def call_and_run_effects(bench, entry, call, *args):
    """Call a function of ``decisions`` that ends in ``(at, out)`` for an entry now.

    Runs the effects that the function appends to ``out``, and returns its result.
    """
    out = []
    result = call(*args, bench.clock.seconds, out)
    for effect in out:
        bench.run_effect(entry, effect)
    return result


def wait_until(bench, condition, timeout_s=20.0):
    """Run the bench until a condition holds; fail after ``timeout_s`` of simulated time."""
    end = bench.clock.seconds + timeout_s
    while not condition():
        assert bench.clock.seconds < end
        bench.run(0.05)


def acting_leads(bench, base="base"):
    """Return the entries that act as the lead of a base model now; paused ones do not act."""
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
    """Check that at most one entry acts as the lead, and that no engine recorded a violation.

    The bench's engines record a request that arrives after they left, and the eviction of an
    adapter version that a request on the engine uses.
    """
    assert len(acting_leads(bench)) <= 1
    assert bench.violations() == []


def send_requests(bench, entries, targets, duration_s, every_s=0.1, tokens=8, deadline_s=30.0):
    """Send a request every ``every_s`` seconds, to each entry in turn; return the requests.

    The target changes after each round over the entries.
    """
    requests = []
    end = bench.clock.seconds + duration_s
    while bench.clock.seconds < end:
        number = len(requests)
        entry = entries[number % len(entries)]
        target = targets[(number // len(entries)) % len(targets)]
        requests.append(bench.ask(entry, target, tokens=tokens, deadline_s=deadline_s))
        bench.run(every_s)
    return requests
