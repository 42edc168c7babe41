"""Stores profiles, which conditional writes publish, change and retire.

Each accepted change raises a profile's version by one.  Hosts receive it from
the platform or from peers, in any order and more than once, and never go back
to a lower version.  A retired profile stays as a tombstone with the highest
version, so that no stale copy restores it; its name cannot be used again.
"""

import dataclasses
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Fault,
    PlatformPort,
    Profile,
    ResultCode,
    StoredObject,
    fault,
)
from radishfield.fleet._facts import FactTable
from radishfield.fleet._settled_write import write_settled

PROFILE_KIND = "profile"

MAX_PAST_CHANGES = 8
"""Number of later changes after which a change whose answer was lost is still found
in the stored profile."""

MAX_NAME_LENGTH = 128
MAX_DEADLINE_S = 3_600.0

UNKNOWN_RETRY_AFTER_S = 2.0
"""Retry-after time in seconds that a host without any profiles yet returns."""


@dataclass(slots=True, frozen=True)
class StoredProfile(Profile):
    """A profile as it is stored, with the ids of the most recent changes."""

    past_change_ids: tuple[str, ...] = ()


class ProfileStore:
    """The profiles that are active at this host, and operations to change them.

    ``changes`` counts the versions that became active here.
    """

    __slots__ = (
        "_changed",
        "_facts",
        "_new_change_id",
        "_platform",
        "_profile_by_name",
        "changes",
        "malformed",
    )

    def __init__(
        self,
        platform: PlatformPort,
        facts: FactTable,
        new_change_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ):
        self._platform = platform
        self._facts = facts
        self._new_change_id = new_change_id
        self._profile_by_name: dict[str, Profile] = {}
        self._changed = trio.Event()
        self.changes = 0
        self.malformed = 0
        facts.listen(PROFILE_KIND, self._take_in)
        for fact in facts.all_of(PROFILE_KIND):
            self._take_in(fact)

    def find(self, name: str) -> Result[Profile, Fault]:
        """Return the active profile, or why there is none."""
        profile = self._profile_by_name.get(name)
        if profile is None:
            return Error(self._missing_fault(name))
        if profile.retired:
            return Error(fault(ResultCode.PROFILE_RETIRED, name))
        return Ok(profile)

    def names(self) -> Sequence[str]:
        """Return the names of the active profiles."""
        return [
            name
            for name, profile in self._profile_by_name.items()
            if not profile.retired
        ]

    def all_profiles(self) -> Sequence[Profile]:
        """Return the active and the retired profiles, sorted by name."""
        return [profile for _, profile in sorted(self._profile_by_name.items())]

    def show(self, name: str) -> Result[Profile, Fault]:
        """Return a profile as this host knows it, also a retired one."""
        profile = self._profile_by_name.get(name)
        return Error(self._missing_fault(name)) if profile is None else Ok(profile)

    def version_by_name(self) -> dict[str, int]:
        """Return the version of every profile at this host, also of retired ones."""
        return {
            name: profile.version for name, profile in self._profile_by_name.items()
        }

    async def wait_version(self, name: str, version: int) -> None:
        """Wait until this host has a profile in that version or a later one."""
        while self.version_by_name().get(name, 0) < version:
            await self._changed.wait()

    async def publish(self, profile: Profile) -> Result[Profile, Fault]:
        """Publish a profile under a name that has never been used."""
        problem = _check(profile)
        if problem is not None:
            return Error(problem)
        draft = StoredProfile(**_fields(profile))
        return await self._write(draft, None, 0)

    async def change(
        self, profile: Profile, expected_version: int | None = None
    ) -> Result[Profile, Fault]:
        """Replace the profile of the same name; see `FleetOperations`."""
        problem = _check(profile)
        if problem is not None:
            return Error(problem)
        return await self._replace(profile.name, profile, expected_version)

    async def retire(
        self, name: str, expected_version: int | None = None
    ) -> Result[Profile, Fault]:
        """Retire a profile permanently."""
        return await self._replace(name, None, expected_version)

    async def _replace(
        self, name: str, changed: Profile | None, expected_version: int | None
    ) -> Result[Profile, Fault]:
        """Overwrite a stored profile with ``changed``, or with its tombstone."""
        read = await self._platform.read(PROFILE_KIND, name)
        if read.is_error():
            return Error(_as_change_fault(read.error, name))
        stored = _decode(read.ok)
        if stored.is_error():
            return Error(stored.error)
        current = stored.ok
        if current.retired:
            return Error(fault(ResultCode.PROFILE_RETIRED, name))
        if expected_version not in (None, current.version):
            return Error(_conflict(current))
        draft = dataclasses.replace(current, retired=True)
        if changed is not None:
            draft = StoredProfile(**_fields(changed))
        return await self._write(draft, current, read.ok.version)

    async def _write(
        self, draft: StoredProfile, current: StoredProfile | None, stored_version: int
    ) -> Result[Profile, Fault]:
        """Write the next version with a new change id, and confirm the write."""
        change_id = self._new_change_id()
        past_ids = () if current is None else _change_ids(current)
        profile = dataclasses.replace(
            draft,
            version=1 if current is None else current.version + 1,
            change_id=change_id,
            past_change_ids=past_ids[:MAX_PAST_CHANGES],
        )
        value = msgspec.json.encode(profile)
        written = await write_settled(
            self._platform,
            StoredObject(PROFILE_KIND, profile.name, stored_version, value),
            lambda stored_value: _contains_change(stored_value, change_id),
        )
        match written:
            case Result(tag="ok", ok=stored):
                self._facts.learn(stored)
                return Ok(Profile(**_fields(profile)))
            case Result(tag="error", error=problem):
                return Error(await self._explain(problem, profile))

    async def _explain(self, problem: Fault, wanted: StoredProfile) -> Fault:
        """Return the fault of a failed write, with the change that won a conflict."""
        if problem.code is ResultCode.PLATFORM_AMBIGUOUS:
            detail = f"change {wanted.change_id} of {wanted.name}: {problem.detail}"
            return fault(ResultCode.CHANGE_AMBIGUOUS, detail)
        if problem.code is not ResultCode.PLATFORM_CONFLICT:
            return problem
        read = await self._platform.read(PROFILE_KIND, wanted.name)
        if read.is_error():
            return fault(ResultCode.CHANGE_CONFLICT, problem.detail)
        self._facts.learn(read.ok)
        winner = _decode(read.ok)
        if winner.is_error():
            return fault(ResultCode.CHANGE_CONFLICT, problem.detail)
        if winner.ok.retired:
            return fault(ResultCode.PROFILE_RETIRED, wanted.name)
        return _conflict(winner.ok)

    def _take_in(self, fact: StoredObject) -> None:
        decoded = _decode(fact)
        if decoded.is_error():
            self.malformed += 1
            return
        profile = Profile(**_fields(decoded.ok))
        known = self._profile_by_name.get(fact.name)
        # The platform's version of the object orders the facts.  The profile's
        # own version is checked as well, because operators see that one and it
        # is guaranteed never to decrease.
        if known is not None and known.version >= profile.version:
            return
        self._profile_by_name[fact.name] = profile
        self.changes += 1
        self._changed.set()
        self._changed = trio.Event()

    def _missing_fault(self, name: str) -> Fault:
        if self._facts.is_filled:
            return fault(ResultCode.UNKNOWN_PROFILE, name)
        detail = "no profiles received since the start"
        return fault(ResultCode.PROFILES_UNKNOWN, detail, UNKNOWN_RETRY_AFTER_S)


