"""Deliberate faults in profiles and their spread; see `_serving_mutations`."""

from dataclasses import replace

import pytest
from expression import Error, Ok

import radishfield.fleet._profiles as profiles_module
from radishfield.core import ResultCode, fault
from radishfield.fleet import FactSpreader, FactTable, ProfileStore


def versions_may_fall(patch: pytest.MonkeyPatch) -> None:
    """Accept whatever arrives last, also from an old read or a stale peer."""
    real_learn, real_take_in = FactTable.learn, ProfileStore._take_in

    def learn(self, fact, spread=True):
        self._fact_by_key.pop((fact.kind, fact.name), None)
        return real_learn(self, fact, spread)

    def take_in(self, fact):
        self._profile_by_name.pop(fact.name, None)
        real_take_in(self, fact)

    patch.setattr(FactTable, "learn", learn)
    patch.setattr(ProfileStore, "_take_in", take_in)


def change_what_is_retired(patch: pytest.MonkeyPatch) -> None:
    """Write a profile again over its tombstone."""
    real = profiles_module._decode

    def decode(stored):
        return real(stored).map(lambda profile: replace(profile, retired=False))

    patch.setattr(profiles_module, "_decode", decode)


def last_writer_wins(patch: pytest.MonkeyPatch) -> None:
    """Overwrite the change of an operator whose write came first."""

    async def write(platform, wanted, carries):
        for _ in range(3):
            written = await platform.write(
                wanted.kind, wanted.name, wanted.value, wanted.version
            )
            if written.is_ok():
                return written
            read = await platform.read(wanted.kind, wanted.name)
            if read.is_ok():
                wanted = replace(wanted, version=read.ok.version)
        return written

    patch.setattr(profiles_module, "write_settled", write)


def lost_answer_is_taken_for_a_failure(patch: pytest.MonkeyPatch) -> None:
    """Report to the operator that nothing was written when the answer was lost."""

    async def write(platform, wanted, carries):
        written = await platform.write(
            wanted.kind, wanted.name, wanted.value, wanted.version
        )
        if written.is_error() and written.error.code is ResultCode.PLATFORM_AMBIGUOUS:
            return Error(fault(ResultCode.PLATFORM_UNAVAILABLE))
        return written

    patch.setattr(profiles_module, "write_settled", write)


def lost_answer_is_taken_for_done(patch: pytest.MonkeyPatch) -> None:
    """Report to the operator that the change was made when the answer was lost."""

    async def write(platform, wanted, carries):
        written = await platform.write(
            wanted.kind, wanted.name, wanted.value, wanted.version
        )
        if written.is_error() and written.error.code is ResultCode.PLATFORM_AMBIGUOUS:
            return Ok(replace(wanted, version=wanted.version + 1))
        return written

    patch.setattr(profiles_module, "write_settled", write)


def no_repair_between_peers(patch: pytest.MonkeyPatch) -> None:
    """Never compare the facts of two hosts."""

    async def exchange(self, member_id):
        return Ok(None)

    patch.setattr(FactSpreader, "exchange", exchange)


FLEET_MUTATIONS = (
    versions_may_fall,
    change_what_is_retired,
    last_writer_wins,
    lost_answer_is_taken_for_a_failure,
    lost_answer_is_taken_for_done,
    no_repair_between_peers,
)
