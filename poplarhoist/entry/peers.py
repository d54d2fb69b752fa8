"""Sends messages to other entries in batches, and takes theirs."""

import eventlet
import orjson
from eventlet.event import Event
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.messages import Message
from poplarhoist.entry.core import Core
from poplarhoist.entry.http import ShortLivedPool

PEER_PATH = "/peer"
PEER_KEY_HEADER = "X-Peer-Key"
SEND_TIMEOUT_S = 1.0
BATCH_LIMIT = 256
BACKLOG_LIMIT = 4096


class Outbox:
    """Messages for one peer, sent in order by one green thread."""

    def __init__(self, peers: "Peers", name: str) -> None:
        self.peers = peers
        self.name = name
        self.messages: list[Message] = []
        self.filled = Event()
        self.sequence = 0
        eventlet.spawn_n(self.run)

    def put(self, message: Message) -> None:
        """Queue a message; the oldest ones are dropped if the peer takes none."""
        self.messages.append(message)
        del self.messages[:-BACKLOG_LIMIT]
        if not self.filled.ready():
            self.filled.send()

    def run(self) -> None:
        """Send batches until the process ends."""
        while True:
            self.filled.wait()
            self.filled = Event()
            while self.messages:
                batch, self.messages = self.messages[:BATCH_LIMIT], self.messages[BATCH_LIMIT:]
                self.peers.send(self, batch)


class Peers:
    """Outboxes by peer, and the door for batches of peers."""

    def __init__(self, core: Core, key: str) -> None:
        self.core = core
        self.key = key
        self.outboxes: dict[str, Outbox] = {}
        self.pool = ShortLivedPool(core.clock)
        core.on(fx.SendMessage, self.put)

    def put(self, effect: fx.SendMessage) -> None:
        """Queue a message for a peer."""
        outbox = self.outboxes.get(effect.peer)
        if outbox is None:
            outbox = self.outboxes[effect.peer] = Outbox(self, effect.peer)
        outbox.put(effect.message)

    def send(self, outbox: Outbox, batch: list[Message]) -> None:
        """Send one batch; a failure is told to the decisions, and the batch is dropped."""
        peer = self.core.state.members.peers.get(outbox.name)
        if peer is None:
            return
        outbox.sequence += 1
        body = orjson.dumps(
            {
                "sender": self.core.state.me.name,
                "boot": self.core.state.boot,
                "sequence": outbox.sequence,
                "messages": wire.dump_messages(batch),
            }
        )
        url = f"http://{peer.instance.host}:{peer.instance.port}{PEER_PATH}"
        headers = {"Content-Type": "application/json", PEER_KEY_HEADER: self.key}
        crossing = peer.instance.place.region != self.core.state.me.place.region
        try:
            timeout = Timeout(total=SEND_TIMEOUT_S)
            answer = self.pool.request("POST", url, body=body, headers=headers, timeout=timeout)
            delivered = answer.status == 200
        except HTTPError:
            delivered = False
        self.core.metrics.count("peer_bytes", ("yes" if crossing else "no",), len(body))
        if not delivered:
            self.core.submit(ev.PeerSilent(self.core.at(), outbox.name))

    def receive(self, data: bytes) -> None:
        """Take a batch of a peer.

        Raises
        ------
        ValueError
            If the batch is not well formed; nothing of it is taken then.
        """
        try:
            batch = orjson.loads(data)
            sender, boot = str(batch["sender"]), str(batch["boot"])
            sequence = int(batch["sequence"])
            messages = wire.load_messages(batch["messages"])
        except Exception as error:
            raise ValueError("malformed batch") from error
        for message in messages:
            self.core.submit(ev.PeerSaid(self.core.at(), sender, boot, sequence, message))
