"""Parses and formats durations, sizes, addresses and keys."""

import ipaddress
import re
from dataclasses import dataclass, field

DURATION_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
SIZE_BYTES_BY_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
MAX_PORT = 65535
# An authentication key needs at least 128 bits.
MIN_KEY_BYTES = 16

_QUANTITY = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([A-Za-z]+)", re.ASCII)
_KEY = re.compile(r"([A-Za-z0-9_-]{1,16}):((?:[0-9a-fA-F]{2})+)", re.ASCII)


@dataclass(slots=True, frozen=True)
class PeerKey:
    """A named key of the peer protocol; two may be set at a time, for rotation."""

    id: str
    secret: bytes = field(repr=False)


def parse_duration(text: str) -> float:
    """Return seconds; raise ValueError on a missing or unknown unit."""
    return _quantity(text, DURATION_SECONDS_BY_UNIT)


def parse_size(text: str) -> int:
    """Return bytes; raise ValueError on a missing or unknown unit."""
    return int(_quantity(text, SIZE_BYTES_BY_UNIT))


def parse_address(text: str) -> str:
    """Return ``ip:port`` unchanged, or blank; raise ValueError on a host name.

    Host names are refused because processes connect by IP address: a name would
    make every connection depend on a resolver and its outages.
    """
    if not text:
        return text
    ip, _, port = text.rpartition(":")
    ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    if not re.fullmatch("[0-9]{1,5}", port) or int(port) > MAX_PORT:
        raise ValueError(f"{port!r} is not a port number")
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses of a list separated by commas or blanks."""
    return tuple(parse_address(item) for item in text.replace(",", " ").split())


def parse_keys(text: str) -> tuple[PeerKey, ...]:
    """Return the keys of a list of ``id:hex``; raise ValueError on a short key."""
    keys = []
    for item in text.replace(",", " ").split():
        match = _KEY.fullmatch(item)
        if match is None or len(match[2]) < 2 * MIN_KEY_BYTES:
            raise ValueError("not a key of the form id:hex, or too short")
        keys.append(PeerKey(match[1], bytes.fromhex(match[2])))
    return tuple(keys)


def duration_text(seconds: float) -> str:
    """Return a duration in the largest unit that leaves a whole number."""
    return _text_with_unit(seconds, DURATION_SECONDS_BY_UNIT)


def size_text(size: int) -> str:
    """Return a size in the largest unit that leaves a whole number."""
    return _text_with_unit(size, SIZE_BYTES_BY_UNIT)


def _quantity(text: str, factor_by_unit: dict) -> float:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in factor_by_unit:
        raise ValueError("not a number with a unit")
    return float(match[1]) * factor_by_unit[match[2]]


def _text_with_unit(value: float, factor_by_unit: dict) -> str:
    for unit, factor in reversed(factor_by_unit.items()):
        count = value / factor
        if value and abs(count - round(count)) < 1e-9:
            return f"{round(count)}{unit}"
    unit, factor = next(iter(factor_by_unit.items()))
    return f"{value / factor:g}{unit}"
