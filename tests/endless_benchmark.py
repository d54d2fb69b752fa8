"""Latency of sound requests beside endpoints that do not end their responses; run by hand.

``python -m tests.endless_benchmark`` prints a table of one entry: sound requests alone, beside eight
responses without end at a time, and beside 64. Their endpoints and callers are in a process of their
own, so that they do not hold up the measurement.
"""

import json
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests.site import ROOT
from tests.standin_server import HOST
from tests.test_endless_responses import EndlessSite

SOUND_REQUESTS = 400
SOUND_INTERVAL_S = 0.02
# Number, route and endpoint of the responses without end, by row of the table.
ROWS = {
    "alone": (0, "", ""),
    "8, a byte at a time": (8, "read", "body-a-byte-at-a-time"),
    "8, plain, fast": (8, "read", "body-as-fast-as-it-can"),
    "8, small chunks, fast": (8, "read", "chunks-as-fast-as-it-can"),
    "8, one event, fast": (8, "stream", "event-as-fast-as-it-can"),
    "64, plain, fast": (64, "read", "body-as-fast-as-it-can"),
    "64, one event, fast": (64, "stream", "event-as-fast-as-it-can"),
}
SERVE_ARGUMENT = "serve"


def serve_without_end() -> None:
    """Serve responses without end, and request them as lines of the standard input say.

    Prints the ports of the endpoints. A line is the entry's port, a number of callers, a route and
    the name of an endpoint; an empty line ends these requests.
    """
    with tempfile.TemporaryDirectory() as directory:
        site = EndlessSite(Path(directory))
        print(json.dumps({name: e.port for name, e in site.endless.items()}), flush=True)
        stopping = threading.Event()
        threads: list[threading.Thread] = []

        def keep_requesting(stopping: threading.Event, route: str, name: str) -> None:
            while not stopping.is_set():
                site.request_endless(route, name)

        for line in sys.stdin:
            stopping.set()
            for thread in threads:
                thread.join()
            stopping, threads = threading.Event(), []
            if line.strip():
                port, count, route, name = line.split()
                site.port = int(port)
                threads = [
                    threading.Thread(target=keep_requesting, args=(stopping, route, name))
                    for _ in range(int(count))
                ]
            for thread in threads:
                thread.start()
            print("ready", flush=True)
        site.stop()


class EndlessProcess:
    """The process that serves and requests responses without end."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "tests.endless_benchmark", SERVE_ARGUMENT],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port_by_name: dict[str, int] = json.loads(self.process.stdout.readline())

    def request(self, *words: object) -> None:
        """Begin requests, or end them if there are no words, and wait until that is done."""
        self.process.stdin.write(" ".join(map(str, words)) + "\n")
        self.process.stdin.flush()
        self.process.stdout.readline()

    def stop(self) -> None:
        """End the process."""
        self.process.stdin.close()
        self.process.wait()


def send_sound_requests(site: EndlessSite) -> list[float]:
    """Send plain requests in a steady pace; return their times in seconds, sorted."""
    times_s: list[float] = []

    def send() -> None:
        started_at = time.monotonic()
        status, _, _ = site.send_request("/read/x")
        times_s.append(time.monotonic() - started_at if status == 200 else float("inf"))

    threads = []
    for _ in range(SOUND_REQUESTS):
        threads.append(threading.Thread(target=send))
        threads[-1].start()
        time.sleep(SOUND_INTERVAL_S)
    for thread in threads:
        thread.join()
    return sorted(times_s)


def main() -> None:
    """Measure all rows and print them."""
    print("| responses without end at once | median ms | p99 ms | memory, KB more |")
    print("|---|---|---|---|")
    with tempfile.TemporaryDirectory() as directory:
        endless = EndlessProcess()
        site = EndlessSite(Path(directory))
        try:
            site.start()
            for name, port in endless.port_by_name.items():
                record = site.endless[name].record() | {"address": f"{HOST}:{port}"}
                site.store.put("servers", name, record)
            time.sleep(3.0)
            send_sound_requests(site)
            for label, (count, route, name) in ROWS.items():
                before_kb = site.reset_peak()
                if count:
                    endless.request(site.port, count, route, name)
                    time.sleep(0.5)
                times_s = send_sound_requests(site)
                growth_kb = site.peak_kb() - before_kb
                endless.request()
                p99_s = times_s[int(len(times_s) * 0.99)]
                median_s = statistics.median(times_s)
                print(
                    f"| {label} | {median_s * 1000:.1f} | {p99_s * 1000:.1f} | {growth_kb} |",
                    flush=True,
                )
        finally:
            site.stop()
            endless.stop()


if __name__ == "__main__":
    serve_without_end() if sys.argv[1:] == [SERVE_ARGUMENT] else main()
