"""Responses of a stand-in engine; each token names its adapter version and its position."""

import orjson
from attrs import frozen

CHAT_CHUNK = "chat.completion.chunk"
CHAT_COMPLETION = "chat.completion"
TEXT_COMPLETION = "text_completion"


@frozen
class CompletionSpec:
    """Parameters that determine a generated completion.

    Attributes
    ----------
    ref : str
        Adapter version that generates, as ``name@version``.
    tokens : int
        Number of tokens to generate.
    chat : bool
        Whether the response has the chat completion format; otherwise the text completion format.
    """

    request_id: str
    ref: str
    tokens: int
    chat: bool


def token_text(ref: str, index: int) -> str:
    """Return the token at a position; it is deterministic, so that tests can check each token."""
    return f" {ref}:{index}"


def encode_event(spec: CompletionSpec, index: int) -> bytes:
    """Return one token as a server-sent event."""
    text = token_text(spec.ref, index)
    is_last = index + 1 >= spec.tokens
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop" if is_last else None}
    if spec.chat:
        role = {"role": "assistant"} if index == 0 else {}
        choice["delta"] = {**role, "content": text}
    else:
        choice["text"] = text
    data = {
        **common_fields(spec, CHAT_CHUNK if spec.chat else TEXT_COMPLETION),
        "choices": [choice],
    }
    return b"data: " + orjson.dumps(data) + b"\n\n"


def build_completion(spec: CompletionSpec) -> dict[str, object]:
    """Return the response body of a request that does not stream."""
    text = "".join(token_text(spec.ref, index) for index in range(spec.tokens))
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if spec.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": 1,
        "completion_tokens": spec.tokens,
        "total_tokens": spec.tokens + 1,
    }
    return {
        **common_fields(spec, CHAT_COMPLETION if spec.chat else TEXT_COMPLETION),
        "choices": [choice],
        "usage": usage,
    }


def common_fields(spec: CompletionSpec, object_type: str) -> dict[str, object]:
    """Return the fields that every event and every whole response contains."""
    return {"id": spec.request_id, "object": object_type, "created": 0, "model": spec.ref}
