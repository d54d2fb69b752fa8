"""Builds an entry from its settings and runs it."""

import random
import signal
import socket
import uuid

import eventlet
import eventlet.wsgi
import structlog
from eventlet.greenio import GreenSocket

from poplarhoist.context import Environment
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions import relay
from poplarhoist.decisions.state import State
from poplarhoist.entry.application import EntryApplication
from poplarhoist.entry.core import Core
from poplarhoist.entry.endpoint_effects import EndpointEffects
from poplarhoist.entry.listener import StoppableListener, open_listener
from poplarhoist.entry.metrics import Metrics
from poplarhoist.entry.peers import PeerTransport
from poplarhoist.entry.platform import HttpPlatform
from poplarhoist.entry.platform_effects import PlatformEffects
from poplarhoist.entry.protocol import StrictProtocol
from poplarhoist.entry.server_log import ServerLog
from poplarhoist.models import Instance
from poplarhoist.settings.loader import to_instance, to_limits, to_services
from poplarhoist.settings.models import Site

TICK_INTERVAL_S = 0.05
MAX_REQUEST_LINE_BYTES = 16384
SEND_BUFFER_BYTES = 65536
LAST_REQUEST_GRACE_S = 0.2


class EntryServer:
    """One entry process: its decision loop, clients and HTTP server.

    Attributes
    ----------
    stopped : Event
        Sent once the entry is drained and the server has ended.
    """

    def __init__(self, site: Site, me: Instance, env: Environment) -> None:
        self.site = site
        self.metrics = Metrics()
        state = State(
            me=me,
            boot=uuid.uuid4().hex[:12],
            random=random.Random(),
            wall_offset_s=env.clock.now().timestamp() - env.clock.monotonic(),
            limits=to_limits(site),
            services=to_services(site),
        )
        relay.seed_peers(state, [to_instance(entry) for entry in site.entries])
        self.core = Core(state, env.clock, self.metrics)
        self.platform = HttpPlatform(site.platform, self.metrics)
        self.platform_effects = PlatformEffects(self.core, self.platform)
        self.endpoint_effects = EndpointEffects(self.core)
        self.peer_transport = PeerTransport(self.core, site.interfaces.peer_key)
        self.application = EntryApplication(self.core, site, self.peer_transport)
        self.stopped = eventlet.event.Event()
        self.core.set_handler(fx.Stop, self.on_stop)

    def start(self) -> None:
        """Start the HTTP server, the ticks and the platform watch in green threads."""
        me = self.core.state.me
        listener = open_listener(me.host, me.port, f"entries.{me.name}")
        # Limits the memory for a response that its caller does not read.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.server_thread = eventlet.spawn(
            eventlet.wsgi.server,
            self.wrap_listener(listener),
            self.application,
            log=ServerLog(self.core.log),
            log_format=ServerLog.LINE_FORMAT,
            debug=False,
            minimum_chunk_size=1,
            protocol=StrictProtocol,
            max_size=self.site.interfaces.connections,
            socket_timeout=self.site.interfaces.read_s,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
        )
        eventlet.spawn(self.core.run_ticks, ev.Tick, TICK_INTERVAL_S)
        eventlet.spawn(self.platform_effects.run_watch)

    def drain(self) -> None:
        """Start draining; the decisions emit ``Stop`` once the entry is drained."""
        self.core.submit(ev.DrainAsked(self.core.event_time()))

    def wrap_listener(self, listener: GreenSocket) -> StoppableListener:
        """Wrap the listening socket, so that ``shut_down`` can stop it."""
        self.listener = StoppableListener(listener)
        return self.listener

    def on_stop(self, effect: fx.Stop) -> None:
        """Shut down in a green thread, since the handler of an effect must not block."""
        eventlet.spawn_n(self.shut_down)

    def shut_down(self) -> None:
        """Stop accepting, answer the requests that have arrived, and signal ``stopped``.

        Requests on connections that were accepted just before the stop have
        ``LAST_REQUEST_GRACE_S`` to arrive.
        """
        self.listener.stop()
        eventlet.sleep(LAST_REQUEST_GRACE_S)
        self.listener.release()
        self.server_thread.wait()
        self.stopped.send()

    def run(self) -> None:
        """Serve until the entry is drained; SIGTERM starts the drain."""
        self.start()
        signal.signal(signal.SIGTERM, lambda number, frame: eventlet.spawn_n(self.drain))
        self.stopped.wait()
        structlog.get_logger().info("entry-stopped", entry=self.core.state.me.name)
