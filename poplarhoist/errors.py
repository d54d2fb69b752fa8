"""Exceptions that name the failed step and the file or address involved."""

from attrs import define


@define(slots=False, eq=False)
class PoplarhoistError(Exception):
    """Base class of the exceptions of this package.

    Attributes
    ----------
    message : str
        Human-readable description.
    step : str
        The step that failed, such as ``load-settings``.
    target : str
        The file, endpoint, entry or platform path involved; empty if none.
    """

    message: str
    step: str = ""
    target: str = ""

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.target) if part)
        return f"{where}: {self.message}" if where else self.message


class SettingsError(PoplarhoistError):
    """A settings file or an option has an invalid value."""


class PlatformError(PoplarhoistError):
    """A call to the platform failed or was refused."""


class UnsettledError(PlatformError):
    """It is not known whether a change took effect."""


class EntryError(PoplarhoistError):
    """An operator's call to an entry failed or was refused."""


class NotFoundError(PoplarhoistError):
    """An object named in a command does not exist."""


class ConflictError(PoplarhoistError):
    """The object exists already, or another writer changed it first."""
