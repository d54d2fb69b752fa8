"""Commands of ``poplarhoist-ctl`` as classes; defopt derives the arguments from their fields."""

from pathlib import Path
from typing import TypeVar

from attrs import field, frozen

C = TypeVar("C", bound=type)

SHARED_ARGUMENTS = {
    "settings": "Settings file of the site.",
    "json": "Print the result as JSON.",
    "wait_s": "Seconds to wait until the change has taken effect; 0 does not wait.",
}


def command(cls: C) -> C:
    """Turn a class into a frozen command and document its inherited arguments.

    defopt takes the help texts of the arguments from the docstring of the class, so the
    descriptions of the inherited ones are appended to it.
    """
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
    """Arguments that all commands share, except ``trace``."""

    settings: Path = field(kw_only=True)
    json: bool = field(kw_only=True, default=False)


@frozen
class Change(Command):
    """Arguments of the commands that change a site; entries apply a change with a delay."""

    wait_s: float = field(kw_only=True, default=0.0)


@command
class AdapterCreate(Change):
    """Add an adapter.

    Parameters
    ----------
    name
        Name of the adapter.
    base
        Base model that the adapter adapts.
    caller
        Callers allowed to use the adapter; all if none is given.
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
        TOML file with one table per adapter; its keys are base, version and callers.
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
    """Withdraw a version; running requests continue, new ones are refused.

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
    """Add or change a caller; only a digest of the token is stored.

    Parameters
    ----------
    name
        Name of the caller.
    token
        Token of the caller; read from standard input if it is not given.
    priority
        Requests of higher priority are served first.
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
    """Add or change presets from a file or by single values.

    Parameters
    ----------
    name
        Name of the preset; if it is not given, all presets in the file.
    file
        TOML file with one table per preset.
    set
        Values in TOML such as max_wait_s=4; all others stay as they are.
    """

    name: str = ""
    file: Path | None = field(kw_only=True, default=None)
    set: tuple[str, ...] = field(kw_only=True, default=())


@command
class PresetUse(Change):
    """Put a preset in force; it replaces the current one.

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
    """List engines and services with their resident adapters and their load."""


@command
class Status(Command):
    """Show the revision, preset, leads, queues and refusals of every entry."""


@command
class Explain(Command):
    """Explain to which endpoint a request would go now, or why it would be refused.

    Parameters
    ----------
    model
        Adapter in the form that callers use, with or without a version.
    caller
        Name of the caller.
    entry
        Entry to ask; if it is not given, the first one that responds.
    deadline_s
        Seconds for which the caller would wait for the first byte.
    """

    model: str
    caller: str = field(kw_only=True)
    entry: str = field(kw_only=True, default="")
    deadline_s: float = field(kw_only=True, default=30.0)


@command
class Drain(Change):
    """Stop an entry gracefully; with a wait, return when it has stopped.

    Parameters
    ----------
    entry
        Name of the entry.
    """

    entry: str


@command
class Check(Command):
    """Check a settings file without contacting the platform or an entry."""


@frozen
class Trace:
    """Show the log lines of a request, and those that explain them, from all entries.

    Parameters
    ----------
    request
        Request id that the caller sent.
    logs
        Log files, one or more per entry.
    json
        Print the log lines as JSON.
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
