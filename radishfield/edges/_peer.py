"""The network between entry hosts: heartbeats, news, questions and answers.

The membership itself is decided by the pure `radishfield.fleet.Membership`;
here are the sockets, the probes in time, and the counters.
"""

import random
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio
from expression import Error, Result

from radishfield.core import (
    Clock,
    Fault,
    Member,
    MemberState,
    PeerHandler,
    ResultCode,
    fault,
)
from radishfield.edges._peer_frames import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Frame,
    News,
    Ping,
    Relay,
    decode_frame,
    encode_frame,
)
from radishfield.edges._peer_seal import PeerKey, ReplayGuard, Sealer
from radishfield.edges._peer_streams import PeerStreams
from radishfield.edges._peer_transport import PeerTransport, SocketTransport
from radishfield.fleet import Membership, NewsHandler, Update

DATAGRAM_CONTEXT = b"radishfield datagram"

UPDATES_PER_FRAME = 6
"""About 50 bytes each: news of a dozen members passes in two heartbeats."""

HELPERS = 2
"""Hosts asked to probe a silent member; one near it, one elsewhere."""

SMALL_FLEET = 100
LARGE_PERIOD_FACTOR = 2.0
"""Above 100 members probes come half as often, which keeps within 3 KB/s."""

ACK_SHARE = 0.4
"""Share of a period for the direct answer; the rest is for the helpers."""

SEED_TURN = 10
"""Every tenth period a seed that is not a live member is tried."""

LATE_WAKE_S = 0.2
"""A probe that ended so late says more of this host than of the member."""

MAX_RELAYS = 256

