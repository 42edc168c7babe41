"""Probing of members: schedule, choice of helpers and timeouts."""

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

HELPERS_PER_PROBE = 2
"""Hosts asked to probe a member without an answer: one near it, one elsewhere."""

MAX_SMALL_FLEET = 100
LARGE_FLEET_PERIOD_FACTOR = 2.0
"""Above 100 members probes are half as frequent, which keeps within 3 KB/s."""

DIRECT_PROBE_SHARE = 0.4
"""Share of a period spent on the direct probe; the rest is for the helpers."""

SEED_INTERVAL_PERIODS = 10
"""Every tenth period a seed that is not a live member is probed."""

JOIN_PERIODS = 20
"""First periods, ten seconds in all, that each probe a missing seed.  Otherwise
hosts that found each other miss one that starts a second later for five seconds."""

MAX_WAKEUP_DELAY_S = 0.2
"""A probe that ends this late points to a delay in this host, not in the member."""

MAX_RELAYS = 256

MIN_LIST_PERIOD_S = 30.0
LIST_PERIOD_PER_MEMBER_S = 0.4
"""With 340 members, the complete list of 18 KB is read every 136 s, about 130 B/s.
It supplies updates whose every transmission was lost."""

LIST_TIMEOUT_S = 2.0
FIRST_LIST_PAUSE_S = 0.25

FIRST_SEED_PAUSE_S = 0.05
"""First pause between probes of all seeds while no other host is known.  It
doubles up to a period, so that a single host soon sends no more than others do."""


