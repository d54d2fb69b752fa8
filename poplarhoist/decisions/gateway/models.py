"""What the gateway knows of routes, endpoints, adapters and requests."""

import enum

from attrs import field, frozen


class RouteKind(enum.StrEnum):
    """What may happen twice.

    REPEATABLE: a request may run any number of times.
    ONCE: a request runs at most once.
    STREAM: the answer is a series of events; at most once unless it can be resumed.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@frozen
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


@frozen
class Route:
    """A route: which requests it takes, where they go, and what they are owed.

    Attributes
    ----------
    prefix : str
        Start of the path; begins and ends with a slash.
    limit_s : float
        Longest time until the final answer.
    objective_s : float
        Time until the first byte within which an answer is worth most.
    attempts : int
        Endpoints that may run one request.
    priority : int
        0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    latency_target_s: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@frozen
class BaseModel:
    """A base model that engines of a service can hold, its size in megabytes."""

    name: str
    size_mb: float
    adapter_size_mb: float = 0.0


@frozen
class EngineProfile:
    """What every engine of a service offers.

    Attributes
    ----------
    places : int
        Adapters that an engine holds at once; one more makes it crash.
    memory_mb : float
        Room for the weights of models and adapters together.
    """

    adapter_slots: int
    memory_mb: float
    models_by_name: dict[str, BaseModel] = field(factory=dict)


@frozen
class ServiceSpec:
    """A service behind the routes; ``engine`` is None for a plain one."""

    name: str
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """Bounds on what callers send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Configuration:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: CallerLimits = field(factory=CallerLimits)


@frozen(cache_hash=True, order=True)
class AdapterKey:
    """An adapter of a base model; the empty adapter stands for the base model itself."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @classmethod
    def parse(cls, text: str) -> "AdapterKey":
        """Read the text form."""
        model, _, adapter = text.partition("/")
        return cls(model, adapter)


@frozen
class EndpointRecord:
    """An endpoint as it registers itself.

    Attributes
    ----------
    born : int
        Start of this run of the endpoint, in milliseconds since 1970; 0 if not told.
    held : dict
        Version by adapter that it holds; None if it holds nothing that can be told.
    warm : frozenset
        Base models whose weights it can load without the weight store.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    incarnation: int = 0
    held: dict[AdapterKey, int] | None = None
    warm_models: frozenset[str] = frozenset()


@frozen
class EngineReport:
    """What an engine answers when it is asked, some hundred milliseconds old.

    Attributes
    ----------
    orders : int
        Orders accepted since the engine started.
    coming : dict
        Version by adapter on its way to the engine.
    """

    incarnation: int
    accepted_orders: int
    held: dict[AdapterKey, int]
    loading: dict[AdapterKey, int]


@frozen
class PrefixSegment:
    """A part of a prompt that may stay in an engine's memory."""

    name: str
    tokens: int


@frozen
class Prompt:
    """What a model request asks an engine to do."""

    key: AdapterKey
    tokens: int = 0
    max_output_tokens: int = 0
    prefix_segments: tuple[PrefixSegment, ...] = ()


class Refused(enum.StrEnum):
    """Why a request is answered by the gateway itself."""

    NOT_CONFIGURED = "no configuration yet"
    NO_ROUTE = "no route"
    NO_ENDPOINT = "no endpoint"
    NO_PLACE = "no place for the adapter"
    DEADLINE = "deadline passed"
    RETRY_BUDGET = "retry budget spent"
    LOST = "endpoint lost"
    SUSPECT = "crashed endpoints before"
    DRAINING = "entry is stopping"
