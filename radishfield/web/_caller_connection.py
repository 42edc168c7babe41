"""One connection of a caller: HTTP/1.1 by hypercorn, charged for what it takes.

A connection that is closed before its request was read to the end is read on for a
while.  Unread bytes would reset it, and the caller could lose the answer.
"""

import math
import socket
import ssl

import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr

from radishfield.limits import CallerAccount, Holding, Phase
from radishfield.telemetry import log_event
from radishfield.web._app_tasks import AppTasks
from radishfield.web._asgi import BODY_ROOM
from radishfield.web._caller_protocol import CallerProtocol
from radishfield.web._turns import Turns

READ_BYTES = 16 << 10
RECEIVE_BUFFER_BYTES = 16 << 10
"""What the kernel may hold unread of a connection, and counts as the process's: little,
since nobody may read it for as long as a call takes."""
DISCARD_TIMEOUT_S = 2.0
DISCARD_BYTES = 16 << 20
"""Bytes, and time, for which a connection is read on after its last answer."""
DISCARD_REST_S = 0.001
"""Time between two reads of what is discarded, over all connections."""
REQUEST_TIMEOUT = 408


class RefusedConnection:
    """A connection whose first request is refused by its head."""

    __slots__ = ("stream",)

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream

    def cut(self) -> None:
        """Close the connection now, without an answer."""
        self.stream.socket.close()

    def refuse_body(self) -> None:
        """Read on: nothing is kept of a body."""


