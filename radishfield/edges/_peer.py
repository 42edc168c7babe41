"""The network between entry hosts: heartbeats, datagrams, requests and answers.

The pure `radishfield.fleet.Membership` decides on the membership itself.  This
module adds the sockets, the timed probes and the counters.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Sequence

import trio
from expression import Error, Result

from radishfield.core import (
    Clock,
    Fault,
    Member,
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
from radishfield.edges._peer_probe import MEMBERS_TOPIC, Prober
from radishfield.edges._peer_seal import ReplayGuard, Sealer
from radishfield.edges._peer_settings import PeerSettings
from radishfield.edges._peer_streams import PeerStreams
from radishfield.edges._peer_transport import PeerTransport, SocketTransport
from radishfield.fleet import Membership, NewsHandler, Update

DATAGRAM_CONTEXT = b"radishfield datagram"

UPDATES_PER_FRAME = 6
"""About 50 bytes each: updates on a dozen members fit in two heartbeats."""

LEAVING_NOTICES = 12
"""Members notified at once that this host leaves; heartbeats notify the others."""

NO_STATE = 0
"""Digest that a host sends while no state is compared."""


class PeerNetwork:
    """A `PeerPort` over datagrams and connections, run as a service.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Datagram payloads; connections are counted separately in ``streams``.
    frames_sent : Counter
        By type of the frame's body.
    dropped_by_code : Counter
        Dropped frames, by result code.
    """

    __slots__ = (
        "_clock",
        "_datagram_handler_by_topic",
        "_digest",
        "_handler_by_topic",
        "_membership",
        "_prober",
        "_replay_guard",
        "_report_difference",
        "_rng",
        "_sealer",
        "_sequence",
        "_settings",
        "_transport",
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
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._clock = clock
        self._transport = transport or SocketTransport(settings.address)
        self._rng = rng or random.Random()
        incarnation = settings.incarnation or int(time.time() * 1_000)
        own = Update(settings.id, settings.zone, settings.address, incarnation)
        self._membership = Membership(own, settings.period_s, self._rng)
        self._sealer = Sealer(settings.keys)
        self._replay_guard = ReplayGuard()
        self._sequence = 0
        self._digest: Callable[[], int] = lambda: NO_STATE
        self._report_difference: Callable[[str], None] = lambda member_id: None
        self._handler_by_topic: dict[str, PeerHandler] = {}
        self._datagram_handler_by_topic: dict[str, NewsHandler] = {}
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
        self._prober = Prober(
            settings, self._membership, self.streams, self._send, clock, self._rng
        )
        self.answer(MEMBERS_TOPIC, self._prober.answer_members)

    @property
    def membership(self) -> Membership:
        """Return the membership state machine, for its counters."""
        return self._membership

    def members(self) -> Sequence[Member]:
        """Return every known entry host, this one first."""
        return self._membership.members()

    def answer(self, topic: str, handler: PeerHandler) -> None:
        """Register the coroutine that answers a topic's requests."""
        self._handler_by_topic[topic] = handler

    def hear(self, topic: str, handler: NewsHandler) -> None:
        """Register the handler of a topic's datagrams."""
        self._datagram_handler_by_topic[topic] = handler

    def compare_state(
        self, digest: Callable[[], int], differs: Callable[[str], None]
    ) -> None:
        """Carry a digest in each heartbeat; see `PeerMessages`."""
        self._digest = digest
        self._report_difference = differs

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Add addresses to try, for example those of the platform's list."""
        self._prober.add_seeds(addresses)

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send one request and return its answer."""
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
        """Announce in each frame from now on that this host leaves."""
        self._membership.leave()
        await self._prober.announce(LEAVING_NOTICES)

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
                nursery.start_soon(self._prober.probe_members)
                nursery.start_soon(self._prober.read_member_lists)
                task_status.started()
        finally:
            self._transport.close()

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
                    await self._handle_frame(accepted, address)
                case Result(tag="error", error=problem):
                    self.dropped_by_code[problem.code] += 1

    async def _handle_frame(self, frame: Frame, address: str) -> None:
        sender = frame.sender
        if not self._replay_guard.accept(sender.id, sender.incarnation, frame.sequence):
            self.dropped_by_code[ResultCode.PEER_STALE] += 1
            return
        self._prober.count_received()
        now = self._clock.now()
        self._membership.observe(sender, now)
        for update in frame.updates:
            self._membership.observe(update, now)
        match frame.body:
            case Ping():
                await self._send(sender.id, address, Ack(), frame.number)
            case Ack():
                await self._prober.handle_ack(frame.number)
            case Relay(target):
                await self._prober.relay(target, address, frame.number)
            case News(topic, payload):
                handler = self._datagram_handler_by_topic.get(topic)
                if handler is not None:
                    handler(sender.id, payload)
                return
        if frame.digest != self._digest():
            self._report_difference(sender.id)

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
            updates=tuple(self._membership.updates_to_send(member_id, limit)),
        )
        data = self._sealer.seal(encode_frame(frame), DATAGRAM_CONTEXT)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped_by_code[ResultCode.FRAME_TOO_LARGE] += 1
            return
        self.bytes_sent += len(data)
        self.frames_sent[type(body).__name__.lower()] += 1
        await self._transport.send(data, address)
