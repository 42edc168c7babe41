"""The secret by which entry hosts know each other, kept in the platform's store.

Only entry hosts and operators have access to the store.  The first host writes the
secret; the others read it.
"""

import base64
import random
import secrets

import msgspec
import trio
from expression import Result

from radishfield.core import UNREADABLE_ERRORS, Clock, Fault, ResultCode
from radishfield.kernel import WorkBoundary
from radishfield.platform import ObjectStore, StoredValue
from radishfield.relay._frames import KEY_BYTES
from radishfield.telemetry import log_event
from radishfield.web import ERA_SPREAD_S, backoff_s

KEYS_KIND = "radishfield-keys"
KEY_NAME = "relay"
MIN_READ_INTERVAL_S = 10.0
"""Minimum interval between reads after a host was refused for its key.  A store that
came back from an older copy may have another key, or none."""


CREATE_SPREAD_S = 0.5
"""Time over which the hosts of a fleet that starts look for the key again, before they
write one themselves: the store takes some hundred writes a second."""


class _KeyBody(msgspec.Struct):
    secret: str


class RelayKey:
    """The key of this host; None until the store has answered."""

    __slots__ = (
        "_boundary",
        "_clock",
        "_read_at",
        "_reread_s",
        "_rng",
        "_store",
        "_unknown",
        "value",
    )

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        boundary: WorkBoundary | None = None,
    ):
        self._boundary = boundary or WorkBoundary(clock)
        self._clock = clock
        self._read_at = 0.0
        self._reread_s = 0.0
        self._rng = random.Random()
        self._store = store
        self._unknown = trio.Event()
        self.value: bytes | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Read the key, and again whenever it was refused, until cancelled."""
        task_status.started()
        while True:
            failures = 0
            while not await self._boundary.complete("relay.read_key", "", self._read):
                failures += 1
                await trio.sleep(backoff_s(failures, self._rng))
            self._read_at = self._clock.now()
            self._unknown = trio.Event()
            await self._unknown.wait()
            await trio.sleep(self._rng.uniform(0.0, self._reread_s))
            self._reread_s = 0.0

    def reread(self) -> None:
        """Read the key again, since the store came back and may have lost it."""
        self._reread_s = ERA_SPREAD_S
        self._unknown.set()

    def doubt(self) -> None:
        """Read the key again, since another host's differs, unless that was recent."""
        if self._clock.now() - self._read_at >= MIN_READ_INTERVAL_S:
            self._unknown.set()

    async def _read(self) -> bool:
        read = await self._store.read(KEYS_KIND, KEY_NAME)
        if _is_missing(read):
            # Hosts that start together do not all try to write the key.
            await trio.sleep(self._rng.uniform(0.0, CREATE_SPREAD_S))
            read = await self._store.read(KEYS_KIND, KEY_NAME)
        if read.is_ok():
            return self._accept(read.ok.spec)
        if not _is_missing(read):
            return False
        key = self.value or secrets.token_bytes(KEY_BYTES)
        secret = base64.b64encode(key).decode()
        created = await self._store.create(KEYS_KIND, KEY_NAME, {"secret": secret})
        # If another host was first, its key is read with the next try.
        return created.is_ok() and self._accept({"secret": secret})

    def _accept(self, spec: object) -> bool:
        try:
            body = msgspec.convert(spec, _KeyBody)
            value = base64.b64decode(body.secret, validate=True)
        except UNREADABLE_ERRORS as problem:
            log_event("relay.key_unreadable", detail=str(problem))
            return False
        if len(value) < KEY_BYTES:
            log_event("relay.key_unreadable", detail=f"{len(value)} bytes")
            return False
        self.value = value
        return True


def _is_missing(read: Result[StoredValue, Fault]) -> bool:
    return read.is_error() and read.error.code is ResultCode.OBJECT_NOT_FOUND
