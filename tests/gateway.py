"""Runs one entry's decisions on a virtual clock, with a service of engines and a plain one."""

import random

from attrs import evolve

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    BaseModel,
    Configuration,
    EndpointRecord,
    EngineProfile,
    EngineReport,
    Prompt,
    Route,
    RouteKind,
    ServiceSpec,
    Target,
)
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.reducer import reduce
from poplarhoist.decisions.gateway.state import GatewayState

BASE_MODEL_KEY = AdapterKey("base")
PROFILE = EngineProfile(8, 1000.0, {"base": BaseModel("base", 600.0, 40.0)})
REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}


def route(prefix: str, service: str = "models", **changes) -> Route:
    """Return a route of the test host."""
    defaults = Route(
        name=prefix,
        host="host.test",
        prefix=prefix,
        kind=RouteKind.STREAM,
        targets=(Target(service),),
        timeout_s=6.0,
        latency_target_s=1.0,
        max_attempts=2,
    )
    return evolve(defaults, **changes)


ROUTES = (
    route("/stream/"),
    route("/resume/", resumable=True),
    route(
        "/once/", "desk", kind=RouteKind.ONCE, max_attempts=1, timeout_s=1.5, latency_target_s=0.3
    ),
    route("/read/", "desk", kind=RouteKind.REPEATABLE, timeout_s=1.5, latency_target_s=0.3),
)


def configuration(version: int = 1, routes=ROUTES) -> Configuration:
    """Return a configuration with the test services."""
    services = {
        "models": ServiceSpec("models", PROFILE),
        "desk": ServiceSpec("desk"),
    }
    return Configuration(version, tuple(routes), services)


def engine(number: int, held: tuple[str, ...] = (), **changes) -> EndpointRecord:
    """Return the record of an engine that holds the base model and the given adapters."""
    held_versions = {BASE_MODEL_KEY: 1} | {AdapterKey("base", name): 1 for name in held}
    defaults = EndpointRecord(
        f"e{number}",
        "models",
        "10.0.0.1",
        8000 + number,
        "north-a",
        64,
        incarnation=1,
        held=held_versions,
    )
    return evolve(defaults, **changes)


def plain_endpoint(number: int, **changes) -> EndpointRecord:
    """Return the record of an endpoint of the plain service."""
    defaults = EndpointRecord(
        f"d{number}", "desk", "10.0.1.1", 8000 + number, "north-a", 6, incarnation=1
    )
    return evolve(defaults, **changes)


