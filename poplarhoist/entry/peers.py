"""Sends messages to other entries in batches, and receives theirs."""

from collections.abc import Mapping

import eventlet
import orjson
import structlog
from eventlet.event import Event
from urllib3.exceptions import HTTPError

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.messages import Message
from poplarhoist.entry.core import Core
from poplarhoist.entry.http import ShortLivedPool, never_sent
from poplarhoist.models import Instance

PEER_PATH = "/peer"
PEER_KEY_HEADER = "X-Peer-Key"
# Names the batch that a response belongs to; entries of earlier releases do not send it.
BATCH_HEADER = "X-Peer-Batch"
SEND_TIMEOUT_S = 1.0
MAX_SEND_ATTEMPTS = 2
MAX_BATCH_MESSAGES = 256
MAX_BATCH_BYTES = 262_144
MAX_QUEUED_MESSAGES = 4096
PEER_CHECK_INTERVAL_S = 5.0
MAX_PEER_BODY_BYTES = 4_000_000
# A peer's response has no body, or that of an error.
MAX_PEER_RESPONSE_BYTES = 65_536


class Outbox:
    """Queue of messages for one peer, sent in order by a green thread of its own.

    The thread ends when the peer is no longer listed.

    Attributes
    ----------
    message_queued : Event
        Sent when a message is queued; replaced each time that the thread has seen it.
    """

    def __init__(self, transport: "PeerTransport", name: str) -> None:
        self.transport = transport
        self.peer_name = name
        self.messages: list[Message] = []
        self.message_queued = Event()
        self.thread = eventlet.spawn(self.run)

    def put(self, message: Message) -> None:
        """Queue a message; beyond ``MAX_QUEUED_MESSAGES`` the oldest are dropped and counted."""
        self.messages.append(message)
        dropped = len(self.messages) - MAX_QUEUED_MESSAGES
        if dropped > 0:
            del self.messages[:dropped]
            self.transport.core.metrics.count("peer_message_dropped", ("backlog",), dropped)
        if not self.message_queued.ready():
            self.message_queued.send()

    def run(self) -> None:
        """Send batches until the peer is no longer listed, then remove this outbox."""
        while self.peer_name in self.transport.core.state.members.peers:
            with eventlet.Timeout(PEER_CHECK_INTERVAL_S, False):
                self.message_queued.wait()
            self.message_queued = Event()
            while self.messages:
                self.transport.send_batch(self.peer_name, self.take_batch())
        self.transport.remove_outbox(self)

    def take_batch(self) -> list[object]:
        """Remove and return the next messages as JSON data.

        The batch is limited by ``MAX_BATCH_MESSAGES`` and ``MAX_BATCH_BYTES``; it has at least one
        message, even if that one is larger.
        """
        batch: list[object] = []
        size = 0
        for data in wire.dump_messages(self.messages[:MAX_BATCH_MESSAGES]):
            size += len(orjson.dumps(data))
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(data)
        del self.messages[: len(batch)]
        return batch


class PeerTransport:
    """Sends messages to peers through one outbox each, and receives their batches.

    Batches to all peers share one sequence number, so that a peer that was removed and listed again
    does not mistake new batches for old ones.

    Attributes
    ----------
    peer_key : str
        Key shared by all entries, sent with each batch.
    outboxes : dict
        Outboxes by peer name.
    """

    def __init__(self, core: Core, peer_key: str) -> None:
        self.core = core
        self.peer_key = peer_key
        self.outboxes: dict[str, Outbox] = {}
        self.last_sequence = 0
        self.pool = ShortLivedPool(core.clock)
        core.set_handler(fx.SendMessage, self.on_send_message)

    def on_send_message(self, effect: fx.SendMessage) -> None:
        """Queue a message for a peer; drop and count it if the peer is not listed."""
        if effect.peer not in self.core.state.members.peers:
            self.core.metrics.count("peer_message_dropped", ("peer-gone",))
            return
        outbox = self.outboxes.get(effect.peer)
        if outbox is None:
            outbox = self.outboxes[effect.peer] = Outbox(self, effect.peer)
        outbox.put(effect.message)

    def remove_outbox(self, outbox: Outbox) -> None:
        """Remove the outbox of a peer that is no longer listed."""
        if self.outboxes.get(outbox.peer_name) is outbox:
            del self.outboxes[outbox.peer_name]

    def send_batch(self, peer_name: str, batch: list[object]) -> None:
        """Send one batch; on failure, drop it and submit that the peer is silent."""
        peer = self.core.state.members.peers.get(peer_name)
        if peer is None:
            return
        self.last_sequence += 1
        body = orjson.dumps(
            {
                "sender": self.core.state.me.name,
                "boot": self.core.state.boot,
                "sequence": self.last_sequence,
                "messages": batch,
            }
        )
        delivered = self.post_batch(peer.instance, body, self.last_sequence)
        cross_region = peer.instance.place.region != self.core.state.me.place.region
        self.core.metrics.count("peer_bytes", ("yes" if cross_region else "no",), len(body))
        if not delivered:
            self.core.submit(ev.PeerSilent(self.core.event_time(), peer_name))

    def post_batch(self, instance: Instance, body: bytes, sequence: int) -> bool:
        """Post a batch and return whether the peer accepted it.

        A batch that may have been sent is tried again over a new connection, since the kept-alive
        connection may be dead without notice, or bring the response to an earlier batch once more.
        """
        url = f"http://{instance.host}:{instance.port}{PEER_PATH}"
        headers = {"Content-Type": "application/json", PEER_KEY_HEADER: self.peer_key}
        for _ in range(MAX_SEND_ATTEMPTS):
            heads: list[Mapping[str, str]] = []
            try:
                status, _ = self.pool.request(
                    "POST",
                    url,
                    SEND_TIMEOUT_S,
                    MAX_PEER_RESPONSE_BYTES,
                    on_head=heads.append,
                    body=body,
                    headers=headers,
                )
            except HTTPError as error:
                if never_sent(error):
                    return False
                continue
            told = heads[0].get(BATCH_HEADER, str(sequence))
            if told == str(sequence):
                return status == 200
            fields = {"peer": instance.name, "sent": sequence, "told": told[:40]}
            structlog.get_logger().warning("peer-response-to-another-batch", **fields)
            self.pool.renew()
        return False

    def receive_batch(self, data: bytes) -> int:
        """Decode a batch and submit its messages; return its sequence number.

        Raises
        ------
        ValueError
            If the batch is malformed; none of its messages is submitted then.
        """
        try:
            batch = orjson.loads(data)
            sender, boot = str(batch["sender"]), str(batch["boot"])
            sequence = int(batch["sequence"])
            messages = wire.load_messages(batch["messages"])
        except Exception as error:
            raise ValueError("malformed batch") from error
        for message in messages:
            self.core.submit(ev.PeerSaid(self.core.event_time(), sender, boot, sequence, message))
        return sequence
