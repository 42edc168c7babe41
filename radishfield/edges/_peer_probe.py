"""Probes in time: who is asked when, through whom, and how long is waited."""

import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Sequence

import trio
from expression import Ok, Result

from radishfield.core import Clock, Fault, Member, MemberState
from radishfield.edges._peer_frames import (
    Ack,
    News,
    Ping,
    Relay,
    decode_updates,
    encode_updates,
)
from radishfield.edges._peer_settings import PeerSettings
from radishfield.edges._peer_streams import PeerStreams
from radishfield.fleet import Membership, Update

Send = Callable[[str, str, Ping | Ack | Relay | News, int], Awaitable[None]]

MEMBERS_TOPIC = "members"

HELPERS = 2
"""Hosts asked to probe a silent member; one near it, one elsewhere."""

SMALL_FLEET = 100
LARGE_PERIOD_FACTOR = 2.0
"""Above 100 members probes come half as often, which keeps within 3 KB/s."""

ACK_SHARE = 0.4
"""Share of a period for the direct answer; the rest is for the helpers."""

SEED_TURN = 10
"""Every tenth period a seed that is not a live member is tried."""

JOIN_TURNS = 20
"""Periods, ten seconds in all, in which each one tries a missing seed.  Hosts
that found each other would else miss one that starts a second later for five."""

LATE_WAKE_S = 0.2
"""A probe that ended so late says more of this host than of the member."""

MAX_RELAYS = 256

MEMBERS_PERIOD_S = 30.0
MEMBERS_PERIOD_PER_MEMBER_S = 0.4
"""340 members: the whole list of 18 KB each 136 s, about 130 B/s.  It covers
updates that were lost each time they were told."""

MEMBERS_TIMEOUT_S = 2.0
JOIN_PAUSE_S = 0.25

ALONE_PAUSE_S = 0.05
"""Pause between two rounds of all seeds while no other host is known.  It
doubles up to a period, so that a lone host is soon as quiet as any other."""


