"""The gateway process: builds its parts, serves until it is drained, and stops."""

import os
import random
import resource
import signal
import socket
import uuid
from collections.abc import Callable

import eventlet
import eventlet.wsgi
import structlog
from prometheus_client import generate_latest

from poplarhoist.clock import Clock
from poplarhoist.decisions.common_effects import Stop
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import leads
from poplarhoist.decisions.gateway.memory_budget import Group, create_budget
from poplarhoist.decisions.gateway.reducer import is_serving, reduce
from poplarhoist.decisions.gateway.state import GatewayState
from poplarhoist.entry.listener import StoppableListener, open_listener
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics
from poplarhoist.entry.server_log import ServerLog
from poplarhoist.gateway.callers import CallerApplication
from poplarhoist.gateway.connections import ConnectionPool
from poplarhoist.gateway.copies import COPIES_PATH, respond_with_copy
from poplarhoist.gateway.engines import EngineClient
from poplarhoist.gateway.guarded_protocol import GatewayProtocol, GuardedProtocol
from poplarhoist.gateway.hedged_attempts import HedgeRunner
from poplarhoist.gateway.interfaces import Dialect, Store
from poplarhoist.gateway.logs import BoundedLog
from poplarhoist.gateway.peers import PeerTransport
from poplarhoist.gateway.room import GuardedListener, RoomGuard
from poplarhoist.gateway.settings import Address, GatewaySettings
from poplarhoist.gateway.store_watcher import StoreWatcher
from poplarhoist.gateway.streamed_body import StreamBroken

# Seconds between ticks; a tenth of the time that an adapter takes to load.
TICK_INTERVAL_S = 0.025
# Send buffer of a caller's connection; bounds the memory for a caller that does not read.
SEND_BUFFER_BYTES = 65536
# Seconds that an idle connection stays open beyond IDLE_TIMEOUT_S.
IDLE_MARGIN_S = 5.0
# More than the memory budget grants, which bounds the connections.
MAX_GREEN_THREADS = 4096
# Seconds of idleness up to which callers rely on a connection to stay open.
IDLE_TIMEOUT_S = 15.0
# Seconds within which a request for readiness or metrics must arrive.
STATUS_TIMEOUT_S = 5.0
# Seconds to wait, after accepting stops, for the request of the connection accepted last.
LAST_REQUEST_GRACE_S = 0.1
# The library bounds each line of a head by less than the configuration may allow for the whole; only
# the bound of the whole is to hold.
eventlet.wsgi.MAX_HEADER_LINE = eventlet.wsgi.MAX_TOTAL_HEADER_SIZE
# Effects that go into the mailbox of their request.
REQUEST_EFFECTS = (fx.Dispatch, fx.Refuse, fx.ForwardFailure)


