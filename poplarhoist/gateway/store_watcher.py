"""Lists and watches the store's records, registers this entry and claims to lead engines."""

from collections.abc import Callable
from functools import partial

import eventlet
from attrs import evolve

from poplarhoist.decisions.gateway import copies, gossip
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import (
    Claim,
    Register,
    RemoveSoftwareRecord,
    RereadChanges,
    WriteCrashRecord,
    WriteSoftwareRecord,
)
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.copies import CopyReader
from poplarhoist.gateway.interfaces import Store, StoreChanges, WatchSpec

# Seconds of backoff between retries while the store does not respond. The backoff doubles, to keep
# the number of calls low, and stays well below the three seconds within which a new configuration
# must be in force.
RETRY_BACKOFF_S = 0.1
RETRY_BACKOFF_MAX_S = 0.6
# Longest pause between two watches in seconds, however many entries there are: a draining endpoint
# must be known within three seconds.
WATCH_PAUSE_MAX_S = 1.2
# Seconds after which a watch without a response waits for a change, as the store has accepted it: a
# connection that is refused ends within a few round trips.
ACCEPTED_AFTER_S = 0.2
# Consecutive failed reads after which the store counts as unreachable.
UNREACHABLE_AFTER_FAILURES = 2
# Longest long poll in seconds among entries that notify each other of changes. It exceeds the three
# seconds within which a configuration must be in force, since the entry whose watch ends first
# notifies the others. The watches end at different times: with 9 entries one ends every third of a
# second, with 64 every tenth.
LONG_POLL_MAX_S = 8.0
# Seconds between a peer's notice of a change and the restart of this entry's watch, if the watch
# has not shown the change by then. Watches show changes within a few hundred milliseconds.
PEER_NOTICE_DELAY_S = 0.4
# Longest wait in seconds of the kinds that do not probe the store, while it counts as unreachable.
# They are retried then in case only the calls for the probing kind fail.
UNREACHABLE_RETRY_S = 3.0
# The same where the records are copied from the entry that gives notice: those that are told at once
# ask at different times.
COPY_NOTICE_DELAY_S = 0.05
# Generation of a store that was never restored.
FIRST_GENERATION = 1
# Longest pause in seconds before other entries are asked for later versions, which all may do at once,
# and longest wait of an entry that starts for their answers.
LATER_VERSIONS_DELAY_S = 1.0
LATER_VERSIONS_WAIT_S = 1.0


class WatchRenewed(Exception):
    """Ends a watch that the store may have dropped, so that a new one starts.

    It is raised in the thread that waits for the watch.
    """


class WatchBehind(Exception):
    """Ends a watch that has not shown a change which a peer has read, or that the store was restored.

    It is raised in the thread that waits for the watch. A new watch starts from the same position.
    """


