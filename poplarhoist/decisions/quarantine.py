"""Quarantine of request contents that crash endpoints.

A death is the end of an endpoint's process, by a crash or a restart. A boot key,
``endpoint/boot``, names one process of an endpoint, and thereby its death. A trial is the isolated
run of a suspect: alone on a drained endpoint.

A request content, identified by its digest, becomes a suspect when it was running on an endpoint
that died; from then on it runs only in isolation. A request content that was running at a second
death is quarantined: requests with it are refused. Messages and logs call such a request content
convicted, and one that is released acquitted or cleared.

A broken attempt counts as a death only once the endpoint is known to have died, because it
refuses connections or reports another boot id. A connection can also break at a live endpoint.
Correlated deaths, when several endpoints die at about the same time, do not isolate the request
contents that ran there.
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
    """A request content that was running when an endpoint died.

    Attributes
    ----------
    deaths : set
        Boot keys of the endpoint processes that died.
    updated_at : float
        When a death was last added or reported again.
    """

    deaths: set[str] = field(factory=set)
    updated_at: float = 0.0


@define
class DeathCheck:
    """A broken attempt for which it is not yet known whether the endpoint died.

    Attributes
    ----------
    boot : str
        Boot id of the endpoint when the attempt was dispatched; empty if it was not known.
    broken_at : float
        When the attempt broke.
    polled_at : float
        When the endpoint was last polled for this check.
    """

    digest: str
    request_id: str
    attempt: int
    boot: str
    broken_at: float
    polled_at: float


@define
class Trial:
    """The isolated run of a suspect on a drained endpoint."""

    digest: str
    started_at: float


@define
class QuarantineState:
    """Suspects, quarantined request contents, isolated runs and open death checks.

    Attributes
    ----------
    suspects_by_digest : dict
        Suspects, the least recently updated first.
    quarantined : dict
        Quarantined digests, the oldest first.
    newly_quarantined : list
        Quarantined digests whose pending requests at this entry are not refused yet.
    death_checks_by_endpoint : dict
        Open death checks by endpoint.
    trials : dict
        Isolated runs by the boot key of their endpoint.
    isolated_requests : dict
        Requests of this entry that wait for isolation or run alone: when the lead was last told
        of each, by request id.
    death_seen_at : dict
        When this entry first learned of each death, by boot key.
    """

    suspects_by_digest: dict[str, Suspect] = field(factory=dict)
    quarantined: dict[str, None] = field(factory=dict)
    newly_quarantined: list[str] = field(factory=list)
    death_checks_by_endpoint: dict[str, list[DeathCheck]] = field(factory=dict)
    trials: dict[str, Trial] = field(factory=dict)
    isolated_requests: dict[str, float] = field(factory=dict)
    death_seen_at: dict[str, float] = field(factory=dict)


def is_quarantined(state: State, digest: str) -> bool:
    """Return whether requests with this digest are refused."""
    return digest in state.quarantine.quarantined


def is_suspect(state: State, digest: str) -> bool:
    """Return whether a request content may only run alone; correlated deaths do not count."""
    suspect = state.quarantine.suspects_by_digest.get(digest)
    if suspect is None:
        return False
    return not all(is_correlated_death(state, death) for death in suspect.deaths)


def is_correlated_death(state: State, boot_key: str) -> bool:
    """Return whether a death is one of at least ``CORRELATED_DEATHS_MIN`` close in time."""
    death_seen_at = state.quarantine.death_seen_at
    seen_at = death_seen_at.get(boot_key)
    if seen_at is None:
        return False
    nearby = sum(
        1
        for other_seen_at in death_seen_at.values()
        if abs(other_seen_at - seen_at) <= CORRELATED_DEATHS_WINDOW_S
    )
    return nearby >= CORRELATED_DEATHS_MIN


def broadcast(state: State, message: object, out: list[Effect]) -> None:
    """Send a message to every peer."""
    for peer in state.members.peers:
        out.append(SendMessage(peer, message))


def start_death_check(state: State, request: RequestState, endpoint: str, at: float, out) -> None:
    """Poll an endpoint at which an attempt broke, to learn whether it died.

    Requests without a digest, which are never suspects, are not checked.
    """
    if not request.content_digest:
        return
    check = DeathCheck(
        request.content_digest, request.request_id, request.attempt, request.endpoint_boot, at, at
    )
    state.quarantine.death_checks_by_endpoint.setdefault(endpoint, []).append(check)
    out.append(PollEndpoint(endpoint))


def on_poll_answered(
    state: State,
    report: EndpointReport,
    newer: bool,
    asked_at: float,
    at: float,
    out: list[Effect],
) -> list[DeathCheck]:
    """Resolve the death checks of an endpoint that answered a poll.

    Parameters
    ----------
    newer : bool
        Whether the report is the latest one known; only then does another boot id show a death.
    asked_at : float
        When the poll was sent; minus infinity if it is not known. An answer with the same boot
        id shows that the endpoint lives only if it was asked for after the attempt broke.

    Returns
    -------
    list of DeathCheck
        The checks that are resolved.
    """
    endpoint = report.endpoint
    if newer:
        fail_trials(state, endpoint, report.boot, at, out)
    resolved = []
    for check in list(state.quarantine.death_checks_by_endpoint.get(endpoint, ())):
        boot_key = f"{endpoint}/{check.boot}"
        if check.boot and check.boot != report.boot:
            if not newer:
                continue
            record_death(state, check.digest, boot_key, at, out)
        elif asked_at <= check.broken_at:
            continue
        elif boot_key in state.quarantine.trials:
            close_trial(state, check.digest, boot_key, TrialState.INCONCLUSIVE, out)
        remove_death_check(state, endpoint, check)
        resolved.append(check)
    return resolved


def on_poll_refused(state: State, endpoint: str, at: float, out: list[Effect]) -> list[DeathCheck]:
    """Record the death of an endpoint that refused a connection; return its death checks."""
    fail_trials(state, endpoint, "", at, out)
    resolved = state.quarantine.death_checks_by_endpoint.pop(endpoint, [])
    for check in resolved:
        record_death(state, check.digest, f"{endpoint}/{check.boot}", at, out)
    return resolved


def remove_death_check(state: State, endpoint: str, check: DeathCheck) -> None:
    """Remove one death check."""
    checks = state.quarantine.death_checks_by_endpoint[endpoint]
    checks.remove(check)
    if not checks:
        del state.quarantine.death_checks_by_endpoint[endpoint]


def record_death(state: State, digest: str, boot_key: str, at: float, out: list[Effect]) -> None:
    """Record that a request content ran when an endpoint died, and tell peers and platform."""
    add_deaths(state, digest, {boot_key}, at, out)
    out.append(Count("endpoint_death", ()))
    broadcast(state, build_notice(state, digest), out)
    suspect_store.save(state, digest, at, out)


def on_object_changed(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Apply a change of a suspect's object on the platform.

    If a write of the object is pending and this entry knows more, the write is sent again.
    """
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
    """Return a message with a digest's deaths and whether it is quarantined."""
    suspect = state.quarantine.suspects_by_digest.get(digest)
    deaths = tuple(sorted(suspect.deaths)) if suspect else ()
    return SuspectNotice(digest, deaths, is_quarantined(state, digest))


