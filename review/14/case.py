"""VERSION: a request begins on an adapter version later than 5 s after a newer one was confirmed."""

import os
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_3 import MODEL, Engine, Site, send, wait_until  # noqa: E402

VERSION_S = 5.0
# The site file's dose of srv_slow: five times as long, for 6.5 s.
SLOWNESS, SLOW_S = 5.0, 6.5
ADAPTER = "a7"
CHAT_INTERVAL_S = 0.15


def main() -> int:
    """Play the case; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with Site(CASE) as site:
        record, store = site.record, site.store
        engines = [Engine(store, record, f"i-e{n}", "amman-a") for n in range(1, 10)]
        if not site.start_entries(("amman-a", "amman-b", "amman-a")):
            print("the entries did not get ready")
            return 2
        store.put("versions", f"{MODEL}.{ADAPTER}", version_spec(1))
        stopped = threading.Event()
        answers = []

        def chat(number: int) -> None:
            entry = site.entries[number % len(site.entries)]
            headers = {"X-Model": f"{MODEL}/{ADAPTER}", "X-Token-Usage": "628,292"}
            headers |= {"X-Prompt-Prefix": f"5c1e07a2:119,91bd3f06:79,{number:08x}:430"}
            answers.append(
                send(
                    site, entry, f"chat{number:04d}", "POST", "/chat/a", headers, b"x" * 1700, 15000
                )
            )

        def keep_chatting() -> None:
            number = 0
            while not stopped.is_set():
                number += 1
                threading.Thread(target=chat, args=(number,), daemon=True).start()
                time.sleep(CHAT_INTERVAL_S)

        threading.Thread(target=keep_chatting, daemon=True).start()
        holders = lambda: [e for e in engines if e.adapters.get(ADAPTER) == 1]  # noqa: E731
        if not wait_until(lambda: any(e.begun for e in engines), 15.0):
            print("no request was served")
            return 2
        time.sleep(4.0)
        holder = max(holders(), key=lambda e: len(e.begun))
        record.add(f"{ADAPTER} is held by {[e.name for e in holders()]}")
        confirmed_at = store.put("versions", f"{MODEL}.{ADAPTER}", version_spec(2))
        record.add(f"version 2 of {ADAPTER} is confirmed")
        time.sleep(1.0)
        if has_trouble:
            holder.slowness = SLOWNESS
            record.add(f"{holder.name} is {SLOWNESS} times as slow from now on")
            threading.Timer(SLOW_S, lambda: setattr(holder, "slowness", 1.0)).start()
        sleep_until(confirmed_at + 1.6)

        def plan(number: int) -> None:
            headers = {"X-Model": f"{MODEL}/{ADAPTER}", "X-Token-Usage": "28000,52"}
            headers |= {"X-Prompt-Prefix": f"5c1e07a2:2520,77bd3f06:3780,{number:08x}:21700"}
            entry, name = site.entries[number], f"plan{number:04d}"
            body = b"x" * 60_000
            # Callers leave a stream that has not begun after four times its objective.
            send(site, entry, name, "POST", "/plan/a", headers, body, patience_s=4.0)

        # One at each machine; they need not choose the same engine.
        for number in range(len(site.entries)):
            threading.Thread(target=plan, args=(number,), daemon=True).start()
            time.sleep(0.05)
        sleep_until(confirmed_at + 12.0)
        stopped.set()
        time.sleep(1.0)
        late = [
            (at - confirmed_at, request_id, engine.name)
            for engine in engines
            for at, request_id, adapter, version in list(engine.begun)
            if adapter == ADAPTER and version < 2 and at - confirmed_at > VERSION_S
        ]
        on_new = sum(version == 2 for e in engines for _, _, _, version in e.begun)
        for after_s, request_id, name in sorted(late):
            text = (
                f"{request_id} began on version 1 at {name}, {after_s:.3f} s after the confirmation"
            )
            record.add("BROKEN " + text)
            print(text)
        print(f"{len(answers)} chats, {on_new} runs on version 2, {len(late)} late on version 1")
        if not on_new:
            return 2
        return 1 if late else 0


def version_spec(version: int) -> dict:
    """Return what the operator writes of a version."""
    return {"model": MODEL, "adapter": ADAPTER, "version": version}


def sleep_until(at: float) -> None:
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, at - time.monotonic()))


if __name__ == "__main__":
    sys.exit(main())
