"""Which configuration revision is in force: never a lower one, and only when whole.

A higher index is pending until all its pages are here. Pages come from the platform, and from
peers that have the index in force if the platform does not give them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist import wire
from poplarhoist.decisions.effects import Count, LogChange, PageRead, PlatformGet, SendMessage
from poplarhoist.decisions.events import CallStatus, ObjectChanged, PlatformAnswered
from poplarhoist.decisions.messages import IndexNotice, PageCopy, PageWanted
from poplarhoist.decisions.pages import (
    CALLERS_PAGE,
    CATALOGUE_PREFIX,
    INDEX_PATH,
    PAGE_PREFIX,
    PRESETS_PAGE,
    Item,
    MalformedPageError,
    page_digest,
    parse_page,
)
from poplarhoist.models import Adapter, Caller, Index, Preset

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

PAGES_AT_ONCE = 16
PAGE_RETRY_FIRST_S = 0.5
PAGE_RETRY_LONGEST_S = 2.0
NOTICE_SPREAD_S = 0.5
NOTICE_AGAIN_S = 1.0


@define
class ConfigState:
    """The index in force and what its pages say.

    Attributes
    ----------
    pending : Index or None
        A higher index of which pages are still missing.
    pending_from : str
        The peer that told of it; empty if the platform did.
    rejected : int
        The highest revision that is not well formed, and so never put in force.
    asked : set
        Digests of pages that were asked for and did not arrive yet.
    retry_at, retry_s : float
        When to ask for pages again, and the time between two tries.
    page_text : dict
        Text of each page in force, by digest, for peers that cannot reach the platform.
    items_by_page : dict
        What each page in force holds, by the page's name.
    changed : set
        Adapters on the pages that the last revision changed.
    """

    index: Index | None = None
    pending: Index | None = None
    pending_from: str = ""
    rejected: int = 0
    asked: set[str] = field(factory=set)
    retry_at: float = 0.0
    retry_s: float = PAGE_RETRY_FIRST_S
    page_text: dict[str, str] = field(factory=dict)
    items_by_page: dict[str, dict[str, Item]] = field(factory=dict)
    adapters_by_name: dict[str, Adapter] = field(factory=dict)
    callers_by_digest: dict[str, Caller] = field(factory=dict)
    presets_by_name: dict[str, Preset] = field(factory=dict)
    changed: set[str] = field(factory=set)

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self.index.revision if self.index else 0

    @property
    def preset(self) -> Preset:
        """The preset in force."""
        if self.index is None or not self.index.preset:
            return Preset("none")
        return self.presets_by_name[self.index.preset]


def offer(state: State, index: Index, source: str, at: float, out: list[Effect]) -> None:
    """Consider an index that the platform or a peer told of."""
    config = state.config
    if index.revision <= max(config.revision, config.rejected):
        return
    if config.pending is not None and index.revision <= config.pending.revision:
        return
    config.pending = index
    config.pending_from = source
    config.retry_s = PAGE_RETRY_FIRST_S
    drop_unnamed_pages(config)
    ask_missing(state, source, at, out)
    install_when_whole(state, out)


def drop_unnamed_pages(config: ConfigState) -> None:
    """Drop the text of pages that neither the index in force nor the pending one names."""
    named: set[str] = set()
    for index in (config.index, config.pending):
        if index is not None:
            named.update(index.pages.values())
    config.page_text = {d: text for d, text in config.page_text.items() if d in named}


def missing_pages(config: ConfigState) -> list[str]:
    """Return the digests of the pending index that are not here."""
    if config.pending is None:
        return []
    return [d for d in config.pending.pages.values() if d not in config.page_text]


def ask_missing(state: State, peer: str, at: float, out: list[Effect]) -> None:
    """Ask the platform, and a peer if one is named, for some of the missing pages."""
    config = state.config
    config.asked = set(missing_pages(config)[:PAGES_AT_ONCE])
    config.retry_at = at + config.retry_s
    for digest in sorted(config.asked):
        out.append(PlatformGet(PAGE_PREFIX + digest, PageRead(digest)))
        if peer:
            out.append(SendMessage(peer, PageWanted(digest)))


def peer_with_pages(state: State) -> str:
    """Return a peer that has the pending index in force; empty if none is known."""
    config = state.config
    names = [
        name
        for name, peer in sorted(state.members.peers.items())
        if peer.revision >= config.pending.revision
    ]
    return state.random.choice(names) if names else config.pending_from


def take_page(state: State, digest: str, text: object, at: float, out: list[Effect]) -> None:
    """Keep a page that arrived, if its text has the digest that was asked for."""
    config = state.config
    if not isinstance(text, str) or page_digest(text) != digest:
        out.append(Count("page_rejected", ()))
        return
    if digest not in missing_pages(config):
        return
    config.page_text[digest] = text
    config.retry_s = PAGE_RETRY_FIRST_S
    config.asked.discard(digest)
    if not config.asked and missing_pages(config):
        ask_missing(state, config.pending_from, at, out)
    install_when_whole(state, out)


def install_when_whole(state: State, out: list[Effect]) -> None:
    """Put the pending index in force once all its pages are here and well formed."""
    config = state.config
    if config.pending is None or missing_pages(config):
        return
    try:
        items_by_page = parse_pending(config)
    except MalformedPageError as error:
        reject_pending(config, str(error), out)
        return
    old_pages = config.items_by_page
    config.index, config.pending = config.pending, None
    config.items_by_page = items_by_page
    replace_catalogue(config, old_pages)
    callers = items_by_page.get(CALLERS_PAGE, {})
    config.callers_by_digest = {caller.token_sha256: caller for caller in callers.values()}
    config.presets_by_name = items_by_page.get(PRESETS_PAGE, {})
    drop_unnamed_pages(config)
    fields = {"revision": config.index.revision, "preset": config.index.preset}
    out.append(LogChange("revision-in-force", fields))


def parse_pending(config: ConfigState) -> dict[str, dict[str, Item]]:
    """Return what all pages of the pending index hold; pages in force are not read again.

    Raises
    ------
    MalformedPageError
        If a page is not well formed, or the preset that is to be in force is not among them.
    """
    old_pages = config.index.pages if config.index else {}
    items_by_page = {}
    for name, digest in config.pending.pages.items():
        if old_pages.get(name) == digest:
            items_by_page[name] = config.items_by_page[name]
        else:
            items_by_page[name] = parse_page(name, config.page_text[digest])
    preset = config.pending.preset
    if preset and preset not in items_by_page.get(PRESETS_PAGE, {}):
        raise MalformedPageError(f"no preset {preset!r}")
    return items_by_page


def reject_pending(config: ConfigState, cause: str, out: list[Effect]) -> None:
    """Keep the revision in force in place of one that is not well formed."""
    config.rejected = config.pending.revision
    config.pending = None
    drop_unnamed_pages(config)
    out.append(Count("revision_rejected", ()))
    out.append(LogChange("revision-rejected", {"revision": config.rejected, "cause": cause}))


def replace_catalogue(config: ConfigState, old_pages: dict[str, dict[str, Item]]) -> None:
    """Take the adapters of changed pages in place of what the old pages said."""
    changed = {
        name
        for name in old_pages.keys() | config.items_by_page.keys()
        if name.startswith(CATALOGUE_PREFIX)
        and old_pages.get(name) is not config.items_by_page.get(name)
    }
    for name in changed:
        for adapter in old_pages.get(name, {}):
            config.adapters_by_name.pop(adapter, None)
    config.changed.clear()
    for name in sorted(changed):
        config.adapters_by_name.update(config.items_by_page.get(name, {}))
        config.changed.update(config.items_by_page.get(name, {}))


def on_object(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Take an index from the platform's watch."""
    if event.path != INDEX_PATH or event.value is None:
        return
    try:
        index = wire.load(event.value, Index)
    except Exception:
        # cattrs raises groups of many kinds; the index in force stays.
        out.append(Count("revision_rejected", ()))
        return
    offer(state, index, "", event.at, out)


