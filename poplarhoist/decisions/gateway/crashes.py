"""Refuses requests that crash the endpoints that run them.

A response that breaks off is kept until its endpoint is known to have crashed. The entry then tells
all others, so that each has the same reports, and `crash_suspects` finds what they have in common.
Which parts of prompts are sound is told only where another entry suspects one of them. What is
refused is repeated to a few entries, for those that were cut off, and told to an entry that starts.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway.broadcast import other_entries, tell_others
from poplarhoist.decisions.gateway.crash_suspects import (
    CRASH_MEMORY_S,
    CRASHES_PER_CONTENT,
    CrashReport,
    Verdict,
    content_key,
    find_verdict,
    suspect_key,
)
from poplarhoist.decisions.gateway.effects import CheckEndpoint, SendPeer
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.events import AttemptEnded, EndpointChecked, Framing
from poplarhoist.decisions.gateway.hashing import rendezvous_weight
from poplarhoist.decisions.gateway.messages import AskCrashes, Crashed, CrashEvidence, PartsSound
from poplarhoist.decisions.gateway.models import EndpointRecord, Prompt
from poplarhoist.decisions.gateway.request_state import RequestState, Stage
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds between a broken response and the detected crash of its endpoint within which the two
# belong together; a crashed engine is detected after three heartbeat intervals.
CRASH_MATCH_S = 6.0
# Seconds for which a response must have gone on since its first byte to clear its prompt. An engine
# that crashes at the beginning of a response ends within a few decode steps.
SOUND_AFTER_S = 0.1
# Seconds between two checks of an endpoint whose responses break off.
CHECK_INTERVAL_S = 0.5
# Reports and sound parts that are kept; bounds the memory used when many responses break off.
MAX_REPORTS = 256
MAX_SOUND_PARTS = 4096
# Parts of a prompt that can be suspected. More would take seconds to weigh over many reports, and the
# reports would not fit in a datagram. A content with more of them is refused by itself.
MAX_SUSPECTED_PARTS = 32
# Longest delay in seconds before an entry tells that a part is sound. Most entries that know it hear
# it from another one before.
MAX_NOTICE_DELAY_S = 0.15
# Seconds by which an entry must know better than another since when a part is sound.
NOTICE_DIFFERENCE_S = 1.0
# Seconds between two rounds in which an entry repeats what is refused, and entries told in each. One
# that was cut off hears it within four seconds in 499 of 500 cases.
REPEAT_INTERVAL_S = 2.0
REPEAT_FANOUT = 3
# Reports sent for each content or part that is refused, enough to refuse it, and in one datagram.
EVIDENCE_PER_SUSPECT = 8
MAX_EVIDENCE = 48
# Seconds from the last crash of a refused part until one request with it is sent as a trial; twice as
# long after each trial. Without trials nothing could show that a sound part is refused.
TRIAL_AFTER_S = 20.0
# The same for a refused content, and its trials at most. Endpoints that all crash at one moment for
# another reason have their contents in common. A request that crashes endpoints may reach no more than
# three after it has crashed the third.
CONTENT_TRIAL_AFTER_S = 5.0
MAX_CONTENT_TRIALS = 2
TRIALS_BY_KIND = {
    "part": (TRIAL_AFTER_S, float("inf")),
    "content": (CONTENT_TRIAL_AFTER_S, MAX_CONTENT_TRIALS),
}
# Seconds after its start in which an entry asks what is refused, and seconds between its questions.
LEARNING_S = 4.0
ASK_INTERVAL_S = 0.5


def shared_parts(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may share: all but the last, of the first few."""
    if prompt is None:
        return ()
    return tuple(segment.name for segment in prompt.prefix_segments[:-1][:MAX_SUSPECTED_PARTS])


def on_attempt_broken(
    state: GatewayState,
    request: RequestState,
    endpoint: EndpointState,
    event: AttemptEnded,
    effects: list,
) -> None:
    """Keep a broken response until its endpoint is known to have crashed; ask an engine whether."""
    parts = shared_parts(request.prompt)
    if is_sound(request, event.at):
        record_sound(state, parts, request.attempt_started_at, event.at)
        parts = ()
    record = endpoint.record
    report = CrashReport(
        record.name,
        record.incarnation,
        request.content_digest,
        parts,
        event.body_end.framing is not Framing.NONE,
        event.body_end.received_bytes > 0,
        event.at,
    )
    recent = state.broken_responses_by_crash.setdefault(report.crash, [])
    recent.append(report)
    del recent[:-MAX_REPORTS]
    if parts and event.at - endpoint.checked_at >= CHECK_INTERVAL_S:
        endpoint.checked_at = event.at
        effects.append(CheckEndpoint(record))


