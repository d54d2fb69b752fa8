"""Who gets memory of an entry and who gives way, on virtual time and without a network."""

import pytest
from attrs import frozen

from poplarhoist.decisions.gateway import memory_budget as mb
from poplarhoist.decisions.gateway.memory_budget import Group, Kind, Phase, Verdict

LARGE = 4194304
SMALL = 65536


def budget(memory_mb: float = 160, max_fds: int = 1024) -> mb.MemoryBudget:
    return mb.create_budget(memory_mb, max_fds)


def connect(state: mb.MemoryBudget, number: int, phase: Phase, at: float = 0.0) -> None:
    assert mb.open_connection(state, number, Group.REQUESTS, at).verdict is Verdict.GRANTED
    mb.begin_phase(state, number, phase, at)


def fill(state: mb.MemoryBudget, phase: Phase, size: int = LARGE) -> list[int]:
    """Let requests of a size arrive until one is refused; return those that got room."""
    granted = []
    for number in range(1, 10_000):
        connect(state, number, phase)
        if mb.ask(state, number, Kind.BODY, size, 0.0).verdict is not Verdict.GRANTED:
            mb.close_connection(state, number)
            return granted
        granted.append(number)
    raise AssertionError("everything found room")


@pytest.mark.parametrize("memory_mb", [32, 96, 160, 300, 552])
def test_largest_request_finds_room_on_every_machine_and_all_stay_within_it(memory_mb):
    state = budget(memory_mb)
    connections_bytes = state.max_connections[Group.REQUESTS] * mb.CONNECTION_BYTES
    if memory_mb > mb.REST_MB + mb.MIN_BUDGET_MB:
        held_bytes = connections_bytes + state.size_bytes
        assert held_bytes + mb.REST_MB * mb.BYTES_PER_MB <= memory_mb * mb.BYTES_PER_MB
    connect(state, 1, Phase.READS_BODY)
    head_bytes = 2400 * mb.HEADER_LINE_BYTES + 16384 * mb.HEADER_COPIES + mb.REQUEST_BYTES
    for kind, count in ((Kind.HEAD, head_bytes), (Kind.BODY, LARGE)):
        assert mb.ask(state, 1, kind, count, 0.0).verdict is Verdict.GRANTED


@frozen
class ShortageCase:
    """What holds all room for large requests, and what becomes of another one later."""

    phase: Phase
    at: float
    verdict: Verdict
    progress_bytes: int = 0


SHORTAGES = {
    "bodies-that-arrive": ShortageCase(Phase.READS_BODY, 0.1, Verdict.REFUSED),
    "bodies-a-byte-short": ShortageCase(Phase.READS_BODY, 1.0, Verdict.LATER),
    "bodies-byte-by-byte": ShortageCase(Phase.READS_BODY, 1.0, Verdict.LATER, 1),
    "bodies-at-a-fair-rate": ShortageCase(Phase.READS_BODY, 1.0, Verdict.REFUSED, SMALL),
    "heads-without-end": ShortageCase(Phase.READS_HEAD, 1.0, Verdict.LATER),
    "responses-not-read": ShortageCase(Phase.SENDS, 1.0, Verdict.LATER),
    "requests-at-endpoints": ShortageCase(Phase.WAITS, 60.0, Verdict.REFUSED),
}


@pytest.mark.parametrize("case", SHORTAGES.values(), ids=SHORTAGES)
def test_what_is_behind_the_least_rate_gives_way_and_nothing_else(case):
    state = budget()
    granted = fill(state, case.phase)
    for number in granted:
        mb.record_progress(state, number, case.progress_bytes, case.at - 0.01)
    connect(state, 0, Phase.READS_BODY, case.at)
    decision = mb.ask(state, 0, Kind.BODY, LARGE, case.at)
    assert decision.verdict is case.verdict
    assert bool(decision.evicted) == (case.verdict is Verdict.LATER)
    assert 0.0 < decision.retry_after_s <= mb.RETRY_AFTER_S