def add_deaths(state: State, digest: str, deaths: set[str], at: float, out: list[Effect]) -> None:
    """Add deaths to a suspect, and quarantine it once it has ``DEATHS_TO_QUARANTINE``."""
    quarantine = state.quarantine
    if is_quarantined(state, digest):
        return
    for boot_key in deaths:
        quarantine.death_seen_at.setdefault(boot_key, at)
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
    """Refuse requests with this digest from now on."""
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
    """Stop suspecting or refusing a request content whose platform object was deleted.

    Entries delete the object of a suspect that is cleared or too old; an operator may delete it
    to lift a quarantine.
    """
    state.quarantine.suspects_by_digest.pop(digest, None)
    if digest in state.quarantine.quarantined:
        del state.quarantine.quarantined[digest]
        out.append(LogChange("request-acquitted", {"digest": digest}))


def open_trial(state: State, digest: str, boot_key: str, at: float, out: list[Effect]) -> None:
    """Record that a suspect is about to run alone, and tell the peers."""
    state.quarantine.trials[boot_key] = Trial(digest, at)
    broadcast(state, TrialNotice(digest, boot_key, TrialState.OPEN), out)


def close_trial(state: State, digest: str, boot_key: str, verdict: TrialState, out) -> None:
    """Record the end of an isolated run, and tell the peers.

    A cleared request content is no suspect any more; its object on the platform is deleted.
    """
    on_trial_notice(state, TrialNotice(digest, boot_key, verdict), float("-inf"))
    broadcast(state, TrialNotice(digest, boot_key, verdict), out)
    if verdict is TrialState.CLEARED:
        suspect_store.delete(state, digest, out)


