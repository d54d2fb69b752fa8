"""Data shared by the decisions, the entry, the tools and the stand-ins."""

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
        """Read ``name@version``.

        Raises
        ------
        ValueError
            If the text has no version or the version is not a whole number.
        """
        adapter, separator, version = text.rpartition("@")
        if not separator or not adapter:
            raise ValueError(f"{text!r} is not of the form adapter@version")
        return cls(adapter, int(version))


class LifecycleState(enum.StrEnum):
    """State of an instance or endpoint."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointKind(enum.StrEnum):
    """What runs at an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class Place:
    """Where a process runs."""

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
        Adapters that an engine holds at once.
    batch : int
        Requests that an engine advances in one step.
    checks_fencing : bool
        Whether the endpoint refuses an order with an old fencing number.
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
    """What an endpoint says of itself, sampled some time before it is read.

    Attributes
    ----------
    boot : str
        Changes whenever the endpoint restarts.
    age_s : float
        Seconds between the sample and the answer.
    running : int
        Requests being advanced; ``waiting`` ones are queued behind them.
    resident : dict
        Running requests by resident adapter version.
    free_slots : int
        Slots that hold no adapter and receive none.
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
        The version that a request without a version gets; 0 for none.
    callers : tuple
        Names of the callers allowed; ``*`` allows all.
    """

    name: str
    base: str
    versions: dict[str, VersionState] = field(factory=dict)
    current: int = 0
    callers: tuple[str, ...] = ("*",)


@frozen
class Caller:
    """Somebody who sends requests, known by the digest of a token."""

    name: str
    token_sha256: str
    priority: int = 0


class PresetKind(enum.StrEnum):
    """The kinds of day that presets are for."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


@frozen
class Preset:
    """How the site is run while this preset is in force.

    Attributes
    ----------
    kind : PresetKind
        The kind of day that it is for.
    stall_weight, batch_weight : float
        How much a wait for a load counts against how full the batches are.
    max_wait_s : float
        Longest wait for an adapter that is not ready, in seconds.
    queue_limit : int
        Waiting requests that one entry keeps at most.
    spare_loads : float
        Share of the store's rate for loads that nobody waits for yet.
    warm : tuple
        Adapters to load ahead of their first request.
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
    """The one object that says what configuration is in force.

    Attributes
    ----------
    revision : int
        Grows by one with each accepted change.
    change : str
        Id of the change, chosen by its writer.
    preset : str
        Name of the one preset in force.
    pages : dict
        Digest of each page by the page's name.
    author : str
        Who made the change.
    recent : tuple
        Ids of the latest changes, so that a writer whose answer was lost finds its own.
    retired : dict
        Revision that named a page no more, by the digest of each page that is to be deleted.
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
    """A route of a plain service and whether a call of it may be repeated."""

    method: str
    path: str
    repeat: bool


@frozen
class Service:
    """A plain service behind the entries."""

    name: str
    routes: tuple[Route, ...] = ()


class Ran(enum.StrEnum):
    """Whether a refused request was run."""

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
    """The final answer to a request that is not served."""

    reason: Reason
    ran: Ran = Ran.NO
    step: str = ""
    endpoint: str = ""
    retry_after_s: float = 0.0
