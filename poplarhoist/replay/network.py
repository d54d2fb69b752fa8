"""Carries what entries send to the platform, to each other and to endpoints, with latency."""

from collections.abc import Callable

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.membership import ENDPOINT_PREFIX, INSTANCE_PREFIX
from poplarhoist.decisions.pages import INDEX_PATH
from poplarhoist.decisions.suspect_store import SUSPECT_PREFIX
from poplarhoist.replay.clock import VirtualClock
from poplarhoist.replay.fakes import FakeEngine, FakePlatform, FakeService
from poplarhoist.replay.records import FakeEntry

CALL_TIMEOUT_S = 2.0
WATCHED = (INDEX_PATH, INSTANCE_PREFIX, ENDPOINT_PREFIX, SUSPECT_PREFIX)


class Network:
    """The ways between entries and fakes; ``cut`` holds the pairs of entries that are cut off.

    Attributes
    ----------
    latency_s, region_latency_s : float
        Seconds of a way within a region and between regions.
    """

    clock: VirtualClock
    platform: FakePlatform
    engines: dict[str, FakeEngine]
    services: dict[str, FakeService]
    entries: dict[str, FakeEntry]
    cut: set[frozenset[str]]
    latency_s: float
    region_latency_s: float

    def submit(self, entry: FakeEntry, make: Callable[[float], ev.Event]) -> None:
        """Apply an event to an entry."""
        raise NotImplementedError

    def call(self, entry: FakeEntry, purpose: fx.Purpose, make) -> None:
        """Make a platform call with latency, and tell the entry how it ended."""
        latency_s = self.latency_s + self.platform.slow_s

        def arrive() -> None:
            if not entry.alive:
                return
            status, version, value = make()
            lost = status is ev.CallStatus.UNKNOWN
            wait_s = CALL_TIMEOUT_S if lost else latency_s
            answer = lambda at: ev.PlatformAnswered(at, purpose, status, version, value)
            self.clock.after(wait_s, lambda: self.submit(entry, answer))

        self.clock.after(latency_s, arrive)

    def push(self, path: str, version: int, value: object) -> None:
        """Tell watching entries of a change."""
        if not path.startswith(WATCHED):
            return
        for entry in self.entries.values():
            self.clock.after(self.latency_s, self.pusher(entry, path, version, value))

    def pusher(self, entry: FakeEntry, path: str, version: int, value: object):
        """Return the call that tells one entry of a change, retried during an outage."""

        def tell() -> None:
            if self.platform.outage or not entry.watching:
                self.clock.after(0.5, tell)
                return
            self.submit(entry, lambda at: ev.ObjectChanged(at, path, version, value))

        return tell

    def list_watched(self, entry: FakeEntry) -> None:
        """Tell a fresh entry of all watched objects."""
        if self.platform.outage:
            self.clock.after(0.5, lambda: self.list_watched(entry))
            return
        for path, (version, value) in list(self.platform.objects.items()):
            if path.startswith(WATCHED):
                self.submit(entry, self.change_event(path, version, value))

    def change_event(self, path: str, version: int, value: object):
        """Return the maker of a change event."""
        return lambda at: ev.ObjectChanged(at, path, version, value)

    def send_message(self, entry: FakeEntry, effect: fx.SendMessage) -> None:
        """Carry a message to another entry, unless the way is cut."""
        target = self.entries.get(effect.peer)
        me = entry.state.me
        if target is None or frozenset((me.name, effect.peer)) in self.cut:
            return
        entry.sequences[effect.peer] = entry.sequences.get(effect.peer, 0) + 1
        sequence = entry.sequences[effect.peer]
        crossing = target.state.me.place.region != me.place.region
        delay_s = self.region_latency_s if crossing else self.latency_s
        said = lambda at: ev.PeerSaid(at, me.name, entry.state.boot, sequence, effect.message)
        self.clock.after(delay_s, lambda: self.submit(target, said))

    def delay_to(self, entry: FakeEntry, endpoint: str) -> float:
        """Return the latency of the way to an endpoint."""
        fake = self.engines.get(endpoint) or self.services[endpoint]
        crossing = fake.endpoint.place.region != entry.state.me.place.region
        return self.region_latency_s if crossing else self.latency_s

    def poll(self, entry: FakeEntry, effect: fx.PollEndpoint) -> None:
        """Read a report of a fake endpoint."""
        asked_at = self.clock.seconds
        delay_s = self.delay_to(entry, effect.endpoint)

        def answer() -> None:
            fake = self.engines.get(effect.endpoint) or self.services[effect.endpoint]
            report = fake.report()
            if report is None:
                refused = fake.refuses_connections()
                event = lambda at: ev.EndpointSilent(at, effect.endpoint, refused)
            else:
                event = lambda at: ev.EndpointReported(at, asked_at, report)
            self.clock.after(delay_s, lambda: self.submit(entry, event))

        self.clock.after(delay_s, answer)

    def order(self, entry: FakeEntry, effect: fx.SendOrder) -> None:
        """Send an order to a fake engine."""
        delay_s = self.delay_to(entry, effect.endpoint)

        def done(outcome: ev.OrderOutcome, reason: str) -> None:
            answer = lambda at: ev.OrderAnswered(
                at, effect.endpoint, effect.order_id, outcome, reason
            )
            self.clock.after(delay_s, lambda: self.submit(entry, answer))

        self.clock.after(delay_s, lambda: self.engines[effect.endpoint].order(effect, done))
