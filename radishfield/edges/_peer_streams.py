"""Requests and answers between entry hosts, over connections.

Each connection carries one request at a time and is served by one task.  Both
ends start by sending a nonce, and both nonces go into the MAC of every frame on
the connection.  A recorded frame therefore fails on any other connection; on
the same connection it fails because request numbers must increase.
"""

import secrets
from collections import Counter
from collections.abc import Mapping

import trio
from expression import Error, Result

from radishfield.core import Fault, PeerHandler, ResultCode, fault
from radishfield.edges._peer_frames import (
    MAX_MESSAGE_BYTES,
    Answer,
    Question,
    decode_answer,
    decode_question,
    encode_answer,
    encode_question,
)
from radishfield.edges._peer_seal import Sealer
from radishfield.edges._peer_transport import PeerTransport

NONCE_BYTES = 16
LENGTH_BYTES = 4

IDLE_CONNECTIONS_PER_PEER = 4
"""Requests to one peer that are often in flight at the same time."""

MAX_CONNECTIONS = 1_024
"""Three for each of 340 peers; further connections are closed unread."""

SERVER_IDLE_TIMEOUT_S = 60.0
"""A connection that is permanently stalled is closed after this."""

HANDSHAKE_TIMEOUT_S = 5.0
"""A client that connects and sends nothing occupies a task no longer than this."""

WRITE_TIMEOUT_S = 10.0


class Connection:
    """A stream with its two nonces; frames are length-prefixed and sealed."""

    __slots__ = ("_context", "_stream", "last_number")

    def __init__(self, stream: trio.abc.Stream, context: bytes):
        self._stream = stream
        self._context = context
        self.last_number = 0

    @classmethod
    async def connect(cls, transport: PeerTransport, address: str) -> "Connection":
        """Open a connection and exchange nonces."""
        stream = await transport.connect(address)
        return await cls._exchange_nonces(stream, is_client=True)

    @classmethod
    async def accept(cls, stream: trio.abc.Stream) -> "Connection":
        """Exchange nonces on an accepted connection."""
        return await cls._exchange_nonces(stream, is_client=False)

    @classmethod
    async def _exchange_nonces(
        cls, stream: trio.abc.Stream, is_client: bool
    ) -> "Connection":
        own = secrets.token_bytes(NONCE_BYTES)
        try:
            await stream.send_all(own)
            other = await _read_exactly(stream, NONCE_BYTES)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return cls(stream, own + other if is_client else other + own)

    async def send(self, frame: bytes, sealer: Sealer) -> int:
        """Send one frame and return its length on the wire."""
        sealed = sealer.seal(frame, self._context)
        length = len(sealed).to_bytes(LENGTH_BYTES, "big")
        await self._stream.send_all(length + sealed)
        return LENGTH_BYTES + len(sealed)

    async def receive(self, sealer: Sealer) -> Result[bytes, Fault]:
        """Return the next frame; raise `OSError` at the end of the stream."""
        prefix = await _read_exactly(self._stream, LENGTH_BYTES)
        length = int.from_bytes(prefix, "big")
        if length > MAX_MESSAGE_BYTES:
            return Error(fault(ResultCode.FRAME_TOO_LARGE, f"{length} bytes"))
        return sealer.unseal(await _read_exactly(self._stream, length), self._context)

    async def close(self) -> None:
        """Close at once, without waiting for the other end."""
        await trio.aclose_forcefully(self._stream)


