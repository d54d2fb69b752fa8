"""Settings of one gateway entry, read from TOML and validated."""

from pathlib import Path

from attrs import evolve, field, frozen, validators

from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.settings.addresses import MAX_PORT, describe_shared, is_port
from poplarhoist.settings.files import load_file, settings_errors

S_PER_MS = 0.001
# Name in `contracts` with which a site asks for kept connections to endpoints.
POOL_CONTRACT = "pool"


@frozen
class Address:
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``.

        Raises
        ------
        ValueError
            If the text has another form, or the port is out of range.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"{text!r} is not of the form host:port")
        if not is_port(int(port)):
            raise ValueError(f"expected a port from 1 to {MAX_PORT}, got port {port}")
        return cls(host, int(port))


@frozen
class ListenSettings:
    """Addresses at which this entry listens.

    Attributes
    ----------
    callers, ready : str
        As ``host:port``; ``ready`` serves readiness and metrics.
    inner_port : int
        Port on the entry's host for datagrams of other entries (UDP), readiness and metrics (TCP).
    relay_port : int
        Port on the entry's host at which it passes on requests of entries without links to
        endpoints (TCP); 0 for none.
    """

    callers: str
    ready: str
    inner_port: int
    relay_port: int = 0


@frozen
class LimitSettings:
    """Limits that the site sets.

    Attributes
    ----------
    stop_s : float
        Longest graceful stop in seconds; the platform kills the process after that.
    retry_ratio, retry_slack, retry_window_s : float
        Retries that a service may get over all entries within a window of `retry_window_s` seconds:
        `retry_ratio` times its requests, plus `retry_slack`.
    lease_ms : float
        Milliseconds that a new lead waits before its first order.
    version_ms : float
        Milliseconds after the announcement of an adapter version from which on no request may
        start on an older one.
    engines_check_epochs : bool
        Whether engines reject orders that carry the epoch of an earlier lead. No decision depends
        on it.
    quota_window_s, quota_over, quota_slack : float
        How much of a team's requests may run within a window of `quota_window_s` seconds beyond its
        quota: the share `quota_over` of it, plus `quota_slack` in the quota's unit.
    hedge_ratio : float
        Share of a service's requests that may get a second attempt beside a slow one, within a
        window of `retry_window_s`; 0 for none.
    """

    stop_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    lease_ms: float = 3000.0
    version_ms: float = 5000.0
    engines_check_epochs: bool = False
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0
    hedge_ratio: float = 0.0

    def to_limits(self) -> GatewayLimits:
        """Return the limits for the decision loop."""
        return GatewayLimits(
            stop_grace_s=self.stop_s,
            retry_ratio=self.retry_ratio,
            retry_slack=self.retry_slack,
            retry_window_s=self.retry_window_s,
            lease_s=self.lease_ms * S_PER_MS,
            version_deadline_s=self.version_ms * S_PER_MS,
            engines_check_epochs=self.engines_check_epochs,
            quota_window_s=self.quota_window_s,
            quota_over=self.quota_over,
            quota_slack=self.quota_slack,
            hedge_ratio=self.hedge_ratio,
        )


@frozen
class GatewaySettings:
    """Settings of one entry.

    Attributes
    ----------
    name : str
        Name of this entry; unique within the site.
    zone : str
        Availability zone of this entry; must be a key of `regions`.
    host : str
        Host at which other entries reach this entry.
    store : str
        Address of the store, as ``host:port``.
    regions : dict
        Region by availability zone.
    first_start : bool
        Whether the whole site starts for the first time, so that no engine has had a lead yet.
    contracts : list
        Names of what the site has agreed to; those that this version does not know have no effect.
    memory_mb : float
        Memory of the machine in MB; what is held for callers stays within a share of it.
    max_fds : int
        Descriptors that the process may have; 0 for what the system allows.
    """

    name: str
    zone: str
    host: str
    store: str
    listen: ListenSettings
    bounds: LimitSettings = field(factory=LimitSettings)
    regions: dict[str, str] = field(factory=dict)
    first_start: bool = False
    contracts: list[str] = field(factory=list)
    memory_mb: float = field(default=300.0, validator=validators.gt(0))
    max_fds: int = field(default=0, validator=validators.ge(0))

    def to_limits(self) -> GatewayLimits:
        """Return the limits for the decision loop."""
        return evolve(self.bounds.to_limits(), keep_connections=POOL_CONTRACT in self.contracts)


def load_settings(path: Path) -> GatewaySettings:
    """Read and validate the settings of an entry.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each fault of the file.
    """
    settings = load_file(path, GatewaySettings)
    problems = check_addresses(settings)
    if settings.zone not in settings.regions:
        problems.append(f"{settings.zone!r} has no entry in [regions] @ zone")
    if problems:
        raise settings_errors(path, problems)
    return settings


def check_addresses(settings: GatewaySettings) -> list[str]:
    """Return a message for each address that is invalid or at which two sockets would listen."""
    listen = settings.listen
    problems, addresses = [], []
    for name, text, is_own in (
        ("listen.callers", listen.callers, True),
        ("listen.ready", listen.ready, True),
        ("store", settings.store, False),
    ):
        try:
            address = Address.parse(text)
        except ValueError as error:
            problems.append(f"{error} @ {name}")
            continue
        if is_own:
            addresses.append((address.host, address.port))
    inner_ports = {"listen.inner_port": listen.inner_port}
    if listen.relay_port:
        inner_ports["listen.relay_port"] = listen.relay_port
    for name, port in inner_ports.items():
        if is_port(port):
            addresses.append((settings.host, port))
        else:
            problems.append(f"expected a port from 1 to {MAX_PORT}, got port {port} @ {name}")
    return problems + [f"{problem} @ listen" for problem in describe_shared(addresses)]
