"""Accepts connections of other entry hosts and connects them to targets."""

import errno
from collections.abc import Callable
from contextlib import contextmanager

import trio
from expression import Error, Result

from radishfield.core import Clock, Fault, ResultCode, fault, sleep_to_tick
from radishfield.kernel import WorkBoundary
from radishfield.limits import CallerAccount, Phase
from radishfield.relay._frames import (
    CHUNK,
    LENGTH,
    MAC_BYTES,
    MAX_CHUNK_BYTES,
    MAX_REQUEST_BYTES,
    RelayRequest,
    decode_request,
    encode_reply,
    new_challenge,
)
from radishfield.relay._key import RelayKey
from radishfield.relay._streams import (
    BROKEN_STREAM_ERRORS,
    RESET_ON_CLOSE,
    limit_receive_buffer,
    open_direct,
    receive_exactly,
    set_socket_options,
)
from radishfield.routing import TargetLinks
from radishfield.telemetry import log_event
from radishfield.web import split_address

MAX_CONNECTIONS = 1000
"""Connections of other hosts that are served at once: with those to targets, half of
the descriptors that a small host has."""
RELAYED_BYTES = 64 << 10
"""Memory of a relayed connection beyond that of a caller's call: what was read of one
end and the other has not taken."""
HANDSHAKE_S = 1.0
"""Time within which a connection has to name a target."""
MAX_UNSERVED = 256
"""Connections that are not connected to a target; of more, the oldest is closed."""
DIRECT_LIMIT_S = 0.15
"""Time limit of the connection to the target: another host waits for it, and has others
to ask."""
ACCEPT_RETRY_S = 0.1
TICK_S = 0.1
SUSPENDED_S = 1.0
"""Pause between two ticks that shows that this process was suspended.  What it received
before is out of date, and the host that sent it has given up on it."""
REFUSAL_READ_S = 0.5
"""Time for which a refused host may take to close its connection."""
END_WAIT_S = 5.0
"""Time for which a host may take to close a connection that the target has closed."""
_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)


class _RelayedConnection:
    """The owner of what a relayed connection takes."""

    __slots__ = ("_scope",)

    def __init__(self, scope: trio.CancelScope):
        self._scope = scope

    def cut(self) -> None:
        """Reset both ends."""
        self._scope.cancel()

    def refuse_body(self) -> None:
        """Go on: no body is read."""


