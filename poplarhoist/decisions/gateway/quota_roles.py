"""Which entries keep the quota of a team: its keeper and its secondary.

The keeper is the first entry of the team's rendezvous order, the secondary the first in another
region. All entries with the same list of entries choose the same two. Where lists differ, only an
entry that is the keeper by its own list grants as one.

Two keepers that do not know of each other would grant twice the quota. One of them is an entry that
left the list of the other but still runs, cut off from the store and from the other. So a keeper's
bucket does not grow while its entry is outnumbered by entries that left lately, or cannot read the
list and is not confirmed by most of the entries that it knows.
"""

from __future__ import annotations

from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.messages import QuotaEcho, QuotaProbe
from poplarhoist.decisions.gateway.quota_state import EntryAddress
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds for which an entry that left may still run elsewhere; longer than networks stay cut in two.
DEPARTED_S = 600.0
# Seconds without the store after which a keeper asks the others whether they list it, seconds
# between two such rounds, and seconds for which an answer counts.
STORE_GRACE_S = 1.0
PROBE_INTERVAL_S = 1.0
ECHO_VALID_S = 2.2


def refresh(state: GatewayState, at: float) -> None:
    """Apply changes of the list of entries. This entry has no role while it stops or is not listed."""
    quotas = state.quotas
    is_stopping = state.draining_since is not None
    names = state.entries.keys() - ({state.name} if is_stopping else set())
    if names == quotas.entries.keys():
        return
    for name in quotas.entries.keys() - names - {state.name}:
        quotas.departed[name] = quotas.entries[name]
        quotas.departed_at[name] = at
        quotas.echoed_at.pop(name, None)
    for name in names:
        quotas.departed.pop(name, None)
        quotas.departed_at.pop(name, None)
    quotas.entries = {name: address_of(state.entries[name]) for name in names}
    quotas.entries_changed_at = at
    quotas.roles_by_team.clear()


def address_of(entry: EntryState) -> EntryAddress:
    """Return the address of an entry."""
    return EntryAddress(entry.host, entry.port)


def find_address(state: GatewayState, name: str) -> EntryAddress | None:
    """Return the address of an entry that is registered, or has left lately and may run yet."""
    entry = state.entries.get(name)
    return address_of(entry) if entry is not None else state.quotas.departed.get(name)


def roles(state: GatewayState, team: str, at: float) -> tuple[str, str, str]:
    """Return the names of the keeper, the secondary, and who is the keeper without the first one.

    A name is empty if there is no such entry.
    """
    refresh(state, at)
    known = state.quotas.roles_by_team.get(team)
    if known is None:
        known = state.quotas.roles_by_team[team] = choose(state, team)
    return known


def choose(state: GatewayState, team: str) -> tuple[str, str, str]:
    """Choose the entries that serve a team among the known ones."""
    order = rendezvous_order(f"quota|{team}", state.quotas.entries)
    if len(order) < 2:
        return (order[0] if order else ""), "", ""
    region_by_entry = {name: state.regions.get(state.entries[name].zone) for name in order}
    elsewhere = (name for name in order if region_by_entry[name] != region_by_entry[order[0]])
    return order[0], next(elsewhere, order[1]), order[1]


def departed_keepers(state: GatewayState, team: str) -> list[str]:
    """Return the entries that left lately and were the keeper of a team before this one, if any."""
    order = rendezvous_order(f"quota|{team}", {*state.quotas.departed, state.name})
    return order[: order.index(state.name)]


def may_grow(state: GatewayState, at: float) -> bool:
    """Return whether no other entry can be the keeper of the teams of which this one is."""
    return not is_outnumbered(state, at) and (
        not state.store_unavailable
        or at - state.store_lost_at < STORE_GRACE_S + ECHO_VALID_S
        or is_confirmed(state, at)
    )


def is_outnumbered(state: GatewayState, at: float) -> bool:
    """Return whether more entries left lately than there are; half of both counts for one side."""
    quotas = state.quotas
    departed = quotas.departed_at
    for name in [name for name, left_at in departed.items() if at - left_at > DEPARTED_S]:
        del departed[name]
        del quotas.departed[name]
    present = len(quotas.entries)
    if len(departed) != present:
        return len(departed) > present
    return present > 0 and min(departed) < min(quotas.entries)


def is_confirmed(state: GatewayState, at: float) -> bool:
    """Return whether most of the entries have said lately that they list this one."""
    others = state.quotas.entries.keys() - {state.name}
    echoed_at = state.quotas.echoed_at
    confirmed = sum(at - echoed_at.get(name, float("-inf")) <= ECHO_VALID_S for name in others)
    return 2 * (confirmed + 1) > len(others) + 1


def probe(state: GatewayState, at: float, effects: list) -> None:
    """Ask the others whether they list this entry, while it cannot read the list."""
    quotas = state.quotas
    if not state.store_unavailable or at - state.store_lost_at < STORE_GRACE_S:
        return
    if at - quotas.probed_at >= PROBE_INTERVAL_S:
        quotas.probed_at = at
        tell_others(state, QuotaProbe(), effects)


def on_probe(state: GatewayState, sender: str, effects: list) -> None:
    """Tell another entry whether it is listed."""
    effects.append(SendPeer(sender, QuotaEcho(sender in state.entries)))


def on_echo(state: GatewayState, sender: str, message: QuotaEcho, at: float) -> None:
    """Record that another entry lists this one, or does not."""
    if message.is_listed and sender in state.entries:
        state.quotas.echoed_at[sender] = at
    else:
        state.quotas.echoed_at.pop(sender, None)
