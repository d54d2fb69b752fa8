"""Latency of sound requests beside endpoints that do not end their responses; run by hand.

``python -m tests.endless_benchmark`` prints a table of one entry: sound requests alone, beside eight
responses without end at a time, and beside 64.
"""

import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests.test_endless_responses import EndlessSite

SOUND_REQUESTS = 400
SOUND_CALLERS = 4
# Name of the endpoint and route of the responses without end, by row of the table.
ROWS = {
    "alone": (0, "", ""),
    "8, a byte at a time": (8, "read", "body-a-byte-at-a-time"),
    "8, plain, fast": (8, "read", "body-as-fast-as-it-can"),
    "8, small chunks, fast": (8, "read", "chunks-as-fast-as-it-can"),
    "8, one event, fast": (8, "stream", "event-as-fast-as-it-can"),
    "64, plain, fast": (64, "read", "body-as-fast-as-it-can"),
    "64, one event, fast": (64, "stream", "event-as-fast-as-it-can"),
}


def send_sound_requests(site: EndlessSite) -> list[float]:
    """Send plain requests from some callers at once; return their times in seconds, sorted."""
    times_s: list[float] = []

    def run() -> None:
        for _ in range(SOUND_REQUESTS // SOUND_CALLERS):
            started_at = time.monotonic()
            status, _, _ = site.send_request("/read/x")
            times_s.append(time.monotonic() - started_at if status == 200 else float("inf"))

    threads = [threading.Thread(target=run) for _ in range(SOUND_CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sorted(times_s)


def measure(site: EndlessSite, count: int, route: str, name: str) -> tuple[float, float, int]:
    """Return median and p99 of sound requests in milliseconds, and the growth in KB at its peak."""
    before_kb = site.reset_peak()
    stopping = threading.Event()

    def keep_requesting() -> None:
        while not stopping.is_set():
            site.request_endless(route, name)

    threads = [threading.Thread(target=keep_requesting) for _ in range(count)]
    for thread in threads:
        thread.start()
    time.sleep(0.5 if count else 0.0)
    times_s = send_sound_requests(site)
    stopping.set()
    for thread in threads:
        thread.join()
    p99_s = times_s[int(len(times_s) * 0.99)]
    return statistics.median(times_s) * 1000, p99_s * 1000, site.peak_kb() - before_kb


def main() -> None:
    """Measure all rows and print them."""
    print("| responses without end at once | median ms | p99 ms | memory, KB more |")
    print("|---|---|---|---|")
    with tempfile.TemporaryDirectory() as directory:
        site = EndlessSite(Path(directory))
        try:
            site.start()
            for label, (count, route, name) in ROWS.items():
                median_ms, p99_ms, growth_kb = measure(site, count, route, name)
                print(f"| {label} | {median_ms:.1f} | {p99_ms:.1f} | {growth_kb} |", flush=True)
        finally:
            site.stop()


if __name__ == "__main__":
    sys.exit(main())
