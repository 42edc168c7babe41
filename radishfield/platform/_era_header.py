"""Reads the header that names the era of the store."""

import re

from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.routing import MAX_ERA

ERA_HEADER = b"store-era"
_ERA = re.compile(rb"[0-9]{1,13}")


def read_era(headers: list[tuple[bytes, bytes]]) -> Result[int | None, Fault]:
    """Return the era that an answer names, or None if it names none."""
    named = [value.strip() for name, value in headers if name.lower() == ERA_HEADER]
    if not named:
        return Ok(None)
    if len(set(named)) > 1 or _ERA.fullmatch(named[0]) is None:
        return Error(fault(ResultCode.STORE_ERA, f"{named[:3]!r}"))
    era = int(named[0])
    if era > MAX_ERA:
        return Error(fault(ResultCode.STORE_ERA, f"{named[0]!r}"))
    return Ok(era)
