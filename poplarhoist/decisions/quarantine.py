"""Request contents that were running when endpoints died.

One death makes a content a suspect, which runs alone from then on; a second death convicts it.
An attempt that broke off counts only once the endpoint is seen to have died: it refuses
connections, or answers with another boot id. When many endpoints die at about the same time,
their deaths are not held against what ran on them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions import suspect_store
from poplarhoist.decisions.effects import Count, LogChange, PollEndpoint, SendMessage
from poplarhoist.decisions.events import ObjectChanged
from poplarhoist.decisions.membership import live_entries, rendezvous_rank
from poplarhoist.decisions.messages import (
    KnownSuspects,
    SuspectNotice,
    TrialNotice,
    TrialState,
)

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import RequestState, State
    from poplarhoist.models import EndpointReport

DEATHS_TO_QUARANTINE = 2
CORRELATED_DEATHS_MIN = 3
CORRELATED_DEATHS_WINDOW_S = 3.0
TRIAL_TIMEOUT_S = 120.0
DEATH_CHECK_TIMEOUT_S = 2.0
DEATH_CHECK_POLL_INTERVAL_S = 0.2
MAX_SUSPECTS = 1024
NEW_ENTRY_NOTIFIERS = 2


@define
class Suspect:
    """A content and the endpoint deaths that it took part in, as ``endpoint/boot``."""

    deaths: set[str] = field(factory=set)
    updated_at: float = 0.0


@define
class DeathCheck:
    """An attempt that broke off at an endpoint that may have died."""

    digest: str
    request_id: str
    attempt: int
    boot: str
    broken_at: float
    polled_at: float


@define
class Trial:
    """A suspect that runs alone."""

    digest: str
    started_at: float


@define
class QuarantineState:
    """Suspects, convictions and open questions.

    Attributes
    ----------
    by_digest : dict
        Suspects, the longest unchanged first.
    convictions : dict
        Digests that are refused, the oldest first.
    fresh_convictions : list
        Convicted digests of which requests may still be held here.
    doubts_by_endpoint : dict
        Attempts that broke off there and are not yet explained.
    trials : dict
        Suspects that run alone, by ``endpoint/boot``.
    isolated : dict
        When the lead was last told of requests that wait to run alone or do so, by request id.
    deaths_at : dict
        When each death was first heard of, by ``endpoint/boot``.
    """

    suspects_by_digest: dict[str, Suspect] = field(factory=dict)
    quarantined: dict[str, None] = field(factory=dict)
    newly_quarantined: list[str] = field(factory=list)
    death_checks_by_endpoint: dict[str, list[DeathCheck]] = field(factory=dict)
    trials: dict[str, Trial] = field(factory=dict)
    isolation_reported_at: dict[str, float] = field(factory=dict)
    death_seen_at: dict[str, float] = field(factory=dict)


def is_quarantined(state: State, digest: str) -> bool:
    """Return whether a content is refused for good."""
    return digest in state.quarantine.quarantined


def is_suspect(state: State, digest: str) -> bool:
    """Return whether a content may only run alone."""
    suspect = state.quarantine.suspects_by_digest.get(digest)
    if suspect is None:
        return False
    return not all(is_correlated_death(state, death) for death in suspect.deaths)


def is_correlated_death(state: State, death: str) -> bool:
    """Return whether an endpoint died together with many others."""
    death_seen_at = state.quarantine.death_seen_at
    died_at = death_seen_at.get(death)
    if died_at is None:
        return False
    near = sum(
        1
        for other_at in death_seen_at.values()
        if abs(other_at - died_at) <= CORRELATED_DEATHS_WINDOW_S
    )
    return near >= CORRELATED_DEATHS_MIN


def broadcast(state: State, message: object, out: list[Effect]) -> None:
    """Send a message to every peer."""
    for peer in state.members.peers:
        out.append(SendMessage(peer, message))


def start_death_check(state: State, request: RequestState, endpoint: str, at: float, out) -> None:
    """Ask whether the endpoint died at which an attempt broke off."""
    if not request.content_digest:
        return
    item = DeathCheck(
        request.content_digest, request.request_id, request.attempt, request.endpoint_boot, at, at
    )
    state.quarantine.death_checks_by_endpoint.setdefault(endpoint, []).append(item)
    out.append(PollEndpoint(endpoint))


def on_poll_answered(
    state: State,
    report: EndpointReport,
    newer: bool,
    asked_at: float,
    at: float,
    out: list[Effect],
) -> list[DeathCheck]:
    """Settle the doubts about an endpoint that answered a poll.

    Parameters
    ----------
    newer : bool
        Whether the report is the latest one; only that tells of a death.
    asked_at : float
        When the poll was sent; minus infinity if it is not known.

    Returns
    -------
    list of Doubt
        Those that are settled.
    """
    endpoint = report.endpoint
    if newer:
        fail_trials(state, endpoint, report.boot, at, out)
    resolved = []
    for item in list(state.quarantine.death_checks_by_endpoint.get(endpoint, ())):
        key = f"{endpoint}/{item.boot}"
        if item.boot and item.boot != report.boot:
            if not newer:
                continue
            record_death(state, item.digest, key, at, out)
        elif asked_at <= item.broken_at:
            continue
        elif key in state.quarantine.trials:
            close_trial(state, item.digest, key, TrialState.INCONCLUSIVE, out)
        remove_death_check(state, endpoint, item)
        resolved.append(item)
    return resolved


def on_poll_refused(state: State, endpoint: str, at: float, out: list[Effect]) -> list[DeathCheck]:
    """Settle the doubts about an endpoint on which nothing listens any more; return them."""
    fail_trials(state, endpoint, "", at, out)
    resolved = state.quarantine.death_checks_by_endpoint.pop(endpoint, [])
    for item in resolved:
        record_death(state, item.digest, f"{endpoint}/{item.boot}", at, out)
    return resolved


def remove_death_check(state: State, endpoint: str, item: DeathCheck) -> None:
    """Forget a doubt."""
    items = state.quarantine.death_checks_by_endpoint[endpoint]
    items.remove(item)
    if not items:
        del state.quarantine.death_checks_by_endpoint[endpoint]


def record_death(state: State, digest: str, death: str, at: float, out: list[Effect]) -> None:
    """Note that a content was running when an endpoint died, and tell the peers."""
    add_deaths(state, digest, {death}, at, out)
    out.append(Count("endpoint_death", ()))
    broadcast(state, build_notice(state, digest), out)
    suspect_store.save(state, digest, at, out)


def on_object_changed(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Take what the platform holds of a content."""
    digest = suspect_store.on_object_changed(state, event)
    if digest is None:
        return
    if event.value is None:
        lift_quarantine(state, digest, out)
    elif event.value["convicted"]:
        quarantine_digest(state, digest, out)
    else:
        add_deaths(state, digest, set(event.value["deaths"]), event.at, out)
    if digest in state.suspect_store.pending_writes:
        suspect_store.save(state, digest, event.at, out)


