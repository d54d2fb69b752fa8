"""Copies of records of the store for other entries: the response to a list call, compressed."""

import zlib
from collections.abc import Iterable

import orjson
from attrs import define, field

from poplarhoist.gateway.interfaces import RecordsCopy
from poplarhoist.platform.records import has_metadata

# The fastest level: the records are compressed after each change.
COMPRESSION_LEVEL = 1


@define
class CopiedKind:
    """The records of a kind as last read, in compressed form.

    Attributes
    ----------
    revision, last_change_revision : int
        Store revision up to which changes are known, and the latest one among the records.
    data : bytes
        The records, compressed; empty before they were read.
    max_bytes : int
        Longest form of the records that is accepted from another entry.
    """

    max_bytes: int
    revision: int = 0
    last_change_revision: int = 0
    data: bytes = field(default=b"", repr=False)

    def replace(self, items: Iterable[dict], revision: int) -> None:
        """Keep the records of a list."""
        items = list(items)
        self.data = zlib.compress(orjson.dumps(items), COMPRESSION_LEVEL)
        self.revision = revision
        self.last_change_revision = latest_revision(items)

    def apply(self, changes: list[dict], revision: int) -> None:
        """Apply the changes that a watch has returned."""
        if changes:
            item_by_name = {item["metadata"]["name"]: item for item in self.items()}
            for change in changes:
                item = change["object"]
                item_by_name.pop(item["metadata"]["name"], None)
                if not change.get("tombstone"):
                    item_by_name[item["metadata"]["name"]] = item
            self.replace(item_by_name.values(), revision)
            changed = latest_revision(change["object"] for change in changes)
            self.last_change_revision = max(self.last_change_revision, changed)
        self.revision = max(self.revision, revision)

    def items(self) -> list[dict]:
        """Return the records."""
        return self.unpack(self.data) if self.data else []

    def unpack(self, data: bytes) -> list[dict]:
        """Return the records of a copy.

        Raises
        ------
        ValueError
            If it is no copy, or longer than `max_bytes`.
        """
        decompressor = zlib.decompressobj()
        try:
            text = decompressor.decompress(data, self.max_bytes)
        except zlib.error as error:
            raise ValueError("not compressed") from error
        if not decompressor.eof:
            raise ValueError(f"cut short, or more than {self.max_bytes} bytes")
        items = orjson.loads(text)
        if not isinstance(items, list):
            raise ValueError("no list of records")
        return [item for item in items if has_metadata(item)]

    def copy(self, after: int) -> RecordsCopy | None:
        """Return a copy for another entry, as `Store.copy` says."""
        if not self.data:
            return None
        return RecordsCopy(self.revision, self.data if self.last_change_revision > after else b"")

    def read(self, copy: RecordsCopy) -> list[dict]:
        """Keep another entry's copy, and return its records; raises as `unpack` does."""
        items = self.unpack(copy.data)
        self.data, self.revision = copy.data, max(self.revision, copy.revision)
        self.last_change_revision = latest_revision(items)
        return items


def latest_revision(items: Iterable[dict]) -> int:
    """Return the latest revision among records; 0 if there are none."""
    return max((item["metadata"].get("revision", 0) for item in items), default=0)