class StoreWatcher:
    """Submits the store's records and their changes to the decision loop, and writes claims.

    Attributes
    ----------
    consecutive_failures : int
        Failed reads of all kinds since the last successful one.
    watch_threads_by_kind : dict
        Green threads that wait for the response to a watch; none once it has begun.
    copy_readers_by_kind : dict
        Copy records from other entries, of the kinds that are copied.
    positions_by_kind : dict
        Position from which the next watch of a kind starts.
    told_positions_by_kind : dict
        Latest position of a kind that a peer has read; a watch that may be stale need not show it.
    store_reachable_event : Event
        Sent when the store responds again; replaced by a new one then.
    store_restored_event : Event
        Sent when the store was restored; replaced by a new one then.
    is_registering : bool
        Whether this entry's record is being written.
    """

    def __init__(self, decision_loop: DecisionLoop, store: Store) -> None:
        self.decision_loop = decision_loop
        self.store = store
        self.copy_readers_by_kind = {
            spec.kind: CopyReader(decision_loop, store, spec.kind)
            for spec in store.watch_specs
            if spec.is_copied
        }
        self.consecutive_failures = 0
        self.watch_threads_by_kind: dict[str, eventlet.greenthread.GreenThread] = {}
        self.positions_by_kind: dict[str, Position] = {}
        self.told_positions_by_kind: dict[str, Position] = {}
        self.store_reachable_event = eventlet.event.Event()
        self.store_restored_event = eventlet.event.Event()
        self.is_registering = False
        decision_loop.set_handler(Claim, partial(eventlet.spawn_n, self.write_claim))
        decision_loop.set_handler(
            WriteSoftwareRecord, partial(eventlet.spawn_n, self.write_software)
        )
        decision_loop.set_handler(
            RemoveSoftwareRecord, partial(eventlet.spawn_n, self.remove_software)
        )
        decision_loop.set_handler(WriteCrashRecord, partial(eventlet.spawn_n, self.write_crashes))
        decision_loop.set_handler(
            RereadChanges,
            lambda effect: eventlet.spawn_after(
                self.notice_delay_s(effect.kind), self.restart_stale_watch, effect
            ),
        )

    def start(self, name: str, zone: str, host: str, port: int, relay_port: int = 0) -> None:
        """Spawn the green threads that register this entry and watch each kind of record."""
        for spec in self.store.watch_specs:
            eventlet.spawn(self.follow_kind, spec)
        record = name, zone, host, port, relay_port
        self.decision_loop.set_handler(
            Register, lambda effect: eventlet.spawn_n(self.register, *record)
        )
        eventlet.spawn(self.register, *record)

    def register(self, name: str, zone: str, host: str, port: int, relay_port: int) -> None:
        """Write this entry's record; retry until the store accepts it."""
        if self.is_registering:
            return
        self.is_registering = True
        try:
            wait_s = RETRY_BACKOFF_S
            while self.store.register(name, zone, host, port, relay_port) is not ev.CallStatus.OK:
                if self.decision_loop.state.draining_since is not None:
                    return
                wait_s = self.sleep_with_jitter(wait_s)
        finally:
            self.is_registering = False
        self.decision_loop.log.info("entry-registered", host=host, port=port)

    def follow_kind(self, spec: WatchSpec) -> None:
        """Read all records of a kind, then watch them until the process ends.

        With more entries the pauses between watches grow, up to a limit. If the store no longer has
        the history since the last position, all records are read again without backoff. A watch that
        is cut off counts as a failed read only if it is the second in a row that ends at once.
        """
        self.read_all(spec)
        if spec.only_at_start:
            while True:
                self.store_restored_event.wait()
                self.read_all(spec)
        wait_s, was_cut_early = RETRY_BACKOFF_S, False
        while True:
            watch_started_at = self.decision_loop.event_time()
            position = self.positions_by_kind[spec.kind]
            changes = self.guard(spec, partial(self.read_changes, spec, position))
            if changes.status is ev.CallStatus.OK:
                wait_s, was_cut_early = RETRY_BACKOFF_S, False
                self.submit_changes(spec, changes)
                if spec.pause_between_watches_s:
                    eventlet.sleep(
                        min(
                            WATCH_PAUSE_MAX_S,
                            spec.pause_between_watches_s
                            * interval_factor(self.decision_loop.state),
                        )
                    )
                continue
            watch_s = self.decision_loop.event_time() - watch_started_at
            is_early = watch_s <= ACCEPTED_AFTER_S
            if changes.was_cut_off and not (is_early and was_cut_early):
                # The store may cut off watches at any time, also all of them at one moment.
                was_cut_early = is_early
                self.decision_loop.log.info("watch-cut-off", kind=spec.kind)
                self.sleep_with_jitter(RETRY_BACKOFF_S)
                continue
            self.record_failure(spec.kind, changes)
            if changes.history_gone:
                # The store responds, and the missed changes must not wait any longer.
                self.read_all(spec)
                continue
            if spec.probes_store:
                # The store may have dropped them while it was unreachable.
                self.end_watches(WatchRenewed)
            if watch_s > RETRY_BACKOFF_MAX_S:
                # The watch lasted longer than the longest backoff, so this failure counts as the
                # first of a new outage.
                wait_s = RETRY_BACKOFF_S
            wait_s = self.back_off(spec, wait_s)

    def guard(self, spec: WatchSpec, read: Callable[[], StoreChanges]) -> StoreChanges:
        """Read records of a kind; an exception counts as a read without a response."""
        try:
            changes = read()
        except Exception:
            # Nothing would follow this kind any more. The log shows the cause.
            self.decision_loop.log.exception("watch-failed", kind=spec.kind)
            changes = StoreChanges(ev.CallStatus.UNKNOWN)
        self.submit_generation()
        return changes

    def submit_generation(self) -> None:
        """Submit the generation of the store if a response has shown a new one.

        If the store was restored, all open watches are ended, as they may not show it themselves.
        """
        generation, known = self.store.generation, self.decision_loop.state.store_generation
        if generation == known:
            return
        self.decision_loop.submit(
            ev.StoreGenerationSeen(self.decision_loop.event_time(), generation)
        )
        if known:
            self.store_restored_event.send()
            self.store_restored_event = eventlet.event.Event()
            self.end_watches(WatchBehind)

    def read_changes(self, spec: WatchSpec, position: Position) -> StoreChanges:
        """Wait for changes of a kind after a position, at the store or another entry."""
        copy_reader = self.copy_readers_by_kind.get(spec.kind)
        if copy_reader is None:
            return self.watch_once(spec, position)
        if copy_reader.reads_itself():
            changes, _ = copy_reader.copy_from_told(position)
            return changes or self.watch_once(spec, position)
        changes = copy_reader.wait_for_change(position)
        # A watch without a long poll: the readers may answer again.
        return changes or self.watch_once(evolve(spec, long_poll_s=0.0), position)

    def watch_once(self, spec: WatchSpec, position: Position) -> StoreChanges:
        """Wait for changes of a kind after a position.

        A watch that is renewed returns UNKNOWN. A watch that is ended after a peer's notice returns
        no changes, so that a new watch starts from the same position. Neither ends a watch whose
        response has begun: a long one would cross the network again.
        """
        self.watch_threads_by_kind[spec.kind] = eventlet.getcurrent()
        try:
            return self.store.watch(
                self.scale_long_poll(spec),
                position,
                self.needs_fresh_watch(spec, position),
                lambda: self.watch_threads_by_kind.pop(spec.kind, None),
            )
        except WatchRenewed:
            return StoreChanges(ev.CallStatus.UNKNOWN)
        except WatchBehind:
            return StoreChanges(ev.CallStatus.OK, position, is_from_store=False)
        finally:
            self.watch_threads_by_kind.pop(spec.kind, None)

    def needs_fresh_watch(self, spec: WatchSpec, position: Position) -> bool:
        """Return whether the next watch of a kind must be up to date."""
        if spec.is_copied or self.told_positions_by_kind.get(spec.kind, position) > position:
            return True
        return gossip.needs_fresh_watch(self.decision_loop.state, spec.freshness)

    def scale_long_poll(self, spec: WatchSpec) -> WatchSpec:
        """Return the spec with its long poll scaled with the number of entries that watch the kind.

        This applies to kinds that notify peers. The scaled long poll is randomised to 50 to 100 %
        of its length, so that the watches of the entries do not all end at the same time.
        """
        state = self.decision_loop.state
        readers = copies.reader_count(state) if spec.is_copied else len(state.entries)
        factor = gossip.watch_wait_factor(readers)
        if not spec.notifies_peers or factor <= 1.0:
            return spec
        long_poll_s = min(LONG_POLL_MAX_S, spec.long_poll_s * factor)
        return evolve(spec, long_poll_s=long_poll_s * (0.5 + 0.5 * state.random.random()))

    def notice_delay_s(self, kind: str) -> float:
        """Return the seconds between a peer's notice of a change and the restart of a watch."""
        if kind in self.copy_readers_by_kind:
            return COPY_NOTICE_DELAY_S * self.decision_loop.state.random.random()
        return PEER_NOTICE_DELAY_S

    def restart_stale_watch(self, effect: RereadChanges) -> None:
        """Restart the watch of a kind if it has not shown the position that a peer has read."""
        known = self.positions_by_kind.get(effect.kind)
        if known is None or known >= effect.position:
            return
        told = self.told_positions_by_kind.get(effect.kind, effect.position)
        self.told_positions_by_kind[effect.kind] = max(told, effect.position)
        if effect.kind in self.copy_readers_by_kind:
            self.copy_readers_by_kind[effect.kind].wake()
        thread = self.watch_threads_by_kind.pop(effect.kind, None)
        if thread is not None:
            self.decision_loop.log.info(
                "watch-behind", kind=effect.kind, known=str(known), told=str(effect.position)
            )
            eventlet.kill(thread, WatchBehind())

    def end_watches(self, error: type[Exception]) -> None:
        """End all open watches with an exception, so that new ones start."""
        for kind in list(self.watch_threads_by_kind):
            # Other threads run during the kill, so this watch may have returned by now.
            thread = self.watch_threads_by_kind.pop(kind, None)
            if thread is not None:
                self.decision_loop.log.info("watch-renewed", kind=kind, cause=error.__name__)
                eventlet.kill(thread, error())

    def read_all(self, spec: WatchSpec) -> None:
        """Read all records of a kind and submit them; retry until it succeeds."""
        wait_s = RETRY_BACKOFF_S
        while True:
            changes = self.guard(
                spec, lambda: self.copy_all(spec) or self.store.read_all(spec.kind)
            )
            if changes.status is ev.CallStatus.OK:
                self.submit_changes(spec, changes)
                return
            self.record_failure(spec.kind, changes)
            wait_s = self.back_off(spec, wait_s)

    def copy_all(self, spec: WatchSpec) -> StoreChanges | None:
        """Copy all records of a kind from another entry; None if they are to be read, or not to be had."""
        copy_reader = self.copy_readers_by_kind.get(spec.kind)
        if copy_reader is None:
            return None
        copy_reader.wait_for_entries()
        return copy_reader.look_for_first_copy(lambda copied: self.complete_copy(spec, copied))

    def complete_copy(self, spec: WatchSpec, copied: StoreChanges) -> StoreChanges | None:
        """Add the changes since a copy was up to date; None if the store does not have them.

        The entry that made the copy may not know the latest change, and this one must not begin
        with less.
        """
        latest = self.watch_once(evolve(spec, long_poll_s=0.0), copied.position)
        if latest.status is not ev.CallStatus.OK:
            return None
        return evolve(
            latest,
            events=copied.events + latest.events,
            last_change=max(copied.last_change, latest.last_change),
        )

    def back_off(self, spec: WatchSpec, wait_s: float) -> float:
        """Wait before the next read of a kind; return the backoff for the next failure in seconds.

        While the store is unreachable, only the kind that probes it is retried, since the platform
        bills failed calls too. The other kinds wait until the store is reachable again, or for
        `UNREACHABLE_RETRY_S`.
        """
        wait_s = self.sleep_with_jitter(wait_s)
        if self.decision_loop.state.store_unavailable and not spec.probes_store:
            with eventlet.Timeout(UNREACHABLE_RETRY_S, False):
                self.store_reachable_event.wait()
        return wait_s

    def sleep_with_jitter(self, wait_s: float) -> float:
        """Sleep for 0.5 to 1.5 times `wait_s`; return twice that backoff, up to the maximum.

        The jitter keeps the entries from retrying at the same time.
        """
        eventlet.sleep(wait_s * (0.5 + self.decision_loop.state.random.random()))
        return min(RETRY_BACKOFF_MAX_S, wait_s * 2)

    def submit_changes(self, spec: WatchSpec, changes: StoreChanges) -> None:
        """Submit what was read; a successful read of the store also marks it as reachable again.

        If the kind notifies peers, a change after the first list is also submitted as
        StoreChangesRead.
        """
        if changes.is_from_store:
            self.record_success()
        known = self.positions_by_kind.get(spec.kind)
        self.positions_by_kind[spec.kind] = changes.position
        if spec.outlasts_restoration and self.may_lack_versions(known, changes.position):
            self.ask_for_later_versions(spec.kind, known is None)
        for event in changes.events:
            try:
                self.decision_loop.submit(event)
            except Exception:
                # The other records must not be lost with this one. The log shows the cause.
                name = type(event).__name__
                self.decision_loop.log.exception("record-failed", kind=spec.kind, record=name)
        if spec.notifies_peers and known is not None and changes.last_change > known:
            at = self.decision_loop.event_time()
            self.decision_loop.submit(ev.StoreChangesRead(at, spec.kind, changes.last_change))

    def ask_for_later_versions(self, kind: str, is_start: bool) -> None:
        """Ask other entries for later versions.

        An entry that starts waits for answers for a while if the store has been restored before, since
        what is submitted next makes it ready.
        """
        must_wait = is_start and self.store.generation > FIRST_GENERATION
        reader = CopyReader(self.decision_loop, self.store, kind)
        is_done = reader.start_asking(0.0 if must_wait else LATER_VERSIONS_DELAY_S)
        if must_wait:
            with eventlet.Timeout(LATER_VERSIONS_WAIT_S, False):
                is_done.wait()

    def may_lack_versions(self, known: Position | None, position: Position) -> bool:
        """Return whether others may know later versions than the store shows, or showed before.

        That is so when this entry starts, or after a restoration: this entry may have missed the
        latest changes before it.
        """
        if known is None:
            return not self.decision_loop.state.is_first_start
        return known.generation != position.generation

    def record_success(self) -> None:
        """Record that the store has responded, and submit it if it was unreachable."""
        if self.decision_loop.state.store_unavailable:
            self.decision_loop.submit(
                ev.StoreAvailabilityChanged(self.decision_loop.event_time(), True)
            )
            self.store_reachable_event.send()
            self.store_reachable_event = eventlet.event.Event()
        self.consecutive_failures = 0

    def record_failure(self, kind: str, changes: StoreChanges) -> None:
        """Count a failed read, and submit that the store is unreachable after several in a row.

        A watch from a position that the store's history no longer covers is only logged: the store
        did respond.
        """
        if changes.history_gone:
            self.decision_loop.log.info("store-history-gone", kind=kind)
            return
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= UNREACHABLE_AFTER_FAILURES
            and not self.decision_loop.state.store_unavailable
        ):
            self.decision_loop.submit(
                ev.StoreAvailabilityChanged(
                    self.decision_loop.event_time(), False, f"{kind}: {changes.status}"
                )
            )

    def write_software(self, effect: WriteSoftwareRecord) -> None:
        """Write the record of a software version, and submit how it ended."""
        status = self.store.write_software(effect.service_version)
        self.submit_generation()
        at = self.decision_loop.event_time()
        self.decision_loop.submit(ev.SoftwareRecordWritten(at, effect.service_version, status))

    def remove_software(self, effect: RemoveSoftwareRecord) -> None:
        """Remove the record of a software version, and submit how it ended."""
        status = self.store.remove_software(effect.service_version)
        self.submit_generation()
        at = self.decision_loop.event_time()
        self.decision_loop.submit(ev.SoftwareRecordRemoved(at, effect.service_version, status))

    def write_crashes(self, effect: WriteCrashRecord) -> None:
        """Write or remove the record of what crashes endpoints, and submit how it ended."""
        status = self.store.write_crashes(effect.name, effect.crashes)
        at = self.decision_loop.event_time()
        self.decision_loop.submit(
            ev.CrashRecordWritten(at, effect.name, len(effect.crashes), status)
        )

    def write_claim(self, effect: Claim) -> None:
        """Write this entry's claim to lead an engine, and submit how it ended.

        On a conflict the record in the store is submitted first.
        """
        status, position, lead_seen = self.store.claim(effect)
        self.submit_generation()
        at = self.decision_loop.event_time()
        if lead_seen is not None:
            self.decision_loop.submit(lead_seen)
        self.decision_loop.submit(ev.ClaimEnded(at, effect.engine, effect.epoch, status, position))
