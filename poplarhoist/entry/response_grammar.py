"""The grammar of heads, chunk sizes and trailers of responses (RFC 9110, section 5; RFC 9112).

What does not match it is no response. A reader that leaves out a malformed line of a head, or ends the
head there, may lose the line that says where the body ends.
"""

import re
from http.client import HTTPException, HTTPMessage

from attrs import frozen

# The classes of statuses end at 599 (RFC 9110, section 15). Some servers leave out the blank before
# an empty reason.
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n")
# A name is a token; a value has no control bytes but tabs. A value may not go on in a second line,
# as in earlier versions of HTTP.
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r?\n")
# A length of a body, and the line of a chunk size, on which extensions are passed over. More digits
# than any sound response needs are refused.
LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r?\n")


class BadHead(HTTPException):
    """A head or a trailer of a response is malformed."""


class BadFraming(HTTPException):
    """A response does not say clearly where its body or a chunk ends."""


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
        # The value is left out, as it may be confidential.
        raise BadHead(f"malformed field line {line.partition(b':')[0][:40]!r}")
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
