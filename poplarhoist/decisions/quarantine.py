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

DEATHS_TO_CONVICT = 2
MASS_DEATHS = 3
MASS_WINDOW_S = 3.0
TRIAL_KEPT_S = 120.0
DOUBT_S = 2.0
DOUBT_POLL_S = 0.2
SUSPECTS_KEPT = 1024
TELLERS = 2


@define
class Suspect:
    """A content and the endpoint deaths that it took part in, as ``endpoint/boot``."""

    deaths: set[str] = field(factory=set)
    noted_at: float = 0.0


@define
class Doubt:
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
    since: float


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

    by_digest: dict[str, Suspect] = field(factory=dict)
    convictions: dict[str, None] = field(factory=dict)
    fresh_convictions: list[str] = field(factory=list)
    doubts_by_endpoint: dict[str, list[Doubt]] = field(factory=dict)
    trials: dict[str, Trial] = field(factory=dict)
    isolated: dict[str, float] = field(factory=dict)
    deaths_at: dict[str, float] = field(factory=dict)


def convicted(state: State, digest: str) -> bool:
    """Return whether a content is refused for good."""
    return digest in state.quarantine.convictions


def suspected(state: State, digest: str) -> bool:
    """Return whether a content may only run alone."""
    suspect = state.quarantine.by_digest.get(digest)
    if suspect is None:
        return False
    return not all(in_mass(state, death) for death in suspect.deaths)


def in_mass(state: State, death: str) -> bool:
    """Return whether an endpoint died together with many others."""
    deaths_at = state.quarantine.deaths_at
    died_at = deaths_at.get(death)
    if died_at is None:
        return False
    near = sum(1 for other_at in deaths_at.values() if abs(other_at - died_at) <= MASS_WINDOW_S)
    return near >= MASS_DEATHS


def tell(state: State, message: object, out: list[Effect]) -> None:
    """Send a message to every peer."""
    for peer in state.members.peers:
        out.append(SendMessage(peer, message))


def doubt(state: State, request: RequestState, endpoint: str, at: float, out) -> None:
    """Ask whether the endpoint died at which an attempt broke off."""
    if not request.content_digest:
        return
    item = Doubt(
        request.content_digest, request.request_id, request.attempt, request.endpoint_boot, at, at
    )
    state.quarantine.doubts_by_endpoint.setdefault(endpoint, []).append(item)
    out.append(PollEndpoint(endpoint))


def on_answer(
    state: State,
    report: EndpointReport,
    newer: bool,
    asked_at: float,
    at: float,
    out: list[Effect],
) -> list[Doubt]:
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
        end_trials(state, endpoint, report.boot, at, out)
    settled = []
    for item in list(state.quarantine.doubts_by_endpoint.get(endpoint, ())):
        key = f"{endpoint}/{item.boot}"
        if item.boot and item.boot != report.boot:
            if not newer:
                continue
            note_death(state, item.digest, key, at, out)
        elif asked_at <= item.broken_at:
            continue
        elif key in state.quarantine.trials:
            close_trial(state, item.digest, key, TrialState.INCONCLUSIVE, out)
        drop_doubt(state, endpoint, item)
        settled.append(item)
    return settled


def on_refused(state: State, endpoint: str, at: float, out: list[Effect]) -> list[Doubt]:
    """Settle the doubts about an endpoint on which nothing listens any more; return them."""
    end_trials(state, endpoint, "", at, out)
    settled = state.quarantine.doubts_by_endpoint.pop(endpoint, [])
    for item in settled:
        note_death(state, item.digest, f"{endpoint}/{item.boot}", at, out)
    return settled


def drop_doubt(state: State, endpoint: str, item: Doubt) -> None:
    """Forget a doubt."""
    items = state.quarantine.doubts_by_endpoint[endpoint]
    items.remove(item)
    if not items:
        del state.quarantine.doubts_by_endpoint[endpoint]


def note_death(state: State, digest: str, death: str, at: float, out: list[Effect]) -> None:
    """Note that a content was running when an endpoint died, and tell the peers."""
    merge(state, digest, {death}, at, out)
    out.append(Count("endpoint_death", ()))
    tell(state, notice_of(state, digest), out)
    suspect_store.save(state, digest, at, out)


