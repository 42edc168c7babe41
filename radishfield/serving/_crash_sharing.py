"""Reports to the other entry hosts under which requests targets crashed.

New reports go to every member at once.  Datagrams get lost, and hosts start or return
from a partition, so each second the reports of requests with more than one crash are
sent again to a few members.
"""

import random
from collections.abc import Sequence

import msgspec
import trio

from radishfield.core import MemberState
from radishfield.crashes import CrashGuard, CrashReport
from radishfield.fleet import PeerMessages, SpreadSettings, choose_fan_out
from radishfield.telemetry import log_event

CRASHES_TOPIC = "crashes"
RESEND_INTERVAL_S = 1.0
BATCH_DELAY_S = 0.01
"""Delay that batches reports, since a crash counts for all requests on the target."""


class CrashSharing:
    """A service that exchanges the crash reports of a `CrashGuard` between hosts."""

    __slots__ = ("_rng", "_unsent", "_guard", "_peers", "_settings", "_has_unsent")

    def __init__(
        self, settings: SpreadSettings, peers: PeerMessages, guard: CrashGuard
    ):
        self._settings = settings
        self._peers = peers
        self._guard = guard
        self._rng = random.Random()
        self._unsent: dict[str, None] = {}
        self._has_unsent = trio.Event()
        guard.announce = self._enqueue
        peers.hear(CRASHES_TOPIC, self._receive)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Send new reports, and resend those of several crashes, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_unsent)
            nursery.start_soon(self._resend)
            nursery.start_soon(self._guard.watch)
            task_status.started()

    def _enqueue(self, trait: str) -> None:
        self._unsent[trait] = None
        self._has_unsent.set()

    async def _send_unsent(self) -> None:
        while True:
            await self._has_unsent.wait()
            await trio.sleep(BATCH_DELAY_S)
            self._has_unsent = trio.Event()
            traits = list(self._unsent)
            self._unsent.clear()
            members = [
                member.id
                for member in self._peers.members()
                if member.state is not MemberState.DEAD
                and member.id != self._settings.host
            ]
            await self._send(traits, members)

    async def _resend(self) -> None:
        while True:
            await trio.sleep(RESEND_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            members = self._peers.members()
            chosen = choose_fan_out(members, self._settings, self._rng)
            await self._send(self._guard.book.repeated_traits(), chosen)

    async def _send(self, traits: Sequence[str], members: Sequence[str]) -> None:
        for trait in traits:
            payload = msgspec.msgpack.encode(self._guard.report(trait))
            await self._peers.tell(members, CRASHES_TOPIC, payload)

    def _receive(self, sender: str, payload: bytes) -> None:
        try:
            report = msgspec.msgpack.decode(payload, type=CrashReport)
        except msgspec.DecodeError as problem:
            log_event("crashes.unreadable", sender=sender, detail=str(problem))
            return
        self._guard.learn([report], sender)
