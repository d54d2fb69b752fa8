"""Errors that name the step and the peer at which they arose."""

from attrs import define


@define(slots=False, eq=False)
class PoplarhoistError(Exception):
    """Base of the errors raised by this package.

    Attributes
    ----------
    message : str
        What went wrong, for people.
    step : str
        The step of the work that failed, such as ``load-settings``.
    peer : str
        The file, endpoint, entry or platform address involved; empty for none.
    """

    message: str
    step: str = ""
    target: str = ""

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.target) if part)
        return f"{where}: {self.message}" if where else self.message


class SettingsError(PoplarhoistError):
    """A settings file holds a value that cannot be used."""


class PlatformError(PoplarhoistError):
    """The platform's service did not do what was asked."""


class UnsettledError(PlatformError):
    """It is not known whether a change took effect."""


class EntryError(PoplarhoistError):
    """An entry did not answer an operator, or refused."""


class NotFoundError(PoplarhoistError):
    """Something that a command names does not exist."""


class ConflictError(PoplarhoistError):
    """Another writer changed the object first."""
