"""Conversion of attrs classes to JSON and back, by cattrs."""

from typing import TypeVar

from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from poplarhoist.decisions.messages import Message

T = TypeVar("T")

converter = make_converter()
configure_tagged_union(Message, converter, tag_name="type")


def dump(value: object) -> object:
    """Turn an attrs object into plain JSON data."""
    return converter.unstructure(value)


def load(data: object, kind: type[T]) -> T:
    """Turn plain JSON data into an attrs object.

    Raises
    ------
    ValueError
        If the data does not fit the class; an exception group from cattrs.
    """
    return converter.structure(data, kind)


def dump_messages(messages: list[Message]) -> list[object]:
    """Turn messages into JSON data that names the type of each."""
    return [converter.unstructure(message, unstructure_as=Message) for message in messages]


def load_messages(data: list[object]) -> list[Message]:
    """Turn JSON data back into messages."""
    return [converter.structure(item, Message) for item in data]
