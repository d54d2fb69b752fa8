"""Decodes JSON documents of the store and of engines into the gateway's types.

A document that cannot be decoded raises one of `DECODE_ERRORS`; the calling code logs it.
"""

import hashlib
import re
from datetime import datetime

from attrs import evolve
from cattrs.preconf.orjson import make_converter

from poplarhoist.decisions.gateway.messages import Crashed
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    BaseModel,
    CallerLimits,
    Configuration,
    EndpointRecord,
    EngineProfile,
    EngineReport,
    QuotaTerms,
    Route,
    RouteKind,
    ServiceSpec,
    ServiceVersion,
    Target,
    Team,
    TeamDirectory,
)
from poplarhoist.platform import keys
from poplarhoist.settings.addresses import is_port

DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)
crash_converter = make_converter(detailed_validation=False)
S_PER_MS = 0.001
# Whole numbers up to this one are the same in every JSON parser.
MAX_COUNT = 2**53 - 1
# Requests that an endpoint takes at the same time; more than any has.
MAX_SLOTS = 1_000_000
MAX_TEXT_CHARACTERS = 512
HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,252})|\[[0-9A-Fa-f:.]{2,45}\]", re.ASCII)
ROUTE_KIND_BY_NAME = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
ENDPOINT_STATES = ("ready", "draining")
# Units of quotas. A quota without a unit counts requests; one with an unknown unit counts tokens, the
# stricter reading.
TOKEN_UNIT, REQUEST_UNIT = "token_count", "request"
KNOWN_UNITS = (None, TOKEN_UNIT, REQUEST_UNIT)
MAX_LOGGED_UNIT_CHARACTERS = 40


def to_count(value: object, highest: int = MAX_COUNT) -> int:
    """Return a value that is a whole number from 0 to `highest`.

    Raises
    ------
    ValueError
        If it is not.
    """
    if type(value) is not int or not 0 <= value <= highest:
        raise ValueError(f"expected a whole number from 0 to {highest}, got {str(value)[:30]!r}")
    return value


def to_port(value: object) -> int:
    """Return a value that is a port; raises ValueError if it is none."""
    if type(value) is not int or not is_port(value):
        raise ValueError(f"expected a port, got {str(value)[:30]!r}")
    return value


def to_host(value: object) -> str:
    """Return a value that is the name or address of a host; raises ValueError if it is none."""
    if not isinstance(value, str) or not HOST.fullmatch(value):
        raise ValueError(f"expected a host, got {str(value)[:30]!r}")
    return value


def to_text(value: object) -> str:
    """Return a value that is a name, which can be sent in a header.

    Raises
    ------
    ValueError
        If it is none, empty or very long.
    """
    is_name = isinstance(value, str) and 0 < len(value) <= MAX_TEXT_CHARACTERS
    if not is_name or not value.isascii() or not value.isprintable():
        raise ValueError(f"expected a name, got {str(value)[:30]!r}")
    return value


def encode_crashes(crashes: tuple[Crashed, ...], now: datetime) -> dict:
    """Return the document of crashes, with the time from which on they age."""
    return {
        "written_at_s": int(now.timestamp()),
        "crashes": [crash_converter.unstructure(crashed) for crashed in crashes],
    }


def decode_crashes(spec: dict, now: datetime) -> tuple[Crashed, ...]:
    """Decode the document of crashes, which are older by the time since it was written.

    Clocks of different instances may differ by seconds; no crash is younger than it was.
    """
    age_s = max(0.0, now.timestamp() - to_count(spec["written_at_s"]))
    crashes = [crash_converter.structure(item, Crashed) for item in spec["crashes"]]
    return tuple(evolve(crashed, age_s=max(0.0, crashed.age_s) + age_s) for crashed in crashes)


def to_whole(value: object) -> int:
    """Return a count, which may be written as a decimal fraction; raises ValueError if it is none."""
    return to_count(int(value) if isinstance(value, float) and value.is_integer() else value)


