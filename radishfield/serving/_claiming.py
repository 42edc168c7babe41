"""Interface through which the dispatcher uses idempotency claims."""

from dataclasses import dataclass
from typing import Protocol

from expression import Ok, Result

from radishfield.core import Fault
from radishfield.fleet import Claimed, Replay


@dataclass(slots=True, frozen=True)
class NoClaim:
    """Placeholder for the claim of a request that needs none."""


class ClaimPort(Protocol):
    """Claims an idempotency key before dispatch, and settles it afterwards."""

    async def claim(
        self, workspace: str, key: str, digest: str, request_id: str, expires_at: float
    ) -> Result[Claimed | NoClaim | Replay, Fault]:
        """Return a claim, a replay of the first run's answer, or a fault."""

    async def finish(self, claimed: Claimed | NoClaim, answer: bytes | None) -> None:
        """Settle the claim of a request that ran to its end."""

    async def release(self, claimed: Claimed | NoClaim) -> None:
        """Settle the claim of a request that is proven not to have run."""

    async def mark_unknown(self, claimed: Claimed | NoClaim) -> None:
        """Settle the claim of a request that may have run."""


class NoClaims:
    """Claims for hosts that do not accept idempotency keys."""

    __slots__ = ()

    async def claim(self, workspace, key, digest, request_id, expires_at):
        """Grant every request."""
        return Ok(NoClaim())

    async def finish(self, claimed, answer):
        """Do nothing."""

    async def release(self, claimed):
        """Do nothing."""

    async def mark_unknown(self, claimed):
        """Do nothing."""
