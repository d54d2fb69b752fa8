"""Reads adapters from a TOML file for ``adapter import``."""

from pathlib import Path

from attrs import evolve, field, frozen, validators

from poplarhoist.ctl.tables import read_tables
from poplarhoist.errors import ConflictError
from poplarhoist.models import Adapter, VersionState
from poplarhoist.settings.files import settings_errors
from poplarhoist.settings.structure import converter, describe_errors

STEP = "import-adapter"


@frozen
class AdapterTable:
    """Table of one adapter in the file.

    Attributes
    ----------
    base : str
        Base model that the adapter adapts.
    version : int
        Version to publish and make current; 0 for none.
    callers : tuple
        Names of the callers allowed to use the adapter; ``*`` allows all.
    """

    base: str
    version: int = field(default=0, validator=validators.ge(0))
    callers: tuple[str, ...] = ("*",)


def read_adapters(path: Path) -> dict[str, AdapterTable]:
    """Return the adapters of a file by name.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each fault in the file.
    """
    problems: list[str] = []
    adapters: dict[str, AdapterTable] = {}
    for name, table in read_tables(path).items():
        try:
            adapters[name] = converter.structure(table, AdapterTable)
        except Exception as error:
            problems += [f"{fault} of {name}" for fault in describe_errors(error)]
    if problems:
        raise settings_errors(path, problems)
    return adapters


def merge_adapter(existing: Adapter | None, name: str, table: AdapterTable) -> Adapter:
    """Return an adapter with the callers and the version of its table applied.

    Parameters
    ----------
    existing : Adapter or None
        The adapter as it is configured now; None for a new one. Its other versions are kept.

    Raises
    ------
    ConflictError
        If the adapter exists for another base model.
    """
    adapter = existing or Adapter(name, table.base)
    if adapter.base != table.base:
        raise ConflictError(f"exists already for base model {adapter.base}", STEP, name)
    adapter = evolve(adapter, callers=table.callers)
    if table.version:
        versions = {**adapter.versions, str(table.version): VersionState.PUBLISHED}
        adapter = evolve(adapter, versions=versions, current=table.version)
    return adapter