def is_sound(request: RequestState, at: float) -> bool:
    """Return whether the response to a request went on after its beginning."""
    started_at = request.attempt_started_at
    return started_at is not None and at - started_at >= SOUND_AFTER_S


def on_checked(state: GatewayState, event: EndpointChecked, effects: list) -> None:
    """Apply the answer of an engine that was asked whether it still runs."""
    if event.has_crashed:
        on_endpoint_crashed(state, event.record, event.at, effects)


def on_endpoint_crashed(
    state: GatewayState, record: EndpointRecord, at: float, effects: list
) -> None:
    """Report the responses that broke off within `CRASH_MATCH_S` when an endpoint crashed."""
    reports = state.broken_responses_by_crash.pop((record.name, record.incarnation), ())
    reports = [report for report in reports if at - report.at <= CRASH_MATCH_S]
    if not reports:
        return
    contents = [report.content for report in reports]
    effects.append(LogChange("endpoint-crashed", {"endpoint": record.name, "broken": contents}))
    for report in reports:
        if not add_report(state, report):
            continue
        log_report(state, report, effects)
        message = build_message(state, report, at)
        tell_others(state, message, effects)


def add_report(state: GatewayState, report: CrashReport) -> bool:
    """Add a report; return False if there is one about this crash and content.

    Beyond `MAX_REPORTS` the earliest is dropped that is not the reason of a refusal.
    """
    if any((r.crash, r.content) == (report.crash, report.content) for r in state.crash_reports):
        return False
    if not (report.content or report.parts):
        return False
    state.crash_reports.append(report)
    state.crash_verdict_due = True
    if len(state.crash_reports) > MAX_REPORTS:
        verdict = state.crash_verdict
        unneeded = (
            index
            for index, known in enumerate(state.crash_reports)
            if known.content not in verdict.contents and verdict.parts.isdisjoint(known.parts)
        )
        del state.crash_reports[next(unneeded, 0)]
    return True


def log_report(state: GatewayState, report: CrashReport, effects: list) -> None:
    """Log a report of this entry, with the crashes counted for its content so far."""
    crashes = {known.crash for known in state.crash_reports if known.content == report.content}
    fields = {
        "endpoint": report.endpoint,
        "content": report.content,
        "parts": report.parts,
        "begun": report.has_begun,
        "delivered": report.has_delivered,
        "crashes": len(crashes),
    }
    effects.append(LogChange("crash-counted", fields))


def build_message(state: GatewayState, report: CrashReport, at: float) -> Crashed:
    """Return the message that tells a report, and what this entry knows of its parts."""
    return Crashed(
        report.content,
        report.endpoint,
        report.incarnation,
        report.parts,
        report.has_begun,
        report.has_delivered,
        at - report.at,
        sound_ages(state, report.parts, at),
    )


def sound_ages(state: GatewayState, parts, at: float) -> dict[str, float]:
    """Return how many seconds ago parts of prompts were sound, of those of which it is known."""
    known = state.sound_at_by_part
    return {part: at - known[part] for part in parts if part in known}


def on_crashed(state: GatewayState, message: Crashed, at: float, effects: list) -> None:
    """Apply another entry's report, and report what broke off here in the same crash."""
    report = CrashReport(
        message.endpoint,
        message.incarnation,
        message.content,
        message.parts,
        message.has_begun,
        message.has_delivered,
        at - message.age_s,
    )
    apply_sound_ages(state, message.sound_ages_s, at)
    if message.age_s > CRASH_MEMORY_S or not add_report(state, report):
        return
    for part in message.parts:
        known_age = message.sound_ages_s.get(part, float("inf"))
        own_age = at - state.sound_at_by_part.get(part, float("-inf"))
        if own_age < known_age - NOTICE_DIFFERENCE_S:
            schedule_notice(state, part, at)
    endpoint = state.find_run(message.endpoint, message.incarnation)
    if endpoint is not None:
        on_endpoint_crashed(state, endpoint.record, at, effects)


def on_evidence(state: GatewayState, message: CrashEvidence, at: float, effects: list) -> None:
    """Apply the reports because of which another entry refuses something."""
    for crashed in message.crashes:
        on_crashed(state, crashed, at, effects)