def build_notice(state: State, digest: str) -> SuspectNotice:
    """Return what is known of a content."""
    suspect = state.quarantine.suspects_by_digest.get(digest)
    deaths = tuple(sorted(suspect.deaths)) if suspect else ()
    return SuspectNotice(digest, deaths, is_quarantined(state, digest))


def add_deaths(state: State, digest: str, deaths: set[str], at: float, out: list[Effect]) -> None:
    """Add deaths to a suspect; convict it at the second one."""
    quarantine = state.quarantine
    if is_quarantined(state, digest):
        return
    for death in deaths:
        quarantine.death_seen_at.setdefault(death, at)
    suspect = quarantine.suspects_by_digest.pop(digest, None) or Suspect()
    suspect.deaths |= deaths
    suspect.updated_at = at
    if len(suspect.deaths) >= DEATHS_TO_QUARANTINE:
        quarantine_digest(state, digest, out)
        return
    quarantine.suspects_by_digest[digest] = suspect
    while len(quarantine.suspects_by_digest) > MAX_SUSPECTS:
        del quarantine.suspects_by_digest[next(iter(quarantine.suspects_by_digest))]


def quarantine_digest(state: State, digest: str, out: list[Effect]) -> None:
    """Refuse a content for good."""
    quarantine = state.quarantine
    quarantine.suspects_by_digest.pop(digest, None)
    if digest in quarantine.quarantined:
        return
    quarantine.quarantined[digest] = None
    quarantine.newly_quarantined.append(digest)
    out.append(LogChange("request-quarantined", {"digest": digest}))
    while len(quarantine.quarantined) > suspect_store.MAX_QUARANTINED:
        del quarantine.quarantined[next(iter(quarantine.quarantined))]


