"""Reads TOML files that contain only tables."""

import tomllib
from pathlib import Path

from poplarhoist.settings.files import settings_errors


def read_tables(path: Path) -> dict[str, dict[str, object]]:
    """Return the top-level tables of a file by name.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, if the file is unreadable, is not TOML, is empty or has another value
        than a table at the top level.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise settings_errors(path, [error.strerror or str(error)]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise settings_errors(path, [str(error)]) from error
    items = data.items()
    problems = [f"expected a table, got {v!r} @ {k}" for k, v in items if not isinstance(v, dict)]
    if problems or not data:
        raise settings_errors(path, problems or ["expected tables, found none"])
    return data
