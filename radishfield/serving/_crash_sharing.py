"""Tells the other entry hosts under which requests targets ended.

News goes to every member at once.  Datagrams get lost, and hosts start or come back
from a cut, so what is known of more than one end is told again to a few each second.
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
TELL_AGAIN_S = 1.0
GATHER_S = 0.01
"""Pause in which news gathers: a target's end is one of all requests that it ran."""


class CrashSharing:
    """A service that carries what a `CrashGuard` knows between hosts."""

    __slots__ = ("_chance", "_fresh", "_guard", "_peers", "_settings", "_woken")

    def __init__(
        self, settings: SpreadSettings, peers: PeerMessages, guard: CrashGuard
    ):
        self._settings = settings
        self._peers = peers
        self._guard = guard
        self._chance = random.Random()
        self._fresh: dict[str, None] = {}
        self._woken = trio.Event()
        guard.tell = self._note
        peers.hear(CRASHES_TOPIC, self._hear)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Tell what is new, and some of what lasts, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_fresh)
            nursery.start_soon(self._tell_again)
            nursery.start_soon(self._guard.watch)
            task_status.started()

    def _note(self, digest: str) -> None:
        self._fresh[digest] = None
        self._woken.set()

    async def _tell_fresh(self) -> None:
        while True:
            await self._woken.wait()
            await trio.sleep(GATHER_S)
            self._woken = trio.Event()
            digests = list(self._fresh)
            self._fresh.clear()
            members = [
                member.id
                for member in self._peers.members()
                if member.state is not MemberState.DEAD
                and member.id != self._settings.host
            ]
            await self._tell(digests, members)

    async def _tell_again(self) -> None:
        while True:
            await trio.sleep(TELL_AGAIN_S * self._chance.uniform(0.5, 1.5))
            members = self._peers.members()
            chosen = choose_fan_out(members, self._settings, self._chance)
            await self._tell(self._guard.book.lasting(), chosen)

    async def _tell(self, digests: Sequence[str], members: Sequence[str]) -> None:
        for digest in digests:
            payload = msgspec.msgpack.encode(self._guard.report(digest))
            await self._peers.tell(members, CRASHES_TOPIC, payload)

    def _hear(self, sender: str, payload: bytes) -> None:
        try:
            report = msgspec.msgpack.decode(payload, type=CrashReport)
        except msgspec.DecodeError as problem:
            log_event("crashes.unreadable", sender=sender, detail=str(problem))
            return
        self._guard.learn([report], sender)
