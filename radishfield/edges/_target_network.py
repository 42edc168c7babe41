"""TCP connections to targets for httpcore, without a timeout for each read.

httpcore's own backend opens a cancel scope and an exception map for each read,
even without a timeout.  A token costs one read, and these took a sixth of it.
Here a read without a timeout has neither.  Callers that wait for a token bound
the total wait, so that a target that sends single bytes does not restart the
limit with each of them.
"""

import trio
from httpcore import (
    AsyncNetworkBackend,
    AsyncNetworkStream,
    ConnectError,
    ConnectTimeout,
    ReadError,
    ReadTimeout,
    WriteError,
    WriteTimeout,
)

_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class TargetNetwork(AsyncNetworkBackend):
    """Opens connections to IP addresses."""

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ) -> AsyncNetworkStream:
        """Open a connection, or raise httpcore's error for the failure."""
        try:
            with trio.fail_after(_timeout_or_infinite(timeout)):
                stream = await trio.open_tcp_stream(host, port)
        except trio.TooSlowError as error:
            raise ConnectTimeout(f"no connection within {timeout} s") from error
        except (OSError, trio.BrokenResourceError) as error:
            raise ConnectError(str(error)) from error
        return TargetConnection(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await trio.sleep(seconds)


class TargetConnection(AsyncNetworkStream):
    """An open TCP connection."""

    __slots__ = ("_stream",)

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes received, or empty bytes at the end of the stream."""
        try:
            if timeout is None:
                return await self._stream.receive_some(max_bytes)
            with trio.fail_after(timeout):
                return await self._stream.receive_some(max_bytes)
        except trio.TooSlowError as error:
            raise ReadTimeout(f"nothing received within {timeout} s") from error
        except _CONNECTION_ERRORS as error:
            raise ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all of the buffer."""
        if not buffer:
            return
        try:
            with trio.fail_after(_timeout_or_infinite(timeout)):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise WriteTimeout(f"not sent within {timeout} s") from error
        except _CONNECTION_ERRORS as error:
            raise WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Report to the pool whether the target closed an idle connection."""
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None


def _timeout_or_infinite(timeout: float | None) -> float:
    return float("inf") if timeout is None else timeout
