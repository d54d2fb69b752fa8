"""``poplarhoist-ctl``, run in the test process against a site of separate processes."""

import io
import json

import pytest

from poplarhoist.cli.ctl import main
from poplarhoist.context import Environment
from poplarhoist.decisions.revisions import INDEX_PATH
from poplarhoist.entry.platform import HttpPlatform
from poplarhoist.models import Preset
from poplarhoist.publish import Publisher
from poplarhoist.status import ExitStatus
from tests.site import RunningSite, SiteFile, published_adapter, wait_until

PRESETS = """
[peak]
kind = "peak"
max_wait_s = 4
queue_limit = 64
[maintenance]
kind = "maintenance"
spare_loads = 0.5
"""


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp("ctl")
    site = RunningSite(SiteFile(folder / "site.toml"))
    (folder / "presets.toml").write_text(PRESETS)
    site.start()
    yield site
    site.stop()


class CtlResult:
    """Exit status and output of one run of the tool."""

    def __init__(self, settings, *args: str, stdin: str = "") -> None:
        out, err = io.StringIO(), io.StringIO()
        env = Environment(io.StringIO(stdin), out, err, variables={"POPLARHOIST_OPERATOR": "me"})
        self.status = main([*args, "--settings", str(settings)], env)
        self.out, self.err = out.getvalue(), err.getvalue()

    @property
    def json(self):
        return json.loads(self.out)


def run_ctl(site, *args: str, stdin: str = "") -> CtlResult:
    return CtlResult(site.file.path, *args, stdin=stdin)


def test_a_change_is_accepted_and_in_force_on_every_entry(site):
    created = run_ctl(site, "adapter", "create", "letters", "--base", "base", "--wait-s", "6")
    assert created.status == ExitStatus.OK, created.err
    assert "in force on 2 of 2 entries" in created.out
    result = run_ctl(site, "version", "publish", "letters", "2", "--wait-s", "6", "--json")
    assert (result.json["in_force"], result.json["behind"]) == (2, [])
    shown = run_ctl(site, "adapter", "show", "letters", "--json").json
    assert (shown["current"], shown["versions"]) == (2, {"2": "published"})
    run_ctl(site, "version", "publish", "letters", "3")
    run_ctl(site, "version", "withdraw", "letters", "3", "--wait-s", "6")
    shown = run_ctl(site, "adapter", "show", "letters", "--json").json
    assert (shown["current"], shown["versions"]["3"]) == (2, "withdrawn")
    names = [row["name"] for row in run_ctl(site, "adapter", "list", "--json").json]
    assert {"letters", "plans"} <= set(names)


@pytest.mark.parametrize(
    ("text", "status", "message"),
    [
        ('[m1]\nbase = "base"\nversion = 4\n["m.2"]\nbase = "base"', ExitStatus.OK, "accepted"),
        ('[m1]\nbase = "base"\nversion = 5', ExitStatus.OK, "accepted"),
        ('[m1]\nbase = "other"', ExitStatus.CONFLICT, "exists already for base model base"),
        ("[m3]\nversion = -1", ExitStatus.USAGE, "missing key @ base of m3"),
        ("m3 = 1", ExitStatus.USAGE, "expected a table, got 1 @ m3"),
        ("", ExitStatus.USAGE, "expected tables, found none"),
    ],
)
def test_import_applies_many_adapters_in_one_change(site, tmp_path, text, status, message):
    file = tmp_path / "adapters.toml"
    file.write_text('[m1]\nbase = "base"\nversion = 4')
    assert run_ctl(site, "adapter", "import", str(file)).status == ExitStatus.OK
    file.write_text(text)
    result = run_ctl(site, "adapter", "import", str(file))
    assert result.status == status, result.err
    assert message in result.out + result.err
    if status is ExitStatus.OK:
        assert run_ctl(site, "adapter", "show", "m1", "--json").json["current"] >= 4


@pytest.mark.parametrize("arguments", [("--token", "secret-of-crew"), ()])
def test_only_the_digest_of_a_token_is_kept(site, arguments):
    token = "secret-of-crew"
    put = run_ctl(site, "caller", "put", "crew", "--wait-s", "6", *arguments, stdin=token + "\n")
    assert put.status == ExitStatus.OK, put.err
    listed = run_ctl(site, "caller", "list", "--json")
    assert {"name": "crew", "priority": 0} in listed.json
    assert token not in listed.out + put.out
    response = site.send_request(
        "entry-1", "/v1/models", method="GET", Authorization=f"Bearer {token}"
    )
    assert response.status == 200
    assert run_ctl(site, "caller", "remove", "crew", "--wait-s", "6").status == ExitStatus.OK
    response = site.send_request(
        "entry-1", "/v1/models", method="GET", Authorization=f"Bearer {token}"
    )
    assert response.status == 401


