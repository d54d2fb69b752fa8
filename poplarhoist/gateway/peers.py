"""UDP messages between entries.

Each datagram carries one message as JSON: the sender's name and the message, tagged with its type.
Any datagram may be lost.
"""

import errno
import socket

import orjson
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import Message
from poplarhoist.decisions.gateway.quota_roles import find_address
from poplarhoist.entry.listener import open_datagram_socket
from poplarhoist.entry.loop import DecisionLoop

# Bytes of the largest datagram that is received; messages have a few hundred bytes.
MAX_DATAGRAM_BYTES = 16384

message_converter = make_converter()
configure_tagged_union(Message, message_converter, tag_name="type")


class PeerTransport:
    """Sends messages to other entries and submits those that arrive."""

    def __init__(self, decision_loop: DecisionLoop, host: str, port: int) -> None:
        self.decision_loop = decision_loop
        self.socket = open_datagram_socket(host, port, "listen.inner_port")
        decision_loop.set_handler(SendPeer, self.send)

    def send(self, effect: SendPeer) -> None:
        """Send a message without blocking.

        It is dropped and counted if the entry is unknown or sending fails.
        """
        peer = find_address(self.decision_loop.state, effect.peer)
        if peer is None:
            self.decision_loop.metrics.count("peer_message_dropped", ("unknown",))
            return
        body = message_converter.unstructure(effect.message, unstructure_as=Message)
        data = orjson.dumps([self.decision_loop.state.name, body])
        self.decision_loop.metrics.count("peer_message_sent", (body["type"],))
        try:
            self.socket.sendto(data, socket.MSG_DONTWAIT, (peer.host, peer.port))
        except OSError as error:
            # The decision loop sends a message again if its reply is missing. The counter shows the
            # cause.
            cause = errno.errorcode.get(error.errno or 0, "error")
            self.decision_loop.metrics.count("peer_message_dropped", (cause,))

    def run(self) -> None:
        """Receive datagrams until the process ends."""
        while True:
            try:
                data, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
                sender, body = orjson.loads(data)
                if not isinstance(sender, str):
                    raise TypeError("no name of a sender")
                message = message_converter.structure(body, Message)
            except Exception as error:
                # Any host can send a datagram here; one that cannot be decoded is dropped, whatever
                # the converter says of it.
                self.decision_loop.metrics.count("peer_message_dropped", (type(error).__name__,))
                continue
            try:
                self.decision_loop.submit(
                    ev.PeerMessageReceived(self.decision_loop.event_time(), sender, message)
                )
            except Exception:
                # A fault in one message must not stop the receiver; the log shows the cause.
                self.decision_loop.log.exception("message-failed", peer=sender)
