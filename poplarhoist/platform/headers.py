"""Parses headers of callers and endpoints, and builds the headers of requests to endpoints."""

import math
import re
from collections.abc import Iterable
from http import HTTPStatus

import structlog

from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.events import EndpointNotice
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    EndpointLoad,
    PrefixSegment,
    Prompt,
)
from poplarhoist.gateway.interfaces import Headers, RequestHead, ResponseHead
from poplarhoist.platform.keys import digest_of

MS_PER_S = 1000.0
REQUEST_ID_HEADER = "X-Request-Id"
SEAL_HEADER = "X-Response-Seal"
LEAVING_HEADER = "Server-Leaving"
DEADLINE_HEADER = "X-Deadline-Ms"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
TARGET_INSTANCE_HEADER = "X-Target-Instance"
PRIORITY_HEADER = "X-Request-Priority"
EXPECT_VERSION_HEADER = "X-Expect-Version"
KEY_HEADER = "Api-Key"
TEAM_HEADER = "X-Tenant"
# Headers of callers that are not forwarded while teams are in force.
TEAM_HEADERS = frozenset((KEY_HEADER.lower(), TEAM_HEADER.lower()))
# Headers that are not forwarded: those that concern one connection only, and Content-Length and
# Expect, which the HTTP library handles on each connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
# Headers that only the gateway may set: if callers could, they would control the engines.
RESERVED_HEADERS = frozenset(
    (
        "x-deadline-ms",
        "x-target-instance",
        "x-request-priority",
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
    )
)
# Headers that say what a request is and for how long, so that entry and engine have to agree on them.
# Each may come once, and is read and forwarded whatever the Connection header names.
SINGLE_HEADERS = frozenset(
    (
        "x-request-id",
        "x-deadline-ms",
        "x-model",
        "x-token-usage",
        "x-prompt-prefix",
        "x-length-hint",
        "last-event-id",
        "resumes",
    )
)
# Seconds of a pause whose length cannot be read.
UNREADABLE_PAUSE_S = 1.0
# Whole numbers that are read; others cannot be reckoned with.
COUNT = re.compile(r"[0-9]{1,9}", re.ASCII)
# Figures of an endpoint's load that are read, and the largest that can be meant.
LOAD_FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
MAX_LOAD_FIGURE = 100_000
# Priorities go from 0, the most urgent, to this.
LOWEST_PRIORITY = 9


def parse_request_head(headers: Iterable[tuple[str, str]]) -> RequestHead:
    """Parse the head of a caller's request.

    Hop-by-hop and reserved headers are not forwarded, nor are those that the Connection header
    names. Of a repeated header the first value counts. A key is read whatever the Connection header
    names.

    Raises
    ------
    ValueError
        If one of `SINGLE_HEADERS` comes twice.
    """
    forwarded_headers: Headers = []
    value_by_name: dict[str, str] = {}
    single_names: set[str] = set()
    key_lines = 0
    excluded_names = set(HOP_BY_HOP_HEADERS | RESERVED_HEADERS)
    headers = list(headers)
    for name, value in headers:
        if name.lower() == "connection":
            named = {normalize_name(part.strip(" \t")) for part in value.split(",")}
            excluded_names |= named - SINGLE_HEADERS
    for name, value in headers:
        value_by_name.setdefault(name.lower(), value)
        key_lines += name.lower() == KEY_HEADER.lower()
        plain_name = normalize_name(name)
        if plain_name in SINGLE_HEADERS:
            if plain_name in single_names:
                raise ValueError(f"more than one {plain_name} line")
            single_names.add(plain_name)
        if plain_name not in excluded_names:
            forwarded_headers.append((name, value))
    return RequestHead(
        caller_request_id=value_by_name.get("x-request-id", ""),
        deadline_s=parse_ms(value_by_name.get("x-deadline-ms")),
        prompt=parse_prompt(value_by_name),
        forwarded_headers=forwarded_headers,
        last_event_id=value_by_name.get("last-event-id", ""),
        resumed_caller_id=value_by_name.get("resumes", ""),
        key_digest=digest_of(value_by_name.get(KEY_HEADER.lower(), "").strip(" \t")),
        key_lines=key_lines,
    )


def normalize_name(name: str) -> str:
    """Return the name of a header as servers may read it: some take an underscore for a hyphen."""
    return name.lower().replace("_", "-")


def parse_ms(text: str | None) -> float | None:
    """Convert milliseconds to seconds, at least 0; None if the text is missing or no number."""
    try:
        milliseconds = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return None if math.isnan(milliseconds) else max(0.0, milliseconds / MS_PER_S)


def parse_prompt(value_by_name: dict[str, str]) -> Prompt | None:
    """Return adapter, token counts and prefix segments of a model request; None for other requests.

    X-Model is ``model/adapter``, and X-Prompt-Prefix a list of ``name:tokens``, of which items that
    cannot be parsed are left out.
    """
    model = value_by_name.get("x-model")
    if not model:
        return None
    base, _, adapter = model.partition("/")
    # X-Token-Usage: tokens of the prompt, and the maximum of the response.
    prompt_tokens, _, output_tokens = value_by_name.get("x-token-usage", "").partition(",")
    parts = []
    for item in value_by_name.get("x-prompt-prefix", "").split(","):
        name, _, tokens = item.strip().rpartition(":")
        if name and COUNT.fullmatch(tokens):
            parts.append(PrefixSegment(name, int(tokens)))
    return Prompt(
        AdapterKey(base, adapter), parse_int(prompt_tokens), parse_int(output_tokens), tuple(parts)
    )


