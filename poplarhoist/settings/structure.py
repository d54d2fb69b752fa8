"""Structures the data of a settings file into attrs objects; collects all errors in one pass."""

import enum
import typing
from collections.abc import Callable

import attrs
import cattrs
from cattrs import ClassValidationError, transform_error
from cattrs.errors import AttributeValidationNote

ROOT_PATH = "$"
SCALAR_TYPES = (str, int, float, bool)

converter = cattrs.Converter()


def structure_scalar(value: object, kind: type) -> object:
    """Return a scalar without conversion, except that an integer is accepted as a float.

    Raises
    ------
    TypeError
        If the value is of another type.
    """
    if issubclass(kind, enum.Enum):
        return structure_enum(value, kind)
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, got {value!r}")
    return value


def structure_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    """Return the enum member with this value.

    Raises
    ------
    ValueError
        If there is no such member.
    """
    try:
        return kind(value)
    except ValueError:
        known = ", ".join(str(item.value) for item in kind)
        raise ValueError(f"expected one of {known}, got {value!r}") from None


def structure_class(data: object, kind: type) -> object:
    """Build an attrs object from a table; an error in one key does not stop the others' checks.

    Raises
    ------
    TypeError
        If the data is not a table.
    ClassValidationError
        With all errors of the table, unknown keys included.
    """
    if not isinstance(data, dict):
        raise TypeError(f"expected a table, got {data!r}")
    values: dict[str, object] = {}
    errors: list[Exception] = []
    type_hints = typing.get_type_hints(kind)
    fields = attrs.fields_dict(kind)
    for name, attribute in fields.items():
        try:
            if name in data or attribute.default is attrs.NOTHING:
                values[name] = structure_field(data, attribute, type_hints[name])
        except Exception as error:
            errors.append(add_key_note(error, kind, name))
    for name in data.keys() - fields.keys():
        error = ValueError(f"unknown key; expected one of {', '.join(fields)}")
        errors.append(add_key_note(error, kind, name))
    if errors:
        raise ClassValidationError(f"errors in {kind.__name__}", errors, kind)
    return kind(**values)


def structure_field(data: dict, attribute: attrs.Attribute, hint: type) -> object:
    """Structure and validate the value of one key.

    Raises
    ------
    ValueError
        If the key is missing or its value is not valid.
    TypeError
        If the value is of another type.
    """
    if attribute.name not in data:
        raise ValueError("missing key")
    value = converter.structure(data[attribute.name], hint)
    if attribute.validator is not None:
        attribute.validator(None, attribute, value)
    return value


def add_key_note(error: Exception, kind: type, name: str) -> Exception:
    """Add the key to an error as a note; ``describe_errors`` builds the path from the notes."""
    error.add_note(AttributeValidationNote(f"{kind.__name__}.{name}", name, str))
    return error


def describe_errors(error: BaseException) -> list[str]:
    """Return one line for each error: the expected value, the actual one and the key's path."""
    return [
        line.replace(f"{ROOT_PATH}.", "") for line in transform_error(error, ROOT_PATH, error_text)
    ]


def error_text(error: BaseException, kind: type | None) -> str:
    """Return the message of one error."""
    return str(error.args[0]) if error.args else str(error)


def get_class_hook(kind: type) -> Callable:
    """Return the structure hook for an attrs class; called by cattrs."""
    return structure_class


for scalar in SCALAR_TYPES:
    converter.register_structure_hook(scalar, structure_scalar)
converter.register_structure_hook_factory(attrs.has, get_class_hook)
