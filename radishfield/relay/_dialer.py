"""Opens connections to targets: over the host's own link, or through another host."""

import math
import random
from collections.abc import Callable
from contextlib import contextmanager

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.relay._frames import (
    CHALLENGE_BYTES,
    MAGIC,
    REPLY_BYTES,
    RelayRequest,
    decode_reply,
    encode_request,
)
from radishfield.relay._key import RelayKey
from radishfield.relay._streams import (
    BROKEN_STREAM_ERRORS,
    RelayedStream,
    TargetStream,
    connect,
    open_direct,
    receive_exactly,
)
from radishfield.routing import (
    MAX_DELIVERY_S,
    RELAY_STEP_S,
    RelayHost,
    TargetLinks,
    choose_relays,
)
from radishfield.telemetry import log_event
from radishfield.web import HELD_UP_S, run_within

CONNECT_TIMEOUT_S = MAX_DELIVERY_S
_TARGET_CODES = (ResultCode.CONNECT_FAILED, ResultCode.STREAM_SILENT)
"""Refusals by which a host says that the target, not the host, is at fault."""
MAX_LATE_RACES = 4
"""Connections for which other hosts are asked at the same time only since they are
late, as long as no cut is suspected."""
ENOUGH_REFUSALS = 2
"""Hosts, of two zones if there are, that prove by being refused that no process listens
at a target's address."""
REACHES_LIMIT_S = 0.2
"""Time limit for each host that is asked whether it reaches a target."""


class Dialed(msgspec.Struct, frozen=True):
    """An open connection to a target.

    Attributes
    ----------
    via : str
        The host that relays it; empty for a direct connection.
    """

    stream: TargetStream
    via: str


