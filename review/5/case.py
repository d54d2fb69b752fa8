"""GONE: requests of consumers that have left reach a server when it accepts connections late."""

import threading
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, route, run_case

FOLDER = Path(__file__).resolve().parent
LATE_S = 0.5
FEW = 5
GIVE_UP_S = 0.3
PAUSE_S = 0.9
ROUNDS = 3
REQUESTS = 30


def play(site: Site) -> bool:
    """Let a server accept nothing for a moment, while consumers send requests and give up."""
    servers = [site.add_server(name, "desk") for name in ("d1", "d2")]
    stuck = site.add_server("d3", "desk", backlog=1)
    routes = [route("/lookup/", "desk", "safe"), route("/booking/", "desk", "unsafe")]
    site.store.put("config", "main", desired_state(7, routes))
    site.start_entries(2)
    time.sleep(STABLE_WINDOW_S + 1.0)
    consumer = Consumer(site.record)
    for server in (*servers, stuck):
        server.work_s = 0.05
    for round_number in range(ROUNDS):
        if site.is_troubled:
            stuck.pause_accepting(PAUSE_S)
            site.record.write(f"d3 accepts no connections for {PAUSE_S} s")
        threads = [
            threading.Thread(
                target=consumer.send,
                args=(site.entries[number % 2], "POST", f"/booking/{round_number}-{number}"),
                kwargs={"give_up_s": GIVE_UP_S},
            )
            for number in range(REQUESTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(4.0)
    late = []
    for server in (*servers, stuck):
        for at, request_id, _ in server.arrivals:
            _, _, status, ended_at = consumer.answers[request_id]
            if not status and at - ended_at > LATE_S:
                late.append((request_id, at - ended_at))
    for request_id, seconds in late:
        site.record.write(f"{request_id} reached a server {seconds:.2f} s after its consumer left")
    site.record.write(f"{len(late)} of {len(consumer.answers)} requests came so late")
    return len(late) > FEW


run_case(FOLDER, play)
