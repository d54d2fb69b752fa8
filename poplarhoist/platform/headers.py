"""Headers of callers and endpoints, translated into what the gateway knows and back."""

from collections.abc import Iterable

from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.models import AdapterKey, PrefixSegment, Prompt
from poplarhoist.gateway.interfaces import AnswerHead, CallerHead, Headers

MS = 1000.0
REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
TARGET = "X-Target-Instance"
PRIORITY = "X-Request-Priority"
EXPECT_VERSION = "X-Expect-Version"
# Concern one connection only.
HOP_BY_HOP = frozenset(
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
# Set by the gateway alone; what callers send of them would steer the engines.
RESERVED = frozenset(
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
LOWEST_PRIORITY = 9


def read_head(headers: Iterable[tuple[str, str]]) -> CallerHead:
    """Read the head of a caller's request."""
    forwarded: Headers = []
    by_name: dict[str, str] = {}
    dropped = set(HOP_BY_HOP | RESERVED)
    headers = list(headers)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    for name, value in headers:
        by_name.setdefault(name.lower(), value)
        if name.lower() not in dropped:
            forwarded.append((name, value))
    return CallerHead(
        caller_id=by_name.get("x-request-id", ""),
        deadline_s=read_ms(by_name.get("x-deadline-ms")),
        prompt=read_prompt(by_name),
        forwarded=forwarded,
        resume_after=by_name.get("last-event-id", ""),
    )


def read_ms(text: str | None) -> float | None:
    """Return seconds; None if there are none or they cannot be read."""
    try:
        return max(0.0, float(text) / MS) if text is not None else None
    except ValueError:
        return None


def read_prompt(by_name: dict[str, str]) -> Prompt | None:
    """Return what a model request asks for; None for other requests."""
    model = by_name.get("x-model")
    if not model:
        return None
    base, _, adapter = model.partition("/")
    # Prompt tokens and the most tokens of the answer.
    prompt_tokens, _, output_tokens = by_name.get("x-token-usage", "").partition(",")
    parts = []
    for item in by_name.get("x-prompt-prefix", "").split(","):
        name, _, tokens = item.strip().rpartition(":")
        if name and tokens.isdigit():
            parts.append(PrefixSegment(name, int(tokens)))
    return Prompt(
        AdapterKey(base, adapter), to_int(prompt_tokens), to_int(output_tokens), tuple(parts)
    )


def to_int(text: str) -> int:
    """Return a whole number; 0 if the text is none."""
    text = text.strip()
    return int(text) if text.isdigit() else 0


def request_headers(head: CallerHead, order: Dispatch, resume_after: str) -> Headers:
    """Return the headers of a request to an endpoint."""
    headers = list(head.forwarded)
    headers.append((DEADLINE, str(int(order.remaining_s * MS))))
    headers.append((TARGET, order.endpoint.name))
    if head.prompt is not None:
        headers.append((PRIORITY, str(min(LOWEST_PRIORITY, max(0, order.priority)))))
    if order.version:
        headers.append((EXPECT_VERSION, str(order.version)))
    if resume_after:
        headers.append((LAST_EVENT, resume_after))
    return headers


def read_answer(status: int, headers: Iterable[tuple[str, str]]) -> AnswerHead:
    """Read the head of an endpoint's answer."""
    returned: Headers = []
    by_name: dict[str, str] = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), value)
        if name.lower() not in HOP_BY_HOP or name.lower() == "content-length":
            returned.append((name, value))
    # Running, waiting and slots.
    load = [to_int(part) for part in by_name.get("x-server-load", "").split(",")]
    told = len(load) == 3
    return AnswerHead(
        caller_id=by_name.get("x-request-id", ""),
        not_run="x-not-executed" in by_name or status == 421,
        returned=returned,
        sealed="x-response-seal" in by_name,
        running=load[0] if told else -1,
        waiting=load[1] if told else -1,
    )