class TargetDialer:
    """Opens connections to targets over the fastest way that works.

    Parameters
    ----------
    find_relays : callable
        Returns the hosts that relay connections now.
    """

    __slots__ = (
        "_clock",
        "_find_relays",
        "_host_id",
        "_key",
        "_late_races",
        "_links",
        "_rng",
        "_zone",
        "links_lost",
        "relayed",
    )

    def __init__(
        self,
        host_id: str,
        zone: str,
        key: RelayKey | None,
        links: TargetLinks,
        clock: Clock,
        find_relays: Callable[[], list[RelayHost]],
    ):
        self._clock = clock
        self._find_relays = find_relays
        self._host_id = host_id
        self._key = key
        self._late_races = 0
        self._links = links
        self._rng = random.Random()
        self._zone = zone
        self.links_lost = 0
        self.relayed = 0

    @classmethod
    def direct(cls, links: TargetLinks, clock: Clock) -> "TargetDialer":
        """Return a dialer that asks no other host."""
        return cls("", "", None, links, clock, list)

    async def dial(self, address: str) -> Result[Dialed, Fault]:
        """Connect to a target within ``CONNECT_TIMEOUT_S``."""
        race = _Race()
        plan = self._links.plan(address, self._clock.now())
        relays = self._relays()
        try:
            await run_within(
                CONNECT_TIMEOUT_S, lambda: self._run(race, address, plan, relays)
            )
        except trio.TooSlowError as problem:
            race.problems.append(fault(ResultCode.CONNECT_FAILED, repr(problem)))
        except trio.Cancelled:
            await race.discard()
            raise
        return self._judge(race, address)

    async def reaches(
        self, address: str, limit_s: float = REACHES_LIMIT_S
    ) -> bool | None:
        """Return whether another host connects to a target; None if none can tell.

        False if two hosts with links of their own were refused, or the only one that
        could be asked.

        Parameters
        ----------
        limit_s : float
            Time that each of them has for its answer.
        """
        refusals = 0
        for relay in self._relays():
            opened = await self._open_relayed(relay, address, limit_s)
            if opened.is_ok():
                await trio.aclose_forcefully(opened.ok)
                if self._links.note_relayed(address, self._clock.now()):
                    self._report_lost(address, relay.id, "failed")
                return True
            refusals += opened.error.code is ResultCode.CONNECT_FAILED
            if refusals == ENOUGH_REFUSALS:
                break
        return False if refusals else None

    def can_ask(self) -> bool:
        """Return whether there is a host that relays connections."""
        return bool(self._relays())

    def offers(self, host_id: str) -> bool:
        """Return whether a host still relays connections."""
        return any(relay.id == host_id for relay in self._find_relays())

    def _relays(self) -> list[RelayHost]:
        if self._key is None or self._key.value is None:
            return []
        avoided = self._links.avoided(self._clock.now())
        return choose_relays(self._find_relays(), self._zone, avoided, self._rng)

    async def _run(self, race: "_Race", address: str, plan, relays) -> None:
        """Start one way after the other until one has connected or all have failed."""
        async with trio.open_nursery() as nursery:
            if plan.direct or not relays:
                nursery.start_soon(self._try_direct, race, address)
                await _wait_for_end(race, plan.head_start_s)
            self._late_races += 1
            try:
                for relay in self._askable(race, relays):
                    if race.won or race.is_refused():
                        break
                    nursery.start_soon(self._try_relay, race, relay, address)
                    await _wait_for_end(race, RELAY_STEP_S)
                await race.wait_until_decided()
            finally:
                self._late_races -= 1
            if not race.won and not race.tried_directly:
                nursery.start_soon(self._try_direct, race, address)
                await race.wait_for_end()
            if race.won and race.via:
                # An answer to the direct connection may be there, unread as yet.
                await trio.sleep(0)
                await trio.sleep(0)
            nursery.cancel_scope.cancel()

    def _askable(self, race: "_Race", relays: list[RelayHost]) -> list[RelayHost]:
        """Return the hosts to ask for a connection that is late or has failed.

        A fleet that is short of processor time is late everywhere.  If each host asked
        others for each late connection, it would have several times as many to open.
        """
        is_late = "" in race.unanswered
        if not is_late or self._links.suspicious(self._clock.now()):
            return relays
        return relays if self._late_races <= MAX_LATE_RACES else []

    async def _try_direct(self, race: "_Race", address: str) -> None:
        with race.running(""):
            race.tried_directly = True
            opened = await open_direct(address)
            race.direct_failed = opened.is_error()
            race.direct_connected = opened.is_ok()
            await race.take(opened.map(TargetStream), "")

    async def _try_relay(self, race: "_Race", relay: RelayHost, address: str) -> None:
        with race.running(relay.id):
            opened = await self._open_relayed(relay, address)
            stream = opened.map(lambda raw: TargetStream(RelayedStream(raw)))
            await race.take(stream, relay.id)

    async def _open_relayed(
        self, relay: RelayHost, address: str, limit_s: float = math.inf
    ) -> Result[trio.SocketStream, Fault]:
        """Ask another host for a connection."""
        stream = None
        opened = Error(fault(ResultCode.PEER_UNREACHABLE, f"{relay.id}: no answer"))
        try:
            with trio.move_on_after(limit_s):
                stream = await connect(*relay.address)
                opened = await self._request(stream, relay, address)
        except BROKEN_STREAM_ERRORS as problem:
            detail = f"{relay.id}: {problem!r}"
            opened = Error(fault(ResultCode.PEER_UNREACHABLE, detail))
        finally:
            if opened.is_error() and stream is not None:
                await trio.aclose_forcefully(stream)
        if opened.is_error():
            self._note_refusal(relay, address, opened.error)
        return opened

    async def _request(
        self, stream: trio.SocketStream, relay: RelayHost, address: str
    ) -> Result[trio.SocketStream, Fault]:
        key = self._key.value
        challenge = await receive_exactly(stream, CHALLENGE_BYTES)
        if not challenge.startswith(MAGIC):
            return Error(fault(ResultCode.SCHEMA_VERSION, f"{relay.id}: no challenge"))
        request = RelayRequest(self._host_id, address)
        await stream.send_all(encode_request(key, challenge, request))
        reply = decode_reply(key, challenge, await receive_exactly(stream, REPLY_BYTES))
        return reply.map(lambda connected: stream)

    def _note_refusal(self, relay: RelayHost, address: str, problem: Fault) -> None:
        if problem.code not in _TARGET_CODES:
            self._links.avoid(relay.id, self._clock.now())
        if problem.code is ResultCode.PEER_UNAUTHENTICATED:
            self._key.doubt()
        log_event(
            "relay.failed",
            peer=relay.id,
            address=address,
            code=int(problem.code),
            detail=problem.detail,
        )

    def _judge(self, race: "_Race", address: str) -> Result[Dialed, Fault]:
        """Record what the race showed of this host's link, and return its outcome."""
        now = self._clock.now()
        if race.direct_connected and self._links.note_direct(address, now):
            log_event("target.link_restored", address=address)
        for host_id in race.unanswered - {""}:
            self._links.avoid(host_id, now)
        if race.stream is None:
            self._links.note_failed(address, now)
            return Error(race.problem())
        if race.via:
            self.relayed += 1
            if race.tried_directly and not race.direct_connected:
                how = "failed" if race.direct_failed else "late"
                if self._links.note_relayed(address, now):
                    self._report_lost(address, race.via, how)
        return Ok(Dialed(race.stream, race.via))

    def _report_lost(self, address: str, via: str, how: str) -> None:
        self.links_lost += 1
        log_event(
            "target.link_lost",
            address=address,
            via=via,
            direct=how,
            suspicious=self._links.suspicious(self._clock.now()),
        )


