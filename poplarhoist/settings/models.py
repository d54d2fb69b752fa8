"""What a site's settings file holds."""

from attrs import field, frozen, validators

from poplarhoist.decisions.limits import Limits
from poplarhoist.models import EndpointKind

PORT = validators.and_(validators.ge(1), validators.le(65535))
NAME = validators.matches_re(r"[a-z0-9][a-z0-9.-]*")
POSITIVE = validators.gt(0)
FRACTION = validators.and_(validators.ge(0.0), validators.le(1.0))
DEFAULT_LIMITS = Limits()


@frozen
class PlatformSettings:
    """Where the platform's service listens, and how long a call may take in seconds."""

    host: str
    port: int = field(validator=PORT)
    timeout_s: float = field(default=2.0, validator=POSITIVE)
    watch_s: float = field(default=10.0, validator=POSITIVE)


@frozen
class EntrySettings:
    """One entry instance."""

    name: str = field(validator=NAME)
    region: str
    zone: str
    host: str
    port: int = field(validator=PORT)


@frozen
class EndpointSettings:
    """One endpoint, as the stand-in of the platform lists it."""

    name: str = field(validator=NAME)
    kind: EndpointKind
    serves: str
    region: str
    zone: str
    host: str
    port: int = field(validator=PORT)
    slots: int = field(default=8, validator=validators.ge(0))
    batch: int = field(default=8, validator=POSITIVE)
    checks_fencing: bool = True


@frozen
class RouteSettings:
    """A route of a plain service; ``repeat`` says whether a call of it may run twice."""

    method: str = field(validator=validators.in_(("GET", "PUT", "POST", "PATCH", "DELETE")))
    path: str = field(validator=validators.matches_re(r"/.*"))
    repeat: bool


@frozen
class ServiceSettings:
    """A plain service behind the entries."""

    name: str = field(validator=NAME)
    routes: tuple[RouteSettings, ...] = ()


@frozen
class StoreSettings:
    """What the weight store allows."""

    loads_per_s: float = field(default=4.0, validator=POSITIVE)
    in_flight: int = field(default=8, validator=POSITIVE)
    load_s: float = field(default=0.25, validator=POSITIVE)


@frozen
class LinkSettings:
    """The link between regions."""

    bits_per_s: int = field(default=15_000_000, validator=POSITIVE)


@frozen
class StreamSettings:
    """Times of requests to endpoints, in seconds.

    Attributes
    ----------
    first_byte_s : float
        Longest time until an answer begins.
    gap_s : float
        Longest time between two parts of a stream before it is opened again.
    whole_s : float
        Longest time of a streamed answer.
    """

    connect_s: float = field(default=1.0, validator=POSITIVE)
    first_byte_s: float = field(default=30.0, validator=POSITIVE)
    gap_s: float = field(default=2.0, validator=POSITIVE)
    whole_s: float = field(default=600.0, validator=POSITIVE)


@frozen
class InterfaceSettings:
    """Bounds on what callers and peers may send.

    Attributes
    ----------
    peer_key, operator_key : str
        Shared keys of the entries and of the operators.
    body_bytes : int
        Largest body of a request.
    read_s : float
        Longest time for a caller to send a request or take a part of an answer.
    connections : int
        Connections that one entry keeps open at once.
    """

    peer_key: str = field(validator=validators.min_len(8))
    operator_key: str = field(validator=validators.min_len(8))
    body_bytes: int = field(default=1_000_000, validator=POSITIVE)
    read_s: float = field(default=20.0, validator=POSITIVE)
    connections: int = field(default=1024, validator=POSITIVE)


@frozen
class TimingSettings:
    """Bounds and intervals of the decisions that operators may set; see ``Limits`` for each."""

    lease_s: float = field(default=DEFAULT_LIMITS.lease_s, validator=POSITIVE)
    lease_use_s: float = field(default=DEFAULT_LIMITS.lease_use_s, validator=POSITIVE)
    lease_renew_s: float = field(default=DEFAULT_LIMITS.lease_renew_s, validator=POSITIVE)
    order_s: float = field(default=DEFAULT_LIMITS.order_s, validator=POSITIVE)
    heartbeat_s: float = field(default=DEFAULT_LIMITS.heartbeat_s, validator=POSITIVE)
    peer_timeout_s: float = field(default=DEFAULT_LIMITS.peer_timeout_s, validator=POSITIVE)
    poll_s: float = field(default=DEFAULT_LIMITS.poll_s, validator=POSITIVE)
    report_stale_s: float = field(default=DEFAULT_LIMITS.report_stale_s, validator=POSITIVE)
    grant_idle_s: float = field(default=DEFAULT_LIMITS.grant_idle_s, validator=POSITIVE)
    retry_share: float = field(default=DEFAULT_LIMITS.retry_share, validator=FRACTION)
    retry_burst: float = field(default=DEFAULT_LIMITS.retry_burst, validator=validators.ge(0.0))
    attempts: int = field(default=DEFAULT_LIMITS.attempts, validator=validators.ge(1))
    lead_missing_s: float = field(default=DEFAULT_LIMITS.lead_missing_s, validator=POSITIVE)
    crossing_price_s: float = field(
        default=DEFAULT_LIMITS.crossing_price_s, validator=validators.ge(0.0)
    )
    caller_queue_share: float = field(default=DEFAULT_LIMITS.caller_queue_share, validator=FRACTION)


@frozen
class Site:
    """All settings of a site."""

    name: str = field(validator=NAME)
    platform: PlatformSettings
    interfaces: InterfaceSettings
    entries: tuple[EntrySettings, ...]
    endpoints: tuple[EndpointSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    store: StoreSettings = StoreSettings()
    link: LinkSettings = LinkSettings()
    streams: StreamSettings = StreamSettings()
    timings: TimingSettings = TimingSettings()