def _fields(profile: Profile) -> dict[str, object]:
    return {
        field.name: getattr(profile, field.name)
        for field in dataclasses.fields(Profile)
    }


def _change_ids(profile: StoredProfile) -> tuple[str, ...]:
    return (profile.change_id, *profile.past_change_ids)


def _decode(stored: StoredObject) -> Result[StoredProfile, Fault]:
    try:
        profile = msgspec.json.decode(stored.value, type=StoredProfile)
    except msgspec.DecodeError as problem:
        return Error(fault(ResultCode.PLATFORM_MALFORMED, str(problem)))
    if profile.version == 0:
        # Written by hand, without a version: use the platform's version.
        profile = dataclasses.replace(profile, version=stored.version)
    return Ok(profile)


def _contains_change(value: bytes, change_id: str) -> bool:
    decoded = _decode(StoredObject(PROFILE_KIND, "", 1, value))
    return decoded.is_ok() and change_id in _change_ids(decoded.ok)


def _check(profile: Profile) -> Fault | None:
    """Return why a profile cannot be published, or None."""
    if not 0 < len(profile.name) <= MAX_NAME_LENGTH:
        return fault(ResultCode.CHANGE_INVALID, "name: 1 to 128 characters")
    if not profile.model:
        return fault(ResultCode.CHANGE_INVALID, "model: missing")
    if not 0 < profile.deadline_s <= MAX_DEADLINE_S:
        return fault(ResultCode.CHANGE_INVALID, "deadline_s: above 0, up to 3600")
    return None


def _conflict(winner: StoredProfile) -> Fault:
    detail = (
        f"{winner.name} is at version {winner.version} by change "
        f"{winner.change_id or 'unknown'}: model {winner.model}, priority "
        f"{winner.priority.name.lower()}, deadline {winner.deadline_s:g} s, "
        f"{'idempotent' if winner.idempotent else 'not idempotent'}"
    )
    return fault(ResultCode.CHANGE_CONFLICT, detail)


def _as_change_fault(problem: Fault, name: str) -> Fault:
    if problem.code is ResultCode.OBJECT_NOT_FOUND:
        return fault(ResultCode.UNKNOWN_PROFILE, name)
    return problem
