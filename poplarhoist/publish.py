"""Changes the configuration: writes new immutable pages, then swaps the index conditionally."""

import uuid
from collections.abc import Callable, Iterable

import xxhash
from attrs import define, field

from poplarhoist import wire
from poplarhoist.decisions.events import CallStatus
from poplarhoist.decisions.pages import (
    CALLERS_PAGE,
    CATALOGUE_PREFIX,
    INDEX_PATH,
    PAGE_PREFIX,
    PRESETS_PAGE,
    MalformedPageError,
    decode_page,
    encode_page,
    page_digest,
    parse_page,
)
from poplarhoist.entry.platform import CallResult, Platform
from poplarhoist.errors import ConflictError, NotFoundError, PlatformError, UnsettledError
from poplarhoist.models import Adapter, Caller, ConfigIndex, Preset

CATALOGUE_PAGE_COUNT = 64
MAX_RECENT_CHANGES = 64
PAGE_RETENTION_REVISIONS = 32
MAX_RETIRED_PAGES = 256
MAX_DELETES_PER_CHANGE = 8
MAX_ATTEMPTS = 5


def catalogue_page(adapter: str) -> str:
    """Return the name of the page that holds an adapter."""
    return (
        f"{CATALOGUE_PREFIX}{xxhash.xxh64_intdigest(adapter.encode()) % CATALOGUE_PAGE_COUNT:02d}"
    )


@define
class Draft:
    """A configuration that is being edited.

    Attributes
    ----------
    index : ConfigIndex
        The index that the draft is based on.
    index_version : int
        Version of the index object; 0 if there is none yet.
    preset : str
        The preset that will be in force.
    pages : dict
        Data of the pages read so far, by name, including the edits.
    original_pages : dict
        The same data without the edits.
    edited_pages : set
        Names of the pages opened for editing.
    selects_preset : bool
        Whether the change selects the preset in force. Such a change conflicts with a concurrent
        one that selects another preset.
    """

    index: ConfigIndex
    index_version: int
    platform: Platform
    preset: str
    pages: dict[str, dict] = field(factory=dict)
    original_pages: dict[str, dict] = field(factory=dict)
    edited_pages: set[str] = field(factory=set)
    selects_preset: bool = False

    def select_preset(self, preset: str) -> None:
        """Select the preset in force; this counts as a change even if it is in force already."""
        self.preset = preset
        self.selects_preset = True

    def get_page(self, name: str) -> dict:
        """Return the data of a page, read on first use; empty if there is no such page.

        Raises
        ------
        PlatformError
            If the platform does not return the page.
        """
        if name in self.pages:
            return self.pages[name]
        text = encode_page("", {})
        if name in self.index.pages:
            path = PAGE_PREFIX + self.index.pages[name]
            answer = self.platform.get(path)
            if answer.status is not CallStatus.OK:
                raise PlatformError(f"no answer ({answer.status})", "read-page", path)
            text = answer.value
        self.original_pages[name] = decode_page(text)
        self.pages[name] = decode_page(text)
        return self.pages[name]

    def edit_page(self, name: str) -> dict:
        """Return the data of a page for editing in place."""
        self.edited_pages.add(name)
        return self.get_page(name)

    def get_adapter(self, name: str) -> Adapter | None:
        """Return an adapter; None if there is none of that name."""
        data = self.get_page(catalogue_page(name)).get(name)
        return wire.load(data, Adapter) if data else None

    def put_adapter(self, adapter: Adapter) -> None:
        """Add or replace an adapter."""
        self.edit_page(catalogue_page(adapter.name))[adapter.name] = wire.dump(adapter)

    def load_adapters(self) -> dict[str, Adapter]:
        """Return all adapters by name, sorted; reads all catalogue pages."""
        page_names = [name for name in self.index.pages if name.startswith(CATALOGUE_PREFIX)]
        adapters_by_name = {
            n: wire.load(a, Adapter) for page in page_names for n, a in self.get_page(page).items()
        }
        return dict(sorted(adapters_by_name.items()))

    def load_callers(self) -> dict[str, Caller]:
        """Return all callers by name."""
        return wire.load(self.get_page(CALLERS_PAGE), dict[str, Caller])

    def remove_caller(self, name: str) -> bool:
        """Remove a caller; return whether there was one."""
        return self.edit_page(CALLERS_PAGE).pop(name, None) is not None

    def put_caller(self, caller: Caller) -> None:
        """Add or replace a caller."""
        self.edit_page(CALLERS_PAGE)[caller.name] = wire.dump(caller)

    def put_preset(self, preset: Preset) -> None:
        """Add or replace a preset."""
        self.edit_page(PRESETS_PAGE)[preset.name] = wire.dump(preset)

    def load_presets(self) -> dict[str, Preset]:
        """Return all presets by name."""
        return wire.load(self.get_page(PRESETS_PAGE), dict[str, Preset])

    def preset_exists(self) -> bool:
        """Return whether the preset that will be in force exists.

        The presets page is read only if the change affects it or selects another preset.
        """
        unchanged = self.preset == self.index.preset and PRESETS_PAGE not in self.edited_pages
        if not self.preset or unchanged:
            return True
        return self.preset in self.load_presets()

    def changed_pages(self) -> list[str]:
        """Return the names of the edited pages whose data differs from the original."""
        return sorted(n for n in self.edited_pages if self.pages[n] != self.original_pages[n])

    def changed_items(self) -> set[str]:
        """Return the names of the items that this draft changes."""
        item_names = set()
        for page in self.edited_pages:
            item_names |= diff_page(page, self.original_pages[page], self.pages[page])
        if self.selects_preset or self.preset != self.index.preset:
            item_names.add("preset")
        return item_names

    def changed_items_since(self, older: "Draft") -> set[str]:
        """Return the names of the items that others changed since an older draft.

        Only the pages that the older draft edited are compared.
        """
        item_names = set()
        for page in older.edited_pages:
            item_names |= diff_page(page, older.original_pages[page], self.get_page(page))
        if self.index.preset != older.index.preset:
            item_names.add("preset")
        return item_names