def on_object(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Take what the platform holds of a content."""
    digest = suspect_store.note(state, event)
    if digest is None:
        return
    if event.value is None:
        acquit(state, digest, out)
    elif event.value["convicted"]:
        convict(state, digest, out)
    else:
        merge(state, digest, set(event.value["deaths"]), event.at, out)
    if digest in state.suspect_store.unsaved:
        suspect_store.save(state, digest, event.at, out)


def notice_of(state: State, digest: str) -> SuspectNotice:
    """Return what is known of a content."""
    suspect = state.quarantine.by_digest.get(digest)
    deaths = tuple(sorted(suspect.deaths)) if suspect else ()
    return SuspectNotice(digest, deaths, convicted(state, digest))


def merge(state: State, digest: str, deaths: set[str], at: float, out: list[Effect]) -> None:
    """Add deaths to a suspect; convict it at the second one."""
    quarantine = state.quarantine
    if convicted(state, digest):
        return
    for death in deaths:
        quarantine.deaths_at.setdefault(death, at)
    suspect = quarantine.by_digest.pop(digest, None) or Suspect()
    suspect.deaths |= deaths
    suspect.noted_at = at
    if len(suspect.deaths) >= DEATHS_TO_CONVICT:
        convict(state, digest, out)
        return
    quarantine.by_digest[digest] = suspect
    while len(quarantine.by_digest) > SUSPECTS_KEPT:
        del quarantine.by_digest[next(iter(quarantine.by_digest))]


def convict(state: State, digest: str, out: list[Effect]) -> None:
    """Refuse a content for good."""
    quarantine = state.quarantine
    quarantine.by_digest.pop(digest, None)
    if digest in quarantine.convictions:
        return
    quarantine.convictions[digest] = None
    quarantine.fresh_convictions.append(digest)
    out.append(LogChange("request-quarantined", {"digest": digest}))
    while len(quarantine.convictions) > suspect_store.CONVICTIONS_KEPT:
        del quarantine.convictions[next(iter(quarantine.convictions))]


def acquit(state: State, digest: str, out: list[Effect]) -> None:
    """Forget a content whose object was deleted: it is cleared, old, or an operator's choice."""
    state.quarantine.by_digest.pop(digest, None)
    if digest in state.quarantine.convictions:
        del state.quarantine.convictions[digest]
        out.append(LogChange("request-acquitted", {"digest": digest}))


def open_trial(state: State, digest: str, trial: str, at: float, out: list[Effect]) -> None:
    """Note that a suspect is about to run alone, and tell the peers."""
    state.quarantine.trials[trial] = Trial(digest, at)
    tell(state, TrialNotice(digest, trial, TrialState.OPEN), out)


def close_trial(state: State, digest: str, trial: str, verdict: TrialState, out) -> None:
    """Note that a suspect no longer runs alone, and tell the peers."""
    take_trial(state, TrialNotice(digest, trial, verdict), float("-inf"))
    tell(state, TrialNotice(digest, trial, verdict), out)
    if verdict is TrialState.CLEARED:
        suspect_store.forget(state, digest, out)


def take_trial(state: State, message: TrialNotice, at: float) -> None:
    """Take word of a trial."""
    quarantine = state.quarantine
    if message.state is TrialState.OPEN:
        quarantine.trials[message.trial] = Trial(message.digest, at)
        return
    quarantine.trials.pop(message.trial, None)
    if message.state is TrialState.CLEARED:
        quarantine.by_digest.pop(message.digest, None)


def end_trials(state: State, endpoint: str, boot: str, at: float, out: list[Effect]) -> None:
    """Convict a suspect whose endpoint died while it ran alone there."""
    for key, trial in list(state.quarantine.trials.items()):
        name, _, old_boot = key.rpartition("/")
        if name != endpoint or old_boot == boot:
            continue
        del state.quarantine.trials[key]
        note_death(state, trial.digest, key, at, out)


def on_notice(state: State, message: SuspectNotice, at: float, out: list[Effect]) -> None:
    """Take a peer's word of a suspect."""
    if message.convicted:
        convict(state, message.digest, out)
    else:
        merge(state, message.digest, set(message.deaths), at, out)


def tell_newcomer(state: State, peer: str, at: float, out: list[Effect]) -> None:
    """Tell an entry that was just started of every suspect and conviction."""
    tellers = [name for name in rendezvous_rank(peer, live_entries(state, at)) if name != peer][
        :TELLERS
    ]
    if state.me.name in tellers:
        tell_all(state, peer, out)


def tell_all(state: State, peer: str, out: list[Effect]) -> None:
    """Tell an entry of every suspect and conviction, as after a time without contact."""
    quarantine = state.quarantine
    digests = [*quarantine.convictions, *quarantine.by_digest]
    if not digests:
        return
    notices = tuple(notice_of(state, digest) for digest in digests)
    out.append(SendMessage(peer, KnownSuspects(notices)))


def on_tick(state: State, at: float, out: list[Effect]) -> list[Doubt]:
    """Forget what is too old, and ask again about open doubts; return those given up."""
    suspect_store.on_tick(state, at, out)
    quarantine = state.quarantine
    while quarantine.by_digest:
        digest, suspect = next(iter(quarantine.by_digest.items()))
        if at - suspect.noted_at < suspect_store.SUSPECT_KEPT_S:
            break
        del quarantine.by_digest[digest]
    for key, trial in list(quarantine.trials.items()):
        if at - trial.since >= TRIAL_KEPT_S:
            del quarantine.trials[key]
    for death, died_at in list(quarantine.deaths_at.items()):
        if at - died_at >= suspect_store.SUSPECT_KEPT_S:
            del quarantine.deaths_at[death]
    return poll_again(state, at, out)


def poll_again(state: State, at: float, out: list[Effect]) -> list[Doubt]:
    """Poll the endpoints in doubt; return the doubts that stayed open for too long."""
    given_up = []
    for endpoint, items in list(state.quarantine.doubts_by_endpoint.items()):
        if at - max(item.polled_at for item in items) >= DOUBT_POLL_S:
            out.append(PollEndpoint(endpoint))
            for item in items:
                item.polled_at = at
        for item in list(items):
            if at - item.broken_at >= DOUBT_S:
                drop_doubt(state, endpoint, item)
                given_up.append(item)
    return given_up
