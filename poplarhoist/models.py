"""Data classes shared by the decisions, the entries, the tools and the stand-ins."""

import enum

from attrs import field, frozen


@frozen(cache_hash=True, order=True)
class AdapterRef:
    """One version of one adapter."""

    adapter: str
    version: int

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"

    @classmethod
    def parse(cls, text: str) -> "AdapterRef":
        """Parse ``name@version``.

        Raises
        ------
        ValueError
            If the text has no version or the version is not an integer.
        """
        adapter, separator, version = text.rpartition("@")
        if not separator or not adapter:
            raise ValueError(f"{text!r} is not of the form adapter@version")
        return cls(adapter, int(version))


class LifecycleState(enum.StrEnum):
    """Lifecycle state of an instance or endpoint; one that is leaving takes no new requests."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointKind(enum.StrEnum):
    """Whether an endpoint is an engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class Place:
    """Region and availability zone of a process."""

    region: str
    zone: str


@frozen
class Instance:
    """An entry instance as the platform lists it."""

    name: str
    place: Place
    host: str
    port: int
    state: LifecycleState = LifecycleState.LIVE


@frozen
class Endpoint:
    """An engine or service as the platform lists it.

    Attributes
    ----------
    serves : str
        Base model of an engine, or name of a service.
    slots : int
        Maximum number of adapters that are resident on an engine.
    batch : int
        Maximum number of requests in an engine's batch.
    checks_fencing : bool
        Whether the endpoint refuses an order with an old fencing token.
    """

    name: str
    kind: EndpointKind
    serves: str
    place: Place
    host: str
    port: int
    slots: int = 0
    batch: int = 1
    checks_fencing: bool = True
    state: LifecycleState = LifecycleState.LIVE


@frozen
class EndpointReport:
    """An endpoint's report on its own state, sampled before it is sent.

    Attributes
    ----------
    boot : str
        Incarnation of the endpoint; changes with each restart.
    age_s : float
        Age of the sample when the report is sent, in seconds.
    running : int
        Requests in the batch.
    waiting : int
        Requests queued at the endpoint.
    resident : dict
        Running requests by resident adapter version.
    free_slots : int
        Slots without an adapter into which none is being loaded.
    """

    endpoint: str
    boot: str
    age_s: float
    state: LifecycleState
    running: int = 0
    waiting: int = 0
    resident: dict[str, int] = field(factory=dict)
    free_slots: int = 0


class VersionState(enum.StrEnum):
    """State of an adapter version in the catalogue."""

    PUBLISHED = "published"
    WITHDRAWN = "withdrawn"


@frozen
class Adapter:
    """An adapter in the catalogue.

    Attributes
    ----------
    versions : dict
        State by version number, as text because it is a key in JSON.
    current : int
        The version for requests that name no version; 0 if there is none.
    callers : tuple
        Names of the callers that may use the adapter; ``*`` allows all.
    """

    name: str
    base: str
    versions: dict[str, VersionState] = field(factory=dict)
    current: int = 0
    callers: tuple[str, ...] = ("*",)


@frozen
class Caller:
    """A caller, identified by the SHA-256 digest of its token."""

    name: str
    token_sha256: str
    priority: int = 0


class PresetKind(enum.StrEnum):
    """Operating mode that a preset is meant for."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


@frozen
class Preset:
    """Parameters of the site that apply while this preset is in force.

    Attributes
    ----------
    kind : PresetKind
        Operating mode that the preset is meant for.
    stall_weight, batch_weight : float
        Weights in routing of the wait for a load and of the batch utilization.
    max_wait_s : float
        Longest wait for an adapter that is not ready, in seconds.
    queue_limit : int
        Maximum number of waiting requests in one entry.
    spare_loads : float
        Share of the store's rate for prefetches: loads that no request waits for.
    warm : tuple
        Adapters that are loaded before their first request.
    """

    name: str
    stall_weight: float = 1.0
    batch_weight: float = 1.0
    max_wait_s: float = 10.0
    queue_limit: int = 512
    spare_loads: float = 0.25
    warm: tuple[str, ...] = ()
    kind: PresetKind = PresetKind.ORDINARY


@frozen
class ConfigIndex:
    """The single object that determines which configuration is in force.

    Attributes
    ----------
    revision : int
        Increases by one with each accepted change.
    change : str
        Id of the change, chosen by its writer.
    preset : str
        Name of the preset in force.
    pages : dict
        Digests of the pages by page name.
    author : str
        Who made the change.
    recent : tuple
        Ids of the latest changes, in which a writer whose response was lost finds its own.
    retired : dict
        For each page that is to be deleted, the first revision without it, by the page's digest.
    """

    revision: int
    change: str
    preset: str
    pages: dict[str, str] = field(factory=dict)
    author: str = ""
    recent: tuple[str, ...] = ()
    retired: dict[str, int] = field(factory=dict)


@frozen
class Route:
    """A route of a plain service; ``repeat`` says whether its calls may run more than once."""

    method: str
    path: str
    repeat: bool


@frozen
class Service:
    """A plain service and its routes."""

    name: str
    routes: tuple[Route, ...] = ()


class Ran(enum.StrEnum):
    """Whether a refused request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request is refused."""

    UNKNOWN_CALLER = "unknown-caller"
    CALLER_NOT_ALLOWED = "caller-not-allowed"
    UNKNOWN_ADAPTER = "unknown-adapter"
    UNKNOWN_VERSION = "unknown-version"
    UNKNOWN_SERVICE = "unknown-service"
    BAD_REQUEST = "bad-request"
    NOT_READY = "not-ready"
    NOT_READY_IN_TIME = "adapter-not-ready-in-time"
    DEADLINE = "deadline-passed"
    QUEUE_FULL = "queue-full"
    CALLER_QUEUE_FULL = "caller-queue-full"
    LEAVING = "leaving"
    NO_ENDPOINT = "no-endpoint"
    ENDPOINT_LOST = "endpoint-lost"
    RETRY_BUDGET = "retry-budget"
    WRONG_ANSWER = "wrong-answer"
    QUARANTINED = "quarantined"
    KEY_MISSING = "idempotency-key-missing"
    KEY_REUSED = "idempotency-key-reused"
    RUN_IN_PROGRESS = "run-in-progress"
    RUN_UNKNOWN = "run-unknown"
    RUN_NOT_RECORDED = "run-not-recorded"
    ANSWER_NOT_KEPT = "answer-not-kept"
    CALLER_LEFT = "caller-left"


@frozen
class Refusal:
    """The final response to a request that is not served.

    Attributes
    ----------
    step : str
        The step at which the request was refused.
    endpoint : str
        The endpoint involved; empty if none.
    retry_after_s : float
        When a retry may succeed, in seconds; 0 if unknown.
    """

    reason: Reason
    ran: Ran = Ran.NO
    step: str = ""
    endpoint: str = ""
    retry_after_s: float = 0.0
