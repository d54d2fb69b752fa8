"""Refusals and HTTP errors as application/problem+json documents."""

import math

import orjson
from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Response

from poplarhoist.models import Ran, Reason, Refusal

CONTENT_TYPE = "application/problem+json"
STATUS_BY_REASON = {
    Reason.UNKNOWN_CALLER: 401,
    Reason.CALLER_NOT_ALLOWED: 403,
    Reason.UNKNOWN_ADAPTER: 404,
    Reason.UNKNOWN_VERSION: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.QUEUE_FULL: 429,
    Reason.CALLER_QUEUE_FULL: 429,
    Reason.RETRY_BUDGET: 503,
    Reason.WRONG_ANSWER: 502,
    Reason.ENDPOINT_LOST: 502,
    Reason.QUARANTINED: 422,
    Reason.KEY_MISSING: 400,
    Reason.KEY_REUSED: 422,
    Reason.RUN_IN_PROGRESS: 409,
    Reason.RUN_UNKNOWN: 409,
    Reason.ANSWER_NOT_KEPT: 409,
}
DEFAULT_STATUS = 503


def problem_document(request_id: str, refusal: Refusal) -> dict[str, object]:
    """Return the problem document of a refusal."""
    return {
        "type": f"urn:poplarhoist:{refusal.reason}",
        "title": refusal.reason.replace("-", " "),
        "status": STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS),
        "reason": refusal.reason,
        "ran": refusal.ran,
        "step": refusal.step,
        "endpoint": refusal.endpoint,
        "request_id": request_id,
    }


def openai_error(data: dict[str, object]) -> dict[str, object]:
    """Return the error object that OpenAI-compatible clients read."""
    return {
        "message": f"{data['title']} (ran: {data['ran']})",
        "type": data["type"],
        "param": None,
        "code": data["reason"],
    }


def refusal_response(request_id: str, refusal: Refusal) -> Response:
    """Return the HTTP response for a refusal."""
    data = problem_document(request_id, refusal)
    data["error"] = openai_error(data)
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return Response(orjson.dumps(data), data["status"], headers, content_type=CONTENT_TYPE)


def http_error_response(error: HTTPException) -> Response:
    """Return the response to a request that failed before admission, such as a malformed one."""
    data = {
        "type": "urn:poplarhoist:bad-request",
        "title": error.name,
        "status": error.code,
        "reason": Reason.BAD_REQUEST,
        "ran": Ran.NO,
        "step": "accept",
        "detail": error.description,
    }
    data["error"] = openai_error(data)
    return Response(orjson.dumps(data), error.code, content_type=CONTENT_TYPE)


def error_event(request_id: str, refusal: Refusal | None) -> bytes:
    """Return the server-sent event that ends a broken stream.

    Without a refusal, the event says that the endpoint was lost.
    """
    refusal = refusal or Refusal(Reason.ENDPOINT_LOST, Ran.UNKNOWN, "answer")
    data = problem_document(request_id, refusal)
    data = {"error": {**data, **openai_error(data)}}
    return b"event: error\ndata: " + orjson.dumps(data) + b"\n\n"
