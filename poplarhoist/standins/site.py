"""All stand-ins of a site as green threads of one process."""

from poplarhoist.clock import Clock
from poplarhoist.models import EndpointKind
from poplarhoist.settings.loader import to_endpoint
from poplarhoist.settings.models import EndpointSettings, Site
from poplarhoist.standins.engine import EngineStandin
from poplarhoist.standins.platform import PlatformStandin
from poplarhoist.standins.service import ServiceStandin
from poplarhoist.standins.store import HttpWeightSource
from poplarhoist.standins.web import Listener


class StandinSite:
    """Stand-ins for the platform, the engines and the services of a site."""

    def __init__(self, site: Site, clock: Clock, step_s: float) -> None:
        self.site = site
        self.clock = clock
        self.step_s = step_s
        self.platform = PlatformStandin(site, clock)
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}

    def start(self) -> None:
        """Listen at every address in the settings except those of the entries."""
        platform = self.site.platform
        Listener(self.platform.app, platform.host, platform.port, "platform").open()
        for settings in self.site.endpoints:
            self.start_endpoint(settings)

    def start_endpoint(self, settings: EndpointSettings) -> None:
        """Start the stand-in of an engine or a service."""
        endpoint = to_endpoint(settings)
        if settings.kind is EndpointKind.SERVICE:
            self.services[settings.name] = ServiceStandin(endpoint)
            self.services[settings.name].start()
            return
        weights = HttpWeightSource(self.site.platform)
        engine = EngineStandin(endpoint, weights, self.clock, self.step_s)
        self.engines[settings.name] = engine
        engine.start()
