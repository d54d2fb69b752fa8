"""Requests of callers of which a part does not end, or whose framing is unclear."""

import socket
import time

from attrs import frozen

from tests.standin_server import HOST
from tests.test_malformed_heads import MALFORMED_FIELDS

HEAD = b"POST %s HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: endless\r\nX-Deadline-Ms: 4000\r\n"
# Lines that a request of another entry has besides.
RELAY_LINES = b"Relay-Configuration: 1\r\nRelay-Possible-Runs: 0\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Part of a request that does not end: what comes before, and the piece that is repeated.
ENDLESS_PARTS = {
    "chunk-size": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"4;", b"a"),
    "chunk-end": (CHUNKED + b"4\r\nplan", b"a"),
    "trailer": (CHUNKED + b"4\r\nplan\r\n0\r\nX-A: ", b"a"),
    "trailers": (CHUNKED + b"4\r\nplan\r\n0\r\n", b"X-A: aaaaaaaa\r\n"),
    "chunks": (CHUNKED, b"4\r\nplan\r\n"),
    "head-line": (b"X-A: ", b"a"),
    "headers": (b"", b"X-A: aaaaaaaa\r\n"),
}
# Requests whose body has no clear length; each would hide a second request behind it from one of
# two readers that take the length differently.
HIDDEN = b"GET /read/hidden HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: hidden\r\n\r\n"
BAD_REQUESTS = {
    "length-negative": b"Content-Length: -4\r\n\r\nplan",
    "length-signed": b"Content-Length: +4\r\n\r\nplan",
    "length-no-number": b"Content-Length: four\r\n\r\nplan",
    "length-underscore": b"Content-Length: 0_4\r\n\r\nplan",
    "length-empty": b"Content-Length:\r\n\r\nplan",
    "length-absurd": b"Content-Length: 99999999999999999999\r\n\r\nplan",
    "lengths-conflict": b"Content-Length: 4\r\nContent-Length: 8\r\n\r\nplanplan",
    "lengths-listed": b"Content-Length: 4, 8\r\n\r\nplanplan",
    "length-and-chunked": b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n",
    "coding-unknown": b"Transfer-Encoding: gzip\r\n\r\nplan",
    "coding-twice": b"Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n",
    "coding-repeated": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "chunk-size-negative": CHUNKED + b"-4\r\nplan\r\n0\r\n\r\n",
    "chunk-size-signed": CHUNKED + b"+4\r\nplan\r\n0\r\n\r\n",
    "chunk-size-prefixed": CHUNKED + b"0x4\r\nplan\r\n0\r\n\r\n",
    "chunk-size-underscore": CHUNKED + b"0_4\r\nplan\r\n0\r\n\r\n",
    "chunk-size-no-number": CHUNKED + b"plan\r\nplan\r\n0\r\n\r\n",
    "chunk-size-empty": CHUNKED + b"\r\nplan\r\n0\r\n\r\n",
    "chunk-size-absurd": CHUNKED + b"ffffffffffffffffffff\r\nplan",
    "chunk-size-bare-line-feed": CHUNKED + b"4\nplan\r\n0\r\n\r\n",
    "chunk-without-end": CHUNKED + b"4\r\nplan0000\r\n0\r\n\r\n",
    "head-bare-line-feed": b"X-A: a\nContent-Length: 4\r\n\r\nplan",
    "space-before-colon": b"Content-Length : 4\r\n\r\nplan",
    **{
        f"field-{name}": line + b"Content-Length: 4\r\n\r\nplan"
        for name, line in MALFORMED_FIELDS.items()
    },
    **{
        f"field-{name}": b"X-A: a%bContent-Length: 4\r\n\r\nplan" % line_end
        for name, line_end in {
            "carriage-return-within": b"b\rX-B: c\r\n",
            "carriage-returns-within": b"\r\rb\r\n",
            "folded": b"\r\n b\r\n",
            "folded-carriage-return": b"\r\n b\r\r\n",
            "null": b"\x00\r\n",
            "vertical-tab": b"\x0b\r\n",
        }.items()
    },
    **{
        f"coding-{name}": b"Transfer-Encoding: %b\r\n\r\n4\r\nplan\r\n0\r\n\r\n" % coding
        for name, coding in {
            "vertical-tab": b"\x0bchunked",
            "form-feed": b"chunked\x0c",
            "file-separator": b"\x1cchunked",
            "next-line": b"chunked\x85",
            "no-break-space": b"\xa0chunked",
            "empty-list": b",chunked",
        }.items()
    },
    "length-next-line": b"Content-Length: 4\x85\r\n\r\nplan",
    "length-no-break-space": b"Content-Length: \xa04\r\n\r\nplan",
    "chunk-size-blank-first": CHUNKED + b" 4\r\nplan\r\n0\r\n\r\n",
    "chunk-size-carriage-return": CHUNKED + b"4\r\r\nplan\r\n0\r\n\r\n",
    "chunk-extension-carriage-return": CHUNKED + b"4;a\rb\r\nplan\r\n0\r\n\r\n",
    "chunk-extension-null": CHUNKED + b"4;\x00\r\nplan\r\n0\r\n\r\n",
    **{
        f"trailer-{name}": CHUNKED + b"4\r\nplan\r\n0\r\n" + line + b"\r\n"
        for name, line in MALFORMED_FIELDS.items()
    },
    **{
        f"repeated-{name.lower()}": b"%b: 4\r\n%b: 5\r\nContent-Length: 4\r\n\r\nplan"
        % (name.encode(), name.encode())
        for name in (
            "Content-Type",
            "Last-Event-Id",
            "Resumes",
            "X-Length-Hint",
            "X-Model",
            "X-Prompt-Prefix",
            "X-Token-Usage",
        )
    },
    # These are in the first lines already.
    **{
        f"repeated-{name.lower()}": b"%b: 4\r\nContent-Length: 4\r\n\r\nplan" % name.encode()
        for name in ("Host", "X-Request-Id", "x-deadline-ms", "X_Request_Id")
    },
}
# First lines that begin no request.
MALFORMED_REQUEST_LINES = {
    "blank-first": b" POST /once/x HTTP/1.1\r\n",
    "blank-last": b"POST /once/x HTTP/1.1 \r\n",
    "two-blanks": b"POST  /once/x HTTP/1.1\r\n",
    "tab": b"POST\t/once/x HTTP/1.1\r\n",
    "vertical-tab": b"POST /once/x\x0bHTTP/1.1\r\n",
    "no-break-space": b"POST /once/x\xa0HTTP/1.1\r\n",
    "fragment": b"POST /once/x#a HTTP/1.1\r\n",
    "carriage-return-last": b"POST /once/x HTTP/1.1\r\r\n",
    "carriage-return-within": b"POST /once/x\r HTTP/1.1\r\n",
    "carriage-return-first": b"\rPOST /once/x HTTP/1.1\r\n",
    "line-feed-alone": b"POST /once/x HTTP/1.1\n",
    "method-no-token": b"PO(ST /once/x HTTP/1.1\r\n",
    "version-lower-case": b"POST /once/x http/1.1\r\n",
    "version-longer": b"POST /once/x HTTP/1.10\r\n",
    "version-zeros": b"POST /once/x HTTP/01.1\r\n",
    "version-0.9": b"POST /once/x HTTP/0.9\r\n",
    "version-missing": b"GET /once/x\r\n",
}
# Unusual requests that are whole, and their bodies.
SOUND_REQUESTS = {
    "lengths-agree": (b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nplan", b"plan"),
    "chunk-size-padded": (CHUNKED + b"0004\r\nplan\r\n000\r\n\r\n", b"plan"),
    "chunk-size-with-many-zeros": (
        CHUNKED + b"0" * 20 + b"4\r\nplan\r\n" + b"0" * 20 + b"\r\n\r\n",
        b"plan",
    ),
    "length-with-many-zeros": (b"Content-Length: " + b"0" * 20 + b"4\r\n\r\nplan", b"plan"),
    "chunk-size-upper-case": (CHUNKED + b"A\r\nplanplanpl\r\n0\r\n\r\n", b"planplanpl"),
    "chunk-extension": (CHUNKED + b"4;a=b\r\nplan\r\n0;last\r\n\r\n", b"plan"),
    "trailers": (CHUNKED + b"4\r\nplan\r\n0\r\nX-After: 1\r\n\r\n", b"plan"),
    "coding-upper-case": (b"Transfer-Encoding: Chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n", b"plan"),
    "chunk-size-blank-last": (CHUNKED + b"4 \r\nplan\r\n0\r\n\r\n", b"plan"),
    "value-of-latin-1": (b"X-A: pl\xe4n\x85\xa0\r\nContent-Length: 4\r\n\r\nplan", b"plan"),
    "value-empty": (b"X-A:\r\nContent-Length:4\t\r\n\r\nplan", b"plan"),
    "value-with-tab": (b"X-A: a\tb\r\nContent-Length: 4\r\n\r\nplan", b"plan"),
    "name-with-underscore": (b"X_A: a\r\nX-A: b\r\nX-A: c\r\n\r\n", b""),
    "name-of-odd-bytes": (b"!#$%&'*+.^`|~: a\r\n\r\n", b""),
    "no-body": (b"\r\n", b""),
    "many-headers": (b"".join(b"X-%d: a\r\n" % number for number in range(900)) + b"\r\n", b""),
    **{
        f"multipart-{name}": (
            b"Content-Type: multipart/mixed; %s\r\nContent-Length: 4\r\n\r\nplan" % parameters,
            b"plan",
        )
        for name, parameters in {
            "boundary-twice": b"boundary*=utf-8''a; boundary*0=b",
            "boundary-part-twice": b"boundary*9=a; boundary*=us-ascii''b",
        }.items()
    },
    "multipart": (
        b"Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 4\r\n\r\nplan",
        b"plan",
    ),
}


@frozen
class Ending:
    """How a connection ended.

    Attributes
    ----------
    received : bytes
        What came back.
    seconds : float
        Seconds until the connection was closed; infinity if it was still open at the end.
    """

    received: bytes
    seconds: float

    def statuses(self) -> list[int]:
        """Return the status codes of all responses."""
        lines = self.received.split(b"HTTP/1.")[1:]
        return [int(line.split()[1]) for line in lines]


def send_without_end(
    port: int, path: str, part: str, piece_bytes: int, pause_s: float, seconds: float
) -> Ending:
    """Send a request of which a part does not end, until it is cut off or the time is over."""
    before, piece = ENDLESS_PARTS[part]
    piece *= max(1, piece_bytes // len(piece))
    received = b""
    started_at = time.monotonic()
    with socket.create_connection((HOST, port), timeout=seconds) as caller:
        caller.setblocking(True)
        caller.settimeout(0.5)
        try:
            caller.sendall(HEAD % path.encode() + before)
            while time.monotonic() < started_at + seconds:
                try:
                    caller.send(piece)
                except TimeoutError:
                    continue
                time.sleep(pause_s)
            return Ending(received, float("inf"))
        except OSError:
            ended_s = time.monotonic() - started_at
            try:
                while data := caller.recv(65536):
                    received += data
            except OSError:
                # A reset takes the response with it if bytes were still on their way.
                pass
            return Ending(received, ended_s)


def send_raw(port: int, path: str, rest: bytes, seconds: float = 3.0) -> Ending:
    """Send a head's first lines and the rest; return what came back until the close, or the end."""
    return send_bytes(port, HEAD % path.encode() + rest, seconds)


def send_bytes(port: int, data: bytes, seconds: float = 3.0, ends_sending: bool = False) -> Ending:
    """Send bytes, and end this side if asked to; return what came back until the close, or the end."""
    received = b""
    started_at = time.monotonic()
    with socket.create_connection((HOST, port), timeout=seconds) as caller:
        caller.sendall(data)
        if ends_sending:
            caller.shutdown(socket.SHUT_WR)
        try:
            while data := caller.recv(65536):
                received += data
        except TimeoutError:
            return Ending(received, float("inf"))
        except OSError:
            pass
    return Ending(received, time.monotonic() - started_at)
