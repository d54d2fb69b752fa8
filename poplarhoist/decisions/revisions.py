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

MAX_PAGES_IN_FLIGHT = 16
PAGE_RETRY_MIN_S = 0.5
PAGE_RETRY_MAX_S = 2.0
NOTICE_JITTER_S = 0.5
NOTICE_INTERVAL_S = 1.0


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
    pending_index: Index | None = None
    pending_source: str = ""
    rejected_revision: int = 0
    requested_digests: set[str] = field(factory=set)
    page_retry_at: float = 0.0
    page_retry_s: float = PAGE_RETRY_MIN_S
    text_by_digest: dict[str, str] = field(factory=dict)
    items_by_page: dict[str, dict[str, Item]] = field(factory=dict)
    adapters_by_name: dict[str, Adapter] = field(factory=dict)
    callers_by_digest: dict[str, Caller] = field(factory=dict)
    presets_by_name: dict[str, Preset] = field(factory=dict)
    changed_adapters: set[str] = field(factory=set)

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


def consider_index(state: State, index: Index, source: str, at: float, out: list[Effect]) -> None:
    """Consider an index that the platform or a peer told of."""
    config = state.config
    if index.revision <= max(config.revision, config.rejected_revision):
        return
    if config.pending_index is not None and index.revision <= config.pending_index.revision:
        return
    config.pending_index = index
    config.pending_source = source
    config.page_retry_s = PAGE_RETRY_MIN_S
    drop_unreferenced_pages(config)
    request_missing_pages(state, source, at, out)
    install_if_complete(state, out)


def drop_unreferenced_pages(config: ConfigState) -> None:
    """Drop the text of pages that neither the index in force nor the pending one names."""
    referenced: set[str] = set()
    for index in (config.index, config.pending_index):
        if index is not None:
            referenced.update(index.pages.values())
    config.text_by_digest = {
        d: text for d, text in config.text_by_digest.items() if d in referenced
    }


def missing_pages(config: ConfigState) -> list[str]:
    """Return the digests of the pending index that are not here."""
    if config.pending_index is None:
        return []
    return [d for d in config.pending_index.pages.values() if d not in config.text_by_digest]


def request_missing_pages(state: State, peer: str, at: float, out: list[Effect]) -> None:
    """Ask the platform, and a peer if one is named, for some of the missing pages."""
    config = state.config
    config.requested_digests = set(missing_pages(config)[:MAX_PAGES_IN_FLIGHT])
    config.page_retry_at = at + config.page_retry_s
    for digest in sorted(config.requested_digests):
        out.append(PlatformGet(PAGE_PREFIX + digest, PageRead(digest)))
        if peer:
            out.append(SendMessage(peer, PageWanted(digest)))


def select_page_peer(state: State) -> str:
    """Return a peer that has the pending index in force; empty if none is known."""
    config = state.config
    names = [
        name
        for name, peer in sorted(state.members.peers.items())
        if peer.revision >= config.pending_index.revision
    ]
    return state.random.choice(names) if names else config.pending_source


def accept_page(state: State, digest: str, text: object, at: float, out: list[Effect]) -> None:
    """Keep a page that arrived, if its text has the digest that was asked for."""
    config = state.config
    if not isinstance(text, str) or page_digest(text) != digest:
        out.append(Count("page_rejected", ()))
        return
    if digest not in missing_pages(config):
        return
    config.text_by_digest[digest] = text
    config.page_retry_s = PAGE_RETRY_MIN_S
    config.requested_digests.discard(digest)
    if not config.requested_digests and missing_pages(config):
        request_missing_pages(state, config.pending_source, at, out)
    install_if_complete(state, out)


def install_if_complete(state: State, out: list[Effect]) -> None:
    """Put the pending index in force once all its pages are here and well formed."""
    config = state.config
    if config.pending_index is None or missing_pages(config):
        return
    try:
        items_by_page = parse_pending_pages(config)
    except MalformedPageError as error:
        reject_pending(config, str(error), out)
        return
    old_pages = config.items_by_page
    config.index, config.pending_index = config.pending_index, None
    config.items_by_page = items_by_page
    update_catalogue(config, old_pages)
    callers = items_by_page.get(CALLERS_PAGE, {})
    config.callers_by_digest = {caller.token_sha256: caller for caller in callers.values()}
    config.presets_by_name = items_by_page.get(PRESETS_PAGE, {})
    drop_unreferenced_pages(config)
    fields = {"revision": config.index.revision, "preset": config.index.preset}
    out.append(LogChange("revision-in-force", fields))


