"""Streams that pass only the bytes of the answer to the request just written."""

import httpcore
import trio

from radishfield.web._answer_framing import SMALL_CHUNKS, AnswerFraming

UNREQUESTED_READ_S = 0.01
"""Time limit for reading bytes that have arrived already."""
READ_BYTES = 64 << 10
SMALL_CHUNKS_PER_S = 500.0
"""Rate at which an answer may go on with small chunks."""


class MalformedAnswerError(httpcore.RemoteProtocolError):
    """The bytes of an answer are not of the strict form."""


class UnusableConnectionError(httpcore.ConnectionNotAvailable):
    """A kept connection has unrequested bytes or ended; nothing was sent over it."""


class FramedStream(httpcore.AsyncNetworkStream):
    """A connection whose every byte belongs to the answer of a request, or to none.

    The HTTP library gets the bytes of the one answer to the request just written.  Once
    anything else was received, the stream counts as readable, so that no pool uses it
    again.

    Parameters
    ----------
    single_fields : frozenset of bytes
        Names in lower case of fields that may occur once in an answer.

    Attributes
    ----------
    requests : int
        Requests written.
    surplus : int
        Bytes received that belong to no answer.
    problem : str
        Why the last answer is malformed; empty if it is not.
    """

    def __init__(
        self,
        stream: httpcore.AsyncNetworkStream,
        single_fields: frozenset[bytes] = frozenset(),
    ):
        self._framing: AnswerFraming | None = None
        self._read_at = 0.0
        self._single_fields = single_fields
        self._stream = stream
        self.problem = ""
        self.requests = 0
        self.surplus = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no answer is awaited."""
        return self._framing is None or self._framing.complete

    @property
    def is_spoiled(self) -> bool:
        """Return whether bytes were received that belong to no answer."""
        return bool(self.surplus or self.problem)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the answer's next bytes; empty at the end of the connection.

        A head that arrived in parts is returned whole, also if it is longer than asked
        for.

        Raises
        ------
        MalformedAnswerError
            The bytes are not an answer.
        """
        framing = self._framing
        if framing is None:
            return await self._stream.read(max_bytes, timeout)
        while not framing.complete:
            if framing.problem:
                self.problem = framing.problem
                raise MalformedAnswerError(framing.problem)
            data = await self._stream.read(max_bytes, timeout)
            if not data:
                framing.feed_end()
                return b""
            self._refill_chunks(framing)
            passed = framing.feed(data)
            self.surplus += framing.surplus
            if passed:
                return passed
        return b""

    def _refill_chunks(self, framing: AnswerFraming) -> None:
        """Allow the answer the small chunks of the time since the last read."""
        now = trio.current_time()
        more = int(SMALL_CHUNKS_PER_S * (now - self._read_at))
        if more:
            self._read_at = now
            left = framing.small_chunks_left + more
            framing.small_chunks_left = min(SMALL_CHUNKS, left)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; the first ones after a complete answer begin the next request.

        Raises
        ------
        UnusableConnectionError
            The connection was used before and has unrequested bytes, or ended.
        MalformedAnswerError
            A new connection has bytes before its first request.
        """
        if self.is_idle:
            await self._begin(bytes(buffer[:16]))
        await self._stream.write(buffer, timeout)

    async def _begin(self, start: bytes) -> None:
        ended = False
        if not self.is_spoiled and self._stream.get_extra_info("is_readable"):
            ended = not await self._receive_unrequested()
        if self.is_spoiled and not self.requests:
            raise MalformedAnswerError("bytes before the first request")
        if self.requests and (self.is_spoiled or ended):
            raise UnusableConnectionError("unrequested bytes" if self.surplus else "")
        self.requests += 1
        self._read_at = trio.current_time()
        self._framing = AnswerFraming(start.partition(b" ")[0], self._single_fields)

    async def _receive_unrequested(self) -> bool:
        """Count the bytes that have arrived; return whether there were any."""
        try:
            data = await self._stream.read(READ_BYTES, UNREQUESTED_READ_S)
        except httpcore.ReadTimeout:
            # Of a relayed connection, a part of a frame was received.
            self.problem = "part of a frame before the request"
            return True
        except httpcore.ReadError:
            return False
        self.surplus += len(data)
        return bool(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return what the HTTP library asks about a connection."""
        if info == "is_readable" and self.is_spoiled:
            return True
        return self._stream.get_extra_info(info)


class FramedNetwork(httpcore.AsyncNetworkBackend):
    """Opens framed streams for a connection pool."""

    def __init__(
        self,
        network: httpcore.AsyncNetworkBackend | None = None,
        single_fields: frozenset[bytes] = frozenset(),
    ):
        self._network = network or httpcore.TrioBackend()
        self._single_fields = single_fields

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ) -> httpcore.AsyncNetworkStream:
        """Connect to a host."""
        stream = await self._network.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return FramedStream(stream, self._single_fields)

    async def sleep(self, seconds: float) -> None:
        """Wait before another try to connect."""
        await self._network.sleep(seconds)
