"""All stand-ins of a site as green threads of one process."""

from collections.abc import Callable

import eventlet

from poplarhoist.clock import Clock
from poplarhoist.models import EndpointKind
from poplarhoist.settings.loader import to_endpoint
from poplarhoist.settings.models import EndpointSettings, Site
from poplarhoist.standins.engine import EngineStandin
from poplarhoist.standins.platform import PlatformStandin
from poplarhoist.standins.service import ServiceStandin
from poplarhoist.standins.web import BACKLOG, serve_on


class StandinSite:
    """The platform, the engines and the services of a site."""

    def __init__(self, site: Site, clock: Clock, step_s: float) -> None:
        self.site = site
        self.clock = clock
        self.step_s = step_s
        self.platform = PlatformStandin(site, clock)
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}

    def start(self) -> None:
        """Listen at every address of the settings but those of the entries."""
        self.listen(self.platform.app(), self.site.platform.host, self.site.platform.port)
        for settings in self.site.endpoints:
            self.listen(self.endpoint_app(settings), settings.host, settings.port)

    def endpoint_app(self, settings: EndpointSettings) -> Callable:
        """Return the application of an engine or service."""
        endpoint = to_endpoint(settings)
        if settings.kind is EndpointKind.SERVICE:
            service = self.services[settings.name] = ServiceStandin(endpoint)
            return service.app()
        engine = EngineStandin(endpoint, self.site.platform, self.clock, self.step_s)
        self.engines[settings.name] = engine
        engine.run()
        return engine.app()

    def listen(self, app: Callable, host: str, port: int) -> None:
        """Serve an application at an address."""
        listener = eventlet.listen((host, port), backlog=BACKLOG)
        eventlet.spawn(serve_on, listener, app)
