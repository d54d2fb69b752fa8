"""Several entries on a virtual clock that share the quotas of teams; messages are delayed and lost."""

import heapq
import itertools
import random

from attrs import define, evolve, field

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages, quota_keeper, requests
from poplarhoist.decisions.gateway.models import AdapterKey, Prompt, QuotaTerms, Team
from poplarhoist.decisions.gateway.reducer import reduce
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState
from tests.gateway import REGIONS, configuration, plain_endpoint, route

WINDOW_S, OVER, SLACK = 8.0, 0.1, 110_000.0
ZONES = tuple(REGIONS)
SERVICE_S = 0.2
# Tokens, priority and share of the kinds of requests of a site; a mean of 3,700 tokens.
KINDS = ((9600, 0, 0.33), (1250, 1, 0.33), (500, 2, 0.34))
MEAN_TOKENS = sum(tokens * share for tokens, _, share in KINDS)
# Teams use on average so much of their rate.
USUAL = 1 / 1.8
ROUTES = tuple(
    route(f"/{priority}/", "desk", priority=priority, kind="repeatable", timeout_s=3.0)
    for _, priority, _ in KINDS
)


def permitted(terms: QuotaTerms) -> float:
    """Return how many tokens the rule permits in one window."""
    return (terms.rate_per_s * WINDOW_S + terms.burst) * (1.0 + OVER) + SLACK


def team(name: str, rate_per_s: float = 29_000.0, burst_s: float = 2.0, **changes) -> Team:
    """Return a team whose burst is so many seconds of its rate."""
    return Team(name, None, QuotaTerms(rate_per_s, rate_per_s * burst_s, **changes))


@define
class Use:
    """What became of one request."""

    at: float
    team: str
    tokens: float
    priority: int
    entry: str
    sent_at: float | None = None
    refusal: fx.Refuse | None = None
    refused_at: float | None = None


@define
class Entry:
    """One entry; what arrives while it is frozen is applied afterwards."""

    state: GatewayState
    is_alive: bool = True
    frozen_until: float = 0.0
    late_events: list = field(factory=list)