KEEP_NOTHING_KNOWN = 0
"""Digest of a host that compares no state."""


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Who this host is among its peers.

    Attributes
    ----------
    address : str
        ``ip:port``, both bound and told to others.
    keys : tuple of PeerKey
        The first one signs; all are accepted.
    seeds : tuple of str
        Addresses to try first; hosts from the platform's list come on top.
    period_s : float
        Seconds between probes, doubled in a fleet of over 100 hosts.
    incarnation : int
        0 takes the wall clock in milliseconds, which rises at each start.
    """

    id: str
    zone: str
    address: str
    keys: tuple[PeerKey, ...]
    seeds: tuple[str, ...] = ()
    period_s: float = 0.5
    incarnation: int = 0


class PeerNetwork:
    """A `PeerPort`, and a service.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Datagram payloads; connections are counted apart in ``streams``.
    frames_sent : Counter
        By kind of body.
    dropped_by_code : Counter
        Frames that were not taken in, by result code.
    """

    __slots__ = (
        "_chance",
        "_clock",
        "_digest",
        "_differs",
        "_handler_by_topic",
        "_heard",
        "_hearer_by_topic",
        "_membership",
        "_number",
        "_relays",
        "_replays",
        "_sealer",
        "_seeds",
        "_sequence",
        "_settings",
        "_transport",
        "_waiting_by_number",
        "bytes_received",
        "bytes_sent",
        "dropped_by_code",
        "frames_sent",
        "streams",
    )

    def __init__(
        self,
        settings: PeerSettings,
        clock: Clock,
        transport: PeerTransport | None = None,
        chance: random.Random | None = None,
    ):
        self._settings = settings
        self._clock = clock
        self._transport = transport or SocketTransport(settings.address)
        self._chance = chance or random.Random()
        incarnation = settings.incarnation or int(time.time() * 1_000)
        own = Update(settings.id, settings.zone, settings.address, incarnation)
        self._membership = Membership(own, settings.period_s, self._chance)
        self._sealer = Sealer(settings.keys)
        self._replays = ReplayGuard()
        self._seeds = set(settings.seeds)
        self._sequence = 0
        self._number = 0
        self._heard = 0
        self._digest: Callable[[], int] = lambda: KEEP_NOTHING_KNOWN
        self._differs: Callable[[str], None] = lambda member_id: None
        self._waiting_by_number: dict[int, trio.Event] = {}
        self._relays: OrderedDict[int, tuple[str, int]] = OrderedDict()
        self._handler_by_topic: dict[str, PeerHandler] = {}
        self._hearer_by_topic: dict[str, NewsHandler] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent: Counter[str] = Counter()
        self.dropped_by_code: Counter[ResultCode] = Counter()
        self.streams = PeerStreams(
            settings.id,
            self._transport,
            self._sealer,
            self._handler_by_topic,
            self.dropped_by_code,
        )

    @property
    def membership(self) -> Membership:
        """Return the state machine, for its counters."""
        return self._membership

    def members(self) -> Sequence[Member]:
        """Return every known entry host, this one first."""
        return self._membership.members()

    def answer(self, topic: str, handler: PeerHandler) -> None:
        """Register the coroutine that answers a topic's questions."""
        self._handler_by_topic[topic] = handler

    def hear(self, topic: str, handler: NewsHandler) -> None:
        """Register what takes in a topic's datagrams."""
        self._hearer_by_topic[topic] = handler

    def compare_state(
        self, digest: Callable[[], int], differs: Callable[[str], None]
    ) -> None:
        """Carry a digest in each heartbeat; see `PeerMessages`."""
        self._digest = digest
        self._differs = differs

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Try these addresses too, for example those of the platform's list."""
        self._seeds.update(addresses)

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send one question and return its answer."""
        member = self._membership.find(member_id)
        if member is None:
            return Error(fault(ResultCode.PEER_UNREACHABLE, f"unknown {member_id}"))
        return await self.streams.ask(
            member_id, member.address, topic, payload, timeout_s
        )

    async def tell(self, member_ids: Sequence[str], topic: str, payload: bytes) -> None:
        """Send a datagram to each member."""
        for member_id in member_ids:
            member = self._membership.find(member_id)
            if member is not None:
                await self._send(member_id, member.address, News(topic, payload), 0)

    async def announce_leaving(self) -> None:
        """Tell the other hosts that this one leaves, in each frame from now on."""
        self._membership.leave()
        for member in self._live_others()[: 2 * UPDATES_PER_FRAME]:
            await self._send(member.id, member.address, Ping(), self._next_number())

    async def drain(self) -> None:
        """Announce leaving when the kernel drains its services."""
        await self.announce_leaving()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Probe, receive and serve until cancelled."""
        await self._transport.open()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._transport.serve, self.streams.serve)
                nursery.start_soon(self._probe_members)
                task_status.started()
        finally:
            self._transport.close()

    async def _probe_members(self) -> None:
        turn = 0
        while True:
            started = self._clock.now()
            if turn % SEED_TURN == 0 or not self._live_others():
                await self._try_seed()
            turn += 1
            period_s = self._period_s()
            member = self._membership.next_probe()
            if member is not None:
                await self._probe(member, period_s)
            for dead in self._membership.tick(self._clock.now()):
                self.streams.forget(dead.address)
            rest_s = period_s - (self._clock.now() - started)
            await trio.sleep(max(0.0, rest_s))

    def _period_s(self) -> float:
        is_large = len(self.members()) > SMALL_FLEET
        factor = LARGE_PERIOD_FACTOR if is_large else 1.0
        return self._settings.period_s * factor * self._chance.uniform(0.9, 1.1)

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

    async def _try_seed(self) -> None:
        known = {member.address for member in self._live_others()}
        unknown = sorted(self._seeds - known - {self._settings.address})
        if unknown:
            address = self._chance.choice(unknown)
            await self._send("", address, Ping(), self._next_number())

    async def _receive(self) -> None:
        while True:
            data, address = await self._transport.receive()
            self.bytes_received += len(data)
            if len(data) > MAX_DATAGRAM_BYTES:
                self.dropped_by_code[ResultCode.FRAME_TOO_LARGE] += 1
                continue
            frame = self._sealer.unseal(data, DATAGRAM_CONTEXT).bind(decode_frame)
            match frame:
                case Result(tag="ok", ok=accepted):
                    await self._take_in(accepted, address)
                case Result(tag="error", error=problem):
                    self.dropped_by_code[problem.code] += 1

    async def _take_in(self, frame: Frame, address: str) -> None:
        sender = frame.sender
        if not self._replays.accept(sender.id, sender.incarnation, frame.sequence):
            self.dropped_by_code[ResultCode.PEER_STALE] += 1
            return
        self._heard += 1
        now = self._clock.now()
        self._membership.observe(sender, now)
        for update in frame.updates:
            self._membership.observe(update, now)
        match frame.body:
            case Ping():
                await self._send(sender.id, address, Ack(), frame.number)
            case Ack():
                await self._take_ack(frame.number)
            case Relay(target):
                await self._relay(target, address, frame.number)
            case News(topic, payload):
                hearer = self._hearer_by_topic.get(topic)
                if hearer is not None:
                    hearer(sender.id, payload)
                return
        if frame.digest != self._digest():
            self._differs(sender.id)

    async def _take_ack(self, number: int) -> None:
        waiting = self._waiting_by_number.get(number)
        if waiting is not None:
            waiting.set()
        asked_by = self._relays.pop(number, None)
        if asked_by is not None:
            address, their_number = asked_by
            await self._send("", address, Ack(), their_number)

    async def _relay(self, target: str, address: str, number: int) -> None:
        own_number = self._next_number()
        self._relays[own_number] = (address, number)
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)
        await self._send("", target, Ping(), own_number)

    async def _send(
        self, member_id: str, address: str, body: Ping | Ack | Relay | News, number: int
    ) -> None:
        limit = 0 if isinstance(body, News) else UPDATES_PER_FRAME
        self._sequence += 1
        frame = Frame(
            sender=self._membership.own,
            sequence=self._sequence,
            digest=self._digest(),
            number=number,
            body=body,
            updates=tuple(self._membership.updates_to_tell(member_id, limit)),
        )
        data = self._sealer.seal(encode_frame(frame), DATAGRAM_CONTEXT)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped_by_code[ResultCode.FRAME_TOO_LARGE] += 1
            return
        self.bytes_sent += len(data)
        self.frames_sent[type(body).__name__.lower()] += 1
        await self._transport.send(data, address)

    def _live_others(self) -> Sequence[Member]:
        return [
            member
            for member in self.members()[1:]
            if member.state is not MemberState.DEAD
        ]

    def _next_number(self) -> int:
        self._number += 1
        return self._number
