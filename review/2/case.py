"""CONFIG: a version that is confirmed just after the store came back older is never in force."""

import os
import time
from pathlib import Path

from standins import STABLE_WINDOW_S, Consumer, Site, desired_state, now, route, run_case

FOLDER = Path(__file__).resolve().parent
# The store is away for so long, and the copy is so old when it is gone.
AWAY_S, COPY_AGE_S = 0.5, 1.8
# Seconds within which a desired state is in force, and by which an unstable core stretches them.
CONFIG_APPLY_S, OUTER_S = 3.0, 6.0
ROUNDS = 30


def play(site: Site) -> bool:
    """Let the store come back older, add a route, and ask both entries for it much later."""
    servers = [site.add_server(name, "desk") for name in ("d1", "d2", "d3")]
    routes = [route("/lookup/", "desk", "safe")]
    site.store.put("config", "main", desired_state(7, routes))
    site.start_entries(2)
    time.sleep(STABLE_WINDOW_S + 1.0)
    # What a server says of itself changes; the copy is from before.
    servers[0].slots += 2
    servers[0].write()
    time.sleep(1.5)
    if site.is_troubled:
        site.store.go_away(AWAY_S, now() - COPY_AGE_S)
    # The operator's next change comes among what is written again.
    added = route("/added/", "desk", "safe")
    confirmed_at = site.store.put("config", "main", desired_state(9, [*routes, added]))
    site.record.write("the store confirms version 9, which adds the route /added/")
    for server in servers:
        server.write()
    time.sleep(CONFIG_APPLY_S + OUTER_S + 0.5)
    consumer = Consumer(site.record)
    first_s = now() - confirmed_at
    statuses = []
    for number in range(ROUNDS):
        for entry in site.entries:
            statuses.append(consumer.send(entry, "GET", f"/added/{number}"))
        time.sleep(0.5)
    site.record.write(
        f"{statuses.count(404)} of {len(statuses)} requests on the added route were answered 404,"
        f" {statuses.count(200)} with 200, from {first_s:.1f} to {now() - confirmed_at:.1f} s after"
        " the confirmation"
    )
    return statuses.count(404) > 0


run_case(FOLDER, play, is_troubled=os.environ.get("TROUBLE", "1") != "0")