class Gateway:
    """One entry's decisions; collects their effects.

    Attributes
    ----------
    at : float
        The virtual time in seconds.
    """

    def __init__(self, name: str = "entry-1", peers: tuple[str, ...] = (), **limits) -> None:
        self.state = GatewayState(
            name=name,
            boot_id="b1",
            zone="north-a",
            regions=REGIONS,
            random=random.Random(1),
            limits=GatewayLimits(**limits),
        )
        self.at = 0.0
        self.effects: list = []
        self.request_count = 0
        for peer in (name, *peers):
            self.submit(
                ev.EntryRecordChanged, name=peer, host="10.0.2.1", port=7000, zone="north-a"
            )
        self.submit(ev.EntriesListed, names=frozenset((name, *peers)))
        self.submit(ev.LeadsListed)
        self.submit(ev.SoftwareRecordsListed)

    def submit(self, kind, /, **fields) -> list:
        """Apply an event at the current time and return its effects."""
        effects = reduce(self.state, kind(at=self.at, **fields))
        self.effects += effects
        return effects

    def configure(self, version: int = 1, routes=ROUTES) -> None:
        """Apply a configuration."""
        self.submit(ev.ConfigurationSeen, configuration=configuration(version, routes))

    def list_endpoints(self, *records: EndpointRecord) -> None:
        """Apply a complete list of endpoint records; the store names their software versions."""
        for record in records:
            self.submit(ev.SoftwareRecordSeen, service_version=record.service_version)
            self.submit(ev.EndpointSeen, record=record)
        self.submit(ev.SoftwareRecordsListed)
        self.submit(ev.EndpointsListed, names=frozenset(record.name for record in records))

    def advance(self, seconds: float, step_s: float = 0.025) -> list:
        """Advance the clock with a tick every `step_s` seconds; return the effects."""
        effects = []
        ends_at = self.at + seconds
        while self.at < ends_at - 1e-9:
            self.at += step_s
            effects += self.submit(ev.Tick)
        return effects

    def request(self, path: str, adapter: str | None = None, **fields) -> tuple[str, list]:
        """Let a caller's request arrive; return its id and the effects."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        prompt = Prompt(AdapterKey("base", adapter), 1000) if adapter is not None else None
        values = {"deadline_s": 6.0, "prompt": prompt, "host": "host.test", "path": path}
        values |= {"caller_id": f"c{self.request_count}"} | fields
        effects = self.submit(ev.RequestArrived, request_id=request_id, **values)
        return request_id, effects

    def end_attempt(self, dispatch: fx.Dispatch, outcome: ev.Outcome, **fields) -> list:
        """Let an attempt end with an outcome."""
        return self.submit(
            ev.AttemptEnded,
            request_id=dispatch.request_id,
            attempt=dispatch.attempt,
            outcome=outcome,
            **fields,
        )

    def set_lead(
        self, engine_name: str, holder: str = "", epoch: int = 1, revision: int = 1
    ) -> None:
        """Let the store name the lead of an engine; without a holder, let this entry claim it."""
        position = Position(self.state.store_generation, revision)
        if holder:
            self.submit(
                ev.LeadSeen, engine=engine_name, holder=holder, epoch=epoch, position=position
            )
            return
        self.state.started_at = self.at - 10.0
        claims = effects_of(fx.Claim, self.advance(0.3))
        claim = next(claim for claim in claims if claim.engine == engine_name)
        self.submit(
            ev.ClaimEnded,
            engine=engine_name,
            epoch=claim.epoch,
            status=ev.CallStatus.OK,
            position=position,
        )

    def report(
        self, engine_name: str, held: tuple[str, ...] = (), orders=0, with_model=True, **fields
    ) -> list:
        """Let an engine's report be read."""
        held_versions = {AdapterKey("base", adapter): 1 for adapter in held}
        if with_model:
            held_versions[BASE_MODEL_KEY] = 1
        values = {"incarnation": 1, "held": held_versions, "loading": {}} | fields
        report = EngineReport(accepted_orders=orders, **values)
        return self.submit(
            ev.ReportReceived, requested_at=self.at, engine=engine_name, report=report
        )

    def receive(self, sender: str, message: messages.Message) -> list:
        """Let another entry's message arrive."""
        return self.submit(ev.PeerMessageReceived, sender=sender, message=message)

    def end_order(self, order: fx.SendOrder, status: ev.OrderStatus) -> list:
        """Let an order be answered with a status."""
        return self.submit(
            ev.OrderEnded, engine=order.engine.name, number=order.number, status=status
        )


def effects_of(kind: type, effects: list) -> list:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def only_effect(kind: type, effects: list):
    """Return the only effect of a type; fails if there is not exactly one."""
    found = effects_of(kind, effects)
    assert len(found) == 1, found
    return found[0]


def start_gateway(*records: EndpointRecord) -> Gateway:
    """Return an entry with two others, a configuration and these endpoints."""
    gateway = Gateway(peers=("entry-2", "entry-3"))
    gateway.configure()
    gateway.list_endpoints(*records)
    return gateway


def send_request(
    gateway: Gateway, path: str = "/read/x", adapter: str | None = None
) -> fx.Dispatch:
    """Let a request arrive that is sent at once."""
    return only_effect(fx.Dispatch, gateway.request(path, adapter)[1])


def endpoints_of(gateway: Gateway, count: int = 12) -> set[str]:
    """Return the endpoints that get the next requests, which are answered at once."""
    names = set()
    for _ in range(count):
        dispatch = send_request(gateway)
        names.add(dispatch.endpoint.name)
        gateway.end_attempt(dispatch, ev.Outcome.DONE)
    return names