def on_parts_sound(state: GatewayState, message: PartsSound, at: float) -> None:
    """Apply that parts of prompts are sound."""
    apply_sound_ages(state, message.ages_s, at)


def apply_sound_ages(state: GatewayState, ages_s: dict[str, float], at: float) -> None:
    """Apply what another entry knows of sound parts; nothing older than known counts."""
    for part, age_s in ages_s.items():
        sound_at = at - age_s
        if sound_at >= state.sound_at_by_part.get(part, 0.0) - NOTICE_DIFFERENCE_S:
            state.sound_notices_due.pop(part, None)
        set_sound(state, part, sound_at)


def set_sound(state: GatewayState, part: str, sound_at: float) -> bool:
    """Record when a response with a part began that went on; return False if one began later."""
    known_at = state.sound_at_by_part.get(part, float("-inf"))
    if sound_at <= known_at:
        return False
    state.sound_at_by_part.pop(part, None)
    state.sound_at_by_part[part] = sound_at
    while len(state.sound_at_by_part) > MAX_SOUND_PARTS:
        del state.sound_at_by_part[next(iter(state.sound_at_by_part))]
    verdict = state.crash_verdict
    if part in verdict.parts or part in verdict.suspected_parts or part in verdict.content_keys:
        state.crash_verdict_due = True
    return True


def record_sound(state: GatewayState, parts: tuple[str, ...], started_at: float, at: float) -> None:
    """Record that a response began with these parts and went on; tell it if one is suspected."""
    verdict = state.crash_verdict
    for part in parts:
        if set_sound(state, part, started_at) and (
            part in verdict.parts or part in verdict.suspected_parts
        ):
            schedule_notice(state, part, at)


def on_answered(state: GatewayState, request: RequestState, at: float) -> None:
    """Record that a request was answered completely."""
    started_at = at if request.attempt_started_at is None else request.attempt_started_at
    record_sound(state, shared_parts(request.prompt), started_at, at)
    if any(report.content == request.content_digest for report in state.crash_reports):
        key = content_key(request.content_digest)
        if set_sound(state, key, started_at):
            schedule_notice(state, key, at)


def record_running(state: GatewayState, at: float) -> None:
    """Record the parts of prompts whose responses go on now."""
    for request in state.requests.values():
        if request.stage is Stage.RUNNING and is_sound(request, at):
            parts = shared_parts(request.prompt)
            record_sound(state, parts, request.attempt_started_at, at)


