"""Describes the fields of a section: key in the file, parsing, allowed values."""

import configparser
import enum
import math
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Annotated, get_args, get_origin, get_type_hints

import msgspec
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.settings._units import (
    MIN_KEY_BYTES,
    duration_text,
    parse_address,
    parse_addresses,
    parse_duration,
    parse_keys,
    parse_size,
    size_text,
)

PARSER_BY_UNIT = {
    "duration": parse_duration,
    "size": parse_size,
    "address": parse_address,
    "addresses": parse_addresses,
    "keys": parse_keys,
}
ALLOWED_BY_UNIT = {
    "address": "an IP address with a port, such as 127.0.0.1:8080; blank: none",
    "addresses": "IP addresses with ports, separated by commas; blank: none",
    "keys": f"id:hex with at least {MIN_KEY_BYTES} bytes each, separated by commas",
    "file": "the path of a readable file; blank: none",
    "secret": "any text without line breaks",
}
NUMBER_TEXT_BY_TYPE = {int: "a whole number", float: "a number"}
HIDDEN_UNITS = frozenset({"keys", "secret"})
HIDDEN = "(hidden)"
# Number of characters of a wrong value that an error message quotes at most.
MAX_QUOTED = 40


@dataclass(slots=True, frozen=True)
class SectionField:
    """A field of a section's data class, as it stands in the file."""

    name: str
    base: type
    hint: object
    unit: str
    meta: msgspec.Meta

    @property
    def key(self) -> str:
        """Return the key in the file: the name without its unit."""
        match self.unit:
            case "duration":
                return self.name.removesuffix("_s")
            case "size":
                return self.name.removesuffix("_bytes")
        return self.name

    def allowed(self) -> str:
        """Return a description of the values that the key may have."""
        if self.meta.description:
            return self.meta.description
        match self.unit:
            case "duration":
                limits = self._limits_text(duration_text)
                return f"a duration{limits} (units ms, s, m, h)"
            case "size":
                return f"a size{self._limits_text(size_text)} (units B, KiB, MiB)"
        if self.unit in ALLOWED_BY_UNIT:
            return ALLOWED_BY_UNIT[self.unit]
        if self.base is bool:
            return "yes or no"
        if isinstance(self.base, type) and issubclass(self.base, enum.Enum):
            return "one of " + ", ".join(str(member.value) for member in self.base)
        return NUMBER_TEXT_BY_TYPE.get(self.base, "text") + self._limits_text(str)

    def read(self, text: str) -> Result[object, Fault]:
        """Convert the key's text; a fault's detail states what is allowed."""
        try:
            raw = PARSER_BY_UNIT[self.unit](text) if self._has_parser() else text
            if self.base is bool:
                raw = configparser.ConfigParser.BOOLEAN_STATES[text.lower()]
        except (ValueError, KeyError):
            return self._reject(ResultCode.SETTING_TYPE, text)
        if self.unit == "file" and text and not Path(text).is_file():
            return self._reject(ResultCode.SETTING_FILE_MISSING, text)
        try:
            return self._validate(raw, text)
        except msgspec.ValidationError:
            return self._reject(self._error_code(raw), text)

    def text(self, value: object) -> str:
        """Return the value as written in the file; secrets stay hidden."""
        if self.unit in HIDDEN_UNITS:
            return HIDDEN if value else ""
        match value:
            case float() if self.unit == "duration":
                return duration_text(value)
            case int() if self.unit == "size":
                return size_text(value)
            case bool():
                return "yes" if value else "no"
            case tuple():
                return ", ".join(str(item) for item in value)
        return str(value)

    def _has_parser(self) -> bool:
        return self.unit in PARSER_BY_UNIT

    def _validate(self, raw: object, text: str) -> Result[object, Fault]:
        value = msgspec.convert(raw, self.hint, strict=False)
        # Comparisons with the limits do not reject NaN.
        if isinstance(value, float) and not math.isfinite(value):
            return self._reject(ResultCode.SETTING_RANGE, text)
        return Ok(value)

    def _error_code(self, raw: object) -> ResultCode:
        """Return the code for a value that is out of range or of another type."""
        try:
            msgspec.convert(raw, self.base, strict=False)
        except msgspec.ValidationError:
            return ResultCode.SETTING_TYPE
        return ResultCode.SETTING_RANGE

    def _reject(self, code: ResultCode, text: str) -> Result[object, Fault]:
        quoted = HIDDEN if self.unit in HIDDEN_UNITS else repr(text[:MAX_QUOTED])
        return Error(fault(code, f"{quoted} is not allowed; allowed: {self.allowed()}"))

    def _limits_text(self, format_value) -> str:
        low, high = self.meta.ge, self.meta.le
        if low is not None and high is not None:
            return f" from {format_value(low)} to {format_value(high)}"
        if low is not None:
            return f" of at least {format_value(low)}"
        return "" if high is None else f" of at most {format_value(high)}"


def section_fields(section_type: type) -> list[SectionField]:
    """Return the fields of a section's data class, in order."""
    hints = get_type_hints(section_type, include_extras=True)
    return [_field(item.name, hints[item.name]) for item in fields(section_type)]


def _field(name: str, hint: object) -> SectionField:
    base, meta = hint, msgspec.Meta()
    if get_origin(hint) is Annotated:
        base, *metadata = get_args(hint)
        meta = next(
            (entry for entry in metadata if isinstance(entry, msgspec.Meta)), meta
        )
    unit = (meta.extra or {}).get("unit", "")
    return SectionField(name, base, hint, unit, meta)
