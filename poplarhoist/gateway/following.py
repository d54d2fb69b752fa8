"""Follows the store's records and registers this entry there."""

import eventlet
from attrs import evolve

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import gossip
from poplarhoist.decisions.gateway.effects import Claim, RereadChanges
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.interfaces import Changes, Following, Store

# Seconds between tries while the store does not answer; grows to keep calls few, and stays well
# below the three seconds within which a new configuration is in force.
RETRY_S = 0.1
RETRY_MAX_S = 0.6
# Seconds between two reads of changes at most, however many entries there are; endpoints that
# leave must be known within three seconds.
PAUSE_MAX_S = 1.2
# Reads in a row that fail before the store counts as away.
LOST_AFTER_FAILURES = 2
# Longest wait of a watch, in seconds, among entries that tell each other of changes. Their watches
# end at different times: at 9 entries one ends every third of a second, at 64 every tenth.
WATCH_MAX_S = 8.0
# Seconds after another entry's word of a change until it is read here, if the own watch has not
# shown it by then; watches show changes within some hundred milliseconds.
NEWS_WAIT_S = 0.4
# Seconds after which a kind is tried while the store is away although nothing was heard of it: the
# kind that is tried all the time may be the one that fails.
TRY_ANYWAY_S = 3.0


class WatchRenewed(Exception):
    """A watch is to be started anew."""


class NewsHeard(Exception):
    """Another entry has read a change that this watch has not shown."""


class StoreFollower:
    """Keeps the decisions up to date with the store."""

    def __init__(self, core: DecisionLoop, store: Store) -> None:
        self.core = core
        self.store = store
        self.failures = 0
        self.watching: dict[str, eventlet.greenthread.GreenThread] = {}
        self.revisions: dict[str, int] = {}
        self.back = eventlet.event.Event()
        core.on(Claim, lambda effect: eventlet.spawn_n(self.claim, effect))
        core.on(RereadChanges, lambda effect: eventlet.spawn_after(NEWS_WAIT_S, self.hear, effect))

    def start(self, name: str, zone: str, host: str, port: int) -> None:
        """Register this entry and follow every kind of record."""
        for following in self.store.followed:
            eventlet.spawn(self.follow, following)
        eventlet.spawn(self.register, name, zone, host, port)

    def register(self, name: str, zone: str, host: str, port: int) -> None:
        """Write this entry's record, until the store has it."""
        wait_s = RETRY_S
        while self.store.register(name, zone, host, port) is not ev.CallStatus.OK:
            wait_s = self.pause(wait_s)
        self.core.log.info("entry-registered", host=host, port=port)

    def follow(self, following: Following) -> None:
        """Read all records of a kind, then their changes, until the process ends."""
        self.read_all(following)
        wait_s = RETRY_S
        while True:
            asked_at = self.core.at()
            changes = self.watch(following, self.revisions[following.kind])
            if changes.status is ev.CallStatus.OK:
                wait_s = RETRY_S
                self.tell(following, changes)
                if following.pause_s:
                    eventlet.sleep(
                        min(PAUSE_MAX_S, following.pause_s * interval_factor(self.core.state))
                    )
                continue
            self.note_failure(following.kind, changes)
            if changes.too_old:
                # The store answers; what was missed must not wait any longer.
                self.read_all(following)
                continue
            if following.guard:
                self.renew_watches()
            if self.core.at() - asked_at > RETRY_MAX_S:
                # The store was there until now: this is the first failure of a new loss.
                wait_s = RETRY_S
            wait_s = self.wait_for_store(following, wait_s)

    def watch(self, following: Following, revision: int) -> Changes:
        """Wait for changes; a watch that is renewed reads as one without an answer."""
        self.watching[following.kind] = eventlet.getcurrent()
        try:
            return self.store.watch(self.paced(following), revision)
        except WatchRenewed:
            return Changes(ev.CallStatus.UNKNOWN)
        except NewsHeard:
            return Changes(ev.CallStatus.OK, revision)
        finally:
            self.watching.pop(following.kind, None)

    def paced(self, following: Following) -> Following:
        """Let a watch wait longer where many entries tell each other, and not all end at once."""
        factor = gossip.watch_wait_factor(self.core.state)
        if not following.told or factor <= 1.0:
            return following
        wait_s = min(WATCH_MAX_S, following.wait_s * factor)
        return evolve(following, wait_s=wait_s * (0.5 + 0.5 * self.core.state.random.random()))

    def hear(self, effect: RereadChanges) -> None:
        """Read the changes of a kind that another entry has read, unless they were read here."""
        known = self.revisions.get(effect.kind)
        if known is None or known >= effect.revision:
            return
        thread = self.watching.pop(effect.kind, None)
        if thread is not None:
            self.core.log.info("watch-behind", kind=effect.kind, known=known, told=effect.revision)
            eventlet.kill(thread, NewsHeard())

    def renew_watches(self) -> None:
        """End the watches under way: the store may have forgotten them while it was away."""
        for kind in list(self.watching):
            # Others run while one is ended, and may have their answer by now.
            thread = self.watching.pop(kind, None)
            if thread is not None:
                self.core.log.info("watch-renewed", kind=kind)
                eventlet.kill(thread, WatchRenewed())

    def read_all(self, following: Following) -> None:
        """Read all records of a kind."""
        wait_s = RETRY_S
        while True:
            changes = self.store.read_all(following.kind)
            if changes.status is ev.CallStatus.OK:
                self.tell(following, changes)
                return
            self.note_failure(following.kind, changes)
            wait_s = self.wait_for_store(following, wait_s)

    def wait_for_store(self, following: Following, wait_s: float) -> float:
        """Wait until a kind is to be read again; return how long to wait the next time.

        While the store is away one kind is tried for all, as calls that fail are priced too.
        """
        wait_s = self.pause(wait_s)
        if self.core.state.store_unavailable and not following.guard:
            with eventlet.Timeout(TRY_ANYWAY_S, False):
                self.back.wait()
        return wait_s

    def pause(self, wait_s: float) -> float:
        """Wait for a time that differs between entries; return how long to wait the next time."""
        eventlet.sleep(wait_s * (0.5 + self.core.state.random.random()))
        return min(RETRY_MAX_S, wait_s * 2)

    def tell(self, following: Following, changes: Changes) -> None:
        """Tell the decisions what was read."""
        if self.core.state.store_unavailable:
            self.core.submit(ev.StoreAvailabilityChanged(self.core.at(), True))
            self.back.send()
            self.back = eventlet.event.Event()
        self.failures = 0
        known = self.revisions.get(following.kind)
        self.revisions[following.kind] = changes.revision
        for event in changes.events:
            self.core.submit(event)
        if following.told and known is not None and changes.changed > known:
            self.core.submit(ev.StoreChangesRead(self.core.at(), following.kind, changes.changed))

    def note_failure(self, kind: str, changes: Changes) -> None:
        """Count a failed read; several in a row mean that the store is away."""
        if changes.too_old:
            self.core.log.info("store-history-gone", kind=kind)
            return
        self.failures += 1
        if self.failures >= LOST_AFTER_FAILURES and not self.core.state.store_unavailable:
            self.core.submit(
                ev.StoreAvailabilityChanged(self.core.at(), False, f"{kind}: {changes.status}")
            )

    def claim(self, effect: Claim) -> None:
        """Write who leads an engine."""
        status, revision, seen = self.store.claim(effect)
        at = self.core.at()
        if seen is not None:
            self.core.submit(ev.LeadSeen(at, effect.engine, **seen))
        self.core.submit(ev.ClaimEnded(at, effect.engine, effect.epoch, status, revision))
