"""Deliberate faults in leases and orders; see `_serving_mutations`."""

from dataclasses import replace

import pytest
import trio
from expression import Error, Ok

import radishfield.fleet._leases as leases_module
from proofs._leases import HostClock
from radishfield.core import ResultCode, fault
from radishfield.fleet import LeaseKeeper, OrderSender


def clock_stands_still_while_suspended(patch: pytest.MonkeyPatch) -> None:
    """Count no time while the host is suspended, as ``CLOCK_MONOTONIC`` does."""

    def now(self):
        running_s = trio.current_time() - self.pause.paused_s
        if self.pause.is_paused:
            running_s -= trio.current_time() - self.pause._paused_since
        return running_s

    patch.setattr(HostClock, "now", now)


def count_the_lease_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """Count the lease from the answer to its renewal, not from the request."""
    real = LeaseKeeper.step

    async def step(self):
        before = self._held
        await real(self)
        if self._held is not None and self._held is not before:
            until = self._clock.now() + self._settings.duration_s
            self._held = replace(self._held, valid_until=until)

    patch.setattr(LeaseKeeper, "step", step)


def take_over_too_soon(patch: pytest.MonkeyPatch) -> None:
    """Take over a lease before it has expired."""
    patch.setattr(leases_module, "DRIFT_ALLOWANCE", 0.5)


def hold_without_end(patch: pytest.MonkeyPatch) -> None:
    """Rely on the last renewal, no matter how long ago it was."""

    def check(self, for_s=0.0):
        if self._held is None:
            return Error(fault(ResultCode.LEASE_NOT_HELD))
        return Ok(self._held)

    patch.setattr(LeaseKeeper, "check", check)


def do_not_wait_old_orders_out(patch: pytest.MonkeyPatch) -> None:
    """Send orders at once to targets that ignore fencing numbers."""

    async def wait_out(self, held):
        await trio.lowlevel.checkpoint()

    patch.setattr(OrderSender, "_wait_out", wait_out)


LEASE_MUTATIONS = (
    clock_stands_still_while_suspended,
    count_the_lease_from_the_answer,
    take_over_too_soon,
    hold_without_end,
    do_not_wait_old_orders_out,
)