def diff_page(page: str, before: dict, after: dict) -> set[str]:
    """Return the names of the items that differ between two states of a page, as ``page/key``."""
    keys = before.keys() | after.keys()
    return {f"{page}/{key}" for key in keys if before.get(key) != after.get(key)}


class Publisher:
    """Applies changes to the configuration on the platform."""

    def __init__(self, platform: Platform, author: str) -> None:
        self.platform = platform
        self.author = author

    def read_draft(self) -> Draft:
        """Read the index and return a draft based on it.

        Raises
        ------
        PlatformError
            If the platform does not answer.
        """
        answer = self.platform.get(INDEX_PATH)
        if answer.status is CallStatus.NOT_FOUND:
            return Draft(ConfigIndex(0, "", ""), 0, self.platform, "")
        if answer.status is not CallStatus.OK:
            raise PlatformError(f"no answer ({answer.status})", "read-index", INDEX_PATH)
        index = wire.load(answer.value, ConfigIndex)
        return Draft(index, answer.version, self.platform, index.preset)

    def apply_change(self, edit: Callable[[Draft], None]) -> ConfigIndex:
        """Apply a change and return the index that contains it, or a later index.

        Parameters
        ----------
        edit : callable
            Edits a draft; called again with a new draft if another writer was first and changed
            none of the same items.

        Raises
        ------
        ConflictError
            If another writer changed the same item first, or other writers were first in
            ``MAX_ATTEMPTS`` attempts; nothing is changed then.
        UnsettledError
            If it is not known whether the change was accepted.
        PlatformError
            If the platform does not answer; nothing is changed then.
        """
        losing_draft: Draft | None = None
        change_ids: set[str] = set()
        status = CallStatus.CONFLICT
        for _ in range(MAX_ATTEMPTS):
            try:
                draft = self.reread_draft(losing_draft, change_ids)
                if change_ids.intersection(draft.index.recent):
                    return draft.index
                edit(draft)
                index = self.build_index(draft, uuid.uuid4().hex)
            except PlatformError as error:
                if status is CallStatus.UNKNOWN:
                    raise self.unsettled_error() from error
                raise
            change_ids.add(index.change)
            answer = self.platform.put(INDEX_PATH, wire.dump(index), draft.index_version)
            status = answer.status
            accepted = (
                index if status is CallStatus.OK else self.find_accepted_index(answer, change_ids)
            )
            if accepted is not None:
                return accepted
            if status is CallStatus.REFUSED:
                raise PlatformError("refused", "swap-index", INDEX_PATH)
            if status is CallStatus.CONFLICT:
                self.delete_pages(set(index.pages.values()) - set(draft.index.pages.values()))
            losing_draft = draft
        if status is CallStatus.UNKNOWN:
            raise self.unsettled_error()
        raise ConflictError("other writers were faster", "swap-index", INDEX_PATH)

    def reread_draft(self, losing_draft: Draft | None, change_ids: set[str]) -> Draft:
        """Read the index; after a failed swap, also check for a conflict with other writers."""
        draft = self.read_draft()
        if losing_draft is not None and not change_ids.intersection(draft.index.recent):
            self.check_conflict(losing_draft, draft)
        return draft

    def check_conflict(self, losing_draft: Draft, draft: Draft) -> None:
        """Check that the writers that were first changed none of the items of this change.

        Raises
        ------
        ConflictError
            If they did.
        """
        if draft.changed_items_since(losing_draft) & losing_draft.changed_items():
            winner = f"{draft.index.author} won with revision {draft.index.revision}"
            raise ConflictError(f"{winner}; nothing of this change was applied", "swap-index")

    def build_index(self, draft: Draft, change_id: str) -> ConfigIndex:
        """Write the changed pages and return the index that names them.

        Also deletes up to ``MAX_DELETES_PER_CHANGE`` pages that no index has named for
        ``PAGE_RETENTION_REVISIONS`` revisions.

        Raises
        ------
        NotFoundError
            If the selected preset does not exist.
        PlatformError
            If the platform does not accept a page.
        """
        if not draft.preset_exists():
            raise NotFoundError("there is no such preset", "check-change", draft.preset)
        revision = draft.index.revision + 1
        pages = dict(draft.index.pages)
        retired = dict(draft.index.retired)
        for name in draft.changed_pages():
            if name in pages:
                retired[pages[name]] = revision
            pages[name] = self.write_page(name, encode_page(change_id, draft.pages[name]))
        expired_digests = [
            d for d, at in retired.items() if revision - at >= PAGE_RETENTION_REVISIONS
        ]
        for digest in self.delete_pages(expired_digests[:MAX_DELETES_PER_CHANGE]):
            del retired[digest]
        return ConfigIndex(
            revision=revision,
            change=change_id,
            preset=draft.preset,
            pages=pages,
            author=self.author,
            recent=(*draft.index.recent[1 - MAX_RECENT_CHANGES :], change_id),
            retired=dict(list(retired.items())[-MAX_RETIRED_PAGES:]),
        )

    def write_page(self, name: str, text: str) -> str:
        """Write an immutable page and return its digest.

        Raises
        ------
        PlatformError
            If the page is malformed or the platform does not accept it.
        """
        try:
            parse_page(name, text)
        except MalformedPageError as error:
            raise PlatformError(str(error), "check-page", name) from error
        digest = page_digest(text)
        path = PAGE_PREFIX + digest
        for _ in range(MAX_ATTEMPTS):
            answer = self.platform.put(path, text, 0)
            # The page contains the id of this change, so a conflict means that an earlier attempt
            # of this writer was applied.
            if answer.status in (CallStatus.OK, CallStatus.CONFLICT):
                return digest
            if answer.status is CallStatus.REFUSED:
                break
        raise PlatformError(f"no answer ({answer.status})", "write-page", path)

    def delete_pages(self, digests: Iterable[str]) -> list[str]:
        """Delete pages that no index names; return the digests that no longer exist."""
        deleted_digests = []
        for digest in digests:
            path = PAGE_PREFIX + digest
            stored = self.platform.get(path)
            status = stored.status
            if status is CallStatus.OK:
                status = self.platform.delete(path, stored.version).status
            if status in (CallStatus.OK, CallStatus.NOT_FOUND):
                deleted_digests.append(digest)
        return deleted_digests

    def find_accepted_index(self, answer: CallResult, change_ids: set[str]) -> ConfigIndex | None:
        """Return the stored index if a swap took effect although its response does not say so.

        Raises
        ------
        UnsettledError
            If the response was lost and the index cannot be read back.
        """
        if answer.status is CallStatus.CONFLICT and answer.value is not None:
            return index_if_accepted(answer.value, change_ids)
        for _ in range(MAX_ATTEMPTS):
            stored = self.platform.get(INDEX_PATH)
            if stored.status is CallStatus.OK:
                return index_if_accepted(stored.value, change_ids)
            if stored.status is CallStatus.NOT_FOUND or answer.status is CallStatus.REFUSED:
                return None
        raise self.unsettled_error()

    def unsettled_error(self) -> UnsettledError:
        """Return the error for a change whose outcome is unknown."""
        message = "it is not known whether the change was accepted"
        return UnsettledError(message, "read-back", INDEX_PATH)


def index_if_accepted(value: object, change_ids: set[str]) -> ConfigIndex | None:
    """Return a stored index if it contains one of the changes, else None.

    Other writers may have changed the index since, so the recent changes are compared.
    """
    index = wire.load(value, ConfigIndex)
    return index if change_ids.intersection(index.recent) else None