def test_exactly_one_preset_is_in_force(site):
    file = site.file.path.parent / "presets.toml"
    assert run_ctl(site, "preset", "put", "--file", str(file)).status == ExitStatus.OK
    result = run_ctl(site, "preset", "put", "peak", "--set", "max_wait_s=5", 'warm=["plans"]')
    assert result.status == ExitStatus.OK, result.err
    peak = run_ctl(site, "preset", "show", "peak", "--json").json
    assert (peak["kind"], peak["max_wait_s"], peak["queue_limit"], peak["warm"]) == (
        "peak",
        5.0,
        64,
        ["plans"],
    )
    for name in ("peak", "maintenance", "ordinary"):
        assert run_ctl(site, "preset", "use", name, "--wait-s", "6").status == ExitStatus.OK
        rows = run_ctl(site, "preset", "list", "--json").json
        assert [row["name"] for row in rows if row["in_force"] == "yes"] == [name]
        assert {site.read_status(entry)["preset"] for entry in site.file.entry_ports} == {name}


@pytest.mark.parametrize(
    ("args", "status", "text"),
    [
        (("adapter", "create", "plans", "--base", "base"), ExitStatus.CONFLICT, "exists already"),
        (("adapter", "show", "nothing"), ExitStatus.NOT_FOUND, "no such adapter"),
        (("version", "publish", "nothing", "1"), ExitStatus.NOT_FOUND, "no such adapter"),
        (("version", "publish", "plans", "0"), ExitStatus.USAGE, "expected 1 or more, got 0"),
        (("version", "publish", "plans", "x"), ExitStatus.USAGE, "invalid int value"),
        (("version", "withdraw", "plans", "9"), ExitStatus.NOT_FOUND, "no such version"),
        (("caller", "put", "crew"), ExitStatus.USAGE, "expected a token"),
        (("caller", "remove", "nobody"), ExitStatus.NOT_FOUND, "no such caller"),
        (("preset", "use", "sunday"), ExitStatus.NOT_FOUND, "there are"),
        (("preset", "put"), ExitStatus.USAGE, "expected the name of a preset"),
        (("preset", "put", "x", "--set", "spare_loads=2"), ExitStatus.USAGE, "expected 0 to 1"),
        (("preset", "put", "x", "--set", "colour=2"), ExitStatus.USAGE, "unknown key"),
        (("preset", "put", "x", "--set", "kind='feast'"), ExitStatus.USAGE, "expected one of"),
        (("preset", "put", "x", "--set", "max_wait_s"), ExitStatus.USAGE, "in TOML"),
        (("drain", "entry-9"), ExitStatus.NOT_FOUND, "expected one of entry-1, entry-2"),
        (("feast",), ExitStatus.USAGE, "invalid choice"),
    ],
)
def test_a_rejected_command_reports_a_specific_exit_status(site, args, status, text):
    before = run_ctl(site, "preset", "list").out
    result = run_ctl(site, *args)
    assert result.status == status
    assert text in result.err
    assert run_ctl(site, "preset", "list").out == before


@pytest.mark.parametrize(
    ("args", "status", "text"),
    [
        (("plans", "--caller", "family"), ExitStatus.OK, "plans@1"),
        (("plans@7", "--caller", "family"), ExitStatus.REFUSED, "refused: unknown-version"),
        (("plans", "--caller", "nobody"), ExitStatus.REFUSED, "refused: unknown-caller"),
        (("nothing", "--caller", "family"), ExitStatus.REFUSED, "refused: unknown-adapter"),
    ],
)
def test_explain_reports_the_routing_decision(site, args, status, text):
    result = run_ctl(site, "explain", *args)
    assert result.status == status, result.err
    assert text in result.out


def test_explain_names_an_engine_with_a_grant(site):
    assert site.request_completion("entry-1").read()
    explain_args = ("explain", "plans", "--caller", "family", "--entry", "entry-1", "--json")
    result = run_ctl(site, *explain_args)
    assert result.status == ExitStatus.OK, result.err
    explanation = result.json
    assert explanation["verdict"] == "dispatched"
    granted = [row["endpoint"] for row in explanation["candidates"] if row["granted"]]
    assert explanation["endpoint"] in granted
    assert site.read_status("entry-1")["requests"] == 0


def test_status_and_endpoint_list_describe_the_site(site):
    site.send_request("entry-1", "/v1/completions", {"model": "none", "prompt": "x"}).read()
    status_by_entry = run_ctl(site, "status", "--json").json
    assert status_by_entry["entry-1"]["refused"]["unknown-adapter"] >= 1
    leads = [name for name, entry in status_by_entry.items() if "base" in entry["leads"]]
    assert len(leads) == 1
    assert leads[0] in run_ctl(site, "status").out
    rows = run_ctl(site, "endpoint", "list", "--json").json
    assert {row["endpoint"]: row["kind"] for row in rows} == {
        "engine-1": "engine",
        "engine-2": "engine",
        "booking-1": "service",
    }


