"""Follows the store's records and registers this entry there."""

import eventlet

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import Claim
from poplarhoist.decisions.gateway.leads import pace
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.interfaces import Changes, Following, Store

# Seconds between tries while the store does not answer; grows to keep calls few, stays below
# the two seconds after which what is missing at the store counts as gone.
RETRY_S = 0.2
RETRY_MAX_S = 1.0
# Seconds between two reads of changes at most, however many entries there are; endpoints that
# leave must be known within three seconds.
PAUSE_MAX_S = 1.2
# Reads in a row that fail before the store counts as away.
LOST_AFTER_FAILURES = 2


class StoreFollower:
    """Keeps the decisions up to date with the store."""

    def __init__(self, core: DecisionLoop, store: Store) -> None:
        self.core = core
        self.store = store
        self.failures = 0
        core.on(Claim, lambda effect: eventlet.spawn_n(self.claim, effect))

    def start(self, name: str, zone: str, host: str, port: int) -> None:
        """Register this entry and follow every kind of record."""
        for following in self.store.followed:
            eventlet.spawn(self.follow, following)
        eventlet.spawn(self.register, name, zone, host, port)

    def register(self, name: str, zone: str, host: str, port: int) -> None:
        """Write this entry's record, until the store has it."""
        wait_s = RETRY_S
        while self.store.register(name, zone, host, port) is not ev.CallStatus.OK:
            eventlet.sleep(self.spread(wait_s))
            wait_s = min(RETRY_MAX_S, wait_s * 2)
        self.core.log.info("entry-registered", host=host, port=port)

    def follow(self, following: Following) -> None:
        """Read all records of a kind, then their changes, until the process ends."""
        revision = self.read_all(following)
        wait_s = RETRY_S
        while True:
            changes = self.store.watch(following.kind, revision, following.fresh)
            if changes.status is ev.CallStatus.OK:
                wait_s = RETRY_S
                self.tell(changes)
                revision = changes.revision
                if following.pause_s:
                    eventlet.sleep(min(PAUSE_MAX_S, following.pause_s * pace(self.core.state)))
                continue
            self.note_failure(following.kind, changes)
            eventlet.sleep(self.spread(wait_s))
            wait_s = min(RETRY_MAX_S, wait_s * 2)
            if changes.too_old:
                revision = self.read_all(following)

    def read_all(self, following: Following) -> int:
        """Read all records of a kind; return the revision to follow from."""
        wait_s = RETRY_S
        while True:
            changes = self.store.read_all(following.kind)
            if changes.status is ev.CallStatus.OK:
                self.tell(changes)
                return changes.revision
            self.note_failure(following.kind, changes)
            eventlet.sleep(self.spread(wait_s))
            wait_s = min(RETRY_MAX_S, wait_s * 2)

    def spread(self, wait_s: float) -> float:
        """Return a wait that differs between entries."""
        return wait_s * (0.5 + self.core.state.random.random())

    def tell(self, changes: Changes) -> None:
        """Tell the decisions what was read."""
        if self.core.state.store_away:
            self.core.submit(ev.StoreReached(self.core.at(), True))
        self.failures = 0
        for event in changes.events:
            self.core.submit(event)

    def note_failure(self, kind: str, changes: Changes) -> None:
        """Count a failed read; several in a row mean that the store is away."""
        if changes.too_old:
            self.core.log.info("store-history-gone", kind=kind)
            return
        self.failures += 1
        if self.failures >= LOST_AFTER_FAILURES and not self.core.state.store_away:
            self.core.submit(ev.StoreReached(self.core.at(), False, f"{kind}: {changes.status}"))

    def claim(self, effect: Claim) -> None:
        """Write who leads an engine."""
        status, revision, seen = self.store.claim(effect)
        at = self.core.at()
        if seen is not None:
            self.core.submit(ev.LeadSeen(at, effect.engine, **seen))
        self.core.submit(ev.ClaimEnded(at, effect.engine, effect.epoch, status, revision))
