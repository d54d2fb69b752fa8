"""The configuration in force, and the choice of a request's route and service."""

from __future__ import annotations

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway.events import ConfigurationSeen
from poplarhoist.decisions.gateway.models import Configuration, Route, ServiceSpec
from poplarhoist.decisions.gateway.state import GatewayState


def on_seen(state: GatewayState, event: ConfigurationSeen, effects: list) -> None:
    """Apply a newer configuration; an older version is never applied while the process lives."""
    new = event.configuration
    old = state.configuration
    if old is not None and new.version <= old.version:
        return
    state.configuration = new
    by_host: dict[str, list[Route]] = {}
    for route in new.routes:
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: -len(route.prefix))
    state.routes_by_host = by_host
    previous_version = old.version if old is not None else 0
    fields = {"version": new.version, "before": previous_version, "routes": len(new.routes)}
    if new.teams is not None:
        fields |= {"teams": len(new.teams.by_name), "keys": len(new.teams.by_digest)}
    effects.append(LogChange("configuration", fields))
    log_unknown_units(old, new, effects)


def log_unknown_units(old: Configuration | None, new: Configuration, effects: list) -> None:
    """Log units of quotas that are unknown, unless the configuration before had them too."""
    known = old.teams.unknown_units if old is not None and old.teams is not None else frozenset()
    if new.teams is not None and (units := new.teams.unknown_units - known):
        effects.append(LogChange("quota-unit-unknown", {"units": sorted(units)}))


def find_route(state: GatewayState, host: str, path: str) -> Route | None:
    """Return the route with the longest matching path prefix; None if there is none.

    The host matches without regard to case and port.
    """
    hostname = host.lower().rpartition(":")[0] if ":" in host else host.lower()
    for route in state.routes_by_host.get(hostname, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(state: GatewayState, route: Route) -> str:
    """Choose a service at random by the weights of the route's targets."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return state.random.choices([target.service for target in targets], weights)[0]


def find_service(state: GatewayState, service: str) -> ServiceSpec | None:
    """Return the configuration of a service; None if it is not configured."""
    if state.configuration is None:
        return None
    return state.configuration.services_by_name.get(service)
