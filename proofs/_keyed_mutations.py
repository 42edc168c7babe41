"""Deliberate faults in claims; see `proofs._serving_mutations`."""

from dataclasses import replace

import pytest
import trio
from expression import Ok

import radishfield.fleet._claims as claims_module
from radishfield.core import Outcome
from radishfield.fleet import Claims
from radishfield.fleet._claims_book import ClaimState
from radishfield.fleet._claims_store import ClaimStore
from radishfield.serving import Dispatcher


def grant_without_the_platform(patch: pytest.MonkeyPatch) -> None:
    """Run without waiting for the platform to store the claim."""

    async def write(self, slot, record, lifetime_s):
        return Ok(None)

    patch.setattr(ClaimStore, "write_claim", write)


def take_a_lost_claim_for_released(patch: pytest.MonkeyPatch) -> None:
    """Treat a claim with an unknown outcome as one that never ran."""
    real = claims_module._unknown
    patch.setattr(
        claims_module,
        "_unknown",
        lambda rival: replace(real(rival), state=ClaimState.RELEASED),
    )
    patch.setattr(Claims, "_state_of", _state_or_released(Claims._state_of))


def _state_or_released(real):
    async def state_of(self, rival):
        state = await real(self, rival)
        return state or claims_module._unknown(rival)

    return state_of


def forget_at_the_deadline(patch: pytest.MonkeyPatch) -> None:
    """Keep a key only while its first copy may still run."""
    real = Claims.claim

    async def claim(self, workspace, key, digest, request_id, expires_at):
        expires_at = trio.current_time() + 3.0
        return await real(self, workspace, key, digest, request_id, expires_at)

    patch.setattr(Claims, "claim", claim)


def release_after_a_start(patch: pytest.MonkeyPatch) -> None:
    """Free the key of a request that may have run."""
    patch.setattr(Claims, "mark_unknown", Claims.release)


def tell_a_repeat_not_run(patch: pytest.MonkeyPatch) -> None:
    """Report "not run" to a repeat although the first copy ran."""
    real = Dispatcher.call_service

    async def call_service(self, request):
        result = await real(self, request)
        return result.map_error(lambda p: replace(p, proven_outcome=Outcome.NOT_RUN))

    patch.setattr(Dispatcher, "call_service", call_service)


KEYED_MUTATIONS = (
    grant_without_the_platform,
    take_a_lost_claim_for_released,
    forget_at_the_deadline,
    release_after_a_start,
    tell_a_repeat_not_run,
)
