"""The simulated network between entries, the platform and endpoints."""

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
WATCHED_PREFIXES = (INDEX_PATH, INSTANCE_PREFIX, ENDPOINT_PREFIX, SUSPECT_PREFIX)


class SimulatedNetwork:
    """Delivers calls, messages, polls and orders with latency; base class of ``Simulation``.

    Attributes
    ----------
    partitioned_pairs : set
        Pairs of names of entries that cannot reach each other.
    latency_s, cross_region_latency_s : float
        One-way latency in seconds, within a region and between regions.
    """

    clock: VirtualClock
    platform: FakePlatform
    engines: dict[str, FakeEngine]
    services: dict[str, FakeService]
    entries: dict[str, FakeEntry]
    partitioned_pairs: set[frozenset[str]]
    latency_s: float
    cross_region_latency_s: float

    def submit(self, entry: FakeEntry, make_event: Callable[[float], ev.Event]) -> None:
        """Apply an event to an entry; ``make_event`` gets the time at which it is applied."""
        raise NotImplementedError

    def call_platform(self, entry: FakeEntry, purpose: fx.Purpose, perform) -> None:
        """Make a platform call with latency, and submit its result to the entry.

        An entry that dies before the call reaches the platform makes no call. A call without an
        answer ends after ``CALL_TIMEOUT_S`` seconds.
        """
        latency_s = self.latency_s + self.platform.slow_s

        def execute() -> None:
            if not entry.alive:
                return
            status, version, value = perform()
            has_no_answer = status is ev.CallStatus.UNKNOWN
            wait_s = CALL_TIMEOUT_S if has_no_answer else latency_s
            make_event = lambda at: ev.PlatformAnswered(at, purpose, status, version, value)
            self.clock.after(wait_s, lambda: self.submit(entry, make_event))

        self.clock.after(latency_s, execute)

    def notify_watchers(self, path: str, version: int, value: object) -> None:
        """Notify every entry of a change under a watched prefix."""
        if not path.startswith(WATCHED_PREFIXES):
            return
        for entry in self.entries.values():
            self.clock.after(self.latency_s, self.make_notifier(entry, path, version, value))

    def make_notifier(self, entry: FakeEntry, path: str, version: int, value: object):
        """Return a callable that notifies one entry of a change.

        It tries again after 0.5 s during an outage or while the entry's watch is silent.
        """

        def notify() -> None:
            if self.platform.outage or not entry.watching:
                self.clock.after(0.5, notify)
                return
            self.submit(entry, lambda at: ev.ObjectChanged(at, path, version, value))

        return notify

    def deliver_watched_objects(self, entry: FakeEntry) -> None:
        """Submit all watched objects to an entry that has just started."""
        if self.platform.outage:
            self.clock.after(0.5, lambda: self.deliver_watched_objects(entry))
            return
        for path, (version, value) in list(self.platform.objects.items()):
            if path.startswith(WATCHED_PREFIXES):
                self.submit(entry, self.change_event_factory(path, version, value))

    def change_event_factory(self, path: str, version: int, value: object):
        """Return a function of the time that makes an ObjectChanged event."""
        return lambda at: ev.ObjectChanged(at, path, version, value)

    def send_message(self, entry: FakeEntry, effect: fx.SendMessage) -> None:
        """Deliver a message to another entry; drop it if the entries are partitioned."""
        target = self.entries.get(effect.peer)
        me = entry.state.me
        if target is None or frozenset((me.name, effect.peer)) in self.partitioned_pairs:
            return
        entry.sequence_by_peer[effect.peer] = entry.sequence_by_peer.get(effect.peer, 0) + 1
        sequence = entry.sequence_by_peer[effect.peer]
        is_cross_region = target.state.me.place.region != me.place.region
        delay_s = self.cross_region_latency_s if is_cross_region else self.latency_s
        make_event = lambda at: ev.PeerSaid(at, me.name, entry.state.boot, sequence, effect.message)
        self.clock.after(delay_s, lambda: self.submit(target, make_event))

    def latency_to(self, entry: FakeEntry, endpoint: str) -> float:
        """Return the one-way latency between an entry and an endpoint, in seconds."""
        fake = self.engines.get(endpoint) or self.services[endpoint]
        is_cross_region = fake.endpoint.place.region != entry.state.me.place.region
        return self.cross_region_latency_s if is_cross_region else self.latency_s

    def poll_endpoint(self, entry: FakeEntry, effect: fx.PollEndpoint) -> None:
        """Poll a fake endpoint and submit its report, or its silence, to the entry."""
        polled_at = self.clock.seconds
        delay_s = self.latency_to(entry, effect.endpoint)

        def read_report() -> None:
            fake = self.engines.get(effect.endpoint) or self.services[effect.endpoint]
            report = fake.report()
            if report is None:
                refused = fake.refuses_connections()
                make_event = lambda at: ev.EndpointSilent(at, effect.endpoint, refused)
            else:
                make_event = lambda at: ev.EndpointReported(at, polled_at, report)
            self.clock.after(delay_s, lambda: self.submit(entry, make_event))

        self.clock.after(delay_s, read_report)

    def send_order(self, entry: FakeEntry, effect: fx.SendOrder) -> None:
        """Send an order to a fake engine and submit its outcome to the entry."""
        delay_s = self.latency_to(entry, effect.endpoint)

        def on_done(outcome: ev.OrderOutcome, reason: str) -> None:
            make_event = lambda at: ev.OrderAnswered(
                at, effect.endpoint, effect.order_id, outcome, reason
            )
            self.clock.after(delay_s, lambda: self.submit(entry, make_event))

        self.clock.after(
            delay_s, lambda: self.engines[effect.endpoint].execute_order(effect, on_done)
        )
