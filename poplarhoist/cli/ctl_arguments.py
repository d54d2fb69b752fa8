"""Arguments of ``poplarhoist-ctl``: each function describes a command as data."""

from pathlib import Path

from attrs import frozen


@frozen
class Target:
    """Which site a command is for and how it answers.

    Attributes
    ----------
    wait_s : float
        Seconds to wait until a change is in force on every entry; 0 not to wait.
    """

    settings: Path
    json: bool = False
    wait_s: float = 0.0


@frozen
class AdapterCreate:
    """Add an adapter."""

    target: Target
    name: str
    base: str
    callers: tuple[str, ...]


@frozen
class VersionPublish:
    """Publish a version of an adapter and make it the current one."""

    target: Target
    adapter: str
    version: int


@frozen
class VersionWithdraw:
    """Withdraw a version of an adapter."""

    target: Target
    adapter: str
    version: int


@frozen
class CallerPut:
    """Add or change a caller."""

    target: Target
    name: str
    token: str
    priority: int


@frozen
class PresetUse:
    """Put a preset in force."""

    target: Target
    name: str


@frozen
class Status:
    """Show every entry."""

    target: Target


@frozen
class Drain:
    """Stop an entry gracefully."""

    target: Target
    entry: str


def adapter_create(
    name: str,
    *,
    base: str,
    settings: Path,
    caller: tuple[str, ...] = ("*",),
    json: bool = False,
    wait_s: float = 0.0,
) -> AdapterCreate:
    """Add an adapter.

    Parameters
    ----------
    name : str
        Name of the adapter.
    base : str
        Base model that it adapts.
    settings : Path
        Settings file of the site.
    caller : tuple[str, ...]
        Callers allowed to use it; all if none is given.
    json : bool
        Answer in JSON.
    wait_s : float
        Seconds to wait until the change is in force on every entry.
    """
    return AdapterCreate(Target(settings, json, wait_s), name, base, caller)


def version_publish(
    adapter: str, version: int, *, settings: Path, json: bool = False, wait_s: float = 0.0
) -> VersionPublish:
    """Publish a version of an adapter and make it the current one.

    Parameters
    ----------
    adapter : str
        Name of the adapter.
    version : int
        Number of the version.
    settings : Path
        Settings file of the site.
    json : bool
        Answer in JSON.
    wait_s : float
        Seconds to wait until the change is in force on every entry.
    """
    return VersionPublish(Target(settings, json, wait_s), adapter, version)


def version_withdraw(
    adapter: str, version: int, *, settings: Path, json: bool = False, wait_s: float = 0.0
) -> VersionWithdraw:
    """Withdraw a version; requests that run go on, new ones are refused.

    Parameters
    ----------
    adapter : str
        Name of the adapter.
    version : int
        Number of the version.
    settings : Path
        Settings file of the site.
    json : bool
        Answer in JSON.
    wait_s : float
        Seconds to wait until the change is in force on every entry.
    """
    return VersionWithdraw(Target(settings, json, wait_s), adapter, version)


def caller_put(
    name: str,
    token: str,
    *,
    settings: Path,
    priority: int = 0,
    json: bool = False,
    wait_s: float = 0.0,
) -> CallerPut:
    """Add or change a caller.

    Parameters
    ----------
    name : str
        Name of the caller.
    token : str
        Token that the caller sends; only its digest is kept.
    settings : Path
        Settings file of the site.
    priority : int
        Higher goes first.
    json : bool
        Answer in JSON.
    wait_s : float
        Seconds to wait until the change is in force on every entry.
    """
    return CallerPut(Target(settings, json, wait_s), name, token, priority)


def preset_use(name: str, *, settings: Path, json: bool = False, wait_s: float = 0.0) -> PresetUse:
    """Put a preset in force.

    Parameters
    ----------
    name : str
        Name of the preset.
    settings : Path
        Settings file of the site.
    json : bool
        Answer in JSON.
    wait_s : float
        Seconds to wait until the change is in force on every entry.
    """
    return PresetUse(Target(settings, json, wait_s), name)


def status(*, settings: Path, json: bool = False) -> Status:
    """Show every entry: revision, leads, queues.

    Parameters
    ----------
    settings : Path
        Settings file of the site.
    json : bool
        Answer in JSON.
    """
    return Status(Target(settings, json))


def drain(entry: str, *, settings: Path, json: bool = False) -> Drain:
    """Stop an entry gracefully.

    Parameters
    ----------
    entry : str
        Name of the entry.
    settings : Path
        Settings file of the site.
    json : bool
        Answer in JSON.
    """
    return Drain(Target(settings, json), entry)


COMMANDS = {
    "adapter-create": adapter_create,
    "version-publish": version_publish,
    "version-withdraw": version_withdraw,
    "caller-put": caller_put,
    "preset-use": preset_use,
    "status": status,
    "drain": drain,
}
