"""Datagrams between entries; each carries one message, and any of them may be lost."""

import errno

import orjson
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union
from eventlet.green import socket

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import Message
from poplarhoist.entry.loop import DecisionLoop

# Bytes of the largest datagram that is taken; messages are some hundred bytes.
MAX_DATAGRAM_BYTES = 16384

message_converter = make_converter()
configure_tagged_union(Message, message_converter, tag_name="type")


class PeerTransport:
    """Sends and takes datagrams."""

    def __init__(self, core: DecisionLoop, host: str, port: int) -> None:
        self.core = core
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        core.set_handler(SendPeer, self.send)

    def send(self, effect: SendPeer) -> None:
        """Send a message if the entry is known."""
        peer = self.core.state.entries.get(effect.peer)
        if peer is None:
            self.core.metrics.count("peer_message_dropped", ("unknown",))
            return
        body = message_converter.unstructure(effect.message, unstructure_as=Message)
        data = orjson.dumps([self.core.state.name, body])
        try:
            self.socket.sendto(data, socket.MSG_DONTWAIT, (peer.host, peer.port))
        except OSError as error:
            # A lost datagram is asked for again; the counter tells why.
            cause = errno.errorcode.get(error.errno or 0, "error")
            self.core.metrics.count("peer_message_dropped", (cause,))

    def run(self) -> None:
        """Take datagrams until the process ends."""
        while True:
            try:
                data, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
                sender, body = orjson.loads(data)
                message = message_converter.structure(body, Message)
            except (OSError, ValueError, TypeError, KeyError, ExceptionGroup) as error:
                # Anybody can send a datagram here; one that cannot be read is dropped.
                self.core.metrics.count("peer_message_dropped", (type(error).__name__,))
                continue
            try:
                self.core.submit(ev.PeerMessageReceived(self.core.event_time(), sender, message))
            except Exception:
                # Later messages must get through; operators get the cause.
                self.core.log.exception("message-failed", peer=sender)