class Prober:
    """Probes members and seeds, and reads complete member lists periodically."""

    __slots__ = (
        "_ack_event_by_number",
        "_clock",
        "_membership",
        "_number",
        "_received",
        "_relays",
        "_rng",
        "_seeds",
        "_send",
        "_settings",
        "_streams",
    )

    def __init__(
        self,
        settings: PeerSettings,
        membership: Membership,
        streams: PeerStreams,
        send: Send,
        clock: Clock,
        rng: random.Random,
    ):
        self._settings = settings
        self._membership = membership
        self._streams = streams
        self._send = send
        self._clock = clock
        self._rng = rng
        self._seeds = set(settings.seeds)
        self._number = 0
        self._received = 0
        self._ack_event_by_number: dict[int, trio.Event] = {}
        self._relays: OrderedDict[int, tuple[str, int]] = OrderedDict()

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Add addresses to try."""
        self._seeds.update(addresses)

    def count_received(self) -> None:
        """Count a frame received from any member."""
        self._received += 1

    async def announce(self, count: int) -> None:
        """Send this host's own state to up to ``count`` live members at once."""
        others = list(self._live_others())
        self._rng.shuffle(others)
        for member in others[:count]:
            await self._send(member.id, member.address, Ping(), self._next_number())

    async def probe_members(self) -> None:
        """Probe one member each period, until cancelled."""
        await self._probe_all_seeds()
        period_index = 0
        while True:
            started = self._clock.now()
            is_joining = period_index < JOIN_PERIODS or not self._live_others()
            if is_joining or period_index % SEED_INTERVAL_PERIODS == 0:
                await self._probe_seed()
            period_index += 1
            period_s = self._period_s()
            member = self._membership.next_probe()
            if member is not None:
                await self._probe(member, period_s)
            for dead in self._membership.tick(self._clock.now()):
                await self._streams.forget(dead.address)
            remaining_s = period_s - (self._clock.now() - started)
            await trio.sleep(max(0.0, remaining_s))

    async def read_member_lists(self) -> None:
        """Read the complete list of a random member, often at first and then rarely.

        Hosts that start together read lists that are as short as their own, so the
        pause starts at a fraction of a second and doubles.
        """
        pause_s = FIRST_LIST_PAUSE_S
        while True:
            if await self._read_member_list():
                size = len(self._membership.members())
                period_s = max(MIN_LIST_PERIOD_S, size * LIST_PERIOD_PER_MEMBER_S)
                pause_s = min(2 * pause_s, period_s)
            await trio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    async def answer_members(self, sender: str, payload: bytes) -> Result[bytes, Fault]:
        """Answer a request for the complete member list."""
        return Ok(encode_updates(self._membership.all_updates()))

    async def handle_ack(self, number: int) -> None:
        """End a probe's wait, or forward the ack to the host that requested it."""
        ack_event = self._ack_event_by_number.get(number)
        if ack_event is not None:
            ack_event.set()
        requester = self._relays.pop(number, None)
        if requester is not None:
            address, requester_number = requester
            await self._send("", address, Ack(), requester_number)

    async def relay(self, target: str, address: str, number: int) -> None:
        """Probe a member on behalf of the host at an address."""
        own_number = self._next_number()
        self._relays[own_number] = (address, number)
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        await self._send("", target, Ping(), own_number)

    async def _read_member_list(self) -> bool:
        others = self._live_others()
        if not others:
            return False
        member = self._rng.choice(others)
        answer = await self._streams.ask(
            member.id, member.address, MEMBERS_TOPIC, b"", LIST_TIMEOUT_S
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
        self._ack_event_by_number[number] = answered
        received_before = self._received
        timeout_s = period_s * (1 + self._membership.health_penalty / 4)
        try:
            await self._send(member.id, member.address, Ping(), number)
            with trio.move_on_after(DIRECT_PROBE_SHARE * timeout_s):
                await answered.wait()
            if not answered.is_set() and member.state is not MemberState.DEAD:
                await self._probe_through_helpers(member, number)
                ends_at = self._clock.now() + (1 - DIRECT_PROBE_SHARE) * timeout_s
                with trio.move_on_after((1 - DIRECT_PROBE_SHARE) * timeout_s):
                    await answered.wait()
                # While this process was paused or busy, the ack may have waited in
                # this host's own socket, so the member is not accused.
                if self._clock.now() - ends_at > MAX_WAKEUP_DELAY_S:
                    return
        finally:
            del self._ack_event_by_number[number]
        now = self._clock.now()
        if answered.is_set():
            self._membership.answered(member.id, now)
        else:
            received_any = self._received > received_before
            self._membership.record_probe_failure(member.id, now, received_any)

    async def _probe_through_helpers(self, member: Update, number: int) -> None:
        for helper in self._membership.helpers(member.id, HELPERS_PER_PROBE):
            await self._send(helper.id, helper.address, Relay(member.address), number)

    async def _probe_all_seeds(self) -> None:
        """Probe all seeds until a host is known or the pause reaches a period.

        Hosts that start together miss each other's first datagrams.  At one seed
        per period they would serve for seconds without knowing each other, and a
        retry at one host could not learn the outcome of the first attempt at
        another.
        """
        pause_s = FIRST_SEED_PAUSE_S
        while not self._live_others() and pause_s < self._settings.period_s:
            for address in sorted(self._seeds - {self._settings.address}):
                await self._send("", address, Ping(), self._next_number())
            await trio.sleep(pause_s)
            pause_s *= 2

    async def _probe_seed(self) -> None:
        known = {member.address for member in self._live_others()}
        unknown = sorted(self._seeds - known - {self._settings.address})
        if unknown:
            address = self._rng.choice(unknown)
            await self._send("", address, Ping(), self._next_number())

    def _period_s(self) -> float:
        is_large = len(self._membership.members()) > MAX_SMALL_FLEET
        factor = LARGE_FLEET_PERIOD_FACTOR if is_large else 1.0
        return self._settings.period_s * factor * self._rng.uniform(0.9, 1.1)

    def _live_others(self) -> Sequence[Member]:
        return [
            member
            for member in self._membership.members()[1:]
            if member.state is not MemberState.DEAD
        ]

    def _next_number(self) -> int:
        self._number += 1
        return self._number