async def _wait_for_end(race: "_Race", limit_s: float) -> None:
    """Wait until a way has ended, and again if this process was held up meanwhile."""
    due_at = trio.current_time() + limit_s
    await race.wait_for_end(limit_s)
    if race.unanswered and trio.current_time() - due_at >= HELD_UP_S:
        await race.wait_for_end(limit_s)


class _Race:
    """The ways to one target that are tried at the same time; the first one wins.

    Attributes
    ----------
    unanswered : set of str
        The ways that have not ended: hosts, and an empty name for the direct one.
    """

    __slots__ = (
        "_ended",
        "direct_connected",
        "direct_failed",
        "problems",
        "stream",
        "tried_directly",
        "unanswered",
        "via",
    )

    def __init__(self):
        self._ended = trio.Event()
        self.direct_connected = False
        self.direct_failed = False
        self.problems: list[Fault] = []
        self.stream: TargetStream | None = None
        self.tried_directly = False
        self.unanswered: set[str] = set()
        self.via = ""

    @property
    def won(self) -> bool:
        """Return whether some way has connected."""
        return self.stream is not None

    @contextmanager
    def running(self, way: str):
        """Count a way as unanswered until it ends by itself."""
        self.unanswered.add(way)
        yield
        self.unanswered.discard(way)
        ended, self._ended = self._ended, trio.Event()
        ended.set()

    def is_refused(self) -> bool:
        """Return whether enough ways were refused to know that no process listens."""
        refusals = sum(
            problem.code is ResultCode.CONNECT_FAILED for problem in self.problems
        )
        return self.direct_failed and refusals > ENOUGH_REFUSALS

    async def wait_for_end(self, limit_s: float = math.inf) -> None:
        """Wait until a way has ended, or for a limit of seconds."""
        with trio.move_on_after(limit_s):
            await self._ended.wait()

    async def wait_until_decided(self) -> None:
        """Wait until a way has connected or all have failed."""
        while not self.won and self.unanswered:
            await self._ended.wait()

    async def take(self, opened: Result[TargetStream, Fault], via: str) -> None:
        """Keep the first connection, close the others, and collect the problems."""
        if opened.is_error():
            self.problems.append(opened.error)
        elif self.won:
            await opened.ok.aclose()
        else:
            self.stream, self.via = opened.ok, via

    async def discard(self) -> None:
        """Close the connection that nobody waits for any more."""
        if self.stream is not None:
            with trio.CancelScope(shield=True):
                await self.stream.aclose()

    def problem(self) -> Fault:
        """Return why the target was not reached: as the direct connection failed."""
        first = self.problems[0] if self.problems else fault(ResultCode.CONNECT_FAILED)
        return fault(ResultCode.CONNECT_FAILED, first.detail)
