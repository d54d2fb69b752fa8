"""Conversion between attrs classes and JSON data, using cattrs."""

from typing import TypeVar

from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from poplarhoist.decisions.messages import Message

T = TypeVar("T")

converter = make_converter()
configure_tagged_union(Message, converter, tag_name="type")


def dump(value: object) -> object:
    """Convert an attrs object to JSON data."""
    return converter.unstructure(value)


def load(data: object, kind: type[T]) -> T:
    """Convert JSON data to an object of an attrs class.

    Raises
    ------
    ValueError
        If the data does not match the class; an exception group from cattrs.
    """
    return converter.structure(data, kind)


def dump_messages(messages: list[Message]) -> list[object]:
    """Convert messages to JSON data, each with its class name under ``type``."""
    return [converter.unstructure(message, unstructure_as=Message) for message in messages]


def load_messages(data: list[object]) -> list[Message]:
    """Convert JSON data to messages, each of the class named under ``type``."""
    return [converter.structure(item, Message) for item in data]