class Prober:
    """Probes members, tries seeds, and reads the whole list now and then."""

    __slots__ = (
        "_chance",
        "_clock",
        "_heard",
        "_membership",
        "_number",
        "_relays",
        "_seeds",
        "_send",
        "_settings",
        "_streams",
        "_waiting_by_number",
    )

    def __init__(
        self,
        settings: PeerSettings,
        membership: Membership,
        streams: PeerStreams,
        send: Send,
        clock: Clock,
        chance: random.Random,
    ):
        self._settings = settings
        self._membership = membership
        self._streams = streams
        self._send = send
        self._clock = clock
        self._chance = chance
        self._seeds = set(settings.seeds)
        self._number = 0
        self._heard = 0
        self._waiting_by_number: dict[int, trio.Event] = {}
        self._relays: OrderedDict[int, tuple[str, int]] = OrderedDict()

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Try these addresses too."""
        self._seeds.update(addresses)

    def note_heard(self) -> None:
        """Note that some member was heard."""
        self._heard += 1

    async def announce(self, count: int) -> None:
        """Send this host's own state to so many live members at once."""
        others = list(self._live_others())
        self._chance.shuffle(others)
        for member in others[:count]:
            await self._send(member.id, member.address, Ping(), self._next_number())

    async def probe_members(self) -> None:
        """Probe one member each period, until cancelled."""
        await self._find_others()
        turn = 0
        while True:
            started = self._clock.now()
            is_joining = turn < JOIN_TURNS or not self._live_others()
            if is_joining or turn % SEED_TURN == 0:
                await self._try_seed()
            turn += 1
            period_s = self._period_s()
            member = self._membership.next_probe()
            if member is not None:
                await self._probe(member, period_s)
            for dead in self._membership.tick(self._clock.now()):
                await self._streams.forget(dead.address)
            rest_s = period_s - (self._clock.now() - started)
            await trio.sleep(max(0.0, rest_s))

    async def read_member_lists(self) -> None:
        """Read the whole list of a member: soon after the start, then rarely.

        Hosts that start together read lists that are as short as their own; so
        the pauses grow from a fraction of a second, each twice the one before.
        """
        pause_s = JOIN_PAUSE_S
        while True:
            if await self._read_a_list():
                size = len(self._membership.members())
                period_s = max(MEMBERS_PERIOD_S, size * MEMBERS_PERIOD_PER_MEMBER_S)
                pause_s = min(2 * pause_s, period_s)
            await trio.sleep(pause_s * self._chance.uniform(0.8, 1.2))

    async def answer_members(self, sender: str, payload: bytes) -> Result[bytes, Fault]:
        """Answer a question for the whole list."""
        return Ok(encode_updates(self._membership.all_updates()))

    async def take_ack(self, number: int) -> None:
        """End the wait of a probe, or pass the answer on to who asked for it."""
        waiting = self._waiting_by_number.get(number)
        if waiting is not None:
            waiting.set()
        asked_by = self._relays.pop(number, None)
        if asked_by is not None:
            address, their_number = asked_by
            await self._send("", address, Ack(), their_number)

    async def relay(self, target: str, address: str, number: int) -> None:
        """Probe a member on behalf of the host at an address."""
        own_number = self._next_number()
        self._relays[own_number] = (address, number)
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        await self._send("", target, Ping(), own_number)

    async def _read_a_list(self) -> bool:
        others = self._live_others()
        if not others:
            return False
        member = self._chance.choice(others)
        answer = await self._streams.ask(
            member.id, member.address, MEMBERS_TOPIC, b"", MEMBERS_TIMEOUT_S
        )
        match answer.bind(decode_updates):
            case Result(tag="ok", ok=updates):
                for update in updates:
                    self._membership.observe(update, self._clock.now(), spread=False)
                return True
        return False

    async def _probe(self, member: Update, period_s: float) -> None:
        """Probe a member directly, then through helpers."""
        number = self._next_number()
        answered = trio.Event()
        self._waiting_by_number[number] = answered
        heard_before = self._heard
        patience_s = period_s * (1 + self._membership.health_penalty / 4)
        try:
            await self._send(member.id, member.address, Ping(), number)
            with trio.move_on_after(ACK_SHARE * patience_s):
                await answered.wait()
            if not answered.is_set() and member.state is not MemberState.DEAD:
                await self._ask_helpers(member, number)
                ends_at = self._clock.now() + (1 - ACK_SHARE) * patience_s
                with trio.move_on_after((1 - ACK_SHARE) * patience_s):
                    await answered.wait()
                # The answer may wait in this host's own socket while the
                # process was paused or busy; that is no ground to accuse.
                if self._clock.now() - ends_at > LATE_WAKE_S:
                    return
        finally:
            del self._waiting_by_number[number]
        now = self._clock.now()
        if answered.is_set():
            self._membership.answered(member.id, now)
        else:
            heard_any = self._heard > heard_before
            self._membership.not_answered(member.id, now, heard_any)

    async def _ask_helpers(self, member: Update, number: int) -> None:
        for helper in self._membership.helpers(member.id, HELPERS):
            await self._send(helper.id, helper.address, Relay(member.address), number)

    async def _find_others(self) -> None:
        """Try all seeds quickly until one answers, up to a pause of a period.

        Hosts that start together miss each other's first datagrams.  At one
        seed a period they stay strangers for seconds in which they serve, and
        a repeat at one can't be told what its first copy came to at another.
        """
        pause_s = ALONE_PAUSE_S
        while not self._live_others() and pause_s < self._settings.period_s:
            for address in sorted(self._seeds - {self._settings.address}):
                await self._send("", address, Ping(), self._next_number())
            await trio.sleep(pause_s)
            pause_s *= 2

    async def _try_seed(self) -> None:
        known = {member.address for member in self._live_others()}
        unknown = sorted(self._seeds - known - {self._settings.address})
        if unknown:
            address = self._chance.choice(unknown)
            await self._send("", address, Ping(), self._next_number())

    def _period_s(self) -> float:
        is_large = len(self._membership.members()) > SMALL_FLEET
        factor = LARGE_PERIOD_FACTOR if is_large else 1.0
        return self._settings.period_s * factor * self._chance.uniform(0.9, 1.1)

    def _live_others(self) -> Sequence[Member]:
        return [
            member
            for member in self._membership.members()[1:]
            if member.state is not MemberState.DEAD
        ]

    def _next_number(self) -> int:
        self._number += 1
        return self._number
