"""Answers of a stand-in engine: each token names its adapter version and position."""

import orjson
from attrs import frozen

CHAT_CHUNK = "chat.completion.chunk"
CHAT_COMPLETION = "chat.completion"
TEXT_COMPLETION = "text_completion"


@frozen
class CompletionSpec:
    """What an answer is for.

    Attributes
    ----------
    chat : bool
        Whether it is given in the form of a chat.
    """

    request_id: str
    ref: str
    tokens: int
    chat: bool


def token_text(ref: str, index: int) -> str:
    """Return the token that an adapter version gives at a position, which tests can check."""
    return f" {ref}:{index}"


def encode_event(spec: CompletionSpec, index: int) -> bytes:
    """Return the server-sent event of one token."""
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
    """Return the answer to a request that does not stream."""
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
    """Return what every part of an answer starts with."""
    return {"id": spec.request_id, "object": object_type, "created": 0, "model": spec.ref}
