"""Changes of the configuration: new immutable pages, then one conditional swap of the index."""

import uuid
from collections.abc import Callable

import orjson
import xxhash
from attrs import define, field

from poplarhoist import wire
from poplarhoist.decisions.events import CallStatus
from poplarhoist.decisions.revisions import (
    CALLERS_PAGE,
    CATALOGUE_PREFIX,
    INDEX_PATH,
    PAGE_PREFIX,
    PRESETS_PAGE,
    page_digest,
)
from poplarhoist.entry.platform import Answer, Platform
from poplarhoist.errors import ConflictError, PlatformError, UnsettledError
from poplarhoist.models import Adapter, Caller, Index, Preset

CATALOGUE_PAGES = 64
RECENT_CHANGES = 64
TRIES = 5


def catalogue_page(adapter: str) -> str:
    """Return the name of the page that holds an adapter."""
    return f"{CATALOGUE_PREFIX}{xxhash.xxh64_intdigest(adapter.encode()) % CATALOGUE_PAGES:02d}"


@define
class Draft:
    """A configuration that is being changed.

    Attributes
    ----------
    pages : dict
        Data of the pages that were read, by name.
    touched : set
        Names of the pages that were changed.
    preset_chosen : bool
        Whether the change says which preset is in force, so that it loses to one that says another.
    """

    index: Index
    version: int
    platform: Platform
    preset: str
    pages: dict[str, dict] = field(factory=dict)
    touched: set[str] = field(factory=set)
    preset_chosen: bool = False

    def use(self, preset: str) -> None:
        """Put a preset in force, also if it is in force already."""
        self.preset = preset
        self.preset_chosen = True

    def page(self, name: str) -> dict:
        """Return the data of a page, read on first use.

        Raises
        ------
        PlatformError
            If the platform does not give the page.
        """
        if name in self.pages:
            return self.pages[name]
        data: dict = {}
        if name in self.index.pages:
            path = PAGE_PREFIX + self.index.pages[name]
            answer = self.platform.get(path)
            if answer.status is not CallStatus.OK:
                raise PlatformError(f"no answer ({answer.status})", "read-page", path)
            data = orjson.loads(answer.value)
        self.pages[name] = data
        return data

    def edit(self, name: str) -> dict:
        """Return the data of a page that is going to be changed."""
        self.touched.add(name)
        return self.page(name)

    def adapter(self, name: str) -> Adapter | None:
        """Return an adapter."""
        data = self.page(catalogue_page(name)).get(name)
        return wire.load(data, Adapter) if data else None

    def put_adapter(self, adapter: Adapter) -> None:
        """Add or change an adapter."""
        self.edit(catalogue_page(adapter.name))[adapter.name] = wire.dump(adapter)

    def adapters(self) -> dict[str, Adapter]:
        """Return all adapters by name."""
        names = [name for name in self.index.pages if name.startswith(CATALOGUE_PREFIX)]
        found = {n: wire.load(a, Adapter) for page in names for n, a in self.page(page).items()}
        return dict(sorted(found.items()))

    def callers(self) -> dict[str, Caller]:
        """Return all callers by name."""
        return wire.load(self.page(CALLERS_PAGE), dict[str, Caller])

    def remove_caller(self, name: str) -> bool:
        """Remove a caller; return whether there was one."""
        return self.edit(CALLERS_PAGE).pop(name, None) is not None

    def put_caller(self, caller: Caller) -> None:
        """Add or change a caller."""
        self.edit(CALLERS_PAGE)[caller.name] = wire.dump(caller)

    def put_preset(self, preset: Preset) -> None:
        """Add or change a preset."""
        self.edit(PRESETS_PAGE)[preset.name] = wire.dump(preset)

    def presets(self) -> dict[str, Preset]:
        """Return all presets by name."""
        return wire.load(self.page(PRESETS_PAGE), dict[str, Preset])