def test_room_of_an_evicted_connection_is_given_away_only_once_it_has_ended():
    state = budget()
    fill(state, Phase.READS_BODY)
    connect(state, 0, Phase.READS_BODY, 1.0)
    (victim,) = mb.ask(state, 0, Kind.BODY, LARGE, 1.0).evicted
    again = mb.ask(state, 0, Kind.BODY, LARGE, 1.0)
    assert (again.verdict, again.evicted) == (Verdict.LATER, ())
    mb.close_connection(state, victim)
    assert mb.ask(state, 0, Kind.BODY, LARGE, 1.0).verdict is Verdict.GRANTED


def test_small_requests_find_room_beside_large_ones():
    state = budget()
    fill(state, Phase.WAITS)
    for number in range(1000, 1100):
        connect(state, number, Phase.READS_BODY)
        assert mb.ask(state, number, Kind.BODY, SMALL, 0.0).verdict is Verdict.GRANTED


def test_small_request_whose_head_is_whole_finds_room_beside_heads_that_grow():
    """They took what is reserved for small requests, and were too young to give way."""
    state = budget()
    for number in range(1, state.max_connections[Group.REQUESTS]):
        connect(state, number, Phase.READS_HEAD)
        for _ in range(8):
            mb.ask(state, number, Kind.HEAD, SMALL // 4, 0.0)
    connect(state, 0, Phase.WAITS)
    decision = mb.ask(state, 0, Kind.HEAD, mb.REQUEST_BYTES, 0.0)
    assert (decision.verdict, len(decision.evicted)) == (Verdict.LATER, 1)


def test_of_chunked_bodies_the_one_that_is_nearest_to_its_end_reaches_it():
    """Otherwise bodies that grow by turns would all be refused halfway."""
    state = budget()
    open_numbers = list(range(1, 41))
    for number in open_numbers:
        connect(state, number, Phase.READS_BODY)
    received = dict.fromkeys(open_numbers, 0)
    while open_numbers and max(received.values()) < LARGE:
        for number in list(open_numbers):
            if state.holdings[number].is_evicted:
                mb.close_connection(state, number)
                open_numbers.remove(number)
                continue
            verdict = mb.ask(state, number, Kind.BODY, SMALL, 0.0).verdict
            if verdict is Verdict.GRANTED:
                received[number] += SMALL
                mb.record_progress(state, number, SMALL, 0.0)
            elif verdict is Verdict.REFUSED:
                mb.close_connection(state, number)
                open_numbers.remove(number)
    assert max(received.values()) == LARGE


CONNECTIONS = {
    "fresh": (Phase.READS_HEAD, 0.05, Verdict.REFUSED),
    "silent": (Phase.READS_HEAD, 1.0, Verdict.LATER),
    "idle": (Phase.IDLE, 0.1, Verdict.LATER),
    "waiting": (Phase.WAITS, 60.0, Verdict.REFUSED),
}


@pytest.mark.parametrize(("phase", "at", "verdict"), CONNECTIONS.values(), ids=CONNECTIONS)
def test_connections_stay_within_the_descriptors(phase, at, verdict):
    state = budget(max_fds=256)
    most = state.max_connections[Group.REQUESTS]
    assert 2 * most + state.max_connections[Group.STATUS] < 256
    for number in range(most):
        connect(state, number, phase)
    decision = mb.open_connection(state, most, Group.REQUESTS, at)
    assert (decision.verdict, len(decision.evicted)) == (verdict, int(verdict is Verdict.LATER))
    assert mb.open_connection(state, most, Group.STATUS, at).verdict is Verdict.GRANTED


def test_nothing_is_left_once_all_connections_have_ended():
    state = budget()
    for number in fill(state, Phase.READS_BODY, 300_000):
        mb.ask(state, number, Kind.HEAD, 10, 0.0)
        mb.close_connection(state, number)
    assert (state.used_bytes, state.large_bytes, state.holdings) == (0, 0, {})
