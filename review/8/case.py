"""All entries are killed during a release; resumed streams are joined from two software versions."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    DESK_SERVICE,
    MODEL,
    MODEL_SERVICE,
    ROUTE_HOST,
    Caller,
    Engine,
    Entry,
    Store,
    WeightStore,
    configuration,
    run_case,
)

ENTRIES = 2
ENGINES_PER_VERSION = 2
STREAMS = 12
EVENTS = 73
EVENT_S = 0.039
# Calls with `allowStale` "may return data that is seconds old".
STALE_S = 2.5
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
# How much longer than `drainMs` a leaving engine serves.
LINGER_S = 0.1
# From the registration of the new engines to the kill, and from it to the start of the processes.
KILL_AFTER_S = 2.0
DOWN_S = 1.0
# Consumers abandon a stream after four times its response-time goal of 800 ms, or eight times the pause
# of 400 ms, or two seconds.
LONGEST_GAP_S = 3.2
TIME_BUDGET_S = 15.0
RETRY_S = 0.25


class Consumer:
    """A consumer that takes a broken stream up again at any entry."""

    def __init__(self, number: int, entries: list[Entry], record) -> None:
        self.number, self.entries, self.record = number, entries, record
        self.events: list[tuple[int, str]] = []
        self.is_complete = False
        self.attempts = 0
        self.first_name = ""
        self.gap_s = 0.0

    async def run(self) -> None:
        """Read the stream to its end, within the time budget."""
        began_at = read_at = time.monotonic()
        while not self.is_complete and time.monotonic() - began_at < TIME_BUDGET_S:
            entry = self.entries[(self.number + self.attempts) % len(self.entries)]
            left_s = TIME_BUDGET_S - (time.monotonic() - began_at)
            self.attempts += 1
            name = f"stream-{self.number:02x}-{self.attempts:02x}"
            count = len(self.events)
            self.first_name = self.first_name if count else name
            try:
                await asyncio.wait_for(self.attempt(entry, name, left_s), left_s)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
                text = type(error).__name__
                self.record.write(f"{name} at {entry.name}: broken off, {text}")
            if len(self.events) > count:
                read_at = time.monotonic()
            elif not self.is_complete:
                self.gap_s = time.monotonic() - read_at
                await asyncio.sleep(RETRY_S)

    async def attempt(self, entry: Entry, name: str, left_s: float) -> None:
        """Send the request, or the rest of it, and read events."""
        reader, writer = await Caller(entry.port).connect()
        try:
            headers = {
                "Host": ROUTE_HOST,
                "X-Model": MODEL,
                "X-Token-Usage": "628,292",
                "X-Prompt-Prefix": f"5c1e07a2:119,{self.number + 4096:x}:509",
                "X-Deadline-Ms": str(int(left_s * 1000)),
            }
            if self.events:
                headers["Last-Event-Id"] = str(self.events[-1][0])
                # The attempt that brought the first event.
                headers["Resumes"] = self.first_name
            writer.write(Caller.head("POST", "/chat/x", name, headers, b"x"))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split()[1])
            self.record.write(f"{name} at {entry.name}: {status}, {len(self.events)} events so far")
            if status != 200:
                return
            pending = b""
            while size := int(await reader.readline(), 16):
                pending += await reader.readexactly(size)
                await reader.readline()
                *events, pending = pending.split(b"\n\n")
                for event in events:
                    number, text = event.decode().split("\n")
                    self.events.append((int(number[3:]), text[6:].split()[0]))
            self.is_complete = True
        finally:
            writer.close()

    def versions(self) -> list[str]:
        """Return the software versions of the events, in order, each once."""
        return list(dict.fromkeys(version for _, version in self.events))


async def case(record, scratch, entries, has_trouble) -> int:
    """Play the case; return its exit status."""
    store = Store(STALE_S)
    await store.listen()
    store.put("config", "main", configuration())
    weights = WeightStore()

    def engine(name: str, version: str) -> Engine:
        return Engine(
            name,
            MODEL_SERVICE,
            store,
            record,
            weights,
            events=EVENTS,
            event_s=EVENT_S,
            version=version,
        )

    old = [engine(f"old-{n}", "v1") for n in range(ENGINES_PER_VERSION)]
    new = [engine(f"new-{n}", "v2") for n in range(ENGINES_PER_VERSION)]
    desk = Engine("desk", DESK_SERVICE, store, record, slots=6)
    for one in [*old, desk]:
        await one.start()
    entries += [Entry(f"entry-{n + 1}", scratch, store) for n in range(ENTRIES)]
    for entry in entries:
        entry.launch()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S)
    consumers = [Consumer(n, entries, record) for n in range(STREAMS)]
    readers = [asyncio.create_task(consumer.run()) for consumer in consumers]
    await asyncio.sleep(0.3)
    for one in new:
        await one.start()
    record.write("the new engines are registered, the old ones drain")
    for one in old:
        one.state = "draining"
        one.more_headers = {"Server-Leaving": "1"}
        one.register()

    async def leave() -> None:
        await asyncio.sleep(DRAIN_S + LINGER_S)
        for one in old:
            store.remove("servers", one.name)
            one.end()
        record.write("the old engines have left")

    leaving = asyncio.create_task(leave())
    if has_trouble:
        await asyncio.sleep(KILL_AFTER_S)
        for entry in entries:
            entry.stop()
        record.write("all entries are killed")
        await asyncio.sleep(DOWN_S)
        for entry in entries:
            entry.drop_first_start()
            entry.launch()
    await leaving
    await asyncio.gather(*readers)
    joined = []
    for consumer in consumers:
        numbers = [number for number, _ in consumer.events]
        is_whole = consumer.is_complete and numbers == list(range(1, EVENTS + 1))
        record.write(
            f"stream {consumer.number:02x}: complete {consumer.is_complete}, whole {is_whole}, "
            f"versions {consumer.versions()}, longest gap {consumer.gap_s:.1f} s"
        )
        if consumer.is_complete and len(consumer.versions()) > 1:
            joined.append(consumer.number)
    complete = sum(consumer.is_complete for consumer in consumers)
    record.conclude(
        f"{complete} of {STREAMS} streams complete, {len(joined)} joined from two versions"
    )
    # The rule allows two.
    return 1 if len(joined) > 2 else 0


run_case(HERE, case)