class RelayServer:
    """Connects other hosts of the fleet to targets that this host reaches.

    Parameters
    ----------
    is_target : callable
        Returns whether a target is listed at an address; nothing else is connected to.
    is_leaving : callable
        Returns whether this host was told to leave.
    account : CallerAccount, optional
        The account of this host's own callers, whose memory and descriptors relayed
        connections share.
    """

    __slots__ = (
        "_account",
        "_address",
        "_boundary",
        "_clock",
        "_is_leaving",
        "_is_target",
        "_key",
        "_links",
        "_scopes",
        "_ticked_at",
        "_unserved",
        "bytes_passed",
        "open",
        "refused",
        "served",
    )

    def __init__(
        self,
        address: str,
        key: RelayKey,
        links: TargetLinks,
        clock: Clock,
        is_target: Callable[[str], bool],
        is_leaving: Callable[[], bool],
        boundary: WorkBoundary | None = None,
        account: CallerAccount | None = None,
    ):
        self._account = account
        self._address = address
        self._boundary = boundary or WorkBoundary(clock)
        self._clock = clock
        self._is_leaving = is_leaving
        self._is_target = is_target
        self._key = key
        self._links = links
        self._scopes: set[trio.CancelScope] = set()
        self._ticked_at = clock.now()
        self._unserved: dict[trio.CancelScope, None] = {}
        self.bytes_passed = 0
        self.open = 0
        self.refused = 0
        self.served = 0

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled."""
        host, port = split_address(self._address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_suspension)
            for listener in listeners:
                limit_receive_buffer(listener.socket)
                nursery.start_soon(self._accept, listener, nursery)
            task_status.started()

    async def _accept(self, listener: trio.SocketListener, nursery) -> None:
        async with listener:
            while True:
                await self._boundary.complete(
                    "relay.accept", "", self._accept_one, listener, nursery
                )

    async def _accept_one(self, listener: trio.SocketListener, nursery) -> None:
        try:
            stream = await listener.accept()
        except OSError as problem:
            if problem.errno in _OUT_OF_DESCRIPTORS:
                log_event("relay.not_accepted", detail=str(problem))
                await trio.sleep(ACCEPT_RETRY_S)
            return
        nursery.start_soon(self._serve, stream)

    async def _watch_suspension(self) -> None:
        """Reset all connections after a suspension."""
        while True:
            await self._boundary.complete("relay.watch", "", self._check_suspension)

    async def _check_suspension(self) -> None:
        await sleep_to_tick(TICK_S)
        if self._was_suspended():
            log_event("relay.suspended", connections=len(self._scopes))
            for scope in list(self._scopes):
                scope.cancel()
        self._ticked_at = self._clock.now()

    def _was_suspended(self) -> bool:
        return self._clock.now() - self._ticked_at >= SUSPENDED_S

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.open += 1
        try:
            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                self._limit_unserved()
                self._unserved[scope] = None
                with self._boundary.contain("relay.serve"):
                    try:
                        await self._connect_and_pass(stream, scope)
                    except BROKEN_STREAM_ERRORS as problem:
                        log_event("relay.broken", detail=repr(problem))
        finally:
            self.open -= 1
            self._scopes.discard(scope)
            self._unserved.pop(scope, None)
            with self._boundary.contain("relay.close"):
                await _reset(stream)

    async def _connect_and_pass(self, stream, scope: trio.CancelScope) -> None:
        set_socket_options(stream)
        key = self._key.value
        if key is None:
            self._refuse("", fault(ResultCode.PEER_UNAUTHENTICATED, "no key yet"))
            return
        challenge = new_challenge()
        admitted = Error(fault(ResultCode.PEER_STALE, "no request in time"))
        with trio.move_on_after(HANDSHAKE_S):
            await stream.send_all(challenge)
            admitted = await self._read_request(stream, key, challenge)
        if admitted.is_error():
            self._refuse("", admitted.error)
            await self._reply_refusal(stream, key, challenge, admitted.error.code)
            return
        request = admitted.ok
        with self._hold(scope) as has_room:
            target = await self._connect(request, has_room)
            if target.is_ok():
                await self._pass_all(stream, target.ok, key, challenge, scope)
        if target.is_error():
            self._refuse(request.host_id, target.error)
            await self._reply_refusal(stream, key, challenge, target.error.code)

    @contextmanager
    def _hold(self, scope: trio.CancelScope):
        """Charge the account for a relayed connection; yield whether it has room."""
        if self._account is None:
            yield True
            return
        holding = self._account.open(_RelayedConnection(scope), trio.current_time())
        if holding is None:
            yield False
            return
        try:
            now = trio.current_time()
            self._account.begin(holding, Phase.CALL, now)
            yield self._account.hold_answer(holding, RELAYED_BYTES, now)
        finally:
            self._account.close(holding)

    async def _pass_all(
        self, stream, target, key: bytes, challenge: bytes, scope: trio.CancelScope
    ) -> None:
        """Pass bytes both ways until either end closes."""
        try:
            self.served += 1
            self._unserved.pop(scope, None)
            reply = encode_reply(key, challenge, ResultCode.FINISHED)
            await stream.send_all(reply)
            async with trio.open_nursery() as nursery:
                send_failed = trio.Event()
                nursery.start_soon(
                    self._pass_requests, stream, target, scope, send_failed
                )
                nursery.start_soon(
                    self._pass_answers, target, stream, scope, send_failed
                )
        finally:
            await trio.aclose_forcefully(target)

    def _limit_unserved(self) -> None:
        if len(self._unserved) >= MAX_UNSERVED:
            oldest = next(iter(self._unserved))
            del self._unserved[oldest]
            oldest.cancel()
            self._refuse("", fault(ResultCode.PEER_STALE, "gave way to another"))

    async def _reply_refusal(self, stream, key: bytes, challenge: bytes, code) -> None:
        """Name the reason, and wait until the other host has read it.

        A connection that is closed with bytes unread is reset, and the reply is lost.
        """
        with trio.move_on_after(REFUSAL_READ_S):
            await stream.send_all(encode_reply(key, challenge, code))
            await stream.send_eof()
            while await stream.receive_some(MAX_REQUEST_BYTES):
                pass

    def _refuse(self, host_id: str, problem: Fault) -> None:
        self.refused += 1
        if problem.code is ResultCode.PEER_UNAUTHENTICATED:
            self._key.doubt()
        log_event(
            "relay.refused", peer=host_id, code=int(problem.code), detail=problem.detail
        )

    async def _read_request(
        self, stream: trio.SocketStream, key: bytes, challenge: bytes
    ) -> Result[RelayRequest, Fault]:
        try:
            (length,) = LENGTH.unpack(await receive_exactly(stream, LENGTH.size))
            if length > MAX_REQUEST_BYTES:
                return Error(fault(ResultCode.FRAME_TOO_LARGE, f"{length} bytes"))
            body = await receive_exactly(stream, length)
            mac = await receive_exactly(stream, MAC_BYTES)
        except BROKEN_STREAM_ERRORS as problem:
            return Error(fault(ResultCode.BAD_FRAME, repr(problem)))
        return decode_request(key, challenge, body, mac)

    async def _connect(
        self, request: RelayRequest, has_room: bool
    ) -> Result[trio.SocketStream, Fault]:
        """Connect to a target for another host, unless this one should not."""
        now = self._clock.now()
        if self._is_leaving():
            return Error(fault(ResultCode.DRAINING, "host is leaving"))
        if self.open > MAX_CONNECTIONS or not has_room:
            return Error(fault(ResultCode.TOO_MANY_CONNECTIONS, f"{self.open} open"))
        if not self._is_target(request.address):
            return Error(fault(ResultCode.PEER_STALE, f"no target {request.address}"))
        if self._links.is_down(request.address):
            detail = "this host's own link is down"
            return Error(fault(ResultCode.PEER_UNREACHABLE, detail))
        opened = await open_direct(request.address, DIRECT_LIMIT_S)
        if opened.is_ok():
            self._links.note_direct(request.address, self._clock.now())
        elif self._links.proves_nothing(now):
            # The failure may be that of this host's links.
            return Error(fault(ResultCode.PEER_UNREACHABLE, opened.error.detail))
        return opened

    async def _pass_requests(
        self, caller, target, scope: trio.CancelScope, send_failed: trio.Event
    ) -> None:
        """Pass bytes to the target, and end both connections with the caller's."""
        try:
            while data := await caller.receive_some(MAX_CHUNK_BYTES):
                if self._was_suspended():
                    break
                self.bytes_passed += len(data)
                try:
                    await target.send_all(data)
                except BROKEN_STREAM_ERRORS as problem:
                    send_failed.set()
                    log_event("relay.broken", end="target", detail=repr(problem))
                    # An answer may still be on its way; its reader finds the end.
                    return
        except BROKEN_STREAM_ERRORS as problem:
            log_event("relay.broken", end="host", detail=repr(problem))
        scope.cancel()

    async def _pass_answers(
        self, target, caller, scope: trio.CancelScope, send_failed: trio.Event
    ) -> None:
        """Pass the target's bytes in frames, and its clean end as the last one."""
        try:
            while data := await target.receive_some(MAX_CHUNK_BYTES):
                self.bytes_passed += len(data)
                await caller.send_all(CHUNK.pack(len(data)) + data)
            if send_failed.is_set():
                # The failed send took in the reset, which then reads like an end.
                raise trio.BrokenResourceError("the connection was reset")
            await caller.send_all(CHUNK.pack(0))
            with trio.move_on_after(END_WAIT_S):
                await trio.sleep_forever()
        except BROKEN_STREAM_ERRORS as problem:
            log_event("relay.broken", end="target", detail=repr(problem))
        scope.cancel()


async def _reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the other end can't take it for complete."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)
    await trio.aclose_forcefully(stream)