class PeerStreams:
    """Sends requests to peers over kept connections, and answers theirs."""

    __slots__ = (
        "_handler_by_topic",
        "_idle_by_address",
        "_open_count",
        "_own_id",
        "_sealer",
        "_transport",
        "bytes_sent",
        "dropped_by_code",
    )

    def __init__(
        self,
        own_id: str,
        transport: PeerTransport,
        sealer: Sealer,
        handler_by_topic: Mapping[str, PeerHandler],
        dropped_by_code: Counter[ResultCode],
    ):
        self._own_id = own_id
        self._transport = transport
        self._sealer = sealer
        self._handler_by_topic = handler_by_topic
        self._idle_by_address: dict[str, list[Connection]] = {}
        self._open_count = 0
        self.bytes_sent = 0
        self.dropped_by_code = dropped_by_code

    async def ask(
        self, member_id: str, address: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send a request on a kept connection, else on a new one.

        A kept connection may be permanently stalled while new ones work.  It gets
        half of the time; then a new one gets the rest.
        """
        if len(payload) > MAX_MESSAGE_BYTES - 1_024:
            return Error(fault(ResultCode.FRAME_TOO_LARGE, f"{len(payload)} bytes"))
        question = Question(self._own_id, member_id, 0, topic, payload)
        with trio.move_on_after(timeout_s):
            idle = self._idle_by_address.get(address)
            if idle:
                answer = await self._request_on(
                    idle.pop(), address, question, timeout_s / 2
                )
                if answer is not None:
                    return answer
            connection = await self._connect(address)
            if connection is not None:
                answer = await self._request_on(
                    connection, address, question, timeout_s
                )
                if answer is not None:
                    return answer
        return Error(fault(ResultCode.PEER_UNREACHABLE, member_id, 1.0))

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection until it ends."""
        if self._open_count >= MAX_CONNECTIONS:
            await trio.aclose_forcefully(stream)
            return
        self._open_count += 1
        connection = None
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
                connection = await Connection.accept(stream)
            if connection is not None:
                await self._answer_requests(connection)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._open_count -= 1
            await trio.aclose_forcefully(stream)

    async def forget(self, address: str) -> None:
        """Close the kept connections to a dead peer."""
        for connection in self._idle_by_address.pop(address, []):
            await connection.close()

    async def _connect(self, address: str) -> Connection | None:
        try:
            return await Connection.connect(self._transport, address)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return None

    async def _request_on(
        self, connection: Connection, address: str, question: Question, timeout_s: float
    ) -> Result[bytes, Fault] | None:
        """Send a request on one connection; return None if it broke or timed out."""
        answer: Answer | None = None
        try:
            with trio.move_on_after(timeout_s):
                answer = await self._exchange(connection, question)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            # Without an answer the connection is in an unknown state: a late
            # answer on it would be taken for the answer to the next request.
            if answer is None:
                await connection.close()
        if answer is None:
            return None
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) < IDLE_CONNECTIONS_PER_PEER:
            idle.append(connection)
        else:
            await connection.close()
        return answer.result

    async def _exchange(
        self, connection: Connection, question: Question
    ) -> Answer | None:
        connection.last_number += 1
        numbered = Question(
            question.sender,
            question.recipient,
            connection.last_number,
            question.topic,
            question.payload,
        )
        self.bytes_sent += await connection.send(
            encode_question(numbered), self._sealer
        )
        received = await connection.receive(self._sealer)
        decoded = received.bind(decode_answer)
        if decoded.is_error():
            self.dropped_by_code[decoded.error.code] += 1
            return None
        if decoded.ok.number != connection.last_number:
            self.dropped_by_code[ResultCode.PEER_STALE] += 1
            return None
        return decoded.ok

    async def _answer_requests(self, connection: Connection) -> None:
        while True:
            received = None
            with trio.move_on_after(SERVER_IDLE_TIMEOUT_S):
                received = await connection.receive(self._sealer)
            if received is None:
                return
            question = received.bind(decode_question)
            problem = self._rejection_code(question, connection)
            if problem is not None:
                self.dropped_by_code[problem] += 1
                return
            accepted = question.ok
            connection.last_number = accepted.number
            answer = Answer(accepted.number, await self._handle(accepted))
            with trio.fail_after(WRITE_TIMEOUT_S):
                self.bytes_sent += await connection.send(
                    encode_answer(answer), self._sealer
                )

    def _rejection_code(
        self, question: Result[Question, Fault], connection: Connection
    ) -> ResultCode | None:
        """Return why a request closes its connection, or None if it is valid."""
        if question.is_error():
            return question.error.code
        if question.ok.number <= connection.last_number:
            return ResultCode.PEER_STALE
        if question.ok.recipient != self._own_id:
            return ResultCode.PEER_STALE
        return None

    async def _handle(self, question: Question) -> Result[bytes, Fault]:
        handler = self._handler_by_topic.get(question.topic)
        if handler is None:
            return Error(
                fault(ResultCode.BAD_FRAME, f"no handler for topic {question.topic}")
            )
        return await handler(question.sender, question.payload)


async def _read_exactly(stream: trio.abc.Stream, length: int) -> bytes:
    received = bytearray()
    while len(received) < length:
        chunk = await stream.receive_some(length - len(received))
        if not chunk:
            raise ConnectionResetError("peer closed the connection within a frame")
        received += chunk
    return bytes(received)
