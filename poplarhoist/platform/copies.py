"""Copies of records of the store for other entries: the response to a list call, compressed."""

import zlib
from collections.abc import Iterable

import orjson
from attrs import define, field

from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.gateway.interfaces import RecordsCopy
from poplarhoist.platform.records import has_metadata

# The fastest level: the records are compressed after each change.
COMPRESSION_LEVEL = 1


@define
class CopiedKind:
    """The records of a kind as last read, in compressed form.

    Attributes
    ----------
    position, last_change : Position
        Position up to which changes are known, and the latest one among the records.
    data : bytes
        The records, compressed; empty before they were read.
    max_bytes : int
        Longest form of the records that is accepted from another entry.
    """

    max_bytes: int
    position: Position = Position()
    last_change: Position = Position()
    data: bytes = field(default=b"", repr=False)

    def replace(self, items: Iterable[dict], position: Position) -> list[dict]:
        """Keep and return the records of a list, but none with an earlier version than the one kept here.

        A restored store may have an earlier version than the one that it has confirmed. Entries that
        start then learn of the later one from copies.
        """
        items = with_later_versions(items, self.items())
        self.data = zlib.compress(orjson.dumps(items), COMPRESSION_LEVEL)
        self.position = position
        self.last_change = latest_position(items, position.generation)
        return items

    def apply(self, changes: list[dict], position: Position) -> None:
        """Apply the changes that a watch has returned."""
        if changes:
            item_by_name = {item["metadata"]["name"]: item for item in self.items()}
            for change in changes:
                item = change["object"]
                item_by_name.pop(item["metadata"]["name"], None)
                if not change.get("tombstone"):
                    item_by_name[item["metadata"]["name"]] = item
            self.replace(item_by_name.values(), position)
            changed = latest_position((change["object"] for change in changes), position.generation)
            self.last_change = max(self.last_change, changed)
        self.position = max(self.position, position)

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

    def copy(self, after: Position) -> RecordsCopy | None:
        """Return a copy for another entry, as `Store.copy` says."""
        if not self.data:
            return None
        return RecordsCopy(self.position, self.data if self.last_change > after else b"")

    def read(self, copy: RecordsCopy) -> list[dict]:
        """Keep another entry's copy, and return its records; raises as `unpack` does."""
        items = self.replace(self.unpack(copy.data), max(self.position, copy.position))
        self.last_change = latest_position(items, copy.position.generation)
        return items

    def adopt(self, copy: RecordsCopy) -> list[dict]:
        """Take later versions from another entry's copy; return their records; raises as `unpack`.

        The positions stay, since the copy may be of another generation.
        """
        kept = self.items()
        adopted = with_later_versions(kept, self.unpack(copy.data))
        self.data = zlib.compress(orjson.dumps(adopted), COMPRESSION_LEVEL)
        return [item for item in adopted if item not in kept]


def latest_position(items: Iterable[dict], generation: int) -> Position:
    """Return the latest position among records of a generation; revision 0 if there are none."""
    revisions = (item["metadata"].get("revision", 0) for item in items)
    return Position(generation, max(revisions, default=0))


def with_later_versions(items: Iterable[dict], others: Iterable[dict]) -> list[dict]:
    """Return records, each with the content of its namesake among others if that is a later version."""
    other_by_name = {item["metadata"]["name"]: item for item in others}
    latest = []
    for item in items:
        other = other_by_name.get(item["metadata"]["name"], item)
        is_later = version_of(other) > version_of(item)
        latest.append(item | {"spec": other["spec"]} if is_later else item)
    return latest


def version_of(item: dict) -> int:
    """Return the version that a record names; -1 if it names none."""
    content = item.get("spec")
    version = content.get("version") if isinstance(content, dict) else None
    return version if type(version) is int else -1
