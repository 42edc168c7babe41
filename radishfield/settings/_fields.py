"""One field of a section: its key in the file, how it is read, what is allowed."""

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
    "address": "an IP number with a port, such as 127.0.0.1:8080; blank: none",
    "addresses": "IP numbers with ports, with commas between; blank: none",
    "keys": f"id:hex with at least {MIN_KEY_BYTES} bytes each, with commas between",
    "file": "the path of a file that can be read; blank: none",
    "secret": "any text without line breaks",
}
NUMBER_WORD_BY_TYPE = {int: "a whole number", float: "a number"}
HIDDEN_UNITS = frozenset({"keys", "secret"})
HIDDEN = "(hidden)"
# A line of a fault quotes at most this much of a wrong value.
MAX_QUOTED = 40


@dataclass(slots=True, frozen=True)
class SectionField:
    """A field of a section's data class, as the file sees it."""

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
        """Return in words what the key may be set to."""
        if self.meta.description:
            return self.meta.description
        match self.unit:
            case "duration":
                limits = self._limits(duration_text)
                return f"a duration{limits} (units ms, s, m, h)"
            case "size":
                return f"a size{self._limits(size_text)} (units B, KiB, MiB)"
        if self.unit in ALLOWED_BY_UNIT:
            return ALLOWED_BY_UNIT[self.unit]
        if self.base is bool:
            return "yes or no"
        if isinstance(self.base, type) and issubclass(self.base, enum.Enum):
            return "one of " + ", ".join(str(member.value) for member in self.base)
        return NUMBER_WORD_BY_TYPE.get(self.base, "text") + self._limits(str)

    def read(self, text: str) -> Result[object, Fault]:
        """Convert the key's text; the fault's detail says what is allowed."""
        try:
            raw = PARSER_BY_UNIT[self.unit](text) if self._parsed() else text
            if self.base is bool:
                raw = configparser.ConfigParser.BOOLEAN_STATES[text.lower()]
        except (ValueError, KeyError):
            return self._refused(ResultCode.SETTING_TYPE, text)
        if self.unit == "file" and text and not Path(text).is_file():
            return self._refused(ResultCode.SETTING_FILE_MISSING, text)
        try:
            return self._checked(raw, text)
        except msgspec.ValidationError:
            return self._refused(self._code_of(raw), text)

    def text(self, value: object) -> str:
        """Return the value as the file would give it; secrets stay hidden."""
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

    def _parsed(self) -> bool:
        return self.unit in PARSER_BY_UNIT

    def _checked(self, raw: object, text: str) -> Result[object, Fault]:
        value = msgspec.convert(raw, self.hint, strict=False)
        # A NaN passes every comparison with a limit.
        if isinstance(value, float) and not math.isfinite(value):
            return self._refused(ResultCode.SETTING_RANGE, text)
        return Ok(value)

    def _code_of(self, raw: object) -> ResultCode:
        """Tell a value out of range from one of another type."""
        try:
            msgspec.convert(raw, self.base, strict=False)
        except msgspec.ValidationError:
            return ResultCode.SETTING_TYPE
        return ResultCode.SETTING_RANGE

    def _refused(self, code: ResultCode, text: str) -> Result[object, Fault]:
        quoted = HIDDEN if self.unit in HIDDEN_UNITS else repr(text[:MAX_QUOTED])
        return Error(fault(code, f"{quoted} is not allowed; allowed: {self.allowed()}"))

    def _limits(self, text_of) -> str:
        low, high = self.meta.ge, self.meta.le
        if low is not None and high is not None:
            return f" from {text_of(low)} to {text_of(high)}"
        if low is not None:
            return f" of at least {text_of(low)}"
        return "" if high is None else f" of at most {text_of(high)}"


def section_fields(section_type: type) -> list[SectionField]:
    """Return the fields of a section's data class, in order."""
    hints = get_type_hints(section_type, include_extras=True)
    return [_field(item.name, hints[item.name]) for item in fields(section_type)]


def _field(name: str, hint: object) -> SectionField:
    base, meta = hint, msgspec.Meta()
    if get_origin(hint) is Annotated:
        base, *notes = get_args(hint)
        meta = next((note for note in notes if isinstance(note, msgspec.Meta)), meta)
    unit = (meta.extra or {}).get("unit", "")
    return SectionField(name, base, hint, unit, meta)
