"""Runs the platform calls that the decisions emit, and the watch of the platform's objects."""

import eventlet

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.membership import ENDPOINT_PREFIX, INSTANCE_PREFIX
from poplarhoist.decisions.pages import INDEX_PATH
from poplarhoist.decisions.suspect_store import SUSPECT_PREFIX
from poplarhoist.entry.core import Core
from poplarhoist.entry.platform import Listing, Platform

WATCHED_PREFIXES = (INDEX_PATH, INSTANCE_PREFIX, ENDPOINT_PREFIX, SUSPECT_PREFIX)
WATCH_RETRY_S = 0.3


class PlatformEffects:
    """Runs each platform call in its own green thread and submits its result as an event."""

    def __init__(self, core: Core, platform: Platform) -> None:
        self.core = core
        self.platform = platform
        core.set_handler(fx.PlatformGet, lambda effect: eventlet.spawn_n(self.get, effect))
        core.set_handler(fx.PlatformPut, lambda effect: eventlet.spawn_n(self.put, effect))
        core.set_handler(fx.PlatformDelete, lambda effect: eventlet.spawn_n(self.delete, effect))
        core.set_handler(fx.PlatformList, lambda effect: eventlet.spawn_n(self.list, effect))

    def submit_answer(
        self, purpose: fx.Purpose, status: ev.CallStatus, version: int, value
    ) -> None:
        """Submit the result of a call to the decisions.

        Parameters
        ----------
        version : int
            Version of the object, or revision of a listing; 0 if the call failed.
        value : object
            The object; for a listing, a dict of objects by path.
        """
        self.core.submit(
            ev.PlatformAnswered(self.core.event_time(), purpose, status, version, value)
        )

    def get(self, effect: fx.PlatformGet) -> None:
        """Read an object."""
        answer = self.platform.get(effect.path)
        self.submit_answer(effect.purpose, answer.status, answer.version, answer.value)

    def put(self, effect: fx.PlatformPut) -> None:
        """Write an object."""
        answer = self.platform.put(effect.path, effect.value, effect.expected_version)
        self.submit_answer(effect.purpose, answer.status, answer.version, answer.value)

    def delete(self, effect: fx.PlatformDelete) -> None:
        """Delete an object."""
        answer = self.platform.delete(effect.path, effect.expected_version)
        self.submit_answer(effect.purpose, answer.status, answer.version, answer.value)

    def list(self, effect: fx.PlatformList) -> None:
        """Read all objects below a prefix, as a dict by path."""
        listing = self.platform.list((effect.prefix,))
        value = {item.path: item.value for item in listing.objects}
        self.submit_answer(effect.purpose, listing.status, listing.revision, value)

    def run_watch(self) -> None:
        """List the watched objects, then submit their changes until the process ends.

        If the platform no longer has the history after the last revision, all objects are listed
        again.
        """
        revision = self.list_watched()
        while True:
            listing = self.platform.watch(WATCHED_PREFIXES, revision)
            if listing.status is ev.CallStatus.OK:
                self.submit_changes(listing)
                revision = listing.revision
                continue
            self.core.submit(ev.WatchBroken(self.core.event_time()))
            eventlet.sleep(WATCH_RETRY_S)
            if listing.history_gone:
                revision = self.list_watched()

    def list_watched(self) -> int:
        """List all watched objects, retrying until it succeeds; return the revision to watch from.

        Also submits the removal of members that are no longer listed.
        """
        while True:
            listing = self.platform.list(WATCHED_PREFIXES)
            if listing.status is ev.CallStatus.OK:
                self.submit_changes(listing)
                self.submit_unlisted_members(listing)
                return listing.revision
            eventlet.sleep(WATCH_RETRY_S)

    def submit_changes(self, listing: Listing) -> None:
        """Submit each listed or changed object to the decisions."""
        for item in listing.objects:
            event = ev.ObjectChanged(self.core.event_time(), item.path, item.version, item.value)
            self.core.submit(event)

    def submit_unlisted_members(self, listing: Listing) -> None:
        """Submit the removal of known members that are missing from a new listing."""
        listed_paths = {item.path for item in listing.objects}
        members = self.core.state.members
        known_paths = [INSTANCE_PREFIX + name for name in members.peers]
        known_paths += [ENDPOINT_PREFIX + name for name in members.endpoints]
        for path in known_paths:
            if path not in listed_paths:
                self.core.submit(
                    ev.ObjectChanged(self.core.event_time(), path, listing.revision, None)
                )
