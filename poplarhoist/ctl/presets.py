"""Reads values of presets from TOML and checks them."""

import math
import tomllib
from collections.abc import Mapping

import attrs
from attrs import frozen

from poplarhoist.models import Preset
from poplarhoist.settings.files import settings_errors
from poplarhoist.settings.structure import converter, describe_errors


@frozen
class Bounds:
    """Range of a number, both ends included; 0 to infinity by default."""

    low: float = 0.0
    high: float = math.inf


BOUNDS_BY_KEY = {
    "max_wait_s": Bounds(0.1, 3600.0),
    "queue_limit": Bounds(1, 1_000_000),
    "spare_loads": Bounds(0.0, 1.0),
}
DEFAULT_BOUNDS = Bounds()


def read_values(items: tuple[str, ...]) -> dict[str, object]:
    """Return the values of ``--set key=value`` arguments.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each argument that is not valid TOML.
    """
    values: dict[str, object] = {}
    problems = []
    for item in items:
        try:
            values |= tomllib.loads(item)
        except tomllib.TOMLDecodeError as error:
            problems.append(f"expected key=value in TOML, got {item!r}: {error}")
    if problems:
        raise settings_errors("--set", problems)
    return values


def merge_preset(existing: Preset, values: Mapping[str, object], source: object) -> Preset:
    """Return a preset with some values changed; its name stays.

    Parameters
    ----------
    source : object
        File or argument from which the values come, for error messages.

    Raises
    ------
    ExceptionGroup
        Of SettingsError, one for each unknown key, wrong type or value out of range.
    """
    data = {**attrs.asdict(existing), **values, "name": existing.name}
    try:
        preset = converter.structure(data, Preset)
    except Exception as error:
        raise settings_errors(
            source, [f"{fault} of {existing.name}" for fault in describe_errors(error)]
        ) from error
    problems = range_problems(preset)
    if problems:
        raise settings_errors(source, problems)
    return preset


def range_problems(preset: Preset) -> list[str]:
    """Return one message for each number of a preset that is out of range."""
    problems = []
    for key, value in attrs.asdict(preset).items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            continue
        bounds = BOUNDS_BY_KEY.get(key, DEFAULT_BOUNDS)
        if not bounds.low <= value <= bounds.high:
            expected = f"expected {bounds.low:g} to {bounds.high:g}"
            problems.append(f"{expected}, got {value!r} @ {key} of {preset.name}")
    return problems
