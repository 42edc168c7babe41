"""A fault-injecting relay on loopback: the soak's only tool on connections."""

import enum
import math
import struct
from collections.abc import Mapping

import trio

CHUNK_BYTES = 64 << 10
WINDOW_CHUNKS = 4
"""Chunks of one connection queued before a link, as many as a typical window has."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RelayFault(enum.StrEnum):
    """What the relay does to the bytes of its connections."""

    NONE = "none"
    DELAYED = "delayed"
    ONE_WAY = "one-way"
    SILENT = "silent"
    REFUSED = "refused"


class SlowLink:
    """The bandwidth that all bytes to a host share, in their order of arrival.

    A window of the bytes read enters the queue before the link at once, as on a small
    host, and whatever arrives later waits behind it.

    Attributes
    ----------
    max_wait_s : float
        Longest wait of any byte.
    """

    def __init__(self):
        self.bytes_per_s = math.inf
        self.max_wait_s = 0.0
        self._free_at = 0.0

    @property
    def queued_s(self) -> float:
        """Return how long bytes that arrive now would wait."""
        return max(0.0, self._free_at - trio.current_time())

    def enqueue(self, size: int) -> float:
        """Queue ``size`` bytes that arrive now; return when the link has sent them."""
        start_at = max(self._free_at, trio.current_time())
        self._free_at = start_at + size / self.bytes_per_s
        self.max_wait_s = max(self.max_wait_s, self.queued_s)
        return self._free_at


class FaultyRelay:
    """Forwards connections to one address, subject to the fault that is set.

    Parameters
    ----------
    link_by_source : mapping
        The links of callers, by the address from which they connect.
    """

    def __init__(
        self,
        target: str,
        link_by_source: Mapping[str, SlowLink],
        delay_s: float = 0.2,
    ):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._link_by_source = link_by_source
        self._delay_s = delay_s
        self._open: set[trio.SocketStream] = set()
        self._fault_changed = trio.Event()
        self.fault = RelayFault.NONE
        self.address = ""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def set_fault(self, fault: RelayFault) -> None:
        """Change what happens to open and new connections."""
        self.fault = fault
        self._fault_changed.set()
        self._fault_changed = trio.Event()

    async def reset_open(self) -> None:
        """Reset every open connection."""
        for stream in list(self._open):
            # A connection that is already closed has nothing to reset.
            if stream.socket.fileno() >= 0:
                stream.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE
                )
            await trio.aclose_forcefully(stream)

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.fault is RelayFault.REFUSED:
            await trio.aclose_forcefully(client)
            return
        try:
            link = self._link_by_source.get(client.socket.getpeername()[0])
            upstream = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        self._open |= {client, upstream}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, upstream, nursery, False)
                if link is None:
                    nursery.start_soon(self._pump, upstream, client, nursery, True)
                else:
                    queue, queued = trio.open_memory_channel(WINDOW_CHUNKS)
                    nursery.start_soon(
                        self._pump_to_queue, upstream, queue, link, nursery
                    )
                    nursery.start_soon(self._pump_from_queue, queued, client, nursery)
        finally:
            self._open -= {client, upstream}
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(upstream)

    async def _pump(self, source, sink, nursery, to_client: bool) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self._apply_fault(to_client)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _pump_to_queue(self, source, queue, link: SlowLink, nursery) -> None:
        try:
            async with queue:
                while data := await source.receive_some(CHUNK_BYTES):
                    await self._apply_fault(to_client=True)
                    await queue.send((link.enqueue(len(data)), data))
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _pump_from_queue(self, queued, sink, nursery) -> None:
        try:
            async for due, data in queued:
                await trio.sleep_until(due)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _apply_fault(self, to_client: bool) -> None:
        while self.fault is RelayFault.SILENT or (
            self.fault is RelayFault.ONE_WAY and to_client
        ):
            await self._fault_changed.wait()
        if self.fault is RelayFault.DELAYED:
            await trio.sleep(self._delay_s)
