"""After the late deletion of a restarted entry's record no adapter is loaded any more."""

import signal
import threading
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, now, route, run_case

FOLDER = Path(__file__).resolve().parent
LATE_S = 6.0
RECOVER_S = 12.0
WATCHED_S = 30.0
ADAPTERS = 10
# Seconds between two requests for each adapter.
INTERVAL_S = 1.0


def play(site: Site) -> bool:
    """Restart an entry; the store carries out its deletion of its record late."""
    engines = [site.add_server(name, "models", slots=64) for name in ("e1", "e2", "e3")]
    for engine in engines:
        engine.work_s = 0.3
    site.store.put(
        "config",
        "main",
        desired_state(7, [route("/plan/", "models", "streaming", resumable=True)], 8),
    )
    site.start_entries(2)
    consumer, is_over = Consumer(site.record), threading.Event()
    time.sleep(STABLE_WINDOW_S)
    first = site.entries[0]
    for number in range(4):
        consumer.send(site.entries[number % 2], "POST", "/plan/1", "before", f"a{number}")

    def lose_write(method: str, parts: list[str]) -> float | None:
        is_lost = method == "DELETE" and parts == ["poplarhoist-entries", first.name]
        return LATE_S if is_lost and site.is_troubled else None

    site.store.lose_write = lose_write
    first.signal(signal.SIGTERM)
    site.record.write("SIGTERM to front-1")
    stopped_at = now()
    first.process.wait(timeout=9)
    site.record.write("front-1 has ended")
    first.start()
    site.wait_ready(first)
    time.sleep(max(0.0, stopped_at + LATE_S - now()))

    def ask_steadily(name: str) -> None:
        turn = int(name[1:])
        while not is_over.wait(INTERVAL_S):
            turn += 1
            entry = site.entries[turn % 2]
            consumer.send(entry, "POST", "/plan/1", name, name)

    def begin(names: list[str]) -> None:
        for name in names:
            threading.Thread(target=ask_steadily, args=(name,), daemon=True).start()
            time.sleep(INTERVAL_S / len(names))

    begin([f"b{number}" for number in range(ADAPTERS)])
    time.sleep(RECOVER_S)
    late = [f"c{number}" for number in range(ADAPTERS)]
    site.record.write("the adapters c0 and so on are asked for from now on")
    begin(late)
    time.sleep(WATCHED_S)
    is_over.set()
    time.sleep(5.0)
    for engine in engines:
        kept = [order["holder"] for _, order, _ in engine.order_log]
        site.record.write(f"{engine.name} got {len(kept)} orders, of {sorted(set(kept))}")
    never = []
    for name in late:
        statuses = [status for _, kind, status, _ in consumer.answers.values() if kind == name]
        site.record.write(f"adapter {name}: {len(statuses)} requests, {statuses.count(200)} served")
        if len(statuses) >= 4 and not statuses.count(200):
            never.append(name)
    site.record.write(f"{len(never)} of {ADAPTERS} adapters were never served")
    return len(never) > 1 + ADAPTERS / 10


run_case(FOLDER, play)
