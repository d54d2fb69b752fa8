"""ONE: after the store came back from an older copy two entries order with one epoch number."""

import os
import signal
import threading
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, now, route, run_case

FOLDER = Path(__file__).resolve().parent
# The store is away for so long, and the copy is so old when it comes back.
AWAY_S, COPY_AGE_S = 0.5, 3.0
WATCHED_S = 15.0
ADAPTERS = 40
REQUESTS_PER_S = 12


def play(site: Site) -> bool:
    """Restart an entry, and let the store come back from a copy from before the leads moved."""
    engines = [site.add_server(name, "models", slots=64) for name in ("e1", "e2", "e3")]
    routes = [route("/plan/", "models", "streaming", resumable=True)]
    site.store.put("config", "main", desired_state(7, routes, 8))
    site.start_entries(2)
    consumer, is_over = Consumer(site.record), threading.Event()
    is_stopping = threading.Event()

    def send_steadily() -> None:
        number = 0
        while not is_over.wait(1 / REQUESTS_PER_S):
            number += 1
            # The platform sends nobody to an entry that is not ready.
            entry = site.entries[1 if is_stopping.is_set() else number % 2]
            args = entry, "POST", "/plan/2", "", f"a{number % ADAPTERS}"
            threading.Thread(target=consumer.send, args=args, daemon=True).start()

    threading.Thread(target=send_steadily, daemon=True).start()
    time.sleep(STABLE_WINDOW_S + 3.0)
    first = site.entries[0]
    is_stopping.set()
    first.signal(signal.SIGTERM)
    site.record.write("SIGTERM to front-1")
    stopped_at = now()
    time.sleep(COPY_AGE_S - AWAY_S - 0.5)
    if site.is_troubled:
        site.store.go_away(AWAY_S, stopped_at - 0.5)
        # What the operator and the servers wrote is written again.
        site.store.put("config", "main", desired_state(7, routes, 8))
        for engine in engines:
            engine.write()
    first.process.wait(timeout=9)
    site.record.write("front-1 has ended")
    time.sleep(0.5)
    first.start()
    site.wait_ready(first)
    is_stopping.clear()
    time.sleep(WATCHED_S)
    is_over.set()
    time.sleep(1.0)
    is_broken = False
    for engine in engines:
        times_by_epoch: dict[int, dict[str, list[float]]] = {}
        for at, order, _ in engine.order_log:
            machine = order["holder"].partition("#")[0]
            times = times_by_epoch.setdefault(order["fenceToken"], {})
            times.setdefault(machine, []).append(site.record.since_start(at))
        for epoch, times in sorted(times_by_epoch.items()):
            for machine, at in times.items():
                site.record.write(
                    f"{engine.name}, epoch {epoch}: {len(at)} orders of {machine}, from {at[0]:.2f}"
                    f" to {at[-1]:.2f} s"
                )
            if len(times) > 1:
                site.record.write(f"{engine.name}: {len(times)} holders with the epoch {epoch}")
                is_broken = True
    return is_broken


run_case(FOLDER, play, is_troubled=os.environ.get("TROUBLE", "1") != "0")