def on_page_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Take a page from the platform."""
    if event.status is CallStatus.OK:
        take_page(state, event.purpose.digest, event.value, event.at, out)


def on_index_notice(state: State, sender: str, message: IndexNotice, at: float, out) -> None:
    """Take an index from a peer."""
    offer(state, message.index, sender, at, out)


def on_page_wanted(state: State, sender: str, message: PageWanted, out) -> None:
    """Give a peer a page that is in force here."""
    text = state.config.page_text.get(message.digest)
    if text is not None:
        out.append(SendMessage(sender, PageCopy(message.digest, text)))


def on_page_copy(state: State, message: PageCopy, at: float, out) -> None:
    """Take a page from a peer."""
    take_page(state, message.digest, message.text, at, out)


def on_peer_revision(state: State, sender: str, revision: int, at: float, out) -> None:
    """Tell a peer that stays behind what index is in force here.

    Peers are told at random times, so that the first to do so saves the others the message.
    """
    peer = state.members.peers[sender]
    if state.config.index is None or revision >= state.config.revision:
        peer.notice_at = None
        return
    if peer.notice_at is None:
        peer.notice_at = at + NOTICE_SPREAD_S * state.random.random()
    elif at >= peer.notice_at:
        peer.notice_at = at + NOTICE_AGAIN_S * (0.5 + state.random.random())
        out.append(SendMessage(sender, IndexNotice(state.config.index)))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Ask again for pages that did not arrive."""
    config = state.config
    if config.pending is None or at < config.retry_at:
        return
    config.retry_s = min(PAGE_RETRY_LONGEST_S, 2 * config.retry_s)
    ask_missing(state, peer_with_pages(state), at, out)
