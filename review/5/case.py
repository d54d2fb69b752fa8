"""DRAIN: a server that is gone gets requests for as long as the store cuts off waiting watches."""

import os
import threading
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, route, run_case

FOLDER = Path(__file__).resolve().parent
DRAIN_S = 3.0
CUT_INTERVAL_S = 3.0
REQUESTS_PER_S = 20


def play(site: Site) -> bool:
    """Remove a server's entry under load, and look for requests that reach it after `DRAIN_S`."""
    servers = [site.add_server(name, "desk") for name in ("d1", "d2", "d3")]
    routes = [route("/lookup/", "desk", "safe"), route("/booking/", "desk", "unsafe")]
    site.store.put("config", "main", desired_state(7, routes))
    site.start_entries(2)
    time.sleep(STABLE_WINDOW_S + 1.0)
    consumer, is_over = Consumer(site.record), threading.Event()

    def send_steadily() -> None:
        number = 0
        while not is_over.wait(1 / REQUESTS_PER_S):
            number += 1
            path = f"/lookup/{number}" if number % 2 else f"/booking/{number}"
            method = "GET" if number % 2 else "POST"
            entry = site.entries[number // 2 % 2]
            threading.Thread(target=consumer.send, args=(entry, method, path), daemon=True).start()

    def cut_steadily() -> None:
        while not is_over.wait(CUT_INTERVAL_S):
            site.store.cut_watches()
            site.record.write("the store cuts off the waiting watches")

    threading.Thread(target=send_steadily, daemon=True).start()
    if site.is_troubled:
        threading.Thread(target=cut_steadily, daemon=True).start()
    time.sleep(5.0)
    leaving = servers[0]
    leaving.is_listed = False
    confirmed_at = site.store.remove("servers", "d1")
    site.record.write("the store confirms that the entry of d1 is removed")
    time.sleep(14.0)
    is_over.set()
    time.sleep(0.5)
    after = [at - confirmed_at for at, _, _ in leaving.arrivals if at > confirmed_at]
    late = [seconds for seconds in after if seconds > DRAIN_S]
    if not leaving.arrivals:
        raise RuntimeError("d1 got no requests before")
    site.record.write(
        f"{len(after)} requests reached d1 after the confirmation, {len(late)} later than"
        f" {DRAIN_S} s, the last after {max(after, default=0.0):.2f} s"
    )
    return bool(late)


run_case(FOLDER, play, is_troubled=os.environ.get("TROUBLE", "1") != "0")