def parse_int(text: str) -> int:
    """Parse a whole number of up to 9 digits; 0 if the text is none."""
    text = text.strip()
    return int(text) if COUNT.fullmatch(text) else 0


def build_request_headers(head: RequestHead, dispatch: Dispatch, last_event_id: str) -> Headers:
    """Return the headers of a request to an endpoint.

    The priority is sent with model requests only, the expected version only if there is one. With
    teams in force, the key goes no further, and only endpoints are told the team.
    """
    headers = list(head.forwarded_headers)
    if dispatch.team is not None:
        headers = [pair for pair in headers if not is_team_header(pair[0])]
        if dispatch.team and dispatch.relay is None:
            headers.append((TEAM_HEADER, dispatch.team))
    headers.append((DEADLINE_HEADER, str(int(dispatch.remaining_s * MS_PER_S))))
    headers.append((TARGET_INSTANCE_HEADER, dispatch.endpoint.name))
    if head.prompt is not None:
        headers.append((PRIORITY_HEADER, str(min(LOWEST_PRIORITY, max(0, dispatch.priority)))))
    if dispatch.version:
        headers.append((EXPECT_VERSION_HEADER, str(dispatch.version)))
    if last_event_id:
        headers.append((LAST_EVENT_ID_HEADER, last_event_id))
    return headers


def is_team_header(name: str) -> bool:
    """Return whether a header holds, or may be taken for, a key or the name of a team."""
    return normalize_name(name) in TEAM_HEADERS


def parse_response_head(status: int, headers: Iterable[tuple[str, str]]) -> ResponseHead:
    """Parse the head of an endpoint's response.

    Hop-by-hop headers are not returned to the caller, except Content-Length. Status 421 means, like
    the header X-Not-Executed, that the endpoint did not run the request. Several lines with an id are
    read as a list, which is the id of no request, and several seals are none.
    """
    headers = list(headers)
    returned_headers: Headers = []
    value_by_name: dict[str, str] = {}
    for name, value in headers:
        value_by_name.setdefault(name.lower(), value)
        if name.lower() not in HOP_BY_HOP_HEADERS or name.lower() == "content-length":
            returned_headers.append((name, value))
    return ResponseHead(
        caller_request_id=", ".join(values_of(headers, REQUEST_ID_HEADER)),
        not_run="x-not-executed" in value_by_name or status == 421,
        returned_headers=returned_headers,
        has_seal=len(values_of(headers, SEAL_HEADER)) == 1,
        notice=EndpointNotice(
            load=parse_load(value_by_name.get("x-server-load", "")),
            requests_per_s=parse_limit(value_by_name.get("server-limit")),
            retry_after_s=parse_pause(status, value_by_name.get("retry-after")),
            bears_per_s=parse_brittle(value_by_name.get("server-brittle")),
        ),
        is_leaving=says_leaving(headers),
    )


def parse_load(text: str) -> EndpointLoad:
    """Parse X-Server-Load: running requests, waiting requests, slots, and the pace in percent.

    Figures may be missing, and what follows the fourth is ignored. A figure that is no number from
    0 to `MAX_LOAD_FIGURE` is unknown, and so is a pace of 0; the others count nevertheless.
    """
    parts = [part.strip() for part in text.split(",")[:4]]
    figures = [float(part) if LOAD_FIGURE.fullmatch(part) else -1.0 for part in parts]
    figures = [figure if figure <= MAX_LOAD_FIGURE else -1.0 for figure in figures]
    running, waiting, slots, pace = figures + [-1.0] * (4 - len(figures))
    return EndpointLoad(
        int(running), int(waiting), max(0, int(slots)), pace / 100.0 if pace > 0.0 else None
    )


def parse_limit(text: str | None) -> float | None:
    """Parse a limit in requests a second; None if there is none, or if it is no number from 0 on."""
    if text is None:
        return None
    # Without a number nothing can be kept; the endpoint still turns away what it cannot take.
    return parse_number("Server-Limit", text)


def parse_pause(status: int, text: str | None) -> float | None:
    """Parse the seconds for which an endpoint that turns a request away wants no others.

    Returns
    -------
    float or None
        None if the response does not turn the request away, or names no time.
    """
    if status != HTTPStatus.SERVICE_UNAVAILABLE or text is None:
        return None
    seconds = parse_number("Retry-After", text)
    # The endpoint wants a pause, only its length is unknown.
    return UNREADABLE_PAUSE_S if seconds is None else seconds


def parse_brittle(text: str | None) -> float | None:
    """Parse how many requests a brittle endpoint bears to turn away in a second; None if sound.

    A value that cannot be read counts as 0, the safest: nothing must be turned away.
    """
    if text is None:
        return None
    number = parse_number("Server-Brittle", text)
    return 0.0 if number is None else number


def says_leaving(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether an endpoint says that it is stopping; a value that cannot be read does not."""
    values = values_of(headers, LEAVING_HEADER)
    return any(parse_number(LEAVING_HEADER, value) == 1.0 for value in values)


def values_of(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    """Return the values of all lines of a header."""
    return [value for other, value in headers if other.lower() == name.lower()]


def parse_number(header: str, text: str) -> float | None:
    """Parse a number from 0 on; log any other value and return None."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0.0:
        return number
    structlog.get_logger().warning("header-unreadable", header=header, value=text[:40])
    return None
