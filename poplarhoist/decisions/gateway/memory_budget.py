"""Decides who may hold memory of an entry for callers, other entries and their responses.

Every connection to an entry has a holding, which counts all that is held for it at what it costs.
When something finds no room, requests that arrive more slowly than the least rate, and responses
that are not read, give way to it, the most overdue first. If that does not help, it is refused. What
waits for an endpoint never gives way, since it may have run.

While there is room for all, nothing is cut off for its rate: only the configured times hold.
"""

import enum

from attrs import define, field, frozen

BYTES_PER_MB = 1048576
# Memory in MB of an entry that serves nobody: 41 measured, and room for a long configuration.
REST_MB = 48
# Share of the remaining memory that may be held for connections. The rest covers what the allocator
# does not give back, connections to endpoints and their buffers, and the copies of records.
HELD_SHARE = 0.6
# The smallest budget in MB, so that one request of the default limits is served on any machine.
MIN_BUDGET_MB = 12
# Share of the budget that only small requests get.
RESERVED_SHARE = 0.25
# Share of the budget that connections may take which hold no request.
CONNECTIONS_SHARE = 1 / 3
# Cost of a connection: 25 KB measured, and its receive buffer.
RECEIVE_BUFFER_BYTES = 32768
CONNECTION_BYTES = RECEIVE_BUFFER_BYTES + 28672
# Further cost of a request whose head is whole: 37 KB measured.
REQUEST_BYTES = 40960
# Cost of a header line beside its bytes, as objects of the parser, the environ and the request that is
# forwarded; and copies of its bytes that these hold.
HEADER_LINE_BYTES = 600
HEADER_COPIES = 2
# Further cost of an item of a list in a header line, such as a part of a prompt: 150 measured for short
# ones.
LIST_ITEM_BYTES = 200
# Cost up to which a request is small: a body of 64 KB, and a head of about 40 lines.
SMALL_BYTES = 65536 + REQUEST_BYTES + 32768
# Least rate of a request that is being read, and seconds by which it may be behind.
LEAST_BYTES_PER_S = 65536
GRACE_S = 0.5
# The same of a head, which callers send at once. While connections wait to be accepted, each one that
# sends nothing keeps them waiting for so long.
HEAD_GRACE_S = 0.1
# Seconds after which a refused request may come back if nothing says when there is room: by then most
# requests that wait for endpoints have been answered.
RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1
# Descriptors that connections of callers and entries do not get: the store, datagrams, the log, orders
# and reports, kept connections to endpoints. At most a quarter on a machine with few.
OTHER_DESCRIPTORS = 192
# Connections to each of the addresses for readiness, metrics and copies.
STATUS_CONNECTIONS = 16
STATUS_ADDRESSES = 2
# Most connections of callers and entries, also on a large machine.
MAX_REQUEST_CONNECTIONS = 2000
MIN_REQUEST_CONNECTIONS = 8


class Group(enum.StrEnum):
    """What a connection was made for; each group has a bound on its connections."""

    REQUESTS = "requests"
    STATUS = "status"


