"""Reads a settings file into an attrs class; reports all errors together."""

import tomllib
from pathlib import Path
from typing import TypeVar

from poplarhoist.errors import SettingsError
from poplarhoist.settings.structure import converter, describe_errors

LOAD_STEP = "load-settings"
S = TypeVar("S")


def load_file(path: Path, kind: type[S]) -> S:
    """Read a TOML file into an attrs class, without checks across keys.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each error in the file.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise settings_errors(path, [error.strerror or str(error)]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise settings_errors(path, [str(error)]) from error
    try:
        return converter.structure(data, kind)
    except Exception as error:
        raise settings_errors(path, describe_errors(error)) from error


def settings_errors(path: object, messages: list[str]) -> ExceptionGroup:
    """Return an exception group with one SettingsError per message.

    Parameters
    ----------
    path : object
        The file or option that the errors are in.
    """
    errors = [SettingsError(message, LOAD_STEP, str(path)) for message in messages]
    return ExceptionGroup(f"{path} cannot be used", errors)
