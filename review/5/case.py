"""UNASKED: a request whose path begins with two slashes runs with another path."""

from pathlib import Path

from standins import Consumer, Site, desired_state, route, run_case

FOLDER = Path(__file__).resolve().parent
TARGETS = ("//lookup/visit/7", "///lookup/visit/8", "//lookup/visit/9?day=2")


def play(site: Site) -> bool:
    """Send requests, and compare what the servers ran with what the consumers sent."""
    for name in ("d1", "d2"):
        site.add_server(name, "desk")
    routes = [route("/", "desk", "safe")]
    site.store.put("config", "main", desired_state(7, routes))
    site.start_entries(1)
    consumer = Consumer(site.record)
    sent = {}
    for number, target in enumerate(TARGETS * 4, 1):
        target = target if site.is_troubled else "/" + target.lstrip("/")
        sent[f"r{number:05d}"] = target
        consumer.send(site.entries[0], "GET", target)
    ran = [(run_id, path) for server in site.servers.values() for _, run_id, path in server.runs]
    changed = [(run_id, path) for run_id, path in ran if path != sent[run_id]]
    if not ran:
        raise RuntimeError("no request has run")
    site.record.write(f"{len(ran)} requests have run, {len(changed)} with another path")
    for run_id, path in changed:
        site.record.write(f"{run_id}: sent {sent[run_id]}, run {path}")
    return bool(changed)


run_case(FOLDER, play)
