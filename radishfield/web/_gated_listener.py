"""HTTP listener that decides on each connection before it reads anything.

A caller whose connection is closed before any of its request was read may safely send
it to another host, also if it must not run twice.  Where no other host would serve it,
a refusal tells it when to come back.  One that answers the head alone takes little of
the processor time that the application would need to refuse the request.
"""

import errno
import socket
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import msgspec
import trio
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import repr_socket_addr, wrap_app

from radishfield.limits import AccountLimits, CallerAccount, Holding
from radishfield.telemetry import log_event
from radishfield.web._caller_connection import (
    RECEIVE_BUFFER_BYTES,
    CallerConnection,
    RefusedConnection,
)
from radishfield.web._listener import MAX_HEADER_BYTES, ListenerConfig
from radishfield.web._turns import Turns

OUT_OF_RESOURCES_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
ACCEPT_PAUSE_S = 0.1
"""Pause after connections could not be accepted."""
ABORTED_ERRNOS = (errno.ECONNABORTED, errno.EPROTO, errno.EPERM)
"""The other end has given up a connection, or the kernel has refused it."""
MAX_ACCEPTED_AT_ONCE = 256
"""Connections after which other tasks take their turn."""
REFUSAL_TIMEOUT_S = 1.0
"""Time for a refused caller to send its request's head and to read the answer."""
READ_BYTES = 16 << 10
END_OF_HEAD = b"\r\n\r\n"
FEW_CALLERS = AccountLimits(room_bytes=8 << 20, max_connections=64)
"""What callers may take who ask for little, such as a load balancer."""


class Serve(msgspec.Struct, frozen=True):
    """The connection is served."""


class CloseUnread(msgspec.Struct, frozen=True):
    """The connection is closed before anything is read."""


class Refuse(msgspec.Struct, frozen=True):
    """The first request is refused by its head, and the connection closed.

    Attributes
    ----------
    answer : callable
        Returns the complete answer to a request's head.
    """

    answer: Callable[[bytes], bytes]


Verdict = Serve | CloseUnread | Refuse


class GatedListener:
    """A service that serves one application on one address, with TLS or without.

    All connections that wait are accepted in one turn of the event loop.  With one a
    turn, a busy host would leave connections unread until their callers have left.

    Parameters
    ----------
    judge : callable
        Returns the verdict on the next connection.  All are served without one.
    contain : callable
        Returns a context manager for the work on one connection.
    name : str
        Who connects, for log lines.
    limits : AccountLimits
        What all connections may take together.
    """

    __slots__ = (
        "_app",
        "_config",
        "_contain",
        "_context",
        "_judge",
        "_name",
        "_tls",
        "_turns",
        "accepted",
        "account",
        "refused",
        "turned_away",
    )

    def __init__(
        self,
        app,
        config: ListenerConfig,
        judge: Callable[[], Verdict] = Serve,
        contain: Callable[[str], AbstractContextManager] = nullcontext,
        name: str = "callers",
        limits: AccountLimits = FEW_CALLERS,
    ):
        self._contain = contain
        self._judge = judge
        self._name = name
        self._app = wrap_app(app, config.wsgi_max_body_size, "asgi")
        self._config = config
        self._context = WorkerContext(None)
        self._tls = config.create_ssl_context()
        self._turns = Turns()
        self.accepted = 0
        self.account = CallerAccount(limits, with_tls=self._tls is not None)
        self.refused = 0
        self.turned_away = 0

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; report the start once the address is open."""
        sockets = self._config.create_sockets()
        (listener,) = sockets.secure_sockets + sockets.insecure_sockets
        with listener:
            listener.setblocking(False)
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.listen(self._config.backlog)
            address = repr_socket_addr(listener.family, listener.getsockname())
            log_event(f"{self._name}.listening", address=address)
            async with trio.open_nursery() as nursery:
                scheme = "http" if self._tls is None else "https"
                task_status.started([f"{scheme}://{address}"])
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    went_well = False
                    with self._contain("caller.accept"):
                        went_well = self._accept_waiting(listener, nursery)
                    if not went_well:
                        await trio.sleep(ACCEPT_PAUSE_S)

    def _accept_waiting(self, listener: socket.socket, nursery: trio.Nursery) -> bool:
        """Accept all connections that wait; return whether resources sufficed."""
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as problem:
                if problem.errno in ABORTED_ERRNOS:
                    continue
                if problem.errno in OUT_OF_RESOURCES_ERRNOS:
                    log_event(f"{self._name}.not_accepted", detail=str(problem))
                    return False
                raise
            match self._judge():
                case Serve():
                    self._start(accepted, nursery)
                case Refuse(answer):
                    self._start_refusal(accepted, answer, nursery)
                case CloseUnread():
                    self.turned_away += 1
                    accepted.close()
        return True

    def _start(self, accepted: socket.socket, nursery: trio.Nursery) -> None:
        stream = _open_stream(accepted)
        if stream is None:
            return
        connection = CallerConnection(
            self._app,
            self._config,
            self._context,
            stream,
            self.account,
            self._turns,
            self._tls,
        )
        connection.holding = self.account.open(connection, trio.current_time())
        if connection.holding is None:
            self._turn_away(stream)
            return
        self.accepted += 1
        nursery.start_soon(self._serve, connection)

    def _start_refusal(self, accepted, answer, nursery: trio.Nursery) -> None:
        stream = _open_stream(accepted)
        if stream is None:
            return
        holding = self.account.open(RefusedConnection(stream), trio.current_time())
        if holding is None:
            self._turn_away(stream)
            return
        self.refused += 1
        nursery.start_soon(self._refuse, stream, holding, answer)

    def _turn_away(self, stream: trio.SocketStream) -> None:
        """Close a connection for which no other one gives way."""
        self.turned_away += 1
        stream.socket.close()

    async def _serve(self, connection: CallerConnection) -> None:
        with self._contain("caller.serve"):
            try:
                await connection.run()
            finally:
                self.account.close(connection.holding)

    async def _refuse(
        self, stream, holding: Holding, answer: Callable[[bytes], bytes]
    ) -> None:
        with self._contain("caller.refuse"):
            try:
                await _refuse(stream, answer)
            finally:
                self.account.close(holding)


async def _refuse(stream: trio.SocketStream, answer: Callable[[bytes], bytes]) -> None:
    async with stream:
        with trio.move_on_after(REFUSAL_TIMEOUT_S):
            try:
                head = await _read_head(stream)
                if head:
                    await stream.send_all(answer(head))
                    await stream.send_eof()
                    await _discard(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


async def _read_head(stream: trio.SocketStream) -> bytes:
    """Return a request's head and what came with it; empty if it is not complete."""
    received = b""
    while END_OF_HEAD not in received:
        chunk = await stream.receive_some(READ_BYTES)
        if not chunk or len(received) > MAX_HEADER_BYTES:
            return b""
        received += chunk
    return received


async def _discard(stream: trio.SocketStream) -> None:
    """Read until the caller closes; unread bytes would reset the connection.

    A reset may discard the answer before the caller has read it.
    """
    while await stream.receive_some(READ_BYTES):
        pass


def _open_stream(accepted: socket.socket) -> trio.SocketStream | None:
    try:
        return trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    except OSError:
        # The other end closed the connection before its options were set.
        accepted.close()
        return None
