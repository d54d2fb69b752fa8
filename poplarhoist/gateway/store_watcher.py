"""Follows the store's records and registers this entry there."""

import eventlet
from attrs import evolve

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import news
from poplarhoist.decisions.gateway.effects import Claim, ReadAgain
from poplarhoist.decisions.gateway.leads import pace
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
        core.on(Claim, lambda effect: eventlet.spawn_n(self.write_claim, effect))
        core.on(
            ReadAgain,
            lambda effect: eventlet.spawn_after(
                PEER_NOTICE_DELAY_S, self.restart_stale_watch, effect
            ),
        )

    def start(self, name: str, zone: str, host: str, port: int) -> None:
        """Register this entry and follow every kind of record."""
        for spec in self.store.watch_specs:
            eventlet.spawn(self.follow_kind, spec)
        eventlet.spawn(self.register, name, zone, host, port)

    def register(self, name: str, zone: str, host: str, port: int) -> None:
        """Write this entry's record, until the store has it."""
        wait_s = RETRY_BACKOFF_S
        while self.store.register(name, zone, host, port) is not ev.CallStatus.OK:
            wait_s = self.sleep_with_jitter(wait_s)
        self.core.log.info("entry-registered", host=host, port=port)

    def follow_kind(self, spec: WatchSpec) -> None:
        """Read all records of a kind, then their changes, until the process ends."""
        self.read_all(spec)
        wait_s = RETRY_BACKOFF_S
        while True:
            watch_started_at = self.core.at()
            changes = self.watch_once(spec, self.revisions_by_kind[spec.kind])
            if changes.status is ev.CallStatus.OK:
                wait_s = RETRY_BACKOFF_S
                self.submit_changes(spec, changes)
                if spec.pause_between_watches_s:
                    eventlet.sleep(
                        min(
                            WATCH_PAUSE_MAX_S,
                            spec.pause_between_watches_s * pace(self.core.state),
                        )
                    )
                continue
            self.record_failure(spec.kind, changes)
            if changes.history_gone:
                # The store answers; what was missed must not wait any longer.
                self.read_all(spec)
                continue
            if spec.probes_store:
                self.renew_watches()
            if self.core.at() - watch_started_at > RETRY_BACKOFF_MAX_S:
                # The store was there until now: this is the first failure of a new loss.
                wait_s = RETRY_BACKOFF_S
            wait_s = self.back_off(spec, wait_s)

    def watch_once(self, spec: WatchSpec, revision: int) -> StoreChanges:
        """Wait for changes; a watch that is renewed reads as one without an answer."""
        self.watch_threads_by_kind[spec.kind] = eventlet.getcurrent()
        try:
            return self.store.watch(self.with_longer_poll(spec), revision)
        except WatchRenewed:
            return StoreChanges(ev.CallStatus.UNKNOWN)
        except NewsHeard:
            return StoreChanges(ev.CallStatus.OK, revision)
        finally:
            self.watch_threads_by_kind.pop(spec.kind, None)

    def with_longer_poll(self, spec: WatchSpec) -> WatchSpec:
        """Let a watch wait longer where many entries tell each other, and not all end at once."""
        factor = news.patience(self.core.state)
        if not spec.notifies_peers or factor <= 1.0:
            return spec
        long_poll_s = min(LONG_POLL_MAX_S, spec.long_poll_s * factor)
        return evolve(spec, long_poll_s=long_poll_s * (0.5 + 0.5 * self.core.state.random.random()))

    def restart_stale_watch(self, effect: ReadAgain) -> None:
        """Read the changes of a kind that another entry has read, unless they were read here."""
        known_revision = self.revisions_by_kind.get(effect.kind)
        if known_revision is None or known_revision >= effect.revision:
            return
        thread = self.watch_threads_by_kind.pop(effect.kind, None)
        if thread is not None:
            self.core.log.info(
                "watch-behind", kind=effect.kind, known=known_revision, told=effect.revision
            )
            eventlet.kill(thread, NewsHeard())

    def renew_watches(self) -> None:
        """End the watches under way: the store may have forgotten them while it was away."""
        for kind in list(self.watch_threads_by_kind):
            # Others run while one is ended, and may have their answer by now.
            thread = self.watch_threads_by_kind.pop(kind, None)
            if thread is not None:
                self.core.log.info("watch-renewed", kind=kind)
                eventlet.kill(thread, WatchRenewed())

    def read_all(self, spec: WatchSpec) -> None:
        """Read all records of a kind."""
        wait_s = RETRY_BACKOFF_S
        while True:
            changes = self.store.read_all(spec.kind)
            if changes.status is ev.CallStatus.OK:
                self.submit_changes(spec, changes)
                return
            self.record_failure(spec.kind, changes)
            wait_s = self.back_off(spec, wait_s)

    def back_off(self, spec: WatchSpec, wait_s: float) -> float:
        """Wait until a kind is to be read again; return how long to wait the next time.

        While the store is away one kind is tried for all, as calls that fail are priced too.
        """
        wait_s = self.sleep_with_jitter(wait_s)
        if self.core.state.store_away and not spec.probes_store:
            with eventlet.Timeout(UNREACHABLE_RETRY_S, False):
                self.store_reachable.wait()
        return wait_s

    def sleep_with_jitter(self, wait_s: float) -> float:
        """Wait for a time that differs between entries; return how long to wait the next time."""
        eventlet.sleep(wait_s * (0.5 + self.core.state.random.random()))
        return min(RETRY_BACKOFF_MAX_S, wait_s * 2)

    def submit_changes(self, spec: WatchSpec, changes: StoreChanges) -> None:
        """Tell the decisions what was read."""
        if self.core.state.store_away:
            self.core.submit(ev.StoreReached(self.core.at(), True))
            self.store_reachable.send()
            self.store_reachable = eventlet.event.Event()
        self.consecutive_failures = 0
        known_revision = self.revisions_by_kind.get(spec.kind)
        self.revisions_by_kind[spec.kind] = changes.revision
        for event in changes.events:
            self.core.submit(event)
        if (
            spec.notifies_peers
            and known_revision is not None
            and changes.last_change_revision > known_revision
        ):
            self.core.submit(
                ev.ChangesRead(self.core.at(), spec.kind, changes.last_change_revision)
            )

    def record_failure(self, kind: str, changes: StoreChanges) -> None:
        """Count a failed read; several in a row mean that the store is away."""
        if changes.history_gone:
            self.core.log.info("store-history-gone", kind=kind)
            return
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= UNREACHABLE_AFTER_FAILURES
            and not self.core.state.store_away
        ):
            self.core.submit(ev.StoreReached(self.core.at(), False, f"{kind}: {changes.status}"))

    def write_claim(self, effect: Claim) -> None:
        """Write who leads an engine."""
        status, revision, lead_record = self.store.claim(effect)
        at = self.core.at()
        if lead_record is not None:
            self.core.submit(ev.LeadSeen(at, effect.engine, **lead_record))
        self.core.submit(ev.ClaimEnded(at, effect.engine, effect.epoch, status, revision))
