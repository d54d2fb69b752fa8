"""Names, encoding and parsing of configuration pages.

A configuration revision is an index that names immutable pages by the digests of their texts.
"""

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
    """The text of a page is malformed or does not match the page's name."""


def page_digest(text: str) -> str:
    """Return the SHA-256 digest of a page's text, under which the page is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


def encode_page(change: str, items: dict[str, object]) -> str:
    """Return the text of a page.

    The id of the change is part of the text and makes the digest unique. So a page that is
    created again with the same items does not share the digest of a page that has been deleted.
    """
    return orjson.dumps({"change": change, "items": items}, option=orjson.OPT_SORT_KEYS).decode()


def decode_page(text: str) -> dict[str, object]:
    """Return the items of a page as plain data, by item name.

    Raises
    ------
    MalformedPageError
        If the text is not valid JSON or has no object of items.
    """
    try:
        items = orjson.loads(text)["items"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise MalformedPageError(f"not a page: {error}") from error
    if not isinstance(items, dict):
        raise MalformedPageError("not a page: 'items' is not an object")
    return items


def page_item_class(page: str) -> type[Item] | None:
    """Return the class of the items on a page; None if the page's name is not known."""
    if page.startswith(CATALOGUE_PREFIX):
        return Adapter
    return {CALLERS_PAGE: Caller, PRESETS_PAGE: Preset}.get(page)


def parse_page(page: str, text: str) -> dict[str, Item]:
    """Return the items of a page by name; empty for a page that this release does not know.

    Raises
    ------
    MalformedPageError
        If the page is malformed, or an item has another name than its key.
    """
    kind = page_item_class(page)
    if kind is None:
        return {}
    try:
        parsed = wire.load(decode_page(text), dict[str, kind])
    except MalformedPageError:
        raise
    except Exception as error:
        # cattrs raises exception groups of many types; all of them mean a malformed page.
        raise MalformedPageError(f"{page}: {error!r}") from error
    for key, item in parsed.items():
        if item.name != key:
            raise MalformedPageError(f"{page}: item {key!r} has the name {item.name!r}")
    return parsed
