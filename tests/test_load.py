"""Checks of the load generator, and open-loop load and overhead on a small real site."""

import json

import pytest

from poplarhoist.load.caller import CallOutcome, check_stream, is_correct_answer
from poplarhoist.load.measures import Measures
from poplarhoist.load.openloop import Booking, add_booking_measures
from tests.site import TOKEN, published_adapter

ADAPTERS = 12


def make_tokens(adapter, version, count):
    return [f" {adapter}@{version}:{index}" for index in range(count)]


@pytest.mark.parametrize(
    ("texts", "asked", "right"),
    [
        (make_tokens("a", 1, 3), "a", True),
        (make_tokens("a", 2, 3), "a@2", True),
        (make_tokens("a", 1, 3), "a@2", False),
        (make_tokens("b", 1, 3), "a", False),
        (make_tokens("a", 1, 2), "a", False),
        (make_tokens("a", 1, 2) + [" a@2:2"], "a", False),
        ([" a@1:0", " a@1:2", " a@1:1"], "a", False),
        (make_tokens("a", 1, 2) + ["?"], "a", False),
    ],
)
def test_every_token_of_an_answer_is_checked(texts, asked, right):
    assert is_correct_answer(texts, asked, 3) is right


@pytest.mark.parametrize(
    ("data", "complete", "wrong", "refused"),
    [
        (b'data: {"choices":[{"text":" a@1:0"}]}\n\ndata: [DONE]\n\n', True, False, ""),
        (b'data: {"choices":[{"text":" b@1:0"}]}\n\ndata: [DONE]\n\n', False, True, ""),
        (b'data: {"choices":[{"text":" a@1:0"}]}\n\n', False, False, ""),
        (b'event: error\ndata: {"error":{"reason":"lost"}}\n\n', False, False, "lost"),
        (b"", False, False, ""),
    ],
)
def test_the_end_of_a_stream_decides_its_outcome(data, complete, wrong, refused):
    outcome = CallOutcome(0.0)
    check_stream(outcome, data, "a", 1)
    assert (outcome.complete, outcome.wrong, outcome.refused) == (complete, wrong, refused)


@pytest.mark.parametrize(
    ("complete", "not_run", "runs", "found"),
    [
        (True, False, 1, (0, 0, 0)),
        (True, False, 2, (0, 0, 1)),
        (True, False, 0, (0, 1, 0)),
        (False, True, 0, (0, 0, 0)),
        (False, True, 1, (1, 0, 0)),
        (False, False, 1, (0, 0, 0)),
    ],
)
def test_a_booking_is_checked_against_the_runs_of_the_service(complete, not_run, runs, found):
    refused = "" if complete else "run-not-recorded"
    outcome = CallOutcome(0.0, complete=complete, refused=refused, not_run=not_run)
    measures = Measures("site", "trace", "policy")
    add_booking_measures(measures, [Booking("key", outcome)], {"key": runs})
    assert (measures.wrong, measures.lost, measures.doubled) == found


def test_load_on_a_real_site_reports_no_wrong_doubled_or_lost_calls(running_site, tmp_path):
    site = running_site(entries=2, engines=2, slots=4)

    def edit(draft):
        for number in range(ADAPTERS):
            draft.put_adapter(published_adapter(f"a{number:02}", 1))

    site.publish(edit)
    out, png = tmp_path / "load.json", tmp_path / "load.png"
    options = ["--settings", str(site.file.path), "--token", TOKEN, "--trace", "restart"]
    options += ["--rate", "10", "--tokens", "16", "--warm-up-s", "2", "--seconds", "6"]
    options += ["--bookings", "3", "--out", str(out), "--png", str(png)]
    assert site.spawn("load", "load", "run", *options).wait(timeout=90) == 0
    (found,) = json.loads(out.read_text())
    assert found["asked"] == found["answered"] + sum(found["refused"].values())
    assert found["asked"] > 30 and found["booked"] > 5
    assert (found["wrong"], found["lost"], found["doubled"]) == (0, 0, 0)
    assert found["stalled"] > 0 and found["loads"] > 0
    assert 0.0 < found["batch_efficiency"] <= 1.0
    assert png.read_bytes().startswith(b"\x89PNG")


def test_overhead_of_a_real_entry_is_measured(running_site, tmp_path):
    site = running_site(entries=1, engines=1, batch=64)
    out = tmp_path / "overhead.json"
    options = ["--settings", str(site.file.path), "--token", TOKEN, "--out", str(out)]
    options += ["--pid", str(site.processes["entry-1"].pid)]
    options += ["--seconds", "1", "--stream-tokens", "20"]
    assert site.spawn("load", "load", "overhead", *options).wait(timeout=90) == 0
    found = {figure["name"]: figure["value"] for figure in json.loads(out.read_text())}
    assert 0.0 < found["ratio"] < 1.0
    assert found["model call, added at 50"] > 0.0
    assert found["streams cut"] == 0
    assert found["processor of a chunk"] > 0.0
    assert found["resident memory at 1 adapters"] > 0.0
