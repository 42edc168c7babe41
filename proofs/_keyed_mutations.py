"""Deliberate faults of claims; see `proofs._serving_mutations`."""

from dataclasses import replace

import pytest
import trio

import radishfield.fleet._claims as claims_module
from radishfield.core import Outcome
from radishfield.fleet import Claims
from radishfield.fleet._claims_keeper import Keeper
from radishfield.serving import Dispatcher


def grant_without_a_majority(patch: pytest.MonkeyPatch) -> None:
    """Run as soon as any keeper, or none, has recorded the claim."""
    patch.setattr(claims_module, "is_won", lambda keepers, votes: True)


def vouch_after_a_restart(patch: pytest.MonkeyPatch) -> None:
    """Let a keeper that has lost its memory say that a key is free."""
    patch.setattr(Keeper, "_vouches", lambda self, now: True)


def forget_at_the_deadline(patch: pytest.MonkeyPatch) -> None:
    """Remember a key only while its first copy may still run."""
    real = Claims.claim

    async def claim(self, workspace, key, digest, request_id, expires_at):
        expires_at = trio.current_time() + 3.0
        return await real(self, workspace, key, digest, request_id, expires_at)

    patch.setattr(Claims, "claim", claim)


def release_after_a_start(patch: pytest.MonkeyPatch) -> None:
    """Free the key of a request that may have run."""
    patch.setattr(Claims, "mark_unknown", Claims.release)


def tell_a_repeat_not_run(patch: pytest.MonkeyPatch) -> None:
    """Tell a repeat "not run" although the first copy ran."""
    real = Dispatcher.call_service

    async def call_service(self, request):
        result = await real(self, request)
        return result.map_error(lambda p: replace(p, proven_outcome=Outcome.NOT_RUN))

    patch.setattr(Dispatcher, "call_service", call_service)


KEYED_MUTATIONS = (
    grant_without_a_majority,
    vouch_after_a_restart,
    forget_at_the_deadline,
    release_after_a_start,
    tell_a_repeat_not_run,
)
