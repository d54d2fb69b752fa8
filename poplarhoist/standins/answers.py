"""Answers of a stand-in engine: each token names its adapter version and position."""

import orjson
from attrs import frozen

CHAT_CHUNK = "chat.completion.chunk"
CHAT = "chat.completion"
TEXT = "text_completion"


@frozen
class Answer:
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


def event_bytes(answer: Answer, index: int) -> bytes:
    """Return the server-sent event of one token."""
    text = token_text(answer.ref, index)
    last = index + 1 >= answer.tokens
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop" if last else None}
    if answer.chat:
        role = {"role": "assistant"} if index == 0 else {}
        choice["delta"] = {**role, "content": text}
    else:
        choice["text"] = text
    data = {**head(answer, CHAT_CHUNK if answer.chat else TEXT), "choices": [choice]}
    return b"data: " + orjson.dumps(data) + b"\n\n"


def whole_answer(answer: Answer) -> dict[str, object]:
    """Return the answer to a request that does not stream."""
    text = "".join(token_text(answer.ref, index) for index in range(answer.tokens))
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if answer.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": 1,
        "completion_tokens": answer.tokens,
        "total_tokens": answer.tokens + 1,
    }
    return {**head(answer, CHAT if answer.chat else TEXT), "choices": [choice], "usage": usage}


def head(answer: Answer, kind: str) -> dict[str, object]:
    """Return what every part of an answer starts with."""
    return {"id": answer.request_id, "object": kind, "created": 0, "model": answer.ref}
