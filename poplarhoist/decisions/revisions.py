"""Configuration revisions: which one is in force at this entry.

The revision in force never decreases. A higher index stays pending until all its pages have arrived
and are valid, then it comes into force as a whole. Pages are read from the platform and, if it does
not deliver them, from peers that have the index in force.
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
from poplarhoist.models import Adapter, Caller, ConfigIndex, Preset

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
    """The configuration in force at this entry, and the pending one.

    Attributes
    ----------
    index : Index or None
        Index in force; None before the first.
    pending_index : Index or None
        A higher index of which some pages are missing.
    pending_source : str
        Peer that sent the pending index; empty if the platform did.
    rejected_revision : int
        Highest revision that was rejected as malformed; such a revision never comes into force.
    requested_digests : set
        Digests of pages that were requested and have not arrived yet.
    page_retry_at, page_retry_s : float
        When to request missing pages again, and the current retry interval in seconds.
    text_by_digest : dict
        Text of each page in force or arrived for the pending index, by digest. It is kept for peers
        that cannot reach the platform.
    items_by_page : dict
        Items of each page in force, by page name and item name.
    adapters_by_name, callers_by_digest, presets_by_name : dict
        Items in force; callers are indexed by the digest of their token.
    changed_adapters : set
        Names of the adapters on the pages that the last revision changed.
    """

    index: ConfigIndex | None = None
    pending_index: ConfigIndex | None = None
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
        """Revision in force; 0 before the first."""
        return self.index.revision if self.index else 0

    @property
    def preset(self) -> Preset:
        """Preset in force; one named ``none`` with default values if no preset is chosen."""
        if self.index is None or not self.index.preset:
            return Preset("none")
        return self.presets_by_name[self.index.preset]


def consider_index(
    state: State, index: ConfigIndex, source: str, at: float, out: list[Effect]
) -> None:
    """Make an index pending if its revision is the highest known and was not rejected.

    Parameters
    ----------
    source : str
        Peer that sent the index; empty if the platform did.
    """
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
    """Drop the texts of pages that neither the index in force nor the pending one references."""
    referenced: set[str] = set()
    for index in (config.index, config.pending_index):
        if index is not None:
            referenced.update(index.pages.values())
    config.text_by_digest = {
        d: text for d, text in config.text_by_digest.items() if d in referenced
    }


def missing_pages(config: ConfigState) -> list[str]:
    """Return the digests of the pending index's pages that have not arrived."""
    if config.pending_index is None:
        return []
    return [d for d in config.pending_index.pages.values() if d not in config.text_by_digest]


def request_missing_pages(state: State, peer: str, at: float, out: list[Effect]) -> None:
    """Request up to ``MAX_PAGES_IN_FLIGHT`` missing pages.

    They are read from the platform, and also requested from ``peer`` unless that is empty.
    """
    config = state.config
    config.requested_digests = set(missing_pages(config)[:MAX_PAGES_IN_FLIGHT])
    config.page_retry_at = at + config.page_retry_s
    for digest in sorted(config.requested_digests):
        out.append(PlatformGet(PAGE_PREFIX + digest, PageRead(digest)))
        if peer:
            out.append(SendMessage(peer, PageWanted(digest)))


def select_page_peer(state: State) -> str:
    """Return a random peer that has the pending index, or a higher one, in force.

    If no such peer is known, it is the peer that sent the index; empty if the platform did.
    """
    config = state.config
    names = [
        name
        for name, peer in sorted(state.members.peers.items())
        if peer.revision >= config.pending_index.revision
    ]
    return state.random.choice(names) if names else config.pending_source


def accept_page(state: State, digest: str, text: object, at: float, out: list[Effect]) -> None:
    """Store a page of the pending index, after a check of its text against the digest.

    Once all requested pages have arrived, the next missing ones are requested.
    """
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
    """Put the pending index in force once all its pages have arrived, unless one is malformed.

    A pending index with a malformed page is rejected.
    """
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
    """Return the items of all pages of the pending index; unchanged pages are not parsed again.

    Raises
    ------
    MalformedPageError
        If a page is malformed, or the index names a preset that is not on the presets page.
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
        raise MalformedPageError(f"unknown preset {preset!r}")
    return items_by_page


def reject_pending(config: ConfigState, cause: str, out: list[Effect]) -> None:
    """Drop a malformed pending index; the revision in force stays."""
    config.rejected_revision = config.pending_index.revision
    config.pending_index = None
    drop_unreferenced_pages(config)
    out.append(Count("revision_rejected", ()))
    out.append(
        LogChange("revision-rejected", {"revision": config.rejected_revision, "cause": cause})
    )


def update_catalogue(config: ConfigState, old_pages: dict[str, dict[str, Item]]) -> None:
    """Replace the adapters of the pages that changed, and note their names."""
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
    """Handle an index from the platform's watch."""
    if event.path != INDEX_PATH or event.value is None:
        return
    try:
        index = wire.load(event.value, ConfigIndex)
    except Exception:
        # cattrs raises exception groups of many types. The index in force stays.
        out.append(Count("revision_rejected", ()))
        return
    consider_index(state, index, "", event.at, out)


def on_page_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Handle the answer of the platform to the read of a page."""
    if event.status is CallStatus.OK:
        accept_page(state, event.purpose.digest, event.value, event.at, out)


def on_index_notice(state: State, sender: str, message: IndexNotice, at: float, out) -> None:
    """Handle an index that a peer sent."""
    consider_index(state, message.index, sender, at, out)


def on_page_wanted(state: State, sender: str, message: PageWanted, out) -> None:
    """Send a peer the page that it requested, if its text is here."""
    text = state.config.text_by_digest.get(message.digest)
    if text is not None:
        out.append(SendMessage(sender, PageCopy(message.digest, text)))


def on_page_copy(state: State, message: PageCopy, at: float, out) -> None:
    """Handle a page that a peer sent."""
    accept_page(state, message.digest, message.text, at, out)


def on_peer_revision(state: State, sender: str, revision: int, at: float, out) -> None:
    """Send the index in force here to a peer whose revision is lower and stays lower.

    The delay before the first notice is random. So usually one entry sends it, the peer catches up,
    and the other entries need not send theirs.
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
    """Repeat requests for missing pages, with exponential backoff."""
    config = state.config
    if config.pending_index is None or at < config.page_retry_at:
        return
    config.page_retry_s = min(PAGE_RETRY_MAX_S, 2 * config.page_retry_s)
    request_missing_pages(state, select_page_peer(state), at, out)