def descriptor_limit() -> int:
    """Return how many descriptors the system lets this process have; 0 for no bound."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(0, soft_limit)


class GatewayServer:
    """One entry: the decision loop and the parts that feed it and carry out its effects.

    Parameters
    ----------
    read_settings : callable
        Reads the settings again on SIGHUP; raises ExceptionGroup if they have faults.

    Attributes
    ----------
    stopped : Event
        Sent when the graceful stop is complete.
    request_servers : list
        Listener and green thread of the WSGI servers for callers and for other entries.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: Store,
        clock: Clock,
        log: BoundedLog,
        read_settings: Callable[[], GatewaySettings],
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.store = store
        self.log = log
        self.read_settings = read_settings
        self.metrics = Metrics()
        state = GatewayState(
            name=settings.name,
            boot_id=uuid.uuid4().hex[:8],
            zone=settings.zone,
            regions=settings.regions,
            random=random.Random(),
            limits=settings.to_limits(),
            is_first_start=settings.first_start,
            started_at=clock.monotonic(),
        )
        self.decision_loop = DecisionLoop(
            state, clock, self.metrics, settings.name, reduce, REQUEST_EFFECTS
        )
        self.decision_loop.set_handler(fx.LogRequest, self.log_request)
        self.decision_loop.set_handler(
            fx.StopListening, lambda effect: eventlet.spawn_n(self.close_listener)
        )
        self.decision_loop.set_handler(Stop, lambda effect: eventlet.spawn_n(self.signal_stopped))
        self.store_watcher = StoreWatcher(self.decision_loop, store)
        self.connection_pool = ConnectionPool(self.decision_loop)
        self.hedge_runner = HedgeRunner(self.decision_loop)
        self.engine_client = EngineClient(
            self.decision_loop, dialect, leads.own_holder_id(state), self.connection_pool
        )
        self.peer_transport = PeerTransport(
            self.decision_loop, settings.host, settings.listen.inner_port
        )
        self.room_guard = RoomGuard(
            create_budget(settings.memory_mb, settings.max_fds or descriptor_limit()),
            self.metrics,
            self.decision_loop.log,
            self.decision_loop.event_time,
        )
        self.request_servers: list[tuple[StoppableListener, eventlet.greenthread.GreenThread]] = []
        self.stopped = eventlet.event.Event()

    def log_request(self, effect: fx.LogRequest) -> None:
        """Log a decision about a request."""
        self.decision_loop.log.info(effect.decision, request=effect.request_id, **effect.fields)

    def start(self) -> None:
        """Open all sockets and spawn the green threads.

        Callers are served on one address, readiness and metrics on two: the readiness address and
        the inner port, which also gives other entries copies of records, and receives their datagrams
        (UDP).
        """
        host, listen = self.settings.host, self.settings.listen
        self.serve_requests(Address.parse(listen.callers), "listen.callers", is_relay=False)
        if listen.relay_port:
            relay_address = Address(host, listen.relay_port)
            self.serve_requests(relay_address, "listen.relay_port", is_relay=True)
        self.serve_status(Address.parse(listen.ready), "listen.ready", self.handle_status)
        inner = Address(host, listen.inner_port)
        self.serve_status(inner, "listen.inner_port", self.handle_inner)
        eventlet.spawn(self.peer_transport.run)
        eventlet.spawn(self.decision_loop.run_ticks, ev.Tick, TICK_INTERVAL_S)
        eventlet.spawn(self.connection_pool.run)
        self.store_watcher.start(
            self.settings.name,
            self.settings.zone,
            host,
            listen.inner_port,
            listen.relay_port,
        )

    def serve_requests(self, address: Address, setting: str, is_relay: bool) -> None:
        """Spawn a server for requests of callers, or of entries for which this one passes them on."""
        listener = open_listener(address.host, address.port, setting)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stoppable = StoppableListener(listener)
        thread = eventlet.spawn(
            eventlet.wsgi.server,
            GuardedListener(stoppable, self.room_guard, Group.REQUESTS),
            CallerApplication(
                self.decision_loop,
                self.dialect,
                is_relay,
                self.connection_pool,
                self.hedge_runner,
            ),
            log=ServerLog(self.decision_loop.log, expected=(StreamBroken,)),
            log_format=ServerLog.LINE_FORMAT,
            debug=False,
            minimum_chunk_size=1,
            protocol=GatewayProtocol,
            max_size=MAX_GREEN_THREADS,
            keepalive=IDLE_TIMEOUT_S + IDLE_MARGIN_S,
            socket_timeout=IDLE_TIMEOUT_S + IDLE_MARGIN_S,
            url_length_limit=eventlet.wsgi.MAX_TOTAL_HEADER_SIZE,
        )
        self.request_servers.append((stoppable, thread))

    def serve_status(self, address: Address, setting: str, application: Callable) -> None:
        """Spawn a server for readiness and metrics."""
        listener = open_listener(address.host, address.port, setting)
        eventlet.spawn(
            eventlet.wsgi.server,
            GuardedListener(listener, self.room_guard, Group.STATUS),
            application,
            log=ServerLog(self.decision_loop.log),
            log_format=ServerLog.LINE_FORMAT,
            debug=False,
            protocol=GuardedProtocol,
            max_size=MAX_GREEN_THREADS,
            keepalive=IDLE_TIMEOUT_S,
            socket_timeout=STATUS_TIMEOUT_S,
        )

    def handle_status(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Return readiness (200 or 503) or the metrics; else 404."""
        if environ["PATH_INFO"] == self.dialect.ready_path:
            is_ready = is_serving(self.decision_loop.state)
            start_response("200 OK" if is_ready else "503 Service Unavailable", [])
            return [b"ready\n" if is_ready else b"not ready\n"]
        if environ["PATH_INFO"] == "/metrics":
            start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
            return [generate_latest(self.metrics.registry)]
        start_response("404 Not Found", [])
        return [b""]

    def handle_inner(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Return records for another entry, or what `handle_status` returns.

        Records are given at the inner port only, since the configuration holds the keys of teams.
        """
        if environ["PATH_INFO"].startswith(COPIES_PATH):
            return respond_with_copy(self.decision_loop.state, self.store, environ, start_response)
        return self.handle_status(environ, start_response)

    def reload(self) -> None:
        """Read the settings again and submit the limits; on faults keep the current ones."""
        try:
            settings = self.read_settings()
        except ExceptionGroup as group:
            # The entry keeps its current settings; the log lists the faults.
            for error in group.exceptions:
                self.decision_loop.log.error("settings-not-read", error=str(error))
            return
        self.decision_loop.submit(
            ev.LimitsChanged(self.decision_loop.event_time(), settings.to_limits())
        )

    def drain(self) -> None:
        """Begin a graceful stop, and remove this entry's record from the store."""
        self.decision_loop.submit(ev.DrainRequested(self.decision_loop.event_time()))
        eventlet.spawn_n(self.store.unregister, self.settings.name)

    def close_listener(self) -> None:
        """Refuse new connections, close idle ones, and stop once all requests are answered."""
        for listener, _ in self.request_servers:
            listener.stop()
        eventlet.sleep(LAST_REQUEST_GRACE_S)
        for listener, _ in self.request_servers:
            listener.release()
        for _, thread in self.request_servers:
            thread.wait()
        self.signal_stopped()

    def signal_stopped(self) -> None:
        """Let `run` return; further calls have no effect."""
        if not self.stopped.ready():
            self.stopped.send()

    def run(self) -> None:
        """Serve until a graceful stop is complete.

        SIGTERM begins the graceful stop, SIGHUP reads the settings again.
        """
        self.log.start()
        structlog.get_logger().info(
            "entry-started",
            entry=self.settings.name,
            boot=self.decision_loop.state.boot_id,
            zone=self.settings.zone,
            process=os.getpid(),
        )
        self.start()
        signal.signal(signal.SIGTERM, lambda number, frame: eventlet.spawn_n(self.drain))
        signal.signal(signal.SIGHUP, lambda number, frame: eventlet.spawn_n(self.reload))
        # The settings may have changed since the process read them at its start.
        self.reload()
        self.stopped.wait()
        self.connection_pool.close()
        structlog.get_logger().info("entry-stopped", entry=self.settings.name)
        self.log.flush()
