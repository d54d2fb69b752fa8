"""Reads and validates the settings of a site; reports all errors together."""

from collections import Counter
from collections.abc import Hashable, Iterable
from pathlib import Path
from typing import TypeVar

from attrs import asdict, evolve

from poplarhoist.decisions.limits import Limits
from poplarhoist.errors import SettingsError
from poplarhoist.models import Endpoint, EndpointKind, Instance, Place, Route, Service
from poplarhoist.settings.addresses import describe_shared
from poplarhoist.settings.files import LOAD_STEP, load_file, settings_errors
from poplarhoist.settings.models import EndpointSettings, EntrySettings, Site

BITS_PER_BYTE = 8
ASCENDING_TIMINGS = (
    ("lease_renew_s", "lease_use_s"),
    ("lease_use_s", "lease_s"),
    ("lease_s", "lead_missing_s"),
    ("heartbeat_s", "peer_timeout_s"),
    ("poll_s", "report_stale_s"),
)
H = TypeVar("H", bound=Hashable)
T = TypeVar("T", EntrySettings, EndpointSettings)


def load_site(path: Path) -> Site:
    """Read and validate a site's settings.

    Parameters
    ----------
    path : Path
        A TOML file.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each error in the file.
    """
    site = load_file(path, Site)
    problems = cross_check(site)
    if problems:
        raise settings_errors(path, problems)
    return site


def cross_check(site: Site) -> list[str]:
    """Return a message for each error that concerns more than one key."""
    checks = (check_names, check_addresses, check_places, check_services, check_timings)
    return [problem for check in checks for problem in check(site)]


def duplicates(items: Iterable[H]) -> list[H]:
    """Return each item that occurs more than once, in order of first occurrence."""
    return [item for item, count in Counter(items).items() if count > 1]


def check_names(site: Site) -> list[str]:
    """Return a message for each duplicate name, and one if the site has no entry."""
    problems = [] if site.entries else ["expected at least one entry, got none @ entries"]
    for kind in ("entries", "endpoints", "services"):
        for name in duplicates(item.name for item in getattr(site, kind)):
            problems.append(f"name {name!r} is used more than once @ {kind}")
    return problems


def check_addresses(site: Site) -> list[str]:
    """Return a message for each address on which several processes would listen."""
    processes = (site.platform, *site.entries, *site.endpoints)
    return describe_shared([(item.host, item.port) for item in processes])


def check_places(site: Site) -> list[str]:
    """Return a message for each availability zone that is in several regions."""
    pairs = {(item.zone, item.region) for item in (*site.entries, *site.endpoints)}
    zones = duplicates(zone for zone, _ in sorted(pairs))
    return [f"availability zone {zone!r} is in more than one region" for zone in zones]


def check_services(site: Site) -> list[str]:
    """Return a message for each service endpoint whose service is not defined."""
    known = {service.name for service in site.services}
    return [
        f"expected the name of a service, got {endpoint.serves!r} @ endpoints {endpoint.name}"
        for endpoint in site.endpoints
        if endpoint.kind is EndpointKind.SERVICE and endpoint.serves not in known
    ]


def check_timings(site: Site) -> list[str]:
    """Return a message for each pair of timings that is not in ascending order."""
    problems = []
    for lower, upper in ASCENDING_TIMINGS:
        lower_s, upper_s = getattr(site.timings, lower), getattr(site.timings, upper)
        if lower_s >= upper_s:
            problems.append(f"{lower} {lower_s:g} must be less than {upper} {upper_s:g} @ timings")
    return problems


def find_entry(site: Site, name: str) -> Instance:
    """Return an entry by name.

    Raises
    ------
    SettingsError
        If the site has no such entry.
    """
    return to_instance(find_by_name(site, "entry", site.entries, name))


def find_endpoint(site: Site, name: str) -> Endpoint:
    """Return an endpoint by name.

    Raises
    ------
    SettingsError
        If the site has no such endpoint.
    """
    return to_endpoint(find_by_name(site, "endpoint", site.endpoints, name))


def find_by_name(site: Site, kind: str, items: tuple[T, ...], name: str) -> T:
    """Return the item with this name; ``kind`` is its kind in the error message.

    Raises
    ------
    SettingsError
        If there is no such item.
    """
    for item in items:
        if item.name == name:
            return item
    known = ", ".join(item.name for item in items)
    raise SettingsError(f"no {kind} {name!r}; expected one of {known}", LOAD_STEP, site.name)


def to_instance(entry: EntrySettings) -> Instance:
    """Convert the settings of an entry to the instance that the platform lists."""
    return Instance(entry.name, Place(entry.region, entry.zone), entry.host, entry.port)


def to_endpoint(endpoint: EndpointSettings) -> Endpoint:
    """Convert the settings of an endpoint to the endpoint that the platform lists."""
    return Endpoint(
        name=endpoint.name,
        kind=endpoint.kind,
        serves=endpoint.serves,
        place=Place(endpoint.region, endpoint.zone),
        host=endpoint.host,
        port=endpoint.port,
        slots=endpoint.slots,
        batch=endpoint.batch,
        checks_fencing=endpoint.checks_fencing,
    )


def to_services(site: Site) -> dict[str, Service]:
    """Return the plain services by name."""
    return {
        service.name: Service(
            service.name, tuple(Route(r.method, r.path, r.repeat) for r in service.routes)
        )
        for service in site.services
    }


def to_limits(site: Site) -> Limits:
    """Return the limits of the decisions with the values of the site."""
    return evolve(
        Limits(**asdict(site.timings)),
        store_loads_per_s=site.store.loads_per_s,
        store_in_flight=site.store.in_flight,
        load_s=site.store.load_s,
        crossing_bytes_per_s=site.link.bits_per_s / BITS_PER_BYTE,
    )
