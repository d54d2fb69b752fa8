"""Requests through separate processes: operators' tool, entries, engines and a service."""

import json

import pytest

from tests.site import TOKEN, RunningSite, SiteFile, wait_until


def test_requests_of_adapters_and_services_reach_their_endpoints(running_site):
    """An adapter created by an operator is loaded on demand; each booking runs once."""
    site = running_site(entries=2, engines=3)
    site.run_ctl("adapter", "create", "drafts", "--base", "base", "--wait-s", "6")
    site.run_ctl("version", "publish", "drafts", "3", "--wait-s", "6")
    for entry in ("entry-1", "entry-2"):
        answer = site.request_completion(entry, "drafts", tokens=5, stream=True)
        text = answer.read().decode()
        assert answer.status == 200, text
        events = [line.removeprefix("data: ") for line in text.split("\n\n") if line]
        assert events[-1] == "[DONE]"
        words = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
        assert words == [f" drafts@3:{index}" for index in range(5)]
        booked = site.send_request(
            entry, "/services/booking/book", {"crew": 1}, Idempotency_Key=entry
        )
        assert booked.status == 201, booked.read()
        assert booked.json()["run"] == 1
    assert site.read_state("booking-1")["runs_by_key"] == {"entry-1": 1, "entry-2": 1}
    loaded = [site.read_state(name)["slots"] for name in site.file.engine_ports]
    assert {"drafts@3": "resident"} in loaded


@pytest.mark.parametrize(
    ("model", "token", "status", "reason"),
    [
        ("plans", "somebody else", 401, "unknown-caller"),
        ("nothing", TOKEN, 404, "unknown-adapter"),
        ("plans@9", TOKEN, 404, "unknown-version"),
    ],
)
def test_requests_refused_at_admission(running_site, model, token, status, reason):
    site = running_site(entries=1, engines=1)
    body = {"model": model, "prompt": "x"}
    answer = site.send_request("entry-1", "/v1/completions", body, Authorization=f"Bearer {token}")
    assert answer.status == status
    problem = answer.json()
    assert (problem["reason"], problem["ran"]) == (reason, "no")


def test_stand_ins_in_one_process(tmp_path):
    site = RunningSite(SiteFile(tmp_path / "one.toml", entries=1))
    try:
        site.spawn("stand-ins", "standin", "site", "--settings", str(site.file.path))
        wait_until(lambda: site.responds_ok(site.file.platform_port, "/control/state"))
        site.configure()
        site.start_entry("entry-1")
        site.wait_ready("entry-1")
        assert site.request_completion("entry-1").status == 200
        booked = site.send_request("entry-1", "/services/booking/book", {}, Idempotency_Key="k")
        assert booked.json()["run"] == 1
    finally:
        site.stop()
