"""Copies of records of the store for other entries: the response to a list call, compressed."""

import zlib
from collections.abc import Iterable
from hashlib import sha256

import orjson
from attrs import define, field

from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.gateway.interfaces import RecordsCopy
from poplarhoist.platform.records import has_metadata

# The fastest level: the records are compressed after each change that another entry copies.
COMPRESSION_LEVEL = 1


@define
class CopiedKind:
    """The records of a kind as last read, and their compressed form.

    Those that cannot be decoded are not given to it, so that it keeps what is in force.
    A restored store may have an earlier version of a record than the one that it has confirmed, or
    lack the record. What was read before is kept then, so that entries that start later learn of it.

    Attributes
    ----------
    position, last_change : Position
        Position up to which changes are known, and the latest one among the records.
    is_read : bool
        Whether the records were read.
    item_by_name : dict
        The records.
    data : bytes
        The records, compressed; empty until another entry wants them.
    digest : str
        Digest of their versions; empty until an entry wants it.
    max_bytes : int
        Longest form of the records that is accepted from another entry.
    """

    max_bytes: int
    position: Position = Position()
    last_change: Position = Position()
    is_read: bool = False
    item_by_name: dict[str, dict] = field(factory=dict, repr=False)
    data: bytes = field(default=b"", repr=False)
    digest: str = ""

    def replace(self, items: Iterable[dict], position: Position) -> list[dict]:
        """Keep the records of a list, and return all that are known."""
        item_by_name = {item["metadata"]["name"]: item for item in items}
        self.last_change = latest_position(item_by_name.values(), position.generation)
        self.position = position
        self.keep(item_by_name | self.later_than(item_by_name))
        return self.items()

    def apply(self, changes: list[dict], position: Position) -> None:
        """Apply the changes that a watch has returned."""
        self.position = max(self.position, position)
        if not changes:
            return
        item_by_name = dict(self.item_by_name)
        for change in changes:
            item = change["object"]
            name = item["metadata"]["name"]
            if change.get("tombstone"):
                item_by_name.pop(name, None)
            elif name not in item_by_name or version_of(item) >= version_of(item_by_name[name]):
                item_by_name[name] = item
        self.keep(item_by_name)
        changed = latest_position((change["object"] for change in changes), position.generation)
        self.last_change = max(self.last_change, changed)

    def keep(self, item_by_name: dict[str, dict]) -> None:
        """Replace the records; what is derived from them is worked out when an entry wants it."""
        self.is_read, self.item_by_name, self.data, self.digest = True, item_by_name, b"", ""

    def later_than(self, item_by_name: dict[str, dict]) -> dict[str, dict]:
        """Return the records kept here that others lack or have in an earlier version.

        Their revisions are those of the others: the ones of before say nothing in a restored store.
        """
        later = {}
        for name, item in self.item_by_name.items():
            other = item_by_name.get(name)
            if other is None:
                later[name] = item | {"metadata": {"name": name, "revision": 0}}
            elif version_of(item) > version_of(other):
                later[name] = other | {"spec": item["spec"]}
        return later

    def items(self) -> list[dict]:
        """Return the records."""
        return list(self.item_by_name.values())

    def versions_digest(self) -> str:
        """Return a digest of the names and versions of the records."""
        if not self.digest:
            versions = sorted((name, version_of(item)) for name, item in self.item_by_name.items())
            self.digest = sha256(orjson.dumps(versions)).hexdigest()
        return self.digest

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
        if not self.is_read:
            return None
        if self.last_change <= after:
            return RecordsCopy(self.position, b"")
        if not self.data:
            self.data = zlib.compress(orjson.dumps(self.items()), COMPRESSION_LEVEL)
        return RecordsCopy(self.position, self.data)

    def read(self, copy: RecordsCopy) -> list[dict]:
        """Keep another entry's copy, and return its records; raises as `unpack` does."""
        items = self.replace(self.unpack(copy.data), max(self.position, copy.position))
        self.last_change = latest_position(items, copy.position.generation)
        return items

    def adopt(self, copy: RecordsCopy) -> list[dict]:
        """Take what is later or missing here from another entry's copy, and return it.

        The positions stay, since the copy may be of another generation. Raises as `unpack` does.
        """
        other = CopiedKind(self.max_bytes)
        other.replace(self.unpack(copy.data), copy.position)
        later = other.later_than(self.item_by_name)
        self.keep(self.item_by_name | later)
        return list(later.values())


def latest_position(items: Iterable[dict], generation: int) -> Position:
    """Return the latest position among records of a generation; revision 0 if there are none."""
    revisions = (item["metadata"].get("revision", 0) for item in items)
    return Position(generation, max(revisions, default=0))


def version_of(item: dict) -> int:
    """Return the version that a record names; -1 if it names none."""
    content = item.get("spec")
    version = content.get("version") if isinstance(content, dict) else None
    return version if type(version) is int else -1