def schedule_notice(state: GatewayState, part: str, at: float) -> None:
    """Tell all entries soon that a part is sound, unless another entry does."""
    delay_s = state.random.uniform(0.0, MAX_NOTICE_DELAY_S)
    state.sound_notices_due.setdefault(part, at + delay_s)


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Tell which parts are sound, and find out what is refused if something has changed."""
    due_parts = [part for part, due_at in state.sound_notices_due.items() if due_at <= at]
    if due_parts:
        message = PartsSound(sound_ages(state, due_parts, at))
        for part in due_parts:
            del state.sound_notices_due[part]
        tell_others(state, message, effects)
    if state.crash_verdict_due:
        update_verdict(state, at, effects)


def update_verdict(state: GatewayState, at: float, effects: list) -> None:
    """Find out what is refused, and log what has changed."""
    record_running(state, at)
    before = state.crash_verdict
    verdict = state.crash_verdict = find_verdict(state.crash_reports, state.sound_at_by_part, at)
    state.crash_verdict_due = not verdict.is_final
    for kind, was, now in (
        ("content", before.contents, verdict.contents),
        ("part", before.parts, verdict.parts),
    ):
        for name in sorted(now - was):
            reports = reports_about(state, kind, name)
            crashes = len({report.crash for report in reports})
            effects.append(LogChange(f"{kind}-refused", {kind: name, "crashes": crashes}))
            effects.append(Count("suspect_refused", (kind,)))
        for name in sorted(was - now):
            state.crash_trials.pop(suspect_key(kind, name), None)
            effects.append(LogChange(f"{kind}-cleared", {kind: name}))


def reports_about(state: GatewayState, kind: str, name: str) -> list[CrashReport]:
    """Return the reports about a content or a part, latest first."""
    return [
        report
        for report in reversed(state.crash_reports)
        if (report.content == name if kind == "content" else name in report.parts)
    ]


def on_slow_tick(state: GatewayState, at: float, effects: list) -> None:
    """Forget old reports, repeat what is refused, and ask for it after the start."""
    reports = [report for report in state.crash_reports if at - report.at <= CRASH_MEMORY_S]
    if len(reports) < len(state.crash_reports):
        state.crash_reports = reports
        state.crash_verdict_due = True
    for crash, broken in list(state.broken_responses_by_crash.items()):
        if at - broken[-1].at > CRASH_MATCH_S:
            del state.broken_responses_by_crash[crash]
    if state.crash_verdict.parts or state.crash_verdict.suspected_parts:
        record_running(state, at)
    is_learning = at - state.started_at < LEARNING_S
    if is_learning and at - state.crashes_asked_at >= ASK_INTERVAL_S:
        state.crashes_asked_at = at
        for entry in sample_entries(state):
            effects.append(SendPeer(entry, AskCrashes()))
    if at - state.crashes_repeated_at >= REPEAT_INTERVAL_S:
        state.crashes_repeated_at = at
        for entry in sample_entries(state):
            send_evidence(state, entry, at, effects)


def sample_entries(state: GatewayState) -> list[str]:
    """Return some of the other entries at random."""
    others = other_entries(state)
    return state.random.sample(others, min(REPEAT_FANOUT, len(others)))


def send_evidence(state: GatewayState, entry: str, at: float, effects: list) -> None:
    """Send an entry the reports because of which something is refused, if there is anything."""
    verdict: Verdict = state.crash_verdict
    reports: dict[CrashReport, None] = {}
    for kind, names in (("part", verdict.parts), ("content", verdict.contents)):
        for name in sorted(names):
            reports |= dict.fromkeys(choose_evidence(reports_about(state, kind, name)))
    crashes = tuple(build_message(state, report, at) for report in list(reports)[:MAX_EVIDENCE])
    if crashes:
        effects.append(SendPeer(entry, CrashEvidence(crashes)))


def choose_evidence(reports: list[CrashReport]) -> list[CrashReport]:
    """Return those of the reports about a suspect that are told: the heaviest, then the latest."""
    # Those with a begun response weigh more.
    return sorted(reports, key=lambda report: not report.has_begun)[:EVIDENCE_PER_SUSPECT]


def is_refused(
    state: GatewayState, content: str, prompt: Prompt | None, at: float, effects: list
) -> bool:
    """Return whether a request is not run, as its content or a part of it crashed endpoints."""
    if state.crash_verdict_due:
        update_verdict(state, at, effects)
    return content in state.crash_verdict.contents or bool(refused_parts(state, prompt))


def refused_parts(state: GatewayState, prompt: Prompt | None) -> frozenset[str]:
    """Return the parts of a prompt that are refused."""
    refused = state.crash_verdict.parts
    return refused.intersection(shared_parts(prompt)) if refused else refused


def begin_trial(state: GatewayState, content: str, prompt: Prompt | None, at: float) -> bool:
    """Return whether a refused request is sent once, to find out whether its content or part is sound.

    One entry sends the trials of a content or a part.
    """
    suspects = [("part", part) for part in refused_parts(state, prompt)]
    if content in state.crash_verdict.contents:
        suspects.append(("content", content))
    if len(suspects) != 1:
        return False
    ((kind, name),) = suspects
    entries = state.entries or (state.name,)
    if max(entries, key=lambda entry: rendezvous_weight(name, entry)) != state.name:
        return False
    trial_after_s, max_trials = TRIALS_BY_KIND[kind]
    key = suspect_key(kind, name)
    trials, last_trial_at = state.crash_trials.get(key, (0, float("-inf")))
    reports = reports_about(state, kind, name)
    last_crash_at = max(report.at for report in reports)
    if kind == "content":
        trials = max(trials, count_trial_crashes(reports))
    if trials >= max_trials or at - max(last_trial_at, last_crash_at) < trial_after_s * 2**trials:
        return False
    state.crash_trials[key] = trials + 1, at
    return True


def count_trial_crashes(reports: list[CrashReport]) -> int:
    """Return how many crashes of a content came after it was refused: trials of any entry."""
    # There is one report of each crash about a content.
    crashed_at = sorted(report.at for report in reports)
    refused_at = crashed_at[CRASHES_PER_CONTENT - 1]
    return sum(at >= refused_at + CONTENT_TRIAL_AFTER_S / 2 for at in crashed_at)


def retry_after_s(state: GatewayState, at: float) -> float:
    """Return the seconds until the earliest report is forgotten, before which nothing changes."""
    earliest = min((report.at for report in state.crash_reports), default=at - CRASH_MEMORY_S)
    return max(0.0, earliest + CRASH_MEMORY_S - at)
