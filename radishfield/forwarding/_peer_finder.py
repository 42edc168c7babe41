"""Discovers the other entry hosts through the store.

Each host writes its address before it lists the others.  Of any two hosts the later
one therefore finds the earlier one and sends it its status.  That is done at startup,
and again when the store came back from a copy that may lack the address.
"""

import random

import msgspec
import trio

from radishfield.core import UNREADABLE_ERRORS, ResultCode
from radishfield.forwarding._peers import Peer, PeerBook
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore
from radishfield.telemetry import log_event
from radishfield.web import ERA_SPREAD_S, backoff_s, split_ip_address

HOSTS_KIND = "radishfield-hosts"


class _HostBody(msgspec.Struct):
    address: str
    zone: str = ""


class PeerFinder:
    """Registers this host and finds those that registered before."""

    __slots__ = ("_address", "_book", "_rng", "_host_id", "_store", "_view")

    def __init__(
        self,
        host_id: str,
        address: str,
        store: ObjectStore,
        view: RouterView,
        book: PeerBook,
    ):
        self._host_id = host_id
        self._address = address
        self._store = store
        self._view = view
        self._book = book
        self._rng = random.Random()

    async def run(self) -> None:
        """Find the other hosts, and again in each era of the store, until cancelled."""
        while True:
            changed = self._view.eras.changed
            await self._view.boundary.complete("peers.find", "", self.find)
            await changed.wait()
            await trio.sleep(self._rng.uniform(0.0, ERA_SPREAD_S))

    async def find(self) -> None:
        """Write this host's address, then read the addresses of the others."""
        failures = 0
        while not await self._registered():
            failures += 1
            await trio.sleep(backoff_s(failures, self._rng))
        failures = 0
        while (listing := await self._store.list(HOSTS_KIND)).is_error():
            failures += 1
            await trio.sleep(backoff_s(failures, self._rng))
        for value in listing.ok.values:
            with self._view.boundary.contain("peer.add", value.name):
                self.add_listed(value.name, value.spec)
        self._view.peers.found_at = self._view.clock.now()
        self._view.hosts = self._book.count_hosts(self._view.clock.now())
        log_event(
            "peers.found",
            peers=len(self._book.peer_by_id),
            era=listing.ok.position.era,
            revision=listing.ok.position.revision,
        )

    def add_listed(self, host_id: str, spec: object) -> None:
        """Add a host that the store lists, unless it is already known."""
        if host_id == self._host_id or host_id in self._book.peer_by_id:
            return
        try:
            body = msgspec.convert(spec, _HostBody)
            address = split_ip_address(body.address)
        except UNREADABLE_ERRORS as problem:
            log_event("peer.unreadable", peer=host_id, detail=str(problem))
            return
        self._book.peer_by_id[host_id] = Peer(
            address, body.zone, self._view.clock.now()
        )

    async def _registered(self) -> bool:
        body = {"address": self._address, "zone": self._view.zone}
        created = await self._store.create(HOSTS_KIND, self._host_id, body)
        if created.is_ok():
            return True
        if created.error.code is not ResultCode.PLATFORM_CONFLICT:
            return False
        read = await self._store.read(HOSTS_KIND, self._host_id)
        if read.is_error():
            return False
        if read.ok.spec == body:
            return True
        written = await self._store.replace(
            HOSTS_KIND, self._host_id, body, read.ok.position
        )
        return written.is_ok()
