"""UNASKED: a request that is hidden in the body of another one runs at a server."""

import os
import socket
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_3 import Desk, EngineHandler, Site  # noqa: E402

REQUESTS = 10
HIDDEN = "hidden"


class WatchedDesk(Desk):
    """A server that keeps what it ran.

    Attributes
    ----------
    requests : list
        Of each request, at any of them: method, path, id and body.
    """

    requests: list[tuple[str, str, str, bytes]] = []

    def run(self, handler: EngineHandler, body: bytes) -> None:
        """Serve a request, and keep it."""
        self.requests.append(
            (handler.command, handler.path, handler.headers.get("X-Request-Id", ""), bytes(body))
        )
        super().run(handler, body)


def hidden_request(number: int) -> bytes:
    """Return the body of a booking, whose text is a request."""
    lines = [
        "POST /book/other HTTP/1.1",
        "Host: ramps.example",
        f"X-Request-Id: {HIDDEN}-{number}",
        "X-Deadline-Ms: 1500",
        "Content-Length: 0",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def book(site: Site, number: int, line_end: bytes) -> bytes:
    """Send a booking; a header line before the length ends with `line_end`. Return the answer."""
    entry, body = site.entries[0], hidden_request(number)
    head = b"POST /book/a HTTP/1.1\r\nHost: ramps.example\r\n"
    head += b"X-Request-Id: book-%d\r\nX-Deadline-Ms: 1500\r\n" % number
    head += b"X-Note: ring twice" + line_end + b"Content-Length: %d\r\n\r\n" % len(body)
    site.record.add(f"consumer sends {head + body!r}")
    answer = b""
    with socket.create_connection((entry.host, entry.port), timeout=3.0) as connection:
        connection.sendall(head + body)
        connection.settimeout(0.6)
        try:
            while data := connection.recv(65536):
                answer += data
        except OSError:
            # The connection stays open, and nothing more comes.
            pass
    site.record.add(f"consumer gets {answer!r}")
    return answer


def main() -> int:
    """Play the case; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with Site(CASE) as site:
        record, store = site.record, site.store
        for number in range(1, 3):
            WatchedDesk(store, record, f"i-d{number}", "amman-a", 0.045)
        if not site.start_entries(("amman-a",)):
            print("the entry did not get ready")
            return 2
        time.sleep(1.0)
        calm = book(site, 0, b"\r\n")
        if not calm.startswith(b"HTTP/1.1 200 "):
            print("a sound booking was not served in calm")
            return 2
        line_end = b"\r\r\n" if has_trouble else b"\r\n"
        for number in range(1, REQUESTS + 1):
            book(site, number, line_end)
        smuggled = [one for one in WatchedDesk.requests if one[2].startswith(HIDDEN)]
        changed = [
            one
            for one in WatchedDesk.requests
            if one[2].startswith("book-") and one[3] != hidden_request(int(one[2][5:]))
        ]
        for method, path, request_id, _ in smuggled:
            record.add(f"BROKEN a server ran {method} {path} {request_id}, which nobody sent")
        for method, path, request_id, body in changed:
            record.add(f"BROKEN a server ran {method} {path} {request_id} with the body {body!r}")
        print(
            f"{REQUESTS + 1} bookings sent; {len(WatchedDesk.requests)} requests run, of which "
            f"{len(smuggled)} were hidden in others and {len(changed)} had another body"
        )
        return 1 if smuggled or changed else 0


if __name__ == "__main__":
    sys.exit(main())
