"""Runs the effects that concern the platform, and its watch."""

import eventlet

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.membership import ENDPOINT_PREFIX, INSTANCE_PREFIX
from poplarhoist.decisions.pages import INDEX_PATH
from poplarhoist.decisions.suspect_store import SUSPECT_PREFIX
from poplarhoist.entry.core import Core
from poplarhoist.entry.platform import Listing, Platform

WATCHED = (INDEX_PATH, INSTANCE_PREFIX, ENDPOINT_PREFIX, SUSPECT_PREFIX)
WATCH_RETRY_S = 0.3


class PlatformCalls:
    """Makes the calls that the decisions ask for, each in its own green thread."""

    def __init__(self, core: Core, platform: Platform) -> None:
        self.core = core
        self.platform = platform
        core.on(fx.PlatformGet, lambda effect: eventlet.spawn_n(self.get, effect))
        core.on(fx.PlatformPut, lambda effect: eventlet.spawn_n(self.put, effect))
        core.on(fx.PlatformDelete, lambda effect: eventlet.spawn_n(self.delete, effect))
        core.on(fx.PlatformList, lambda effect: eventlet.spawn_n(self.list, effect))

    def answer(self, purpose: fx.Purpose, status: ev.CallStatus, version: int, value) -> None:
        """Tell the decisions how a call ended."""
        self.core.submit(ev.PlatformAnswered(self.core.at(), purpose, status, version, value))

    def get(self, effect: fx.PlatformGet) -> None:
        """Read an object."""
        answer = self.platform.get(effect.path)
        self.answer(effect.purpose, answer.status, answer.version, answer.value)

    def put(self, effect: fx.PlatformPut) -> None:
        """Write an object."""
        answer = self.platform.put(effect.path, effect.value, effect.expected_version)
        self.answer(effect.purpose, answer.status, answer.version, answer.value)

    def delete(self, effect: fx.PlatformDelete) -> None:
        """Delete an object."""
        answer = self.platform.delete(effect.path, effect.expected_version)
        self.answer(effect.purpose, answer.status, answer.version, answer.value)

    def list(self, effect: fx.PlatformList) -> None:
        """Read all objects below a prefix, as a dict by path."""
        listing = self.platform.list((effect.prefix,))
        value = {item.path: item.value for item in listing.objects}
        self.answer(effect.purpose, listing.status, listing.revision, value)

    def watch(self) -> None:
        """Follow the watched objects until the process ends."""
        revision = self.list_watched()
        while True:
            listing = self.platform.watch(WATCHED, revision)
            if listing.status is ev.CallStatus.OK:
                self.tell(listing)
                revision = listing.revision
                continue
            self.core.submit(ev.WatchBroken(self.core.at()))
            eventlet.sleep(WATCH_RETRY_S)
            if listing.too_old:
                revision = self.list_watched()

    def list_watched(self) -> int:
        """Read all watched objects; return the revision to watch from."""
        while True:
            listing = self.platform.list(WATCHED)
            if listing.status is ev.CallStatus.OK:
                self.tell(listing)
                self.tell_missing(listing)
                return listing.revision
            eventlet.sleep(WATCH_RETRY_S)

    def tell(self, listing: Listing) -> None:
        """Tell the decisions of listed or changed objects."""
        for item in listing.objects:
            event = ev.ObjectChanged(self.core.at(), item.path, item.version, item.value)
            self.core.submit(event)

    def tell_missing(self, listing: Listing) -> None:
        """Tell the decisions of members that a new listing holds no more."""
        listed = {item.path for item in listing.objects}
        members = self.core.state.members
        known = [INSTANCE_PREFIX + name for name in members.peers]
        known += [ENDPOINT_PREFIX + name for name in members.endpoints]
        for path in known:
            if path not in listed:
                self.core.submit(ev.ObjectChanged(self.core.at(), path, listing.revision, None))
