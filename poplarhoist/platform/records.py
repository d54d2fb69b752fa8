"""Parses responses of the store record by record, so that one that cannot be parsed costs no other.

Another writer may have left a record that a JSON parser refuses: nested too deeply, with a number out
of range, or with text that is no Unicode. The parser refuses the whole response then. So the response
is split into its records, by its brackets and strings alone, and each is parsed by itself.
"""

import re
from collections.abc import Iterator

import orjson
import structlog

# A string, or a character on which the nesting depends.
TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{},]', re.DOTALL)
OPENING, CLOSING = b"[{", b"]}"
# Members of a response, or of a change in it, that hold records.
RECORD_LISTS = ("items", "events")
CHANGED_RECORD = "object"


class Unreadable(str):
    """Stands for the content of a record that cannot be parsed; says why."""


def parse_response(text: bytes) -> dict:
    """Parse a response to a list or a watch.

    Records without a name or with an odd revision are left out, and their number is logged. The content
    of one that cannot be parsed is `Unreadable`.

    Raises
    ------
    ValueError
        If the response is no object, or its members beside the records cannot be parsed.
    """
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError:
        members = split_members(text)
        data = {
            name: (
                [parse_record(part) for part in split_list(value)]
                if name in RECORD_LISTS
                else orjson.loads(value)
            )
            for name, value in members.items()
        }
    if not isinstance(data, dict):
        raise ValueError("no object")
    for name in RECORD_LISTS:
        if name in data:
            data[name] = keep_named(data[name])
    return data


def keep_named(parts: object) -> list[dict]:
    """Return the records, or changes with a record in them, that say what they are called."""
    parts = parts if isinstance(parts, list) else [parts]
    named = [
        part
        for part in parts
        if isinstance(part, dict) and has_metadata(part.get(CHANGED_RECORD, part))
    ]
    if len(named) < len(parts):
        structlog.get_logger().warning("records-without-name", count=len(parts) - len(named))
    return named


def has_metadata(record: object) -> bool:
    """Return whether a record says what it is called, and its revision if any is a number."""
    metadata = record.get("metadata") if isinstance(record, dict) else None
    if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
        return False
    return type(metadata.get("revision", 0)) is int


def parse_record(text: bytes) -> dict:
    """Parse a record, or a change with a record in it, member by member if it cannot be parsed whole.

    It is empty if it is no object.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        pass
    try:
        members = split_members(text)
    except ValueError:
        return {}
    record = {}
    for name, value in members.items():
        try:
            record[name] = parse_record(value) if name == CHANGED_RECORD else orjson.loads(value)
        except orjson.JSONDecodeError as error:
            record[name] = Unreadable(error.msg)
    return record


def split_list(text: bytes) -> Iterator[bytes]:
    """Yield the elements of a JSON list, without parsing them."""
    return split(text, b"[", b"]")


def split_members(text: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object by name, without parsing their values.

    Raises
    ------
    ValueError
        If it is no object, or a name cannot be parsed.
    """
    members = {}
    for part in split(text, b"{", b"}"):
        name = TOKEN.match(part)
        if name is None or not part[name.end() :].lstrip().startswith(b":"):
            raise ValueError("object with a member without a name")
        members[orjson.loads(name.group())] = part[name.end() :].lstrip()[1:]
    return members


def split(text: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield the parts between the commas of the outermost brackets.

    Raises
    ------
    ValueError
        If the text does not begin and end with these brackets.
    """
    text = text.strip()
    if not text.startswith(opening) or not text.endswith(closing):
        raise ValueError(f"no JSON between {opening.decode()} and {closing.decode()}")
    depth, start = 0, 1
    for token in TOKEN.finditer(text):
        mark = token.group()[:1]
        if mark in OPENING:
            depth += 1
        elif mark in CLOSING:
            depth -= 1
        if (mark == b"," and depth == 1) or depth == 0:
            part = text[start : token.start()].strip()
            if part:
                yield part
            start = token.end()
