"""Follows the store's records and registers this entry there."""

import eventlet
from attrs import evolve

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import gossip
from poplarhoist.decisions.gateway.effects import Claim, RereadChanges
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.interfaces import Store, StoreChanges, WatchSpec

# Seconds between tries while the store does not answer; grows to keep calls few, and stays well
# below the three seconds within which a new configuration is in force.
RETRY_BACKOFF_S = 0.1
RETRY_BACKOFF_MAX_S = 0.6
# Seconds between two reads of changes at most, however many entries there are; endpoints that
# leave must be known within three seconds.
WATCH_PAUSE_MAX_S = 1.2
# Reads in a row that fail before the store counts as away.
UNREACHABLE_AFTER_FAILURES = 2
# Longest wait of a watch, in seconds, among entries that tell each other of changes. Their watches
# end at different times: at 9 entries one ends every third of a second, at 64 every tenth.
LONG_POLL_MAX_S = 8.0
# Seconds after another entry's word of a change until it is read here, if the own watch has not
# shown it by then; watches show changes within some hundred milliseconds.
PEER_NOTICE_DELAY_S = 0.4
# Seconds after which a kind is tried while the store is away although nothing was heard of it: the
# kind that is tried all the time may be the one that fails.
UNREACHABLE_RETRY_S = 3.0


class WatchRenewed(Exception):
    """A watch is to be started anew."""


class NewsHeard(Exception):
    """Another entry has read a change that this watch has not shown."""