class Publisher:
    """Makes changes of the configuration on the platform."""

    def __init__(self, platform: Platform, author: str) -> None:
        self.platform = platform
        self.author = author

    def draft(self) -> Draft:
        """Read the index.

        Raises
        ------
        PlatformError
            If the platform does not answer.
        """
        answer = self.platform.get(INDEX_PATH)
        if answer.status is CallStatus.NOT_FOUND:
            return Draft(Index(0, "", ""), 0, self.platform, "")
        if answer.status is not CallStatus.OK:
            raise PlatformError(f"no answer ({answer.status})", "read-index", INDEX_PATH)
        index = wire.load(answer.value, Index)
        return Draft(index, answer.version, self.platform, index.preset)

    def change(self, edit: Callable[[Draft], None]) -> Index:
        """Apply a change and return the index that it made.

        Parameters
        ----------
        edit : callable
            Changes a draft; called again on a fresh one if another writer was faster and
            touched nothing that this change touches.

        Raises
        ------
        ConflictError
            If another writer changed the same thing first; nothing is changed then.
        PlatformError
            If the platform does not answer.
        """
        lost_to: Index | None = None
        touched: set[str] = set()
        for _ in range(TRIES):
            draft = self.draft()
            if lost_to is not None:
                self.check_race(lost_to, draft, touched)
            edit(draft)
            change = uuid.uuid4().hex
            index = self.new_index(draft, change)
            answer = self.platform.put(INDEX_PATH, wire.dump(index), draft.version)
            if answer.status is CallStatus.OK or self.settled(answer, change):
                return index
            if answer.status is CallStatus.REFUSED:
                raise PlatformError("refused", "swap-index", INDEX_PATH)
            lost_to, touched = draft.index, changed_names(draft)
        raise ConflictError("other writers were faster", "swap-index", INDEX_PATH)

    def check_race(self, before: Index, draft: Draft, touched: set[str]) -> None:
        """Make sure that the winner of a race changed nothing that this change touches."""
        names = {n for n, digest in draft.index.pages.items() if before.pages.get(n) != digest}
        if draft.index.preset != before.preset:
            names.add("preset")
        if names & touched:
            winner = f"{draft.index.author} won with revision {draft.index.revision}"
            raise ConflictError(f"{winner}; nothing of this change was applied", "swap-index")

    def new_index(self, draft: Draft, change: str) -> Index:
        """Write the changed pages and return the index that names them."""
        pages = dict(draft.index.pages)
        for name in sorted(draft.touched):
            text = orjson.dumps(draft.pages[name], option=orjson.OPT_SORT_KEYS).decode()
            pages[name] = self.write_page(text)
        return Index(
            revision=draft.index.revision + 1,
            change=change,
            preset=draft.preset,
            pages=pages,
            author=self.author,
            recent=(*draft.index.recent[1 - RECENT_CHANGES :], change),
        )

    def write_page(self, text: str) -> str:
        """Write an immutable page and return its digest."""
        digest = page_digest(text)
        path = PAGE_PREFIX + digest
        for _ in range(TRIES):
            answer = self.platform.put(path, text, 0)
            if answer.status in (CallStatus.OK, CallStatus.CONFLICT):
                return digest
            if answer.status is CallStatus.REFUSED:
                break
        raise PlatformError(f"no answer ({answer.status})", "write-page", path)

    def settled(self, answer: Answer, change: str) -> bool:
        """Return whether a swap took effect although its answer was lost or a conflict."""
        if answer.status is CallStatus.CONFLICT and answer.value is not None:
            return change in wire.load(answer.value, Index).recent
        if answer.status is not CallStatus.UNKNOWN:
            return False
        for _ in range(TRIES):
            found = self.platform.get(INDEX_PATH)
            if found.status is CallStatus.OK:
                return change in wire.load(found.value, Index).recent
            if found.status is CallStatus.NOT_FOUND:
                return False
        raise UnsettledError(
            "it is not known whether the change was accepted", "read-back", INDEX_PATH
        )


def changed_names(draft: Draft) -> set[str]:
    """Return the names of what a draft changes."""
    names = set(draft.touched)
    if draft.preset_chosen or draft.preset != draft.index.preset:
        names.add("preset")
    return names
