"""The grammar of response heads (RFC 9110, section 5; RFC 9112, sections 4 to 6).

A head that does not match it is no response. A reader that leaves out a malformed line, or ends the
head there, may lose the line that says where the body ends.
"""

import re
from http.client import HTTPException, HTTPMessage

# A name is a token; a value has no control bytes but tabs. A value may not go on in a second line,
# as in earlier versions of HTTP.
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r?\n")
# A length of a body; more digits than any sound response needs are refused.
LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)


class BadHead(HTTPException):
    """A head of a response is malformed."""


class BadFraming(HTTPException):
    """A response does not say clearly where its body or a chunk ends."""


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
    return name.decode("ascii"), value.strip(b" \t").decode("iso-8859-1")


def check_framing(headers: HTTPMessage) -> None:
    """Check that a head gives one length, or that the body is chunked, or neither.

    Raises
    ------
    BadFraming
        If it does not.
    """
    lengths = {text.strip() for text in headers.get_all("Content-Length", ())}
    codings = [text.strip().lower() for text in headers.get_all("Transfer-Encoding", ())]
    if codings and (codings != ["chunked"] or lengths):
        raise BadFraming(f"codings {codings} with {len(lengths)} lengths")
    if not all(LENGTH.fullmatch(text) for text in lengths) or len(set(map(int, lengths))) > 1:
        raise BadFraming(f"lengths {sorted(lengths)}"[:100])
