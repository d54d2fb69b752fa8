"""Commands of ``poplarhoist-ctl`` as data; defopt reads the arguments from the classes."""

from pathlib import Path
from typing import TypeVar

from attrs import field, frozen

C = TypeVar("C", bound=type)

SHARED_ARGUMENTS = {
    "settings": "Settings file of the site.",
    "json": "Answer in JSON.",
    "wait_s": "Seconds to wait until it is done on every entry; 0 not to wait.",
}


def command(cls: C) -> C:
    """Make a command of a class; describes the arguments that it inherits."""
    cls = frozen(cls)
    shared = [name for name in SHARED_ARGUMENTS if hasattr(cls, name)]
    lines = [f"{name}\n    {SHARED_ARGUMENTS[name]}" for name in shared]
    doc = cls.__doc__ or ""
    if "Parameters\n" not in doc:
        lines[:0] = ["", "Parameters", "----------"]
    cls.__doc__ = "\n".join([*(line.removeprefix("    ") for line in doc.splitlines()), *lines])
    return cls


@frozen
class Command:
    """Arguments of every command."""

    settings: Path = field(kw_only=True)
    json: bool = field(kw_only=True, default=False)


@frozen
class Change(Command):
    """Arguments of every command that takes effect over time."""

    wait_s: float = field(kw_only=True, default=0.0)


@command
class AdapterCreate(Change):
    """Add an adapter.

    Parameters
    ----------
    name
        Name of the adapter.
    base
        Base model that it adapts.
    caller
        Callers allowed to use it; all if none is given.
    """

    name: str
    base: str = field(kw_only=True)
    caller: tuple[str, ...] = field(kw_only=True, default=("*",))


@command
class AdapterImport(Change):
    """Add many adapters, or versions of them, in one change.

    Parameters
    ----------
    file
        TOML file with a table for each adapter: base, version, callers.
    """

    file: Path


@command
class AdapterShow(Command):
    """Show an adapter.

    Parameters
    ----------
    name
        Name of the adapter.
    """

    name: str


@command
class AdapterList(Command):
    """List the adapters."""


@command
class VersionPublish(Change):
    """Publish a version of an adapter and make it the current one.

    Parameters
    ----------
    adapter
        Name of the adapter.
    version
        Number of the version.
    """

    adapter: str
    version: int


@command
class VersionWithdraw(Change):
    """Withdraw a version; requests that run go on, new ones are refused.

    Parameters
    ----------
    adapter
        Name of the adapter.
    version
        Number of the version.
    """

    adapter: str
    version: int


@command
class CallerPut(Change):
    """Add or change a caller; only a digest of the token is kept.

    Parameters
    ----------
    name
        Name of the caller.
    token
        Token that the caller sends; read from standard input if it is not given.
    priority
        Higher goes first.
    """

    name: str
    token: str = field(kw_only=True, default="")
    priority: int = field(kw_only=True, default=0)


@command
class CallerList(Command):
    """List the callers."""


@command
class CallerRemove(Change):
    """Remove a caller; its requests are refused from then on.

    Parameters
    ----------
    name
        Name of the caller.
    """

    name: str


@command
class PresetPut(Change):
    """Add or change presets, from a file or by setting single values.

    Parameters
    ----------
    name
        Name of the preset; all presets of the file if it is not given.
    file
        TOML file with a table for each preset.
    set
        Values in TOML such as max_wait_s=4; others keep what they were.
    """

    name: str = ""
    file: Path | None = field(kw_only=True, default=None)
    set: tuple[str, ...] = field(kw_only=True, default=())


@command
class PresetUse(Change):
    """Put a preset in force, in place of the one before.

    Parameters
    ----------
    name
        Name of the preset.
    """

    name: str


@command
class PresetShow(Command):
    """Show a preset.

    Parameters
    ----------
    name
        Name of the preset; the one in force if it is not given.
    """

    name: str = ""


@command
class PresetList(Command):
    """List the presets."""


@command
class EndpointList(Command):
    """List engines and services with what they hold and run."""


@command
class Status(Command):
    """Show every entry: revision, preset, leads, queues and refusals."""


@command
class Explain(Command):
    """Explain where a request would go now, or why it would be refused.

    Parameters
    ----------
    model
        Adapter as a caller names it, with or without a version.
    caller
        Name of the caller.
    entry
        Entry to ask; the first that answers if none is given.
    deadline_s
        Seconds that the caller would wait for the first byte.
    """

    model: str
    caller: str = field(kw_only=True)
    entry: str = field(kw_only=True, default="")
    deadline_s: float = field(kw_only=True, default=30.0)


@command
class Drain(Change):
    """Stop an entry gracefully; with a wait, until it has stopped.

    Parameters
    ----------
    entry
        Name of the entry.
    """

    entry: str


@command
class Check(Command):
    """Check a settings file without calling anything."""


@frozen
class Trace:
    """Tell the story of a request from the log files of all entries.

    Parameters
    ----------
    request
        Id that the caller gave the request.
    logs
        Log files, one or more for each entry.
    json
        Answer in JSON.
    """

    request: str
    logs: tuple[Path, ...] = field(kw_only=True)
    json: bool = field(kw_only=True, default=False)


COMMANDS = {
    "adapter": {
        "create": AdapterCreate,
        "import": AdapterImport,
        "show": AdapterShow,
        "list": AdapterList,
    },
    "version": {"publish": VersionPublish, "withdraw": VersionWithdraw},
    "caller": {"put": CallerPut, "list": CallerList, "remove": CallerRemove},
    "preset": {"put": PresetPut, "use": PresetUse, "show": PresetShow, "list": PresetList},
    "endpoint": {"list": EndpointList},
    "status": Status,
    "explain": Explain,
    "drain": Drain,
    "check": Check,
    "trace": Trace,
}
