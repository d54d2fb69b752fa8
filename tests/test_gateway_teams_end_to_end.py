"""A real entry with teams in force: what reaches endpoints, logs and metrics, and who is refused."""

import json
import socket
import time
from urllib.error import HTTPError
from urllib.request import urlopen

from tests.platform_site import PlatformSite, raw_request
from tests.platform_standins import configuration
from tests.standin_server import HOST

# Seconds within which a change of keys must be in force.
CHANGE_DEADLINE_S = 4.0
KEY, OTHER_KEY = b"Secret-of-survey", b"Secret-of-crew"
RELAY_LINES = (b"Relay-Configuration: 1", b"Relay-Possible-Runs: 0")
OPEN_ROUTE = configuration()["routes"][-1] | {"name": "open", "pathPrefix": "/open/"}
# Path, header lines of the caller, status, and the team that the endpoint is told.
CASES = [
    ("/read/x", [b"Api-Key: " + KEY], 200, "survey"),
    ("/read/x", [b"aPI-kEY:\t " + OTHER_KEY + b" \t"], 200, "crew"),
    ("/read/x", [b"API-KEY:" + KEY, b"X-Tenant: crew", b"x-tenant: crew"], 200, "survey"),
    ("/read/x", [b"api-key: " + KEY, b"Connection: Api-Key, X-Tenant"], 200, "survey"),
    ("/read/x", [b"api-key: " + KEY, b"Api_Key: " + KEY, b"X_Tenant: crew"], 200, "survey"),
    ("/read/x", [], 401, None),
    ("/read/x", [b"Api-Key:"], 401, None),
    ("/read/x", [b"Api-Key: Secret"], 401, None),
    ("/read/x", [b"Api-Key: " + KEY.lower()], 401, None),
    ("/read/x", [b"Api-Key: " + KEY, b"api-key: " + KEY], 401, None),
    ("/read/x", [b"Api-Key: " + KEY + b", " + KEY], 401, None),
    # A field that goes on in a second line breaks the grammar of heads.
    ("/read/x", [b"Api-Key: " + KEY, b" " + KEY], 400, None),
    ("/read/x", [b"Api_Key: " + KEY, b"X-Tenant: survey", b"Relay-Team: survey"], 401, None),
    ("/read/x", [*RELAY_LINES, b"Relay-Team: survey"], 401, None),
    ("/none/x", [], 404, None),
    ("/open/x", [], 200, ""),
    ("/open/x", [b"Api-Key: " + KEY], 200, "survey"),
    ("/open/x", [b"Api-Key: Secret", b"X-Tenant: crew"], 200, ""),
    ("/open/x", [b"Api-Key: " + KEY, b"API-KEY: " + OTHER_KEY], 200, ""),
    ("/read/x", [b"", b"Api-Key:" + KEY], 401, None),
]


def put_teams(site: PlatformSite, version: int, **keys_by_team: list[str]) -> None:
    """Put teams with these keys in force, and a route that is open to all."""
    teams = [{"name": name, "apiKeys": keys} for name, keys in keys_by_team.items()]
    routes = configuration(version, OPEN_ROUTE | {"anonymous": True})
    site.store.put("config", "main", routes | {"tenants": teams})


def send(port: int, path: str, lines: list[bytes], version: bytes = b"HTTP/1.1") -> bytes:
    """Send a request with more header lines; return the first bytes of the answer."""
    head = raw_request("GET", path.encode(), "c1", *lines).replace(b"HTTP/1.1", version)
    with socket.create_connection((HOST, port), timeout=5.0) as connection:
        connection.sendall(head)
        return connection.recv(65536)


def status_of(port: int, path: str, *lines: bytes) -> int:
    return int(send(port, path, list(lines))[9:12])


def read(port: int, path: str) -> tuple[int, str]:
    try:
        with urlopen(f"http://{HOST}:{port}{path}") as response:
            return response.status, response.read().decode(errors="replace")
    except HTTPError as error:
        return error.code, ""


def teams_told(site: PlatformSite) -> list[str]:
    """Return what the endpoint was told in each request, and forget it; fails if it got a key."""
    heads, site.endpoints["d1"].heads = site.endpoints["d1"].heads, []
    assert "secret" not in "".join(heads).lower()
    told = [
        [line.partition(":") for line in head.splitlines() if "tenant" in line.lower()]
        for head in heads
    ]
    assert all(len(lines) <= 1 for lines in told), told
    return [lines[0][2].strip() if lines else "" for lines in told]


def test_no_spelling_of_a_key_leaves_the_entry_and_removed_keys_are_refused(site):
    """Endpoints got keys, and ran requests without a known one, or for another team."""
    put_teams(site, 2, survey=[KEY.decode()], crew=[OTHER_KEY.decode()])
    site.wait_until(lambda: len(site.log_lines("configuration")) == 2)
    for path, lines, status, team in CASES:
        for version in (b"HTTP/1.1", b"HTTP/1.0"):
            answer = send(site.port, path, lines, version)
            assert int(answer[9:12]) == status, (path, lines, version)
            assert teams_told(site) == ([] if team is None else [team]), (path, lines, version)
            if status == 401:
                head, _, body = answer.partition(b"\r\n\r\n")
                assert b"retry-after" not in head.lower()
                assert json.loads(body.partition(b"HTTP/")[0])["error"] == "no known key"

    # Only an entry that passes a request on tells the team, and only for entries is the listener.
    assert status_of(site.relay_port, "/read/x", *RELAY_LINES, b"Relay-Team: crew") == 200
    assert status_of(site.relay_port, "/read/x", *RELAY_LINES, b"X-Tenant: crew") == 200
    assert teams_told(site) == ["crew", ""]
    assert read(site.ready_port, "/copies/config?after=0&generation=0")[0] == 404
    assert read(site.inner_port, "/copies/config?after=0&generation=0")[0] == 200

    # The key moves to another team, and is then removed.
    put_teams(site, 3, survey=[], crew=[KEY.decode()])
    time.sleep(CHANGE_DEADLINE_S)
    assert status_of(site.port, "/read/x", b"Api-Key: " + OTHER_KEY) == 401
    assert status_of(site.port, "/read/x", b"Api-Key: " + KEY) == 200
    assert teams_told(site) == ["crew"]
    put_teams(site, 4)
    time.sleep(CHANGE_DEADLINE_S)
    assert status_of(site.port, "/read/x", b"Api-Key: " + KEY) == 401
    assert status_of(site.port, "/open/x", b"Api-Key: " + KEY) == 200
    assert teams_told(site) == [""]
    assert "secret" not in site.log_path.read_text().lower()
    assert "secret" not in read(site.ready_port, "/metrics")[1].lower()
