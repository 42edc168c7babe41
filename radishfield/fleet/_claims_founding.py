"""The first start of a fleet, when no host has a memory and none has lost one.

A keeper that has just started may have forgotten claims, so it does not vouch
for the lifetime of a claim.  In a fleet that starts for the first time nobody
could vouch, and keyed requests would be refused for that long.  So the first
hosts sign one object in the platform's store, which is then closed for good.
All who signed know each other, and none vouches before the object is closed;
no claim can have been granted before.  A host that starts later, or again, finds
the object closed and waits.  With the platform out of reach it waits as well.
"""

import msgspec
import trio
from expression import Result

from radishfield.core import PlatformPort, ResultCode
from radishfield.fleet._claims_keepers import KnownHost

KIND = "claims"
NAME = "founding"
# Hosts of a new fleet start within this time of each other; one that is later
# joins as any new host does.
SIGNING_S = 3.0
# Each lost race means that another host signed; a fleet is founded by tens.
MAX_TRIES = 100
RETRY_S = 0.2


class Founder(msgspec.Struct, frozen=True):
    """A host that signed, in the start of the process in which it did."""

    host: KnownHost
    start_number: int


class Founding(msgspec.Struct, frozen=True):
    """The object in the store."""

    founders: tuple[Founder, ...] = ()
    is_closed: bool = False


async def join_founding(
    platform: PlatformPort, founder: Founder
) -> tuple[KnownHost, ...]:
    """Sign if the fleet is only starting; return the founders if this is one.

    Nothing is returned for a host that is not a founder, and where the store
    cannot say.
    """
    may_close = False
    for _ in range(MAX_TRIES):
        read = await _read(platform)
        if read is None:
            return ()
        version, founding = read
        if founding.is_closed:
            return _founders_with(founding, founder)
        if founder not in founding.founders:
            changed = Founding((*founding.founders, founder))
        elif may_close:
            changed = Founding(founding.founders, is_closed=True)
        else:
            await trio.sleep(SIGNING_S)
            may_close = True
            continue
        value = msgspec.json.encode(changed)
        # Whatever the answer, the next read shows what took effect.
        await platform.write(KIND, NAME, value, version)
        await trio.sleep(RETRY_S)
    return ()


async def _read(platform: PlatformPort) -> tuple[int, Founding] | None:
    match await platform.read(KIND, NAME):
        case Result(tag="ok", ok=stored):
            try:
                return stored.version, msgspec.json.decode(stored.value, type=Founding)
            except msgspec.MsgspecError:
                return None
        case Result(error=problem):
            if problem.code == ResultCode.OBJECT_NOT_FOUND:
                return 0, Founding()
    return None


def _founders_with(founding: Founding, founder: Founder) -> tuple[KnownHost, ...]:
    if founder not in founding.founders:
        return ()
    return tuple(each.host for each in founding.founders)
