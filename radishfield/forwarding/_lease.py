"""Lease in the store that lets one host at a time place a service's layers."""

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


class _ObservedRevision(msgspec.Struct, frozen=True):
    revision: Position
    since: float


class _LeaseBody(msgspec.Struct):
    holder: str = ""


class PlacementLease:
    """One service's lease, as held or observed by this host."""

    __slots__ = (
        "_host_id",
        "_next_read_at",
        "_observed",
        "_renewed_at",
        "_revision",
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
        self._revision: Position | None = None
        self._renewed_at = 0.0
        self._observed: _ObservedRevision | None = None
        self._next_read_at = 0.0

    @property
    def fence(self) -> int:
        """Return the lease's revision, which fences orders; 0 without the lease."""
        return self._revision.revision if self._revision else 0

    def is_held(self, now: float) -> bool:
        """Return whether this host holds the lease, as far as it knows."""
        return self._revision is not None and now - self._renewed_at < LEASE_S

    async def hold(self) -> bool:
        """Renew, acquire if free, or observe the lease; return whether it is held."""
        now = self._view.clock.now()
        if self._revision is not None:
            if now - self._renewed_at < LEASE_S / 4:
                return True
            return await self._write(self._revision)
        reported_at = self._view.duty_reported_at.get(self._service, -1e9)
        if now - reported_at < LEASE_S or now < self._next_read_at:
            return False
        self._next_read_at = now + READ_INTERVAL_S
        read = await self._store.read(LEASES_KIND, self._service)
        if read.is_error():
            if read.error.code is ResultCode.OBJECT_NOT_FOUND:
                return await self._write(None)
            return False
        if not self._is_free(read.ok, now):
            return False
        return await self._write(read.ok.position)

    def _is_free(self, value: StoredValue, now: float) -> bool:
        if _holder(value) == self._host_id:
            # This host held it before its restart.
            return True
        if self._observed is None or self._observed.revision != value.position:
            self._observed = _ObservedRevision(value.position, now)
            return False
        return now - self._observed.since >= LEASE_S

    async def _write(self, revision: Position | None) -> bool:
        requested_at = self._view.clock.now()
        spec = {"holder": self._host_id, "at_s": round(requested_at, 3)}
        if revision is None:
            written = await self._store.create(LEASES_KIND, self._service, spec)
        else:
            written = await self._store.replace(
                LEASES_KIND, self._service, spec, revision
            )
        if written.is_error():
            if self._revision is not None:
                code = int(written.error.code)
                log_event("lease.lost", service=self._service, code=code)
            self._revision = None
            return False
        if self._revision is None:
            log_event(
                "lease.held",
                service=self._service,
                revision=written.ok.position.revision,
            )
        self._revision = written.ok.position
        self._renewed_at = requested_at
        return True


def _holder(value: StoredValue) -> str:
    try:
        return msgspec.convert(value.spec, _LeaseBody).holder
    except UNREADABLE_ERRORS:
        return ""
