"""Links from one entry to all endpoints, which can be cut."""

import contextlib
import json
import socket
import threading

from tests.platform_store import Store, StoreHandler
from tests.soak.proxy import Proxy, ProxyFault
from tests.standin_server import HOST, StandIn

# What becomes of new connections over a cut link, and of open ones.
CUT_KINDS = ("refuse", "reset", "hang", "accept")


class Link(Proxy):
    """A proxy that can be cut.

    Its port refuses connections, they are never established, or nothing comes back over them.
    """

    def cut(self, how: str) -> None:
        """Cut the link; `how` says what becomes of new and of open connections."""
        self.how = how
        if how == "accept":
            self.fault = ProxyFault.SILENCE
            return
        self.close_listener()
        if how == "hang":
            self.fault = ProxyFault.SILENCE
            self.fill_backlog()
        elif how == "reset":
            self.reset_all_connections()

    def close_listener(self) -> None:
        """Refuse new connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def fill_backlog(self) -> None:
        """Let new connections hang: the kernel drops their first packets while a backlog is full."""
        self.blocker = socket.socket()
        self.blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.blocker.bind((HOST, self.port))
        self.blocker.listen(0)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))

    def heal(self) -> None:
        """Restore the link; connections that were silent are reset."""
        if self.how == "hang":
            for sock in (*self.fillers, self.blocker):
                sock.close()
        if self.fault is ProxyFault.SILENCE:
            self.fault = ProxyFault.NONE
            self.reset_all_connections()
        if self.how == "accept":
            return
        self.listener = socket.create_server((HOST, self.port), backlog=128)
        threading.Thread(target=self.accept_connections, daemon=True).start()


class StoreView(StandIn):
    """The store as one entry sees it: endpoints have the addresses of the entry's own links."""

    def __init__(self, store: Store, links: dict[int, Link]) -> None:
        self.store = store
        self.links = links
        super().__init__(StoreHandler)

    def __getattr__(self, name: str) -> object:
        """Delegate the faults to the store."""
        return getattr(self.store, name)

    def handle(self, *call):
        """Carry out a call; return status and response data."""
        status, data = self.store.handle(*call)
        text = json.dumps(data)
        for port, link in self.links.items():
            text = text.replace(f"{HOST}:{port}", f"{HOST}:{link.port}")
        return status, json.loads(text)