def to_quantity(value: object) -> float:
    """Return a value that is a number from 0 to `MAX_COUNT`; raises ValueError if it is none."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"expected a number from 0 to {MAX_COUNT}, got {str(value)[:30]!r}")
    return float(value)


def to_timeout_s(value_ms: object) -> float:
    """Return the seconds of a timeout in milliseconds.

    Raises
    ------
    ValueError
        If it is none, or 0.
    """
    timeout_s = to_quantity(value_ms) * S_PER_MS
    if not timeout_s:
        raise ValueError("timeout of 0")
    return timeout_s


def to_instance(kind: type, value: object):
    """Return a value of a type that JSON has; raises ValueError if it is of another one."""
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, got {str(value)[:30]!r}")
    return value


def present(data: dict, name: str, default: object) -> object:
    """Return a member of an object; the default if it is missing or null."""
    value = data.get(name)
    return default if value is None else value


def decode_configuration(spec: dict) -> Configuration:
    """Decode a configuration; limits that it leaves out get their defaults.

    A part that cannot be used raises one of `DECODE_ERRORS`, so that nothing of it comes into force.
    """
    services = [decode_service(data) for data in to_instance(list, spec["services"])]
    return Configuration(
        version=to_whole(spec["version"]),
        routes=tuple(decode_route(route) for route in to_instance(list, spec["routes"])),
        services_by_name={service.name: service for service in services},
        limits=decode_limits(to_instance(dict, present(spec, "limits", {}))),
        teams=None if spec.get("tenants") is None else decode_teams(spec["tenants"]),
    )


def decode_teams(items: object) -> TeamDirectory:
    """Decode the teams and their keys.

    Raises
    ------
    ValueError
        If a team or key cannot be used, or two teams have one name or key. The message, which is
        logged, repeats nothing that may be a key.
    """
    if type(items) is not list or not all(type(item) is dict for item in items):
        raise ValueError("expected a list of teams")
    by_name: dict[str, Team] = {}
    by_digest: dict[bytes, Team] = {}
    for data in items:
        team = decode_team(data)
        if team.name in by_name:
            raise ValueError(f"two teams have the name {team.name[:30]!r}")
        by_name[team.name] = team
        team_keys = data["apiKeys"]
        digests = list(map(keys.digest_of, team_keys)) if type(team_keys) is list else [b""]
        if b"" in digests:
            raise ValueError(f"team {team.name[:30]!r} has a key that cannot be sent")
        for digest in digests:
            if by_digest.setdefault(digest, team) is not team:
                names = f"{by_digest[digest].name[:30]!r} and {team.name[:30]!r}"
                raise ValueError(f"teams {names} have the same key")
    unknown_units = [data["unit"] for data in items if data.get("unit") not in KNOWN_UNITS]
    unit_names = (
        unit[:MAX_LOGGED_UNIT_CHARACTERS] if type(unit) is str else type(unit).__name__
        for unit in unknown_units
    )
    return TeamDirectory(by_name, by_digest, frozenset(unit_names))


def decode_team(data: dict) -> Team:
    """Decode a team without its keys.

    Raises
    ------
    ValueError
        If its name cannot be sent in a header, or a number is none.
    """
    name = data["name"]
    if type(name) is not str or name != name.strip():
        raise ValueError("team with a name that cannot be sent")
    priority = data.get("priority")
    return Team(to_text(name), None if priority is None else to_whole(priority), decode_quota(data))


def decode_quota(data: dict) -> QuotaTerms | None:
    """Decode the quota of a team; None if it has no rate, or a rate of 0."""
    terms = QuotaTerms(
        rate_per_s=to_quantity(present(data, "ratePerS", 0.0)),
        burst=to_quantity(present(data, "burst", 0.0)),
        counts_tokens=data.get("unit") not in (None, REQUEST_UNIT),
        plain_tokens=to_whole(present(data, "plainTokens", 0)),
    )
    return terms if terms.rate_per_s else None


def decode_limits(data: dict) -> CallerLimits:
    """Decode the limits on the requests of callers."""
    decoded = {
        field: decode(data[name])
        for field, name, decode in (
            ("max_header_bytes", "maxHeaderBytes", to_whole),
            ("max_body_bytes", "maxBodyBytes", to_whole),
            ("header_timeout_s", "headerTimeoutMs", to_timeout_s),
            ("idle_timeout_s", "idleTimeoutMs", to_timeout_s),
        )
        if data.get(name) is not None
    }
    return CallerLimits(**decoded)


def decode_route(data: dict) -> Route:
    """Decode a route; a weighted split replaces the single service."""
    prefix = to_instance(str, data["pathPrefix"])
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"prefix {prefix[:30]!r} does not begin and end with a slash")
    timeout_s = to_timeout_s(data["timeoutMs"])
    return Route(
        name=str(present(data, "name", "")),
        host=to_instance(str, data["host"]).lower(),
        prefix=prefix,
        # Requests of a route of unknown kind run at most once.
        kind=ROUTE_KIND_BY_NAME.get(data.get("routeKind"), RouteKind.ONCE),
        targets=decode_targets(data),
        timeout_s=timeout_s,
        latency_target_s=to_quantity(present(data, "targetLatencyMs", data["timeoutMs"]))
        * S_PER_MS,
        max_attempts=max(1, to_whole(present(data, "maxAttempts", 1))),
        priority=to_whole(present(data, "priority", 0)),
        resumable=to_instance(bool, present(data, "resumable", False)),
        anonymous=to_instance(bool, present(data, "anonymous", False)),
    )


def decode_targets(data: dict) -> tuple[Target, ...]:
    """Decode the services of a route, and their weights if there is a split.

    Raises
    ------
    ValueError
        If no service has a weight.
    """
    split = to_instance(list, present(data, "split", []))
    if not split:
        return (Target(to_text(data["service"])),)
    targets = tuple(Target(to_text(part["service"]), to_quantity(part["weight"])) for part in split)
    if not any(target.weight for target in targets):
        raise ValueError("split without a weight")
    return targets


def decode_service(data: dict) -> ServiceSpec:
    """Decode a service; its engine profile is None for a plain service."""
    engine = to_instance(dict, present(data, "engine", {}))
    spec = ServiceSpec(
        to_text(data["name"]),
        decode_engine_profile(engine) if engine else None,
        max_connections=decode_max_connections(data.get("maxConns")),
    )
    health_path = data.get("healthPath")
    return evolve(spec, health_path=health_path) if isinstance(health_path, str) else spec


def decode_max_connections(value: object) -> int:
    """Return the connections that an endpoint takes; 0 for a value that cannot be read.

    Such a value costs connections, so it need not keep the configuration from coming into force.
    """
    try:
        return to_whole(value)
    except ValueError:
        return 0


def decode_engine_profile(data: dict) -> EngineProfile:
    """Decode what each engine of a service offers: slots, memory and base models."""
    models = [
        # ``weightsMb`` is the size of one model here, and the whole memory of the engine below.
        BaseModel(
            to_text(model["name"]),
            to_quantity(model["weightsMb"]),
            to_quantity(present(model, "adapterMb", 0.0)),
        )
        for model in to_instance(list, present(data, "models", []))
    ]
    return EngineProfile(
        adapter_slots=to_whole(present(data, "adapterSlots", 0)),
        memory_mb=to_quantity(present(data, "weightsMb", 0.0)),
        models_by_name={model.name: model for model in models},
    )


def decode_endpoint(name: str, spec: dict) -> EndpointRecord:
    """Decode an endpoint's record.

    Raises
    ------
    ValueError
        If its state is unknown, since such an endpoint must not be used, or if its address, service
        or zone cannot be decoded.
    """
    if spec["state"] not in ENDPOINT_STATES:
        raise ValueError(f"unknown state {str(spec['state'])[:30]!r}")
    host, _, port = spec["address"].rpartition(":")
    models = spec.get("models")
    # Models whose weights the endpoint's host has in memory or on disk.
    warm_by_location = spec.get("atHand") or {}
    warm_models = (
        *(warm_by_location.get("inMemory") or ()),
        *(warm_by_location.get("onDisk") or ()),
    )
    return EndpointRecord(
        name=to_text(name),
        service=to_text(spec["service"]),
        host=to_host(host),
        port=to_port(int(port)),
        zone=to_text(spec["zone"]),
        max_concurrent_requests=to_count(spec.get("slots") or 0, MAX_SLOTS),
        draining=spec["state"] == "draining",
        incarnation=to_count(spec.get("born") or 0),
        held=decode_loaded_versions(models) if isinstance(models, list) else None,
        warm_models=frozenset(name for name in warm_models if isinstance(name, str)),
        software_version=to_text(spec["version"]) if spec.get("version") else "",
    )


def decode_loaded_versions(models: list) -> dict[AdapterKey, int]:
    """Return the version of each loaded base model and adapter, by key.

    Adapters are given as ``adapter@version``. The version is 1 where it is left out.
    """
    version_by_key = {}
    for model in models:
        name = to_text(model["name"])
        version_by_key[AdapterKey(name)] = to_count(model.get("version") or 1)
        for text in model.get("adapters") or ():
            adapter, version = split_version_suffix(to_text(text))
            version_by_key[AdapterKey(name, adapter)] = version
    return version_by_key


def split_version_suffix(text: str) -> tuple[str, int]:
    """Split ``name@version``; the version is 1 if it is left out or is no number."""
    name, _, version = text.partition("@")
    return name, int(version) if version.isdigit() else 1


def decode_report(data: dict) -> EngineReport:
    """Decode an engine's report."""
    loading_version_by_key = {}
    for text in data.get("coming") or ():
        # The text has the form model/adapter@version.
        model, _, rest = to_text(text).partition("/")
        adapter, version = split_version_suffix(rest)
        loading_version_by_key[AdapterKey(model, adapter)] = version
    return EngineReport(
        incarnation=to_count(data.get("born") or 0),
        accepted_orders=to_count(data["seq"]),
        held=decode_loaded_versions(data.get("models") or []),
        loading=loading_version_by_key,
        draining=data.get("state") == "draining",
    )


def software_record_name(service_version: ServiceVersion) -> str:
    """Return the name of the record of a software version; any text may be a version."""
    digest = hashlib.sha256(service_version.version.encode()).hexdigest()
    return f"{service_version.service}.{digest[:16]}"


def encode_service_version(service_version: ServiceVersion) -> dict:
    """Encode the record of a software version."""
    return {"service": service_version.service, "version": service_version.version}


def decode_service_version(spec: dict) -> ServiceVersion:
    """Decode the record of a software version; the version may be empty, as it may be unknown."""
    version = spec["version"]
    return ServiceVersion(to_text(spec["service"]), to_text(version) if version else "")


def decode_version_announcement(spec: dict) -> tuple[str, str, int]:
    """Return model, adapter (empty for the base model) and version of an announcement."""
    adapter = spec.get("adapter")
    return (
        to_text(spec["model"]),
        to_text(adapter) if adapter else "",
        to_count(spec["version"]),
    )
