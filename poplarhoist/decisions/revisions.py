"""Which configuration revision is in force: never a lower one, and only when whole."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import orjson
from attrs import define, field

from poplarhoist import wire
from poplarhoist.decisions.effects import Count, LogChange, PageRead, PlatformGet, SendMessage
from poplarhoist.decisions.events import CallStatus, ObjectChanged, PlatformAnswered
from poplarhoist.decisions.messages import IndexNotice, PageCopy, PageWanted
from poplarhoist.models import Adapter, Caller, Index, Preset

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

INDEX_PATH = "index"
PAGE_PREFIX = "pages/"
CATALOGUE_PREFIX = "catalogue/"
CALLERS_PAGE = "callers"
PRESETS_PAGE = "presets"
PAGE_RETRY_S = 0.5


@define
class ConfigState:
    """The index in force and what its pages say.

    Attributes
    ----------
    pending : Index or None
        A higher index of which pages are still missing.
    page_text : dict
        Text of each page in force, by digest, for peers that cannot reach the platform.
    changed : set
        Adapters on the pages that the last revision changed.
    """

    index: Index | None = None
    pending: Index | None = None
    pending_from: str = ""
    asked_at: float = 0.0
    page_text: dict[str, str] = field(factory=dict)
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
        if self.index is None:
            return Preset("none")
        return self.presets_by_name.get(self.index.preset, Preset(self.index.preset))


def page_digest(text: str) -> str:
    """Return the digest under which a page is kept."""
    return hashlib.sha256(text.encode()).hexdigest()


def offer(state: State, index: Index, source: str, at: float, out: list[Effect]) -> None:
    """Consider an index that the platform or a peer told of."""
    config = state.config
    highest = config.pending.revision if config.pending else config.revision
    if index.revision <= highest:
        return
    config.pending = index
    config.pending_from = source
    ask_missing(state, at, out)
    install_when_whole(state, out)


def missing_pages(config: ConfigState) -> list[str]:
    """Return the digests of the pending index that are not here."""
    if config.pending is None:
        return []
    return [d for d in config.pending.pages.values() if d not in config.page_text]


def ask_missing(state: State, at: float, out: list[Effect]) -> None:
    """Ask the platform, and the peer that told of the index, for missing pages."""
    config = state.config
    config.asked_at = at
    for digest in missing_pages(config):
        out.append(PlatformGet(PAGE_PREFIX + digest, PageRead(digest)))
        if config.pending_from:
            out.append(SendMessage(config.pending_from, PageWanted(digest)))


def take_page(state: State, digest: str, text: str, out: list[Effect]) -> None:
    """Keep a page that arrived, if its text has the digest that was asked for."""
    if page_digest(text) != digest:
        out.append(Count("page_rejected", ()))
        return
    if digest not in missing_pages(state.config):
        return
    state.config.page_text[digest] = text
    install_when_whole(state, out)


def install_when_whole(state: State, out: list[Effect]) -> None:
    """Put the pending index in force once all its pages are here."""
    config = state.config
    if config.pending is None or missing_pages(config):
        return
    old_pages = config.index.pages if config.index else {}
    config.changed.clear()
    for name in old_pages.keys() - config.pending.pages.keys():
        forget_page(config, name, old_pages[name])
    for name, digest in config.pending.pages.items():
        if old_pages.get(name) == digest:
            continue
        if name in old_pages:
            forget_page(config, name, old_pages[name])
        read_page(config, name, config.page_text[digest])
    config.index = config.pending
    config.pending = None
    in_force = set(config.index.pages.values())
    config.page_text = {d: t for d, t in config.page_text.items() if d in in_force}
    out.append(
        LogChange(
            "revision-in-force",
            {"revision": config.index.revision, "preset": config.index.preset},
        )
    )


def forget_page(config: ConfigState, name: str, digest: str) -> None:
    """Drop what an old page said of adapters."""
    if not name.startswith(CATALOGUE_PREFIX):
        return
    for adapter in orjson.loads(config.page_text[digest]):
        config.adapters_by_name.pop(adapter, None)


def read_page(config: ConfigState, name: str, text: str) -> None:
    """Take over what a page says."""
    data = orjson.loads(text)
    if name.startswith(CATALOGUE_PREFIX):
        for key, value in data.items():
            config.adapters_by_name[key] = wire.load(value, Adapter)
            config.changed.add(key)
    elif name == CALLERS_PAGE:
        callers = wire.load(data, dict[str, Caller])
        config.callers_by_digest = {caller.token_sha256: caller for caller in callers.values()}
    elif name == PRESETS_PAGE:
        config.presets_by_name = wire.load(data, dict[str, Preset])


def on_object(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Take an index from the platform's watch."""
    if event.path == INDEX_PATH and event.value is not None:
        offer(state, wire.load(event.value, Index), "", event.at, out)


def on_page_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Take a page from the platform."""
    if event.status is CallStatus.OK:
        take_page(state, event.purpose.digest, event.value, out)


def on_index_notice(state: State, sender: str, message: IndexNotice, at: float, out) -> None:
    """Take an index from a peer."""
    offer(state, message.index, sender, at, out)


def on_page_wanted(state: State, sender: str, message: PageWanted, out) -> None:
    """Give a peer a page that is in force here."""
    text = state.config.page_text.get(message.digest)
    if text is not None:
        out.append(SendMessage(sender, PageCopy(message.digest, text)))


def on_page_copy(state: State, message: PageCopy, out) -> None:
    """Take a page from a peer."""
    take_page(state, message.digest, message.text, out)


def on_peer_revision(state: State, sender: str, revision: int, out) -> None:
    """Tell a peer that is behind what index is in force here."""
    if state.config.index is not None and revision < state.config.revision:
        out.append(SendMessage(sender, IndexNotice(state.config.index)))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Ask again for pages that did not arrive."""
    config = state.config
    if config.pending is not None and at - config.asked_at >= PAGE_RETRY_S:
        ask_missing(state, at, out)
