"""The grammar of heads, chunk sizes and trailers, of requests and of responses.

It follows RFC 9110, section 5, and RFC 9112. What does not match it is no message. A reader that leaves
out a malformed line of a head, or ends the head there, may lose the line that says where the body ends.
"""

import re
from http.client import HTTPException, HTTPMessage

from attrs import frozen

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# A target has no fragment. Other characters that RFC 3986 wants encoded are sent by many clients.
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21\x22\x24-\x7e]+) HTTP/1\.([0-9])\r\n")
# A request line of another major version of HTTP.
OTHER_VERSION = re.compile(rb"[^ ]+ [^ ]+ HTTP/[2-9](?:\.[0-9])?\r\n")
# The classes of statuses end at 599 (RFC 9110, section 15). Some servers leave out the blank before
# an empty reason.
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n")
# A name is a token; a value has no control bytes but tabs. A value may not go on in a second line,
# as in earlier versions of HTTP.
FIELD_LINE = re.compile(rb"(" + TOKEN + rb"):([\t\x20-\x7e\x80-\xff]*)\r?\n")
FIELD_NAME = re.compile(rb"(" + TOKEN + rb")[\t ]*:")
# A length of a body, and the line of a chunk size, on which extensions are passed over. Leading zeros
# carry no size. More digits than any sound message needs are refused.
LENGTH = re.compile(r"0{0,100}[0-9]{1,18}", re.ASCII)
CHUNK_SIZE_LINE = re.compile(
    rb"(0{0,100}[0-9A-Fa-f]{1,15})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r?\n"
)
# Fields of requests that may come once (RFC 9110, sections 7.2 and 8.3). Readers differ in which of
# several they use.
SINGLE_FIELDS = ("Host", "Content-Type")


class BadHead(HTTPException):
    """A head or a trailer of a message is malformed."""


class BadFraming(HTTPException):
    """A message does not say clearly where its body or a chunk ends."""


class UnsupportedVersion(BadHead):
    """A request is in another major version of HTTP."""


@frozen
class RequestLine:
    """The first line of a request.

    Attributes
    ----------
    version : str
        "HTTP/1.0", or "HTTP/1.1" for all later minor versions.
    """

    method: str
    target: str
    version: str


@frozen
class StatusLine:
    """The first line of a head.

    Attributes
    ----------
    version : int
        Version of HTTP as in http.client: 10 for HTTP/1.0, 11 for later ones.
    """

    version: int
    status: int
    reason: str


def parse_request_line(line: bytes) -> RequestLine:
    """Parse a request line, which is given with its end.

    Raises
    ------
    UnsupportedVersion
        If it is one of another major version of HTTP.
    BadHead
        If it is none.
    """
    found = REQUEST_LINE.fullmatch(line)
    if found is None:
        if OTHER_VERSION.fullmatch(line):
            raise UnsupportedVersion("version of HTTP that is not supported")
        # The line is left out, as the target may be confidential.
        raise BadHead("malformed request line")
    method, target, minor = found.groups()
    version = "HTTP/1.0" if minor == b"0" else "HTTP/1.1"
    return RequestLine(method.decode("ascii"), target.decode("ascii"), version)


def parse_status_line(line: bytes) -> StatusLine:
    """Parse a status line, which is given with its end.

    Raises
    ------
    BadHead
        If it is none.
    """
    found = STATUS_LINE.fullmatch(line)
    if found is None:
        raise BadHead(f"malformed status line {line[:40]!r}")
    minor, status, reason = found.groups(default=b"")
    return StatusLine(10 if minor == b"0" else 11, int(status), decode_text(reason))


def parse_field_line(line: bytes) -> tuple[str, str]:
    """Return name and value of a field line, which is given with its end.

    Raises
    ------
    BadHead
        If it is none.
    """
    field = FIELD_LINE.fullmatch(line)
    if field is None:
        # Only a name is told, as the rest may be confidential.
        name = FIELD_NAME.match(line)
        raise BadHead(f"malformed field line {name[1][:40] if name else b''!r}")
    name, value = field.groups()
    return name.decode("ascii"), decode_text(value)


def parse_chunk_size(line: bytes) -> int:
    """Return the bytes of a chunk; its size line is given with its end.

    Raises
    ------
    BadFraming
        If there is no size.
    """
    size = CHUNK_SIZE_LINE.fullmatch(line)
    if size is None:
        raise BadFraming(f"chunk size {line[:20]!r}")
    return int(size[1], 16)


def decode_text(data: bytes) -> str:
    """Return a value or a reason, without the blanks around it."""
    return data.strip(b" \t").decode("iso-8859-1")


def check_framing(headers: HTTPMessage) -> None:
    """Check that a head gives one length, or that the body is chunked, or neither.

    Raises
    ------
    BadFraming
        If it does not.
    """
    lengths = set(headers.get_all("Content-Length", ()))
    codings = [text.lower() for text in headers.get_all("Transfer-Encoding", ())]
    if codings and (codings != ["chunked"] or lengths):
        raise BadFraming(f"codings {codings} with {len(lengths)} lengths")
    if not all(LENGTH.fullmatch(text) for text in lengths) or len(set(map(int, lengths))) > 1:
        raise BadFraming(f"lengths {sorted(lengths)}"[:100])


def check_request_fields(version: str, headers: HTTPMessage) -> None:
    """Check the framing of a request, and that fields that may come once do.

    Raises
    ------
    BadHead
        If a field comes twice.
    BadFraming
        If it is unclear where the body ends; chunks are unknown to HTTP/1.0.
    """
    check_framing(headers)
    if version == "HTTP/1.0" and "Transfer-Encoding" in headers:
        raise BadFraming("coding in a request of HTTP/1.0")
    for name in SINGLE_FIELDS:
        if len(headers.get_all(name, ())) > 1:
            raise BadHead(f"more than one {name} line")