def lift_quarantine(state: State, digest: str, out: list[Effect]) -> None:
    """Forget a content whose object was deleted: it is cleared, old, or an operator's choice."""
    state.quarantine.suspects_by_digest.pop(digest, None)
    if digest in state.quarantine.quarantined:
        del state.quarantine.quarantined[digest]
        out.append(LogChange("request-acquitted", {"digest": digest}))


def open_trial(state: State, digest: str, trial: str, at: float, out: list[Effect]) -> None:
    """Note that a suspect is about to run alone, and tell the peers."""
    state.quarantine.trials[trial] = Trial(digest, at)
    broadcast(state, TrialNotice(digest, trial, TrialState.OPEN), out)


def close_trial(state: State, digest: str, trial: str, verdict: TrialState, out) -> None:
    """Note that a suspect no longer runs alone, and tell the peers."""
    on_trial_notice(state, TrialNotice(digest, trial, verdict), float("-inf"))
    broadcast(state, TrialNotice(digest, trial, verdict), out)
    if verdict is TrialState.CLEARED:
        suspect_store.delete(state, digest, out)


def on_trial_notice(state: State, message: TrialNotice, at: float) -> None:
    """Take word of a trial."""
    quarantine = state.quarantine
    if message.state is TrialState.OPEN:
        quarantine.trials[message.trial] = Trial(message.digest, at)
        return
    quarantine.trials.pop(message.trial, None)
    if message.state is TrialState.CLEARED:
        quarantine.suspects_by_digest.pop(message.digest, None)


def fail_trials(state: State, endpoint: str, boot: str, at: float, out: list[Effect]) -> None:
    """Convict a suspect whose endpoint died while it ran alone there."""
    for key, trial in list(state.quarantine.trials.items()):
        name, _, old_boot = key.rpartition("/")
        if name != endpoint or old_boot == boot:
            continue
        del state.quarantine.trials[key]
        record_death(state, trial.digest, key, at, out)


def on_suspect_notice(state: State, message: SuspectNotice, at: float, out: list[Effect]) -> None:
    """Take a peer's word of a suspect."""
    if message.convicted:
        quarantine_digest(state, message.digest, out)
    else:
        add_deaths(state, message.digest, set(message.deaths), at, out)


def notify_new_entry(state: State, peer: str, at: float, out: list[Effect]) -> None:
    """Tell an entry that was just started of every suspect and conviction."""
    notifiers = [name for name in rendezvous_rank(peer, live_entries(state, at)) if name != peer][
        :NEW_ENTRY_NOTIFIERS
    ]
    if state.me.name in notifiers:
        send_all_suspects(state, peer, out)


def send_all_suspects(state: State, peer: str, out: list[Effect]) -> None:
    """Tell an entry of every suspect and conviction, as after a time without contact."""
    quarantine = state.quarantine
    digests = [*quarantine.quarantined, *quarantine.suspects_by_digest]
    if not digests:
        return
    notices = tuple(build_notice(state, digest) for digest in digests)
    out.append(SendMessage(peer, KnownSuspects(notices)))


def on_tick(state: State, at: float, out: list[Effect]) -> list[DeathCheck]:
    """Forget what is too old, and ask again about open doubts; return those given up."""
    suspect_store.on_tick(state, at, out)
    quarantine = state.quarantine
    while quarantine.suspects_by_digest:
        digest, suspect = next(iter(quarantine.suspects_by_digest.items()))
        if at - suspect.updated_at < suspect_store.SUSPECT_RETENTION_S:
            break
        del quarantine.suspects_by_digest[digest]
    for key, trial in list(quarantine.trials.items()):
        if at - trial.started_at >= TRIAL_TIMEOUT_S:
            del quarantine.trials[key]
    for death, died_at in list(quarantine.death_seen_at.items()):
        if at - died_at >= suspect_store.SUSPECT_RETENTION_S:
            del quarantine.death_seen_at[death]
    return poll_death_checks(state, at, out)


def poll_death_checks(state: State, at: float, out: list[Effect]) -> list[DeathCheck]:
    """Poll the endpoints in doubt; return the doubts that stayed open for too long."""
    timed_out = []
    for endpoint, items in list(state.quarantine.death_checks_by_endpoint.items()):
        if at - max(item.polled_at for item in items) >= DEATH_CHECK_POLL_INTERVAL_S:
            out.append(PollEndpoint(endpoint))
            for item in items:
                item.polled_at = at
        for item in list(items):
            if at - item.broken_at >= DEATH_CHECK_TIMEOUT_S:
                remove_death_check(state, endpoint, item)
                timed_out.append(item)
    return timed_out