class Site:
    """Entries, their network and the callers of teams.

    Attributes
    ----------
    lost_share : float
        Share of messages that are lost; as many are doubled, and as many are late by 0.3 s.
    is_cut : callable
        Whether messages between two entries are lost.
    """

    def __init__(self, count: int, teams: list[Team], seed: int = 1, first_start=True, tick_s=0.05):
        self.random = random.Random(seed)
        self.at, self.tick_s, self.queue, self.order = 0.0, tick_s, [], itertools.count()
        self.zone_by_entry = {f"entry-{n}": ZONES[n % 3] for n in range(count)}
        # A balancer that sends connections by hash.
        self.weights = [self.random.random() ** 2 for _ in range(count)]
        self.teams = {one.name: one for one in teams}
        self.uses: dict[str, Use] = {}
        self.message_counts: dict[str, int] = {}
        self.lost_share = 0.0
        self.is_cut = lambda first, second: False
        self.lives = itertools.count()
        self.entries: dict[str, Entry] = {}
        for name in self.zone_by_entry:
            self.start(name, first_start)
        self.advance(2.0)

    def start(self, name: str, first_start: bool = False) -> None:
        """Start the process of an entry, which reads all records at once."""
        chance = random.Random(f"{name}-{next(self.lives)}-{self.random.random()}")
        zone = self.zone_by_entry[name]
        state = GatewayState(name, "b", zone, REGIONS, chance, is_first_start=first_start)
        state.started_at = self.at
        self.entries[name] = entry = Entry(state)
        for peer, peer_zone in self.zone_by_entry.items():
            self.submit(name, ev.EntryRecordChanged, name=peer, host="h", port=1, zone=peer_zone)
        self.submit(name, ev.EntriesListed, names=frozenset(self.zone_by_entry))
        self.submit(name, ev.LeadsListed)
        self.submit(name, ev.ConfigurationSeen, configuration=configuration(routes=ROUTES))
        self.submit(name, ev.EndpointSeen, record=plain_endpoint(1))
        self.submit(name, ev.EndpointsListed, names=frozenset(("d1",)))
        quota_keeper.on_teams(state, list(self.teams.values()), self.at)
        self.schedule(self.tick_s * self.random.random(), self.tick, name, entry)

    def list_entries(self, readers, listed) -> None:
        """Let entries read a list of entries."""
        for name in readers:
            for peer in listed:
                zone = self.zone_by_entry[peer]
                self.submit(name, ev.EntryRecordChanged, name=peer, host="h", port=1, zone=zone)
            self.submit(name, ev.EntriesListed, names=frozenset(listed))

    def set_team(self, changed: Team, readers=None) -> None:
        """Let entries read a configuration with a changed team."""
        self.teams[changed.name] = changed
        for name in readers or self.entries:
            teams = list(self.teams.values())
            quota_keeper.on_teams(self.entries[name].state, teams, self.at)

    def keeper(self, name: str) -> str:
        """Return the keeper of a team by the list of all entries."""
        return next(iter(self.entries.values())).state.quotas.roles_by_team[name][0]

    def schedule(self, delay_s: float, callback, *args) -> None:
        """Run a callback after a delay."""
        heapq.heappush(self.queue, (self.at + delay_s, next(self.order), callback, args))

    def advance(self, seconds: float) -> None:
        """Run everything that is scheduled within the next seconds."""
        ends_at = self.at + seconds
        while self.queue and self.queue[0][0] <= ends_at:
            self.at, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.at = ends_at

    def tick(self, name: str, entry: Entry) -> None:
        """Submit a tick to a process while it lives."""
        if self.entries[name] is entry and entry.is_alive:
            if self.at >= entry.frozen_until:
                self.submit(name, ev.Tick)
            self.schedule(self.tick_s, self.tick, name, entry)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a process; what arrives meanwhile waits in its socket."""
        entry = self.entries[name]
        entry.frozen_until = self.at + seconds
        self.schedule(seconds, self.thaw, name, entry)

    def thaw(self, name: str, entry: Entry) -> None:
        """Let a process go on with what has arrived."""
        late, entry.late_events = entry.late_events, []
        for kind, fields in late:
            self.submit(name, kind, **fields)

    def submit(self, name: str, kind, /, **fields) -> None:
        """Apply an event at an entry and run its effects."""
        entry = self.entries[name]
        if not entry.is_alive:
            return
        if self.at < entry.frozen_until:
            entry.late_events.append((kind, fields))
            return
        for effect in reduce(entry.state, kind(at=self.at, **fields)):
            match effect:
                case fx.SendPeer():
                    self.send(name, effect)
                case fx.Dispatch():
                    self.run_request(name, effect)
                case fx.Refuse():
                    use = self.uses[effect.request_id]
                    use.refusal, use.refused_at = effect, self.at

    def send(self, name: str, effect: fx.SendPeer) -> None:
        """Send a message over the network, which may lose, double and delay it."""
        kind = type(effect.message).__name__
        self.message_counts[kind] = self.message_counts.get(kind, 0) + 1
        copies = 1
        delay_s = self.random.uniform(0.0005, 0.0014)
        if REGIONS[self.zone_by_entry[name]] != REGIONS[self.zone_by_entry[effect.peer]]:
            delay_s += 0.03
        if self.lost_share:
            copies = self.random.choices(
                (0, 2, 1), (self.lost_share, self.lost_share, 1 - 2 * self.lost_share)
            )[0]
            delay_s += 0.3 * (self.random.random() < self.lost_share)
        if not self.is_cut(name, effect.peer):
            for _ in range(copies):
                self.schedule(delay_s, self.deliver, effect.peer, name, effect.message)

    def deliver(self, name: str, sender: str, message: messages.Message) -> None:
        """Deliver a message to an entry."""
        self.submit(name, ev.PeerMessageReceived, sender=sender, message=message)

    def run_request(self, name: str, dispatch: fx.Dispatch) -> None:
        """Run a request at the endpoint."""
        self.uses[dispatch.request_id].sent_at = self.at
        fields = {"request_id": dispatch.request_id, "attempt": dispatch.attempt}
        fields |= {"outcome": ev.Outcome.DONE}
        self.schedule(SERVICE_S, lambda: self.submit(name, ev.AttemptEnded, **fields))

    def load(self, name: str, seconds: float, share: float = USUAL, entries=None) -> None:
        """Schedule requests of a team that use a share of its rate."""
        per_s = share * self.teams[name].quota.rate_per_s / MEAN_TOKENS
        at_s, names = 0.0, list(self.zone_by_entry)
        while (at_s := at_s + self.random.expovariate(per_s)) < seconds:
            kind = self.random.choices(KINDS, [share for _, _, share in KINDS])[0]
            entry = self.random.choices(names, self.weights)[0]
            self.schedule(at_s, self.request, name, kind[0], kind[1], entry)

    def request(self, name: str, tokens: int, priority: int, entry: str) -> None:
        """Let a caller of a team send a request."""
        while not self.entries[entry].is_alive:
            entry = self.random.choice(list(self.entries))
        request_id = f"r{len(self.uses)}"
        self.uses[request_id] = Use(self.at, name, tokens, priority, entry)
        self.submit(
            entry,
            ev.RequestArrived,
            request_id=request_id,
            caller_id=f"{name}/{request_id}",
            host="host.test",
            path=f"/{priority}/x",
            deadline_s=3.0,
            prompt=Prompt(AdapterKey("base"), tokens),
        )

    def largest_window(self, name: str, since: float = 0.0) -> float:
        """Return the most tokens of a team that were sent within one window after a time."""
        used = [
            (use.sent_at, use.tokens)
            for use in self.uses.values()
            if use.team == name and use.sent_at is not None and use.sent_at >= since
        ]
        used.sort()
        largest = total = 0.0
        start = 0
        for at, tokens in used:
            total += tokens
            while used[start][0] < at - WINDOW_S:
                total -= used[start][1]
                start += 1
            largest = max(largest, total)
        return largest

    def refused(self, name: str | None = None) -> list[Use]:
        """Return the requests that were refused."""
        return [
            use
            for use in self.uses.values()
            if use.refusal is not None and (name is None or use.team == name)
        ]

    def messages_per_s(self, seconds: float) -> float:
        """Return the messages about quotas in a second of a load that lasted so long."""
        counts = self.message_counts.items()
        return sum(count for kind, count in counts if kind.startswith("Quota")) / seconds


def charge_by_caller_id(monkeypatch, teams_of) -> None:
    """Let requests belong to the team that the id of their caller names."""

    def create(**fields) -> RequestState:
        name = fields["caller_id"].partition("/")[0]
        return evolve(RequestState(**fields), team=teams_of().get(name))

    monkeypatch.setattr(requests, "RequestState", create)
