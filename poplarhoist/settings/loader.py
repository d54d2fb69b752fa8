"""Reads and checks a settings file; reports all faults at once."""

import tomllib
from pathlib import Path

import cattrs
from cattrs import transform_error

from poplarhoist.decisions.limits import Limits
from poplarhoist.errors import SettingsError
from poplarhoist.models import Endpoint, Instance, Place, Route, Service
from poplarhoist.settings.models import EndpointSettings, EntrySettings, Site

STEP = "load-settings"
BITS_PER_BYTE = 8

converter = cattrs.Converter(forbid_extra_keys=True)


def strict_scalar(value: object, kind: type) -> object:
    """Take a scalar as it is written, without turning text into numbers.

    Raises
    ------
    TypeError
        If the value is of another type.
    """
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, got {value!r}")
    return value


converter.register_structure_hook_func(
    lambda kind: kind in (str, int, float, bool),
    strict_scalar,
)


def load_site(path: Path) -> Site:
    """Read a site's settings.

    Parameters
    ----------
    path : Path
        A TOML file.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each fault of the file.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise faults(path, [error.strerror or str(error)]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise faults(path, [str(error)]) from error
    try:
        site = converter.structure(data, Site)
    except Exception as error:
        raise faults(path, [fault.replace("$.", "") for fault in describe(error)]) from error
    problems = cross_check(site)
    if problems:
        raise faults(path, problems)
    return site


def describe(error: BaseException) -> list[str]:
    """Turn a converter's error into one line for each fault, with key and value."""
    return transform_error(error, "$", format_fault)


def format_fault(error: BaseException, kind: type | None) -> str:
    """Describe one fault."""
    if isinstance(error, KeyError):
        return f"missing key {error.args[0]!r}"
    if isinstance(error, ValueError | TypeError):
        return str(error.args[0]) if error.args else str(error)
    return str(error)


def faults(path: Path, messages: list[str]) -> ExceptionGroup:
    """Bundle faults of a file."""
    errors = [SettingsError(message, STEP, str(path)) for message in messages]
    return ExceptionGroup(f"{path} cannot be used", errors)


def cross_check(site: Site) -> list[str]:
    """Return faults that concern more than one key."""
    problems = []
    for kind, names in (
        ("entries", [entry.name for entry in site.entries]),
        ("endpoints", [endpoint.name for endpoint in site.endpoints]),
        ("services", [service.name for service in site.services]),
    ):
        for name in sorted({name for name in names if names.count(name) > 1}):
            problems.append(f"{kind}: name {name!r} is used more than once")
    addresses = [(item.host, item.port) for item in (*site.entries, *site.endpoints)]
    for host, port in sorted({a for a in addresses if addresses.count(a) > 1}):
        problems.append(f"address {host}:{port} is used more than once")
    if not site.entries:
        problems.append("entries: at least one is needed")
    return problems


def find_entry(site: Site, name: str) -> Instance:
    """Return an entry by name.

    Raises
    ------
    SettingsError
        If the site has no such entry.
    """
    for entry in site.entries:
        if entry.name == name:
            return to_instance(entry)
    known = ", ".join(entry.name for entry in site.entries)
    raise SettingsError(f"no entry {name!r}; expected one of {known}", STEP, site.name)


def find_endpoint(site: Site, name: str) -> Endpoint:
    """Return an endpoint by name.

    Raises
    ------
    SettingsError
        If the site has no such endpoint.
    """
    for endpoint in site.endpoints:
        if endpoint.name == name:
            return to_endpoint(endpoint)
    known = ", ".join(endpoint.name for endpoint in site.endpoints)
    raise SettingsError(f"no endpoint {name!r}; expected one of {known}", STEP, site.name)


def to_instance(entry: EntrySettings) -> Instance:
    """Return an entry as the platform lists it."""
    return Instance(entry.name, Place(entry.region, entry.zone), entry.host, entry.port)


def to_endpoint(endpoint: EndpointSettings) -> Endpoint:
    """Return an endpoint as the platform lists it."""
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
    """Return the decisions' limits with the site's own values."""
    return Limits(
        store_loads_per_s=site.store.loads_per_s,
        store_in_flight=site.store.in_flight,
        load_s=site.store.load_s,
        crossing_bytes_per_s=site.link.bits_per_s / BITS_PER_BYTE,
    )
