"""Reads the sections with one line per object: [targets], [profiles], [links]."""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from radishfield.core import (
    Fault,
    LayerRange,
    Link,
    Priority,
    Profile,
    ResultCode,
    Target,
    TargetKind,
    fault,
)
from radishfield.settings._sections import DURATION, Name
from radishfield.settings._units import parse_address, parse_duration

TARGET_FIELDS = (
    "address",
    "zone",
    "model",
    "first",
    "end",
    "model_layers",
    "speed",
    "slots",
    "kind",
)
MIN_TARGET_FIELDS = 3
TARGET_ALLOWED = (
    "ADDRESS ZONE MODEL [FIRST END MODEL_LAYERS [SPEED [SLOTS [KIND]]]], "
    "KIND is engine or service; an engine needs FIRST, END and MODEL_LAYERS"
)
PROFILE_ALLOWED = (
    "MODEL [kind=engine|service] [priority=urgent|high|normal|low] "
    "[deadline=DURATION] [idempotent=yes|no]"
)
LINK_ALLOWED = (
    "FROM>TO = LATENCY TOKENS_PER_S, such as a>b = 0.5ms 20000, latency at most 10s"
)
LINK_SEPARATOR = ">"
PRIORITY_BY_WORD = {member.name.lower(): member for member in Priority}
BOOLEAN_BY_WORD = {"yes": True, "no": False}
Layer = Annotated[int, Meta(ge=0, le=100_000)]


@dataclass(slots=True, frozen=True)
class _TargetLine:
    address: str
    zone: Name
    model: Name
    first: Layer = 0
    end: Layer = 0
    model_layers: Layer = 0
    speed: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 8
    kind: TargetKind = TargetKind.ENGINE


@dataclass(slots=True, frozen=True)
class _ProfileLine:
    model: Name
    kind: TargetKind = TargetKind.ENGINE
    priority: Priority = Priority.NORMAL
    deadline: Annotated[float, Meta(ge=0.01, le=86400, extra=DURATION)] = 30.0
    idempotent: bool = True


@dataclass(slots=True, frozen=True)
class _LinkLine:
    from_zone: Name
    to_zone: Name
    latency: Annotated[float, Meta(ge=0, le=10)]
    tokens_per_s: Annotated[float, Meta(gt=0, le=1e9)]


def read_target(name: str, text: str) -> Result[Target, Fault]:
    """Read one line of [targets]."""
    words = text.split()
    if not MIN_TARGET_FIELDS <= len(words) <= len(TARGET_FIELDS):
        return _reject(text, TARGET_ALLOWED)
    try:
        parse_address(words[0])
        value_by_field = dict(zip(TARGET_FIELDS, words, strict=False))
        line = msgspec.convert(value_by_field, _TargetLine, strict=False)
        msgspec.convert(name, Name)
    except (ValueError, msgspec.ValidationError):
        return _reject(text, TARGET_ALLOWED)
    if line.kind is TargetKind.ENGINE and not line.first < line.end <= (
        line.model_layers
    ):
        return _reject(text, TARGET_ALLOWED)
    return Ok(
        Target(
            id=name,
            host=name,
            zone=line.zone,
            address=line.address,
            kind=line.kind,
            model=line.model,
            layers=LayerRange(line.first, line.end),
            model_layers=line.model_layers,
            speed_tps=line.speed,
            slots=line.slots,
        )
    )


def read_profile(name: str, text: str) -> Result[Profile, Fault]:
    """Read one line of [profiles]."""
    model, *pairs = text.split() or [""]
    value_by_field: dict[str, object] = {"model": model}
    try:
        for pair in pairs:
            option, _, value = pair.partition("=")
            value_by_field[option] = _profile_value(option, value)
        line = msgspec.convert(value_by_field, _ProfileLine, strict=False)
        msgspec.convert(name, Name)
    except (ValueError, KeyError, msgspec.ValidationError):
        return _reject(text, PROFILE_ALLOWED)
    return Ok(
        Profile(
            name,
            line.model,
            line.kind,
            line.priority,
            line.deadline,
            line.idempotent,
            version=1,
        )
    )


def read_link(name: str, text: str) -> Result[Link, Fault]:
    """Read one line of [links]: a directed link between two zones."""
    words = text.split()
    from_zone, separator, to_zone = name.partition(LINK_SEPARATOR)
    if not separator or len(words) != len(("latency", "tokens_per_s")):
        return _reject(text, LINK_ALLOWED)
    try:
        value_by_field = {
            "from_zone": from_zone.strip(),
            "to_zone": to_zone.strip(),
            "latency": parse_duration(words[0]),
            "tokens_per_s": words[1],
        }
        line = msgspec.convert(value_by_field, _LinkLine, strict=False)
    except (ValueError, msgspec.ValidationError):
        return _reject(text, LINK_ALLOWED)
    return Ok(Link(line.from_zone, line.to_zone, line.latency, line.tokens_per_s))


def _profile_value(option: str, text: str) -> object:
    match option:
        case "kind":
            return text
        case "priority":
            return PRIORITY_BY_WORD[text]
        case "deadline":
            return parse_duration(text)
        case "idempotent":
            return BOOLEAN_BY_WORD[text]
    raise KeyError(option)


def _reject(text: str, allowed: str) -> Result:
    detail = f"{text[:60]!r} is not allowed; allowed: {allowed}"
    return Error(fault(ResultCode.SETTING_TYPE, detail))


LINE_READER_BY_SECTION = {
    "targets": read_target,
    "profiles": read_profile,
    "links": read_link,
}
