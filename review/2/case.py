"""After all servers of a service crash once, a path that many consumers ask for stays refused."""

import threading
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, now, route, run_case

FOLDER = Path(__file__).resolve().parent
RECOVER_S = 12.0
DOWN_S = 3.0
WATCHED_S = 20.0
KINDS = (
    # Name, method, path, whether the path differs from request to request, requests a second.
    ("lookup", "GET", "/lookup/free-dates", False, 24),
    ("booking", "POST", "/booking/", True, 10),
)


def play(site: Site) -> bool:
    """Crash the servers under load, and count what is served once they are back."""
    servers = [site.add_server(name, "desk") for name in ("d1", "d2", "d3")]
    for server in servers:
        server.work_s = 0.15
    routes = [route("/lookup/", "desk", "safe"), route("/booking/", "desk", "unsafe")]
    site.store.put("config", "main", desired_state(7, routes))
    site.start_entries(2)
    time.sleep(STABLE_WINDOW_S)
    consumer, is_over = Consumer(site.record), threading.Event()

    def send_steadily(kind, method, path, is_unique, per_s) -> None:
        number = 0
        while not is_over.wait(1 / per_s):
            number += 1
            target = f"{path}{number}" if is_unique else path
            entry = site.entries[number % 2]
            threading.Thread(
                target=consumer.send, args=(entry, method, target, kind), daemon=True
            ).start()

    for kind in KINDS:
        threading.Thread(target=send_steadily, args=kind, daemon=True).start()
    time.sleep(3.0)
    if site.is_troubled:
        crashes = [threading.Thread(target=server.crash) for server in servers]
        for thread in crashes:
            thread.start()
        for thread in crashes:
            thread.join()
        time.sleep(DOWN_S)
        for server in servers:
            server.start()
            site.record.write(f"server {server.name} is back")
    back_at = now()
    time.sleep(RECOVER_S + WATCHED_S)
    is_over.set()
    time.sleep(1.0)
    late = [a for a in consumer.answers.values() if a[0] > back_at + RECOVER_S]
    share = {}
    for name in [kind[0] for kind in KINDS] + [""]:
        statuses = [status for _, kind, status, _ in late if name in ("", kind)]
        share[name] = sum(status == 200 for status in statuses) / max(1, len(statuses))
        site.record.write(
            f"{name or 'all'}: {len(statuses)} sent later than {RECOVER_S} s after the servers"
            f" were back, {share[name]:.3f} served"
        )
    return share["lookup"] < share[""] / 4


run_case(FOLDER, play)
