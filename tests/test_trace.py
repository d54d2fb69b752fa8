"""``poplarhoist-ctl trace``: the events of a request in the log files of several entries."""

import io
import json

import pytest

from poplarhoist.cli.ctl import main
from poplarhoist.context import Environment
from poplarhoist.status import ExitStatus


def log_line(second: float, entry: str, event: str, **fields) -> str:
    timestamp = f"2026-12-04T02:00:{second:06.3f}+00:00"
    return json.dumps({"timestamp": timestamp, "entry": entry, "event": event, **fields})


FRONT_1_LINES = (
    log_line(1.0, "front-1", "lead-begun", engine="e1", epoch=2),
    log_line(9.0, "front-1", "order", engine="e1", adapter="base/a1", warm=False),
    log_line(9.1, "front-1", "order", engine="e7", adapter="base/a9", warm=False),
    log_line(9.5, "front-1", "answered", request="8", caller_id="other", endpoint="e1"),
)
FRONT_2_LINES = (
    log_line(
        8.9, "front-2", "waits", request="41", caller_id="c0ffee", engine="e1", lead="front-1"
    ),
    log_line(8.8, "front-2", "store-lost", reason="away"),
    log_line(9.3, "front-2", "sent", request="41", caller_id="c0ffee", endpoint="e1", waited_s=0.4),
    log_line(
        10.2, "front-2", "answered", request="41", caller_id="c0ffee", endpoint="e1", late=True
    ),
    log_line(11.0, "front-2", "endpoint-gone", endpoint="e1"),
    "not a line of ours",
)


@pytest.fixture
def logs(tmp_path):
    paths = []
    for name, lines in (("front-1.log", FRONT_1_LINES), ("front-2.log", FRONT_2_LINES)):
        path = tmp_path / name
        path.write_text("\n".join(lines) + "\n")
        paths.append(str(path))
    return paths


def run_trace(*args: str) -> tuple[ExitStatus, str, str]:
    out, err = io.StringIO(), io.StringIO()
    status = main(["trace", *args], Environment(io.StringIO(), out, err, variables={}))
    return status, out.getvalue(), err.getvalue()


def test_trace_includes_events_of_the_engine_and_the_entry(logs):
    status, out, _ = run_trace("c0ffee", "--logs", *logs)
    assert status == ExitStatus.OK
    rows = out.splitlines()
    events = [row.split()[-1] if "=" not in row else row.split("=")[0].split()[-2] for row in rows]
    assert events[:5] == ["store-lost", "waits", "order", "sent", "answered"]
    assert rows[0].startswith("  -0.100 s   front-2")
    assert rows[1].startswith("   0.000 s * front-2")
    assert "warm=False" in rows[2]
    assert rows[5:] == ["1 lines could not be read"]


def test_json_output_returns_the_log_lines_unchanged(logs):
    status, out, _ = run_trace("c0ffee", "--json", "--logs", *logs)
    assert status == ExitStatus.OK
    assert [row["event"] for row in json.loads(out)] == [
        "store-lost",
        "waits",
        "order",
        "sent",
        "answered",
    ]


@pytest.mark.parametrize(
    ("request_id", "missing", "status", "text"),
    [
        (
            "nobody",
            False,
            ExitStatus.NOT_FOUND,
            "trace-request nobody: no log line has this request id",
        ),
        ("c0ffee", True, ExitStatus.USAGE, "No such file"),
    ],
)
def test_an_unknown_request_or_a_missing_file_is_an_error(
    logs, tmp_path, request_id, missing, status, text
):
    paths = [*logs, str(tmp_path / "none.log")] if missing else logs
    actual_status, out, err = run_trace(request_id, "--logs", *paths)
    assert (actual_status, out) == (status, "")
    assert err.startswith("poplarhoist-ctl: error: ")
    assert text in err
