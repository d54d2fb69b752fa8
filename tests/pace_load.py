"""Simulates a load on endpoints of a plain service that differ in speed, without a network.

Each of 6 endpoints has 6 slots and a queue of twice as many. A request works for a time drawn
around 55 ms, longer by the endpoint's pace at that moment, which is redrawn ten times a second, and
by its base speed, from 0.55 to 1.2. With these the slowest in a hundred take about seven times the
median, as measured for the plain services of site H.
"""

import itertools
import random
from collections import deque

from attrs import define, field

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.models import EndpointLoad
from poplarhoist.decisions.gateway.state import GatewayState
from tests.gateway import REGIONS, configuration, plain_endpoint
from tests.gateway_load import Simulation

SPEEDS = (0.55, 0.68, 0.81, 0.94, 1.07, 1.2)
SLOTS = 6
MAX_WAITING = 2 * SLOTS
MEDIAN_WORK_S = 0.055
WORK_SIGMA = 0.5
PACE_SIGMA = 0.5
PACE_REDRAWN_S = 0.1
LATE_S = 0.36
DEADLINE_S = 1.6
# Mean of the product of the drawn work and pace, at a speed of 1.
MEAN_WORK_S = MEDIAN_WORK_S * 2.718281828 ** ((WORK_SIGMA**2 + PACE_SIGMA**2) / 2)
CAPACITY_PER_S = SLOTS * sum(SPEEDS) / MEAN_WORK_S


@define
class PlainEndpoint:
    """A simulated endpoint; its queue holds what waits for a slot."""

    zone: str
    speed: float
    pace: float = 1.0
    running: int = 0
    queue: deque = field(factory=deque)


class PlainSimulation(Simulation):
    """Entries and endpoints of a plain service on a virtual clock.

    Parameters
    ----------
    tells_pace, pace_has_speed : bool
        Whether endpoints tell the fourth figure, and whether it includes their base speed.
    """

    def __init__(
        self, seed: int, tells_pace: bool, pace_has_speed: bool = True, zones=tuple(REGIONS)
    ) -> None:
        self.tells_pace, self.pace_has_speed = tells_pace, pace_has_speed
        self.random = random.Random(seed)
        self.at = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.engines = {
            f"d{n}": PlainEndpoint(zones[n % len(zones)], speed) for n, speed in enumerate(SPEEDS)
        }
        names = {f"entry-{n}": zones[n % len(zones)] for n in range(70)}
        self.states = {
            name: GatewayState(name, "b", zone, REGIONS, random.Random(f"{seed}{name}"))
            for name, zone in names.items()
        }
        self.sent_at: dict[str, float] = {}
        self.took_s: dict[str, float] = {}
        self.choices: list[str] = []
        for name in names:
            for peer, zone in names.items():
                self.submit(name, ev.EntryRecordChanged, name=peer, host="h", port=1, zone=zone)
            self.submit(name, ev.EntriesListed, names=frozenset(names))
            self.submit(name, ev.ConfigurationSeen, configuration=configuration())
            for n, endpoint in enumerate(self.engines.values()):
                self.submit(name, ev.EndpointSeen, record=plain_endpoint(n, zone=endpoint.zone))
            self.submit(name, ev.EndpointsListed, names=frozenset(self.engines))
        self.redraw_paces()

    def redraw_paces(self) -> None:
        """Draw the pace of each endpoint anew."""
        for endpoint in self.engines.values():
            endpoint.pace = self.random.lognormvariate(0.0, PACE_SIGMA)
        self.schedule(PACE_REDRAWN_S, self.redraw_paces)

    def generate(self, seconds: float, share: float) -> None:
        """Schedule requests that use a share of the capacity, and run them to their end."""
        at_s = 0.0
        while (at_s := at_s + self.random.expovariate(share * CAPACITY_PER_S)) < seconds:
            self.schedule(at_s, self.arrive)
        self.advance(seconds + 3.0)

    def arrive(self) -> None:
        """Let a request arrive at a random entry."""
        request_id = f"r{len(self.sent_at)}"
        self.sent_at[request_id] = self.at
        fields = {"host": "host.test", "path": "/read/x", "caller_id": "c"}
        name = self.random.choice(list(self.states))
        self.submit(name, ev.RequestArrived, request_id=request_id, **fields)

    def run_effect(self, name: str, effect) -> None:
        """Let requests arrive at their endpoints after their time on the network."""
        if isinstance(effect, fx.Dispatch):
            self.choices.append(effect.endpoint.name)
            endpoint = self.engines[effect.endpoint.name]
            delay_s = self.one_way_delay_s(self.states[name].zone, endpoint.zone)
            self.schedule(delay_s, self.begin, name, endpoint, effect, delay_s)

    def begin(self, name: str, endpoint: PlainEndpoint, dispatch, delay_s: float) -> None:
        """Run a request in a free slot, let it wait for one, or turn it away."""
        if endpoint.running < SLOTS:
            endpoint.running += 1
            work_s = self.random.lognormvariate(0.0, WORK_SIGMA) * MEDIAN_WORK_S
            work_s *= endpoint.pace / endpoint.speed
            self.schedule(work_s, self.end, name, endpoint, dispatch, delay_s)
        elif len(endpoint.queue) < MAX_WAITING:
            endpoint.queue.append((name, dispatch, delay_s))
        else:
            outcome = ev.Outcome.NOT_RUN
            self.schedule(delay_s, self.tell_end, name, dispatch, outcome, 503, self.load(endpoint))

    def load(self, endpoint: PlainEndpoint) -> EndpointLoad:
        """Return what an endpoint tells of its load."""
        speed = endpoint.speed if self.pace_has_speed else 1.0
        pace = round(endpoint.pace / speed, 2) if self.tells_pace else None
        return EndpointLoad(endpoint.running, len(endpoint.queue), SLOTS, pace)

    def end(self, name: str, endpoint: PlainEndpoint, dispatch, delay_s: float) -> None:
        """End a request and begin the next one that waits."""
        endpoint.running -= 1
        if endpoint.queue:
            self.begin(*endpoint.queue[0][:1], endpoint, *endpoint.queue.popleft()[1:])
        load = self.load(endpoint)
        self.schedule(delay_s, self.tell_end, name, dispatch, ev.Outcome.DONE, 200, load)

    def tell_end(self, name: str, dispatch, outcome, status: int, load: EndpointLoad) -> None:
        """Tell an entry of a response; after its deadline it gets none."""
        fields = {"request_id": dispatch.request_id, "attempt": dispatch.attempt}
        took_s = self.at - self.sent_at[dispatch.request_id]
        notice = ev.EndpointNotice(load=load)
        if took_s > DEADLINE_S:
            outcome, status = ev.Outcome.TIMED_OUT, 0
        elif outcome is ev.Outcome.DONE:
            self.took_s[dispatch.request_id] = took_s
            self.submit(name, ev.ResponseStarted, notice=notice, **fields)
            notice = None
        self.submit(name, ev.AttemptEnded, outcome=outcome, status=status, notice=notice, **fields)

    def late_share(self) -> float:
        """Return the share of requests without a first byte in time."""
        in_time = sum(took_s <= LATE_S for took_s in self.took_s.values())
        return 1.0 - in_time / len(self.sent_at)

    def share_of(self, endpoint: str) -> float:
        """Return the share of the attempts that an endpoint got."""
        return self.choices.count(endpoint) / len(self.choices)
