"""The pages of a configuration: how they are named, written and read."""

import hashlib

import orjson

from poplarhoist import wire
from poplarhoist.models import Adapter, Caller, Preset

INDEX_PATH = "index"
PAGE_PREFIX = "pages/"
CATALOGUE_PREFIX = "catalogue/"
CALLERS_PAGE = "callers"
PRESETS_PAGE = "presets"

Item = Adapter | Caller | Preset


class MalformedPageError(Exception):
    """A page does not hold what its name says."""


def page_digest(text: str) -> str:
    """Return the digest under which a page is kept."""
    return hashlib.sha256(text.encode()).hexdigest()


def encode_page(change: str, items: dict[str, object]) -> str:
    """Return the text of a page.

    The id of the change makes the digest unique, so that a page that is deleted once is never
    named again.
    """
    return orjson.dumps({"change": change, "items": items}, option=orjson.OPT_SORT_KEYS).decode()


def decode_page(text: str) -> dict[str, object]:
    """Return what a page holds, as plain data by name.

    Raises
    ------
    MalformedPageError
        If the text is not that of a page.
    """
    try:
        items = orjson.loads(text)["items"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise MalformedPageError(f"not a page: {error}") from error
    if not isinstance(items, dict):
        raise MalformedPageError("its items are not an object")
    return items


def page_item_class(page: str) -> type[Item] | None:
    """Return the class of what a page of this name holds; None for an unknown page."""
    if page.startswith(CATALOGUE_PREFIX):
        return Adapter
    return {CALLERS_PAGE: Caller, PRESETS_PAGE: Preset}.get(page)


def parse_page(page: str, text: str) -> dict[str, Item]:
    """Return what a page holds by name; nothing for a page that this release does not know.

    Raises
    ------
    MalformedPageError
        If the page does not hold what its name says.
    """
    kind = page_item_class(page)
    if kind is None:
        return {}
    try:
        parsed = wire.load(decode_page(text), dict[str, kind])
    except MalformedPageError:
        raise
    except Exception as error:
        # cattrs raises groups of many kinds; all of them mean the same here.
        raise MalformedPageError(f"{page}: {error!r}") from error
    for key, item in parsed.items():
        if item.name != key:
            raise MalformedPageError(f"{page}: {key!r} names itself {item.name!r}")
    return parsed
