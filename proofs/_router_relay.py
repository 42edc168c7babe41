"""A relay on loopback that harms what passes: the soak's only tool on connections."""

import enum
import math
import struct
from collections.abc import Mapping

import trio

CHUNK = 64 << 10
WINDOW_CHUNKS = 4
"""Chunks of one connection that lie before a link, as many as a usual window has."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Harm(enum.StrEnum):
    """What the relay does to the bytes of its connections."""

    NONE = "none"
    DELAYED = "delayed"
    ONE_WAY = "one-way"
    SILENT = "silent"
    REFUSED = "refused"


class SlowLink:
    """The one bandwidth of all bytes that reach a host, in the order they come.

    A window of what is read lies in the queue before the link at once, as it does on
    a small host, and whatever comes later waits behind it.

    Attributes
    ----------
    longest_s : float
        Longest wait of any byte.
    """

    def __init__(self):
        self.bytes_per_s = math.inf
        self.longest_s = 0.0
        self._free_at = 0.0

    @property
    def queued_s(self) -> float:
        """Return how long what comes now would wait."""
        return max(0.0, self._free_at - trio.current_time())

    def passed_at(self, size: int) -> float:
        """Return when so many bytes that come now are through."""
        begin_at = max(self._free_at, trio.current_time())
        self._free_at = begin_at + size / self.bytes_per_s
        self.longest_s = max(self.longest_s, self.queued_s)
        return self._free_at


class HarmfulRelay:
    """Passes connections on to one address, as long as it is let.

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
        self._changed = trio.Event()
        self.harm = Harm.NONE
        self.address = ""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def set(self, harm: Harm) -> None:
        """Change what happens to open and new connections."""
        self.harm = harm
        self._changed.set()
        self._changed = trio.Event()

    async def reset_open(self) -> None:
        """Reset every open connection."""
        for stream in list(self._open):
            # One that is closed already has nothing left to reset.
            if stream.socket.fileno() >= 0:
                stream.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE
                )
            await trio.aclose_forcefully(stream)

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.harm is Harm.REFUSED:
            await trio.aclose_forcefully(near)
            return
        try:
            link = self._link_by_source.get(near.socket.getpeername()[0])
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        self._open |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, nursery, False)
                if link is None:
                    nursery.start_soon(self._pump, far, near, nursery, True)
                else:
                    queue, queued = trio.open_memory_channel(WINDOW_CHUNKS)
                    nursery.start_soon(self._pump_into, far, queue, link, nursery)
                    nursery.start_soon(self._pump_out, queued, near, nursery)
        finally:
            self._open -= {near, far}
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(near)
                await trio.aclose_forcefully(far)

    async def _pump(self, source, sink, nursery, back: bool) -> None:
        try:
            while data := await source.receive_some(CHUNK):
                await self._hold(back)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _pump_into(self, source, queue, link: SlowLink, nursery) -> None:
        try:
            async with queue:
                while data := await source.receive_some(CHUNK):
                    await self._hold(back=True)
                    await queue.send((link.passed_at(len(data)), data))
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _pump_out(self, queued, sink, nursery) -> None:
        try:
            async for due, data in queued:
                await trio.sleep_until(due)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _hold(self, back: bool) -> None:
        while self.harm is Harm.SILENT or (self.harm is Harm.ONE_WAY and back):
            await self._changed.wait()
        if self.harm is Harm.DELAYED:
            await trio.sleep(self._delay_s)
