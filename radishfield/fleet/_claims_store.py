"""Reads and writes slots of claims in the platform's store, with a cache of slots."""

from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from radishfield.core import Fault, PlatformPort, ResultCode, StoredObject, fault
from radishfield.fleet._claims_book import ClaimRecord
from radishfield.fleet._claims_slots import (
    SLOT_KIND,
    Slot,
    StoredClaim,
    contains_claim,
    read_slot,
    slot_name,
)
from radishfield.fleet._settled_write import write_settled

MAX_CACHED_SLOTS = 4_096
# The caller waits for its claim, which is refused if two attempts don't settle it.
MAX_WRITE_ATTEMPTS = 2
MAX_REMOVE_ATTEMPTS = 4


class ClaimStore:
    """Slots of claims, with those that were seen last cached in memory.

    A cached slot may be out of date.  It saves the read before a write, whose
    condition proves whether the slot is still current.
    """

    __slots__ = ("_platform", "_unix_now", "_slots_by_name")

    def __init__(self, platform: PlatformPort, unix_now: Callable[[], float]):
        self._platform = platform
        self._unix_now = unix_now
        self._slots_by_name: dict[str, Slot] = {}

    async def load_slot(self, place: str) -> Result[Slot, Fault]:
        """Return the slot of a place, from the cache if it is there."""
        name = slot_name(place)
        cached = self._slots_by_name.get(name)
        if cached is not None:
            return Ok(cached)
        read = await self._platform.read(SLOT_KIND, name)
        match read:
            case Result(tag="ok", ok=stored):
                try:
                    slot = read_slot(stored.value, stored.version)
                except msgspec.MsgspecError as error:
                    return Error(fault(ResultCode.PLATFORM_MALFORMED, str(error)))
            case Result(tag="error", error=problem):
                if problem.code is not ResultCode.OBJECT_NOT_FOUND:
                    return Error(problem)
                slot = Slot()
        self._keep(name, slot)
        return Ok(slot)

    def find(self, slot: Slot, place: str) -> StoredClaim | None:
        """Return the active claim of a place, if there is one."""
        return slot.find(place, self._unix_now())

    def invalidate(self, place: str) -> None:
        """Drop the place's slot from the cache, so that it is read again next time."""
        self._slots_by_name.pop(slot_name(place), None)

    async def write_claim(
        self, slot: Slot, record: ClaimRecord, lifetime_s: float
    ) -> Result[StoredObject, Fault]:
        """Write a claim into a slot; ``PLATFORM_CONFLICT`` if it was out of date."""
        unix_now = self._unix_now()
        claim = StoredClaim(
            record.place,
            record.digest,
            record.claim_id,
            record.host_id,
            unix_now + lifetime_s,
        )
        value = slot.with_claim(claim, unix_now)
        if value is None:
            return Error(fault(ResultCode.VALUE_TOO_LARGE, "the key's slot is full"))
        return await self._write(slot, record, value)

    async def remove_claim(self, record: ClaimRecord) -> None:
        """Remove a claim from its slot, if the slot holds it and the store answers."""
        for _ in range(MAX_REMOVE_ATTEMPTS):
            self.invalidate(record.place)
            slot = await self.load_slot(record.place)
            if slot.is_error():
                return
            value = slot.ok.without_claim(
                record.place, record.claim_id, self._unix_now()
            )
            if value is None:
                return
            written = await self._write(slot.ok, record, value)
            if written.is_ok():
                return

    async def _write(
        self, slot: Slot, record: ClaimRecord, value: bytes
    ) -> Result[StoredObject, Fault]:
        name = slot_name(record.place)
        wanted = StoredObject(SLOT_KIND, name, slot.version, value)
        is_claim_in_value = contains_claim(value, record.claim_id)
        self._slots_by_name.pop(name, None)
        written = await write_settled(
            self._platform,
            wanted,
            lambda stored: contains_claim(stored, record.claim_id) == is_claim_in_value,
            MAX_WRITE_ATTEMPTS,
        )
        if written.is_ok():
            self._keep(name, read_slot(written.ok.value, written.ok.version))
        return written

    def _keep(self, name: str, slot: Slot) -> None:
        if len(self._slots_by_name) >= MAX_CACHED_SLOTS:
            self._slots_by_name.pop(next(iter(self._slots_by_name)))
        self._slots_by_name[name] = slot
