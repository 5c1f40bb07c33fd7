"""Reads settings from INI files and checks them against a schema.

A schema is a JSON Schema whose top-level properties are the sections. Values
are converted to the type that the schema names before they are checked.
"""

import configparser
import math
from functools import partial

import jsonschema

from radishstile.errors import SettingsError

_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES


def read_settings(path: str, schema: dict) -> dict[str, dict]:
    """Return the checked sections of the INI file at `path`.

    Raises `SettingsError` with one line that names file, section, key and
    what was expected.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    except configparser.Error as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: not valid INI: {line}") from error
    sections = {
        name: _convert_section(dict(parser[name]), schema, name)
        for name in parser.sections()
    }
    _check_sections(path, sections, schema)
    return sections


def _convert_section(values: dict, schema: dict, name: str) -> dict:
    properties = schema["properties"].get(name, {}).get("properties", {})
    converted = {}
    for key, text in values.items():
        kind = properties.get(key, {}).get("type", "string")
        converted[key] = _CONVERTERS[kind](text)
    for key, rule in properties.items():
        if "default" in rule:
            converted.setdefault(key, rule["default"])
    return converted


def _convert_number(kind: type, text: str):
    """Return a finite number, or the text for the schema to reject."""
    try:
        number = kind(text)
    except ValueError:
        return text
    return number if math.isfinite(number) else text


def _convert_boolean(text: str):
    return _BOOLEANS.get(text.lower(), text)


def _convert_list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


_CONVERTERS = {
    "string": str,
    "integer": partial(_convert_number, int),
    "number": partial(_convert_number, float),
    "boolean": _convert_boolean,
    "array": _convert_list,
}


def _check_sections(path: str, sections: dict, schema: dict) -> None:
    validator = jsonschema.Draft202012Validator(schema)
    error = jsonschema.exceptions.best_match(validator.iter_errors(sections))
    if error is None:
        return
    place = list(error.absolute_path)
    section = f" [{place[0]}]" if place else ""
    key = f" {place[1]}" if len(place) > 1 else ""
    raise SettingsError(f"{path}:{section}{key}: {_describe(error)}")


def _describe(error: jsonschema.ValidationError) -> str:
    expected = error.schema.get("description")
    if error.schema.get("writeOnly"):
        # The value may be a secret, and the line may go into a log.
        return f"expected {expected}"
    hint = f" (expected {expected})" if expected else ""
    return f"{error.message}{hint}"