def on_trial_notice(state: State, message: TrialNotice, at: float) -> None:
    """Apply a notice that an isolated run began or ended."""
    quarantine = state.quarantine
    if message.state is TrialState.OPEN:
        quarantine.trials[message.trial] = Trial(message.digest, at)
        return
    quarantine.trials.pop(message.trial, None)
    if message.state is TrialState.CLEARED:
        quarantine.suspects_by_digest.pop(message.digest, None)


def fail_trials(state: State, endpoint: str, boot: str, at: float, out: list[Effect]) -> None:
    """Record a death for each isolated run on an endpoint under an earlier boot id.

    Parameters
    ----------
    boot : str
        Boot id that the endpoint reports now; empty if it refuses connections.
    """
    for boot_key, trial in list(state.quarantine.trials.items()):
        name, _, old_boot = boot_key.rpartition("/")
        if name != endpoint or old_boot == boot:
            continue
        del state.quarantine.trials[boot_key]
        record_death(state, trial.digest, boot_key, at, out)


def on_suspect_notice(state: State, message: SuspectNotice, at: float, out: list[Effect]) -> None:
    """Apply a peer's notice of a suspect or a quarantined request content."""
    if message.convicted:
        quarantine_digest(state, message.digest, out)
    else:
        add_deaths(state, message.digest, set(message.deaths), at, out)


def notify_new_entry(state: State, peer: str, at: float, out: list[Effect]) -> None:
    """Send all suspects and quarantined digests to an entry that was just started.

    Only the first ``NEW_ENTRY_NOTIFIERS`` live entries in rendezvous order send them.
    """
    notifiers = [name for name in rendezvous_rank(peer, live_entries(state, at)) if name != peer][
        :NEW_ENTRY_NOTIFIERS
    ]
    if state.me.name in notifiers:
        send_all_suspects(state, peer, out)


def send_all_suspects(state: State, peer: str, out: list[Effect]) -> None:
    """Send all suspects and quarantined digests to an entry, as after a loss of contact."""
    quarantine = state.quarantine
    digests = [*quarantine.quarantined, *quarantine.suspects_by_digest]
    if not digests:
        return
    notices = tuple(build_notice(state, digest) for digest in digests)
    out.append(SendMessage(peer, KnownSuspects(notices)))


def on_tick(state: State, at: float, out: list[Effect]) -> list[DeathCheck]:
    """Expire suspects, isolated runs and deaths; return the death checks that timed out."""
    suspect_store.on_tick(state, at, out)
    quarantine = state.quarantine
    while quarantine.suspects_by_digest:
        digest, suspect = next(iter(quarantine.suspects_by_digest.items()))
        if at - suspect.updated_at < suspect_store.SUSPECT_RETENTION_S:
            break
        del quarantine.suspects_by_digest[digest]
    for boot_key, trial in list(quarantine.trials.items()):
        if at - trial.started_at >= TRIAL_TIMEOUT_S:
            del quarantine.trials[boot_key]
    for boot_key, seen_at in list(quarantine.death_seen_at.items()):
        if at - seen_at >= suspect_store.SUSPECT_RETENTION_S:
            del quarantine.death_seen_at[boot_key]
    return poll_death_checks(state, at, out)


def poll_death_checks(state: State, at: float, out: list[Effect]) -> list[DeathCheck]:
    """Poll endpoints with open death checks again; return the checks that timed out."""
    timed_out = []
    for endpoint, checks in list(state.quarantine.death_checks_by_endpoint.items()):
        if at - max(check.polled_at for check in checks) >= DEATH_CHECK_POLL_INTERVAL_S:
            out.append(PollEndpoint(endpoint))
            for check in checks:
                check.polled_at = at
        for check in list(checks):
            if at - check.broken_at >= DEATH_CHECK_TIMEOUT_S:
                remove_death_check(state, endpoint, check)
                timed_out.append(check)
    return timed_out