def parse_pending_pages(config: ConfigState) -> dict[str, dict[str, Item]]:
    """Return what all pages of the pending index hold; pages in force are not read again.

    Raises
    ------
    MalformedPageError
        If a page is not well formed, or the preset that is to be in force is not among them.
    """
    old_pages = config.index.pages if config.index else {}
    items_by_page = {}
    for name, digest in config.pending_index.pages.items():
        if old_pages.get(name) == digest:
            items_by_page[name] = config.items_by_page[name]
        else:
            items_by_page[name] = parse_page(name, config.text_by_digest[digest])
    preset = config.pending_index.preset
    if preset and preset not in items_by_page.get(PRESETS_PAGE, {}):
        raise MalformedPageError(f"no preset {preset!r}")
    return items_by_page


def reject_pending(config: ConfigState, cause: str, out: list[Effect]) -> None:
    """Keep the revision in force in place of one that is not well formed."""
    config.rejected_revision = config.pending_index.revision
    config.pending_index = None
    drop_unreferenced_pages(config)
    out.append(Count("revision_rejected", ()))
    out.append(
        LogChange("revision-rejected", {"revision": config.rejected_revision, "cause": cause})
    )


def update_catalogue(config: ConfigState, old_pages: dict[str, dict[str, Item]]) -> None:
    """Take the adapters of changed pages in place of what the old pages said."""
    changed_pages = {
        name
        for name in old_pages.keys() | config.items_by_page.keys()
        if name.startswith(CATALOGUE_PREFIX)
        and old_pages.get(name) is not config.items_by_page.get(name)
    }
    for name in changed_pages:
        for adapter in old_pages.get(name, {}):
            config.adapters_by_name.pop(adapter, None)
    config.changed_adapters.clear()
    for name in sorted(changed_pages):
        config.adapters_by_name.update(config.items_by_page.get(name, {}))
        config.changed_adapters.update(config.items_by_page.get(name, {}))


def on_object_changed(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Take an index from the platform's watch."""
    if event.path != INDEX_PATH or event.value is None:
        return
    try:
        index = wire.load(event.value, Index)
    except Exception:
        # cattrs raises groups of many kinds; the index in force stays.
        out.append(Count("revision_rejected", ()))
        return
    consider_index(state, index, "", event.at, out)


def on_page_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Take a page from the platform."""
    if event.status is CallStatus.OK:
        accept_page(state, event.purpose.digest, event.value, event.at, out)


def on_index_notice(state: State, sender: str, message: IndexNotice, at: float, out) -> None:
    """Take an index from a peer."""
    consider_index(state, message.index, sender, at, out)


def on_page_wanted(state: State, sender: str, message: PageWanted, out) -> None:
    """Give a peer a page that is in force here."""
    text = state.config.text_by_digest.get(message.digest)
    if text is not None:
        out.append(SendMessage(sender, PageCopy(message.digest, text)))


def on_page_copy(state: State, message: PageCopy, at: float, out) -> None:
    """Take a page from a peer."""
    accept_page(state, message.digest, message.text, at, out)


def on_peer_revision(state: State, sender: str, revision: int, at: float, out) -> None:
    """Tell a peer that stays behind what index is in force here.

    Peers are told at random times, so that the first to do so saves the others the message.
    """
    peer = state.members.peers[sender]
    if state.config.index is None or revision >= state.config.revision:
        peer.index_notice_at = None
        return
    if peer.index_notice_at is None:
        peer.index_notice_at = at + NOTICE_JITTER_S * state.random.random()
    elif at >= peer.index_notice_at:
        peer.index_notice_at = at + NOTICE_INTERVAL_S * (0.5 + state.random.random())
        out.append(SendMessage(sender, IndexNotice(state.config.index)))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Ask again for pages that did not arrive."""
    config = state.config
    if config.pending_index is None or at < config.page_retry_at:
        return
    config.page_retry_s = min(PAGE_RETRY_MAX_S, 2 * config.page_retry_s)
    request_missing_pages(state, select_page_peer(state), at, out)