class StoreWatcher:
    """Keeps the decisions up to date with the store."""

    def __init__(self, core: DecisionLoop, store: Store) -> None:
        self.core = core
        self.store = store
        self.consecutive_failures = 0
        self.watch_threads_by_kind: dict[str, eventlet.greenthread.GreenThread] = {}
        self.revisions_by_kind: dict[str, int] = {}
        self.store_reachable = eventlet.event.Event()
        core.set_handler(Claim, lambda effect: eventlet.spawn_n(self.write_claim, effect))
        core.set_handler(
            RereadChanges,
            lambda effect: eventlet.spawn_after(
                PEER_NOTICE_DELAY_S, self.restart_stale_watch, effect
            ),
        )

    def start(self, name: str, zone: str, host: str, port: int) -> None:
        """Register this entry and follow every kind of record."""
        for following in self.store.watch_specs:
            eventlet.spawn(self.follow_kind, following)
        eventlet.spawn(self.register, name, zone, host, port)

    def register(self, name: str, zone: str, host: str, port: int) -> None:
        """Write this entry's record, until the store has it."""
        wait_s = RETRY_BACKOFF_S
        while self.store.register(name, zone, host, port) is not ev.CallStatus.OK:
            wait_s = self.sleep_with_jitter(wait_s)
        self.core.log.info("entry-registered", host=host, port=port)

    def follow_kind(self, following: WatchSpec) -> None:
        """Read all records of a kind, then their changes, until the process ends."""
        self.read_all(following)
        wait_s = RETRY_BACKOFF_S
        while True:
            asked_at = self.core.event_time()
            changes = self.watch_once(following, self.revisions_by_kind[following.kind])
            if changes.status is ev.CallStatus.OK:
                wait_s = RETRY_BACKOFF_S
                self.submit_changes(following, changes)
                if following.pause_between_watches_s:
                    eventlet.sleep(
                        min(
                            WATCH_PAUSE_MAX_S,
                            following.pause_between_watches_s * interval_factor(self.core.state),
                        )
                    )
                continue
            self.record_failure(following.kind, changes)
            if changes.history_gone:
                # The store answers; what was missed must not wait any longer.
                self.read_all(following)
                continue
            if following.probes_store:
                self.renew_watches()
            if self.core.event_time() - asked_at > RETRY_BACKOFF_MAX_S:
                # The store was there until now: this is the first failure of a new loss.
                wait_s = RETRY_BACKOFF_S
            wait_s = self.back_off(following, wait_s)

    def watch_once(self, following: WatchSpec, revision: int) -> StoreChanges:
        """Wait for changes; a watch that is renewed reads as one without an answer."""
        self.watch_threads_by_kind[following.kind] = eventlet.getcurrent()
        try:
            return self.store.watch(self.with_longer_poll(following), revision)
        except WatchRenewed:
            return StoreChanges(ev.CallStatus.UNKNOWN)
        except NewsHeard:
            return StoreChanges(ev.CallStatus.OK, revision)
        finally:
            self.watch_threads_by_kind.pop(following.kind, None)

    def with_longer_poll(self, following: WatchSpec) -> WatchSpec:
        """Let a watch wait longer where many entries tell each other, and not all end at once."""
        factor = gossip.watch_wait_factor(self.core.state)
        if not following.notifies_peers or factor <= 1.0:
            return following
        wait_s = min(LONG_POLL_MAX_S, following.long_poll_s * factor)
        return evolve(following, long_poll_s=wait_s * (0.5 + 0.5 * self.core.state.random.random()))

    def restart_stale_watch(self, effect: RereadChanges) -> None:
        """Read the changes of a kind that another entry has read, unless they were read here."""
        known = self.revisions_by_kind.get(effect.kind)
        if known is None or known >= effect.revision:
            return
        thread = self.watch_threads_by_kind.pop(effect.kind, None)
        if thread is not None:
            self.core.log.info("watch-behind", kind=effect.kind, known=known, told=effect.revision)
            eventlet.kill(thread, NewsHeard())

    def renew_watches(self) -> None:
        """End the watches under way: the store may have forgotten them while it was away."""
        for kind in list(self.watch_threads_by_kind):
            # Others run while one is ended, and may have their answer by now.
            thread = self.watch_threads_by_kind.pop(kind, None)
            if thread is not None:
                self.core.log.info("watch-renewed", kind=kind)
                eventlet.kill(thread, WatchRenewed())

    def read_all(self, following: WatchSpec) -> None:
        """Read all records of a kind."""
        wait_s = RETRY_BACKOFF_S
        while True:
            changes = self.store.read_all(following.kind)
            if changes.status is ev.CallStatus.OK:
                self.submit_changes(following, changes)
                return
            self.record_failure(following.kind, changes)
            wait_s = self.back_off(following, wait_s)

    def back_off(self, following: WatchSpec, wait_s: float) -> float:
        """Wait until a kind is to be read again; return how long to wait the next time.

        While the store is away one kind is tried for all, as calls that fail are priced too.
        """
        wait_s = self.sleep_with_jitter(wait_s)
        if self.core.state.store_unavailable and not following.probes_store:
            with eventlet.Timeout(UNREACHABLE_RETRY_S, False):
                self.store_reachable.wait()
        return wait_s

    def sleep_with_jitter(self, wait_s: float) -> float:
        """Wait for a time that differs between entries; return how long to wait the next time."""
        eventlet.sleep(wait_s * (0.5 + self.core.state.random.random()))
        return min(RETRY_BACKOFF_MAX_S, wait_s * 2)

    def submit_changes(self, following: WatchSpec, changes: StoreChanges) -> None:
        """Tell the decisions what was read."""
        if self.core.state.store_unavailable:
            self.core.submit(ev.StoreAvailabilityChanged(self.core.event_time(), True))
            self.store_reachable.send()
            self.store_reachable = eventlet.event.Event()
        self.consecutive_failures = 0
        known = self.revisions_by_kind.get(following.kind)
        self.revisions_by_kind[following.kind] = changes.revision
        for event in changes.events:
            self.core.submit(event)
        if following.notifies_peers and known is not None and changes.last_change_revision > known:
            self.core.submit(
                ev.StoreChangesRead(
                    self.core.event_time(), following.kind, changes.last_change_revision
                )
            )

    def record_failure(self, kind: str, changes: StoreChanges) -> None:
        """Count a failed read; several in a row mean that the store is away."""
        if changes.history_gone:
            self.core.log.info("store-history-gone", kind=kind)
            return
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= UNREACHABLE_AFTER_FAILURES
            and not self.core.state.store_unavailable
        ):
            self.core.submit(
                ev.StoreAvailabilityChanged(
                    self.core.event_time(), False, f"{kind}: {changes.status}"
                )
            )

    def write_claim(self, effect: Claim) -> None:
        """Write who leads an engine."""
        status, revision, seen = self.store.claim(effect)
        at = self.core.event_time()
        if seen is not None:
            self.core.submit(ev.LeadSeen(at, effect.engine, **seen))
        self.core.submit(ev.ClaimEnded(at, effect.engine, effect.epoch, status, revision))
