"""The lease in the store under which one host at a time places a service's layers."""

import msgspec

from radishfield.core import ResultCode
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, StoredValue
from radishfield.telemetry import log_event

LEASES_KIND = "radishfield-leases"
LEASE_S = 2.0
"""A lease whose object has not changed for this long, as the host that wants it has
watched, is free: a holder renews four times in it while it has orders to give.  A
holder that wakes late and orders all the same names counts that no longer fit."""
ASK_AGAIN_S = 1.5
"""Pause between readings of a lease that another host holds."""


class _Seen(msgspec.Struct, frozen=True):
    revision: int
    since: float


class _LeaseBody(msgspec.Struct):
    holder: str = ""


class PlacementLease:
    """One service's lease, as this host holds it or sees it held."""

    __slots__ = (
        "_ask_again_at",
        "_host_id",
        "_renewed_at",
        "_revision",
        "_seen",
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
        self._revision: int | None = None
        self._renewed_at = 0.0
        self._seen: _Seen | None = None
        self._ask_again_at = 0.0

    @property
    def fence(self) -> int:
        """Return the revision under which orders are given; 0 without the lease."""
        return self._revision or 0

    def is_held(self, now: float) -> bool:
        """Return whether this host holds the lease, by its own knowledge."""
        return self._revision is not None and now - self._renewed_at < LEASE_S

    async def hold(self) -> bool:
        """Hold the lease, take it if it is free, or learn who has it."""
        now = self._view.clock.now()
        if self._revision is not None:
            if now - self._renewed_at < LEASE_S / 4:
                return True
            return await self._write(self._revision)
        told_at = self._view.duty_reported_at.get(self._service, -1e9)
        if now - told_at < LEASE_S or now < self._ask_again_at:
            return False
        self._ask_again_at = now + ASK_AGAIN_S
        read = await self._store.read(LEASES_KIND, self._service)
        if read.is_error():
            if read.error.code is ResultCode.OBJECT_NOT_FOUND:
                return await self._write(None)
            return False
        if not self._is_free(read.ok, now):
            return False
        return await self._write(read.ok.revision)

    def _is_free(self, value: StoredValue, now: float) -> bool:
        if _holder(value) == self._host_id:
            # This host held it before it was started again.
            return True
        if self._seen is None or self._seen.revision != value.revision:
            self._seen = _Seen(value.revision, now)
            return False
        return now - self._seen.since >= LEASE_S

    async def _write(self, revision: int | None) -> bool:
        asked_at = self._view.clock.now()
        spec = {"holder": self._host_id, "at_s": round(asked_at, 3)}
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
            log_event("lease.held", service=self._service, revision=written.ok.revision)
        self._revision = written.ok.revision
        self._renewed_at = asked_at
        return True


def _holder(value: StoredValue) -> str:
    try:
        return msgspec.convert(value.spec, _LeaseBody).holder
    except msgspec.ValidationError:
        return ""
