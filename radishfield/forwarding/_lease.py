"""Lease in the store that lets one host at a time place a service's layers.

A store that comes back from an older copy has lost the lease, or has an earlier
holder's again.  The holder of before takes it again at once, for as long as its term
runs; any other host waits until that term has certainly passed.
"""

import math

import msgspec

from radishfield.core import UNREADABLE_ERRORS, ResultCode
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, StoredValue
from radishfield.routing import Position
from radishfield.telemetry import log_event

LEASES_KIND = "radishfield-leases"
LEASE_S = 2.0
"""A lease whose object has not changed for this long, as observed by the host that
wants it, is free: a holder renews it four times in this period while it has orders to
send.  If a holder resumes late and still sends orders, the order counts that they name
no longer match."""
READ_INTERVAL_S = 1.5
"""Interval between reads of a lease that another host holds."""


FENCE_ERA_BITS = 40
"""A fence is a revision with the store's era before it: revisions are given out again
in a later era, and 2**40 of them take years."""


class _Observed(msgspec.Struct, frozen=True):
    position: Position
    since: float


class _LeaseBody(msgspec.Struct):
    holder: str = ""


class PlacementLease:
    """One service's lease, as held or observed by this host."""

    __slots__ = (
        "_host_id",
        "_next_read_at",
        "_observed",
        "_position",
        "_renewed_at",
        "_retake_until",
        "_service",
        "_store",
        "_view",
    )

    def __init__(
        self, service: str, host_id: str, store: ObjectStore, view: RouterView
    ):
        self._service = service
        self._host_id = host_id
        self._store = store
        self._view = view
        self._position: Position | None = None
        self._renewed_at = 0.0
        self._retake_until = -math.inf
        self._observed: _Observed | None = None
        self._next_read_at = 0.0

    @property
    def fence(self) -> int:
        """Return a number that grows with each write of the lease; 0 without it."""
        if self._position is None:
            return 0
        earlier_eras = max(0, self._position.era - 1)
        return (earlier_eras << FENCE_ERA_BITS) + self._position.revision

    def is_held(self, now: float) -> bool:
        """Return whether this host holds the lease, as far as it knows."""
        if self._position is None or self._position.era != self._view.eras.known:
            return False
        return now - self._renewed_at < LEASE_S

    async def hold(self) -> bool:
        """Renew, acquire if free, or observe the lease; return whether it is held."""
        now = self._view.clock.now()
        self._leave_passed_era()
        if self._position is not None:
            if now - self._renewed_at < LEASE_S / 4:
                return True
            return await self._write(self._position)
        # Nobody else writes the lease in the new era before this term has passed.
        retakes = now < self._retake_until
        if not retakes and not self._may_read(now):
            return False
        self._next_read_at = now + READ_INTERVAL_S
        read = await self._store.read(LEASES_KIND, self._service)
        if not retakes and self._era_is_new():
            return False
        if read.is_error():
            if read.error.code is ResultCode.OBJECT_NOT_FOUND:
                return await self._write(None)
            return False
        if not retakes and not self._is_free(read.ok, now):
            return False
        return await self._write(read.ok.position)

    def _may_read(self, now: float) -> bool:
        """Return whether the lease may be free."""
        if self._era_is_new():
            return False
        reported_at = self._view.duty_reported_at.get(self._service, -1e9)
        return now - reported_at >= LEASE_S and now >= self._next_read_at

    def _era_is_new(self) -> bool:
        """Return whether the holder of the last era may still act on its lease."""
        return self._view.eras.changed_s() < LEASE_S

    def _is_free(self, value: StoredValue, now: float) -> bool:
        if _holder(value) == self._host_id:
            # This host held it before its restart.
            return True
        if self._observed is None or self._observed.position != value.position:
            self._observed = _Observed(value.position, now)
            return False
        return now - self._observed.since >= LEASE_S

    async def _write(self, position: Position | None) -> bool:
        requested_at, era = self._view.clock.now(), self._view.eras.known
        spec = {"holder": self._host_id, "at_s": round(requested_at, 3)}
        if position is None:
            written = await self._store.create(LEASES_KIND, self._service, spec)
        else:
            written = await self._store.replace(
                LEASES_KIND, self._service, spec, position
            )
        if written.is_error():
            self._leave_passed_era()
            if self._position is not None:
                self._log_lost(written.error.detail, written.error.code)
            self._position = None
            if written.error.code is ResultCode.PLATFORM_CONFLICT:
                self._retake_until = -math.inf
            return False
        if self._view.eras.known != era and requested_at >= self._retake_until:
            # It was free in an era that passed before it was written.
            return False
        if self._position is None:
            log_event(
                "lease.held",
                service=self._service,
                era=written.ok.position.era,
                revision=written.ok.position.revision,
            )
        self._position = written.ok.position
        self._renewed_at = requested_at
        return True

    def _leave_passed_era(self) -> None:
        """Give up a lease of an era that has passed, to take it again in its term."""
        if self._position is None or self._position.era == self._view.eras.known:
            return
        self._retake_until = self._renewed_at + LEASE_S
        self._position = None
        self._log_lost("the store came back from a copy")

    def _log_lost(self, detail: str, code: ResultCode = ResultCode.STORE_ERA) -> None:
        log_event("lease.lost", service=self._service, code=int(code), detail=detail)


def _holder(value: StoredValue) -> str:
    try:
        return msgspec.convert(value.spec, _LeaseBody).holder
    except UNREADABLE_ERRORS:
        return ""
