"""A relay on loopback that harms what passes: the soak's only tool on connections."""

import enum
import struct

import trio

CHUNK = 64 << 10
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Harm(enum.StrEnum):
    """What the relay does to the bytes of its connections."""

    NONE = "none"
    DELAYED = "delayed"
    ONE_WAY = "one-way"
    SILENT = "silent"
    REFUSED = "refused"


class HarmfulRelay:
    """Passes connections on to one address, as long as it is let."""

    def __init__(self, target: str, delay_s: float = 0.2):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
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
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        self._open |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, nursery, False)
                nursery.start_soon(self._pump, far, near, nursery, True)
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

    async def _hold(self, back: bool) -> None:
        while self.harm is Harm.SILENT or (self.harm is Harm.ONE_WAY and back):
            await self._changed.wait()
        if self.harm is Harm.DELAYED:
            await trio.sleep(self._delay_s)