class Kind(enum.StrEnum):
    """What memory is held for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"
    SENDING = "sending"


class Phase(enum.StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    READS_HEAD = "reads-head"
    READS_BODY = "reads-body"
    WAITS = "waits"
    SENDS = "sends"


class Verdict(enum.StrEnum):
    """Answer to a request for room. LATER: ask again once an evicted connection has ended."""

    GRANTED = "granted"
    LATER = "later"
    REFUSED = "refused"


@define
class Holding:
    """What is held for one connection.

    Attributes
    ----------
    bytes_by_kind : dict
        What is held, at what it costs.
    total_bytes : int
        All that is held beside the connection itself.
    phase : Phase
        Connections that wait for an endpoint are not evicted.
    due_at : float
        Monotonic time in seconds from which on the connection gives way to others, unless more
        arrives or is read before; a quiet one in phase IDLE gives way after those.
    received_bytes : int
        Bytes received of a body whose length is not known.
    is_evicted : bool
        Whether the connection is being closed; what it holds counts until it has ended.
    """

    number: int
    group: Group
    due_at: float
    phase: Phase = Phase.READS_HEAD
    bytes_by_kind: dict[Kind, int] = field(factory=dict)
    received_bytes: int = 0
    is_evicted: bool = False
    total_bytes: int = 0

    def is_behind(self, at: float) -> bool:
        """Return whether the connection gives way to others."""
        return self.phase not in (Phase.WAITS, Phase.IDLE) and self.due_at <= at


@define
class MemoryBudget:
    """All holdings of an entry and their bounds.

    Attributes
    ----------
    size_bytes : int
        Bytes that requests and responses may take.
    reserved_bytes : int
        Bytes of these that only small requests get.
    max_connections : dict
        Bound on the connections by group.
    used_bytes, large_bytes : int
        Bytes held by all requests, and by those that are not small.
    holdings : dict
        Holdings by number.
    """

    size_bytes: int
    reserved_bytes: int
    max_connections: dict[Group, int]
    used_bytes: int = 0
    large_bytes: int = 0
    holdings: dict[int, Holding] = field(factory=dict)

    def connection_count(self, group: Group) -> int:
        """Return the number of connections of a group."""
        return sum(holding.group is group for holding in self.holdings.values())

    def bytes_by_kind(self) -> dict[Kind, int]:
        """Return what is held, by kind."""
        totals = {Kind.CONNECTION: len(self.holdings) * CONNECTION_BYTES}
        for holding in self.holdings.values():
            for kind, count in holding.bytes_by_kind.items():
                totals[kind] = totals.get(kind, 0) + count
        return totals


@frozen
class Decision:
    """Answer to a request for room.

    Attributes
    ----------
    evicted : tuple
        Numbers of the holdings whose connections are to be closed.
    retry_after_s : float
        Seconds after which a refused request may come back.
    """

    verdict: Verdict
    evicted: tuple[int, ...] = ()
    retry_after_s: float = RETRY_AFTER_S


GRANTED = Decision(Verdict.GRANTED)


def create_budget(memory_mb: float, max_fds: int) -> MemoryBudget:
    """Return the empty budget of a machine.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB.
    max_fds : int
        Descriptors that the process may have; 0 for no bound of that kind.
    """
    size_mb = max(MIN_BUDGET_MB, (memory_mb - REST_MB) * HELD_SHARE)
    size_bytes = int(size_mb * BYTES_PER_MB)
    connections_bytes = int(size_bytes * CONNECTIONS_SHARE)
    request_connections = min(MAX_REQUEST_CONNECTIONS, connections_bytes // CONNECTION_BYTES)
    if max_fds:
        others = min(OTHER_DESCRIPTORS, max_fds // 4) + STATUS_CONNECTIONS * STATUS_ADDRESSES
        # A request has a connection to its endpoint, too.
        request_connections = min(request_connections, (max_fds - others) // 2)
    content_bytes = size_bytes - connections_bytes
    return MemoryBudget(
        size_bytes=content_bytes,
        reserved_bytes=int(content_bytes * RESERVED_SHARE),
        max_connections={
            Group.REQUESTS: max(MIN_REQUEST_CONNECTIONS, request_connections),
            Group.STATUS: STATUS_CONNECTIONS * STATUS_ADDRESSES,
        },
    )


def open_connection(
    budget: MemoryBudget, number: int, group: Group, at: float, is_urgent: bool = False
) -> Decision:
    """Ask for a new connection; if it is granted, there is a holding of this number from now on.

    Parameters
    ----------
    is_urgent : bool
        Whether to grant it in any case.
    """
    if is_urgent or budget.connection_count(group) < budget.max_connections[group]:
        budget.holdings[number] = Holding(number, group, at + HEAD_GRACE_S)
        return GRANTED
    members = [holding for holding in budget.holdings.values() if holding.group is group]
    if any(holding.is_evicted for holding in members):
        return Decision(Verdict.LATER)
    idle = [holding for holding in members if holding.phase is Phase.IDLE]
    victims = [holding for holding in members if holding.is_behind(at)] or idle
    if not victims:
        return refuse(members, at)
    victim = min(victims, key=due_time)
    victim.is_evicted = True
    return Decision(Verdict.LATER, (victim.number,))


def ask(budget: MemoryBudget, number: int, kind: Kind, count: int, at: float) -> Decision:
    """Ask for room for more bytes of a holding; if it is granted, they count as held."""
    asking = budget.holdings[number]
    lacking = lacking_bytes(budget, asking, count)
    if lacking <= 0:
        add_bytes(budget, asking, kind, count)
        return GRANTED
    is_large = asking.total_bytes + count > SMALL_BYTES
    others = [
        holding
        for holding in budget.holdings.values()
        if holding is not asking and (not is_large or holding.total_bytes > SMALL_BYTES)
    ]
    lacking -= sum(holding.total_bytes for holding in others if holding.is_evicted)
    if lacking <= 0:
        return Decision(Verdict.LATER)
    others = [holding for holding in others if not holding.is_evicted]
    victims = sorted((holding for holding in others if holding.is_behind(at)), key=due_time)
    # Of bodies that grow by turns, the ones that are nearest to their end are to reach it.
    victims += sorted(
        (
            holding
            for holding in others
            if not holding.is_behind(at)
            and holding.phase is Phase.READS_BODY
            and 0 < holding.received_bytes < asking.received_bytes
        ),
        key=received_bytes,
    )
    if not is_large and asking.phase is not Phase.READS_HEAD:
        # Heads without end would take what is reserved for small requests while they grow.
        victims += sorted(
            (h for h in others if not h.is_behind(at) and h.phase is Phase.READS_HEAD),
            key=total_bytes,
            reverse=True,
        )
    evicted = []
    for victim in victims:
        evicted.append(victim)
        lacking -= victim.total_bytes
        if lacking <= 0:
            for holding in evicted:
                holding.is_evicted = True
            return Decision(Verdict.LATER, tuple(holding.number for holding in evicted))
    return refuse(others, at)


def refuse(others: list[Holding], at: float) -> Decision:
    """Return a refusal that lasts until the next of some holdings gives way."""
    waits_s = [
        holding.due_at - at
        for holding in others
        if holding.phase not in (Phase.WAITS, Phase.IDLE) and holding.due_at > at
    ]
    retry_after_s = max(MIN_RETRY_AFTER_S, min([RETRY_AFTER_S, *waits_s]))
    return Decision(Verdict.REFUSED, retry_after_s=retry_after_s)


def is_overdrawn(budget: MemoryBudget) -> bool:
    """Return whether more is held than there is room for, as bytes that are sent are not refused."""
    return budget.used_bytes > budget.size_bytes


def lacking_bytes(budget: MemoryBudget, asking: Holding, count: int) -> int:
    """Return the bytes that are missing for a holding to take more; none if it is not positive."""
    lacking = budget.used_bytes + count - budget.size_bytes
    held_bytes = asking.total_bytes
    if held_bytes + count <= SMALL_BYTES:
        return lacking
    added = count if held_bytes > SMALL_BYTES else held_bytes + count
    large_bytes = budget.size_bytes - budget.reserved_bytes
    return max(lacking, budget.large_bytes + added - large_bytes)


def add_bytes(budget: MemoryBudget, holding: Holding, kind: Kind, count: int) -> None:
    """Count bytes as held; fewer if `count` is negative."""
    before = holding.total_bytes
    holding.bytes_by_kind[kind] = holding.bytes_by_kind.get(kind, 0) + count
    after = holding.total_bytes = before + count
    budget.used_bytes += count
    budget.large_bytes += after * (after > SMALL_BYTES) - before * (before > SMALL_BYTES)


def give_back(budget: MemoryBudget, number: int, kind: Kind) -> None:
    """Count that nothing of a kind is held any more."""
    holding = budget.holdings[number]
    add_bytes(budget, holding, kind, -holding.bytes_by_kind.get(kind, 0))


def close_connection(budget: MemoryBudget, number: int) -> None:
    """Remove a holding, whose connection has ended."""
    for kind in Kind:
        give_back(budget, number, kind)
    del budget.holdings[number]


def begin_phase(budget: MemoryBudget, number: int, phase: Phase, at: float) -> None:
    """Record what a connection does from now on."""
    holding = budget.holdings[number]
    holding.phase = phase
    holding.due_at = at + grace_s(phase)
    holding.received_bytes = 0


def record_progress(budget: MemoryBudget, number: int, count: int, at: float) -> None:
    """Record that bytes have arrived; a burst counts for the time of grace at most."""
    holding = budget.holdings[number]
    holding.received_bytes += count
    holding.due_at = min(
        at + grace_s(holding.phase), max(holding.due_at, at) + count / LEAST_BYTES_PER_S
    )


def postpone(budget: MemoryBudget, number: int, at: float) -> None:
    """Spare a holding, for which bytes have arrived that this entry has not read yet."""
    holding = budget.holdings[number]
    holding.is_evicted = False
    holding.due_at = at + grace_s(holding.phase)


def grace_s(phase: Phase) -> float:
    """Return the seconds by which a connection may be behind."""
    return HEAD_GRACE_S if phase is Phase.READS_HEAD else GRACE_S


def due_time(holding: Holding) -> float:
    """Return the time from which on a holding gives way."""
    return holding.due_at


def total_bytes(holding: Holding) -> int:
    """Return all that is held beside the connection itself."""
    return holding.total_bytes


def received_bytes(holding: Holding) -> int:
    """Return the bytes received of a body."""
    return holding.received_bytes
