"""BUDGET: a request that crashes servers is sent to them again after all entries were killed."""

import signal
import threading
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, now, route, run_case

FOLDER = Path(__file__).resolve().parent
POISON = "/booking/poison"
# Seconds after which a server that has crashed is back.
BACK_S = 2.0
KILLS = 2
RETRIES_ALLOWED = 3
# Retries of the poisonous request in each phase, and seconds between them.
RETRIES, RETRY_INTERVAL_S = 6, 1.5


def play(site: Site) -> bool:
    """Send a request that crashes servers again and again, and kill all entries in between."""
    servers = [site.add_server(name, "desk") for name in ("d1", "d2", "d3", "d4")]
    for server in servers:
        server.poison, server.back_s = POISON, BACK_S
    routes = [route("/lookup/", "desk", "safe"), route("/booking/", "desk", "unsafe")]
    site.store.put("config", "main", desired_state(7, routes))
    site.start_entries(2)
    consumer, is_over = Consumer(site.record), threading.Event()
    poisoned = Consumer(site.record, "p")

    def send_steadily() -> None:
        number = 0
        while not is_over.wait(0.1):
            number += 1
            entry = site.entries[number % 2]
            threading.Thread(
                target=consumer.send, args=(entry, "GET", f"/lookup/{number}"), daemon=True
            ).start()

    threading.Thread(target=send_steadily, daemon=True).start()
    time.sleep(STABLE_WINDOW_S + 1.0)

    def crashes() -> list[float]:
        return sorted(at for server in servers for at in server.poisoned_at)

    def send_poison() -> None:
        for number in range(RETRIES):
            poisoned.send(site.entries[number % 2], "POST", POISON, "poison", body=b"x" * 600)
            time.sleep(RETRY_INTERVAL_S)

    send_poison()
    if len(crashes()) < 3:
        raise RuntimeError("the request has not crashed three servers")
    judged_from = crashes()[2] + STABLE_WINDOW_S
    time.sleep(max(0.0, judged_from - now()))
    for _ in range(KILLS):
        if site.is_troubled:
            for entry in site.entries:
                entry.signal(signal.SIGKILL)
            site.record.write("all entries are killed")
            for entry in site.entries:
                entry.process.wait()
            time.sleep(1.0)
            for entry in site.entries:
                entry.start()
            for entry in site.entries:
                site.wait_ready(entry)
        time.sleep(STABLE_WINDOW_S + 0.5)
        send_poison()
    is_over.set()
    time.sleep(0.5)
    late = [at for at in crashes() if at > judged_from]
    site.record.write(
        f"the request reached and crashed servers {len(crashes())} times, {len(late)} of them later"
        f" than {STABLE_WINDOW_S} s after the third crash"
    )
    return len(late) > RETRIES_ALLOWED


run_case(FOLDER, play)