class CallerConnection(TCPServer):
    """Serves the requests of one connection until it is closed.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        The connection is secured by it before anything is served.
    """

    def __init__(
        self,
        app,
        config,
        context,
        stream: trio.SocketStream,
        account: CallerAccount,
        turns: Turns,
        tls: ssl.SSLContext | None = None,
    ):
        super().__init__(app, config, context, ConnectionState({}), stream)
        self._body_scope = trio.CancelScope()
        self._discarded = 0
        self._ending = False
        self._account = account
        self._is_read = True
        self._receive_buffer_bytes = RECEIVE_BUFFER_BYTES
        self._read_scope = trio.CancelScope()
        self._tls = tls
        self._transport = stream
        self._turns = turns
        self._was_cut = False
        self.holding: Holding | None = None
        self.protocol: CallerProtocol | None = None

    async def run(self) -> None:
        """Serve until either end closes."""
        try:
            if not await self._secure():
                return
            opened = self._transport.socket
            caller = parse_socket_addr(opened.family, opened.getpeername())
            server = parse_socket_addr(opened.family, opened.getsockname())
            async with AppTasks() as tasks:
                self._task_group = tasks
                self.protocol = CallerProtocol(
                    self.app,
                    self.config,
                    self.context,
                    tasks,
                    ConnectionState({BODY_ROOM: self}),
                    self._tls is not None,
                    caller,
                    server,
                    self.protocol_send,
                )
                self.protocol.turns = self._turns
                await self.idle_task.restart(tasks, self._idle_timeout)
                await self._read_data()
                self._is_read = False
                await self.idle_task.stop()
        except OSError:
            # The other end has gone.
            pass
        finally:
            with trio.CancelScope(shield=True):
                await self._end_sending()
            await trio.aclose_forcefully(self.stream)

    def cut(self) -> None:
        """Close the connection now, without an answer."""
        log_event("caller.cut", phase=self.holding.phase.name.lower())
        self._was_cut = True
        self._transport.socket.close()
        # It may be waiting for its turn.
        self._read_scope.cancel()

    def refuse_body(self) -> None:
        """Stop reading a body; the application refuses its request."""
        self._body_scope.cancel()
        self._fit_receive_buffer()

    @property
    def announced(self) -> int | None:
        """Return the length of the request's body; None if it is sent in chunks."""
        return self.protocol.announced

    def admit(self, size: int) -> bool:
        """Return whether there is room for a body of so many bytes."""
        admitted = self._account.admit(self.holding, size, trio.current_time())
        self._fit_receive_buffer()
        return admitted

    async def start_body(self) -> trio.CancelScope:
        """Ask for the body, where its caller waits for that.

        Returns the scope in which it is read.  It is cancelled if the body has to give
        way to another one.
        """
        self._body_scope = trio.CancelScope()
        await self.protocol.invite_body()
        return self._body_scope

    def end_body(self) -> None:
        """Note that the body was read, and belongs to a call now."""
        self._account.begin(self.holding, Phase.CALL, trio.current_time())

    def hold_answer(self, added: int) -> bool:
        """Return whether there is room for more of an answer."""
        return self._account.hold_answer(self.holding, added, trio.current_time())

    async def protocol_send(self, event: Event) -> None:
        """Pass on what the protocol state sends, and follow what it does."""
        match event:
            case Closed():
                await self._end_sending()
                await self.protocol.handle(Closed())
                return
            case RawData() if self._was_cut:
                return
            case RawData():
                self.holding.sends_since = trio.current_time()
                await super().protocol_send(event)
                self.holding.sends_since = None
                return
            case Updated() if not self._is_read:
                return
            case Updated(idle=True):
                self._begin(Phase.IDLE)
            case Updated(idle=False):
                self._begin(Phase.BODY)
        await super().protocol_send(event)

    async def _secure(self) -> bool:
        """Agree on TLS, where it is used; return whether that was done in time."""
        if self._tls is None:
            return True
        self.stream = trio.SSLStream(
            self._transport, self._tls, server_side=True, https_compatible=True
        )
        with trio.move_on_after(self.config.ssl_handshake_timeout):
            try:
                await self.stream.do_handshake()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            self._begin(Phase.IDLE)
            return True
        return False

    def _begin(self, phase: Phase) -> None:
        self._read_scope.deadline = math.inf
        self._account.begin(self.holding, phase, trio.current_time())
        if phase is Phase.IDLE:
            self._fit_receive_buffer()

    def _fit_receive_buffer(self) -> None:
        """Let the kernel receive more while a large body is read, which pays for it."""
        wanted = self.holding.receive_bytes or RECEIVE_BUFFER_BYTES
        opened = self._transport.socket
        is_closed = opened.fileno() < 0
        if wanted != self._receive_buffer_bytes and not is_closed:
            self._receive_buffer_bytes = wanted
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, wanted)

    async def _read_data(self) -> None:
        with self._read_scope:
            while await self._read_some():
                pass
        is_late = self._read_scope.cancelled_caught and not self._was_cut
        if is_late and self.holding.phase is Phase.HEAD:
            await self._refuse_late_head()
        await self.protocol.handle(Closed())

    async def _read_some(self) -> bool:
        """Read once; return whether the connection is read on."""
        try:
            data = await self.stream.receive_some(READ_BYTES)
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return False
        if self._ending:
            self._discarded += len(data)
            await self._turns.rest(DISCARD_REST_S)
            return bool(data) and self._discarded < DISCARD_BYTES
        if data:
            self._note_received(len(data))
        await self.protocol.handle(RawData(bytes(data)))
        return bool(data)

    def _note_received(self, size: int) -> None:
        match self.holding.phase:
            case Phase.IDLE:
                self._begin(Phase.HEAD)
                timeout_s = self.config.head_timeout_s
                self._read_scope.deadline = trio.current_time() + timeout_s
                self._account.note_head(self.holding, size)
            case Phase.HEAD:
                self._account.note_head(self.holding, size)
            case _:
                self.holding.received += size

    async def _refuse_late_head(self) -> None:
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            await self.protocol.refuse_request(REQUEST_TIMEOUT)

    async def _end_sending(self) -> None:
        """Send the end of the last answer; read on if its request is not complete."""
        if self._ending:
            return
        self._ending = True
        self._account.end_request(self.holding)
        is_receiving = self.protocol is not None and self.protocol.is_receiving
        wait_s = DISCARD_TIMEOUT_S if is_receiving else 0.0
        self._read_scope.deadline = trio.current_time() + wait_s
        try:
            # The end of TLS is not announced: callers of HTTPS do not wait for it.
            await self._transport.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other end has gone.
            return
        except trio.BusyResourceError:
            # A send that its caller does not read ends with the connection.
            return

    async def _initiate_server_close(self) -> None:
        await self.protocol.handle(Closed())
        await self.stream.aclose()