def test_entries_log_state_changes_as_json(site):
    for _ in range(3):
        assert site.request_completion("entry-1").read()
    for name in site.file.entry_ports:
        text = site.file.path.with_suffix(f".{name}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        assert {line["entry"] for line in lines} == {name}
        events = {line["event"] for line in lines}
        assert "endpoint-listed" in events
        assert len(lines) < 60


def test_a_change_with_a_lost_response_is_applied_once(site):
    before = run_ctl(site, "preset", "use", "ordinary", "--json").json["accepted"]
    site.set_faults("platform", "/control/faults", lose_answers=1, lose_below=INDEX_PATH)
    result = run_ctl(site, "preset", "use", "ordinary", "--json")
    assert result.status == ExitStatus.OK, result.err
    assert result.json["accepted"] == before + 1
    assert run_ctl(site, "preset", "use", "ordinary", "--json").json["accepted"] == before + 2


def test_a_change_with_an_unknown_result_is_reported_as_unsettled(site, monkeypatch):
    put = HttpPlatform.put

    def put_before_an_outage(platform, path, value, expect):
        result = put(platform, path, value, expect)
        site.set_faults("platform", "/control/faults", outage=path == INDEX_PATH)
        return result

    site.set_faults("platform", "/control/faults", lose_answers=1, lose_below=INDEX_PATH)
    monkeypatch.setattr(HttpPlatform, "put", put_before_an_outage)
    result = run_ctl(site, "preset", "use", "ordinary")
    site.set_faults("platform", "/control/faults", outage=False)
    assert result.status == ExitStatus.UNSETTLED
    assert "not known" in result.err
    assert "accepted as" not in result.out


def inject_rival_change(monkeypatch, change) -> None:
    """Apply another operator's change just before the next swap of the index."""
    build_index = Publisher.build_index

    def new_index_after_rival(publisher, draft, change_id):
        index = build_index(publisher, draft, change_id)
        monkeypatch.setattr(Publisher, "build_index", build_index)
        Publisher(publisher.platform, "rival").apply_change(change)
        return index

    monkeypatch.setattr(Publisher, "build_index", new_index_after_rival)


def test_a_preset_conflict_names_the_winner(site, monkeypatch):
    def use_rivals(draft) -> None:
        draft.put_preset(Preset("rivals"))
        draft.select_preset("rivals")

    inject_rival_change(monkeypatch, use_rivals)
    result = run_ctl(site, "preset", "use", "ordinary")
    assert result.status == ExitStatus.CONFLICT
    assert "rival won with revision" in result.err
    assert run_ctl(site, "preset", "show", "--json").json["name"] == "rivals"
    assert run_ctl(site, "preset", "use", "ordinary").status == ExitStatus.OK


def test_a_version_conflict_names_the_winner(site, monkeypatch):
    inject_rival_change(
        monkeypatch, lambda draft: draft.put_adapter(published_adapter("plans", 1, 2))
    )
    result = run_ctl(site, "version", "publish", "plans", "3")
    assert result.status == ExitStatus.CONFLICT
    assert "rival won with revision" in result.err
    assert run_ctl(site, "adapter", "show", "plans", "--json").json["current"] == 2


def test_concurrent_changes_of_different_objects_are_both_applied(site, monkeypatch):
    inject_rival_change(
        monkeypatch, lambda draft: draft.put_adapter(published_adapter("others", 1))
    )
    assert run_ctl(site, "preset", "put", "mine", "--set", "max_wait_s=3").status == ExitStatus.OK
    assert run_ctl(site, "adapter", "show", "others").status == ExitStatus.OK
    assert run_ctl(site, "preset", "show", "mine", "--json").json["max_wait_s"] == 3.0


@pytest.mark.parametrize("fault", [{"outage": True}, {"calls_per_s": 0.001}])
def test_no_change_is_accepted_without_the_platform(site, fault):
    site.set_faults("platform", "/control/faults", **fault)
    refused = run_ctl(site, "preset", "use", "ordinary")
    site.set_faults("platform", "/control/faults", outage=False, calls_per_s=0.0)
    assert refused.status == ExitStatus.UNAVAILABLE
    assert "accepted" not in refused.out


def test_drain_waits_until_the_entry_has_stopped(running_site):
    site = running_site(entries=2, engines=1)
    assert site.request_completion("entry-2").read()
    result = run_ctl(site, "drain", "entry-1", "--wait-s", "15")
    assert (result.status, result.out) == (ExitStatus.OK, "entry-1 has stopped\n")
    assert site.processes["entry-1"].wait(timeout=5) == 0
    timed_out = run_ctl(site, "preset", "use", "ordinary", "--wait-s", "0.5")
    assert timed_out.status == ExitStatus.TIMEOUT
    assert "in force on 1 of 2 entries; not on entry-1" in timed_out.out
    wait_until(lambda: run_ctl(site, "status").status == ExitStatus.UNAVAILABLE)
