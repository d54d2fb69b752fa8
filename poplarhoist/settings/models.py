"""Structure of a site's settings file."""

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
    """Address and timeouts of the platform's service.

    Attributes
    ----------
    timeout_s : float
        Timeout of a call.
    watch_s : float
        How long a watch waits for changes in one call.
    """

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
    """One endpoint, which the stand-in of the platform lists; see ``Endpoint`` for the fields."""

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
    """A route of a plain service; ``repeat`` says whether its calls may run more than once."""

    method: str = field(validator=validators.in_(("GET", "PUT", "POST", "PATCH", "DELETE")))
    path: str = field(validator=validators.matches_re(r"/.*"))
    repeat: bool


@frozen
class ServiceSettings:
    """A plain service and its routes."""

    name: str = field(validator=NAME)
    routes: tuple[RouteSettings, ...] = ()


@frozen
class StoreSettings:
    """Limits of the weight store.

    Attributes
    ----------
    loads_per_s : float
        Rate limit, in loads per second.
    in_flight : int
        Concurrent loads that the store serves without slowing down.
    load_s : float
        Expected duration of a load until one has been observed.
    """

    loads_per_s: float = field(default=4.0, validator=POSITIVE)
    in_flight: int = field(default=8, validator=POSITIVE)
    load_s: float = field(default=0.25, validator=POSITIVE)


@frozen
class LinkSettings:
    """Bandwidth of the link between regions, in bits per second."""

    bits_per_s: int = field(default=15_000_000, validator=POSITIVE)


@frozen
class StreamSettings:
    """Timeouts and bounds of requests to endpoints.

    Attributes
    ----------
    connect_s : float
        Timeout for opening a connection, in seconds.
    first_byte_s : float
        Timeout until the head of a response is whole, in seconds.
    gap_s : float
        Longest time without data in a stream, in seconds; then it is resumed over a new connection.
    whole_s : float
        Longest duration of a response, in seconds.
    answer_bytes : int
        Largest body of a response that is not streamed. It is checked, and perhaps recorded, as a
        whole before the caller gets it.
    """

    connect_s: float = field(default=1.0, validator=POSITIVE)
    first_byte_s: float = field(default=30.0, validator=POSITIVE)
    gap_s: float = field(default=2.0, validator=POSITIVE)
    whole_s: float = field(default=600.0, validator=POSITIVE)
    answer_bytes: int = field(default=1_000_000, validator=POSITIVE)


@frozen
class InterfaceSettings:
    """Keys and limits of an entry's HTTP interfaces.

    Attributes
    ----------
    peer_key, operator_key : str
        Keys shared by all entries and by all operators.
    body_bytes : int
        Largest body of a caller's request.
    read_s : float
        Longest time for a caller to send a request head, to send a body, or to accept more of a
        response.
    connections : int
        Maximum number of open connections of one entry.
    """

    peer_key: str = field(validator=validators.min_len(8))
    operator_key: str = field(validator=validators.min_len(8))
    body_bytes: int = field(default=1_000_000, validator=POSITIVE)
    read_s: float = field(default=20.0, validator=POSITIVE)
    connections: int = field(default=1024, validator=POSITIVE)


@frozen
class TimingSettings:
    """Limits and intervals of the decisions that operators may set; see ``Limits``."""

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
