"""Small helpers for requests and responses of the entry's interfaces."""

import hmac

import orjson
from werkzeug.exceptions import Unauthorized
from werkzeug.wrappers import Request, Response


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request; empty if it has none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def require_key(given_key: str, expected_key: str) -> None:
    """Check a shared key in constant time.

    Raises
    ------
    Unauthorized
        If the keys differ.
    """
    if not hmac.compare_digest(given_key.encode(), expected_key.encode()):
        raise Unauthorized("wrong or missing key")


def json_response(data: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(data), status, content_type="application/json")
