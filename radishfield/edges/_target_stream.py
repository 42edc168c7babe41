"""Reader of one attempt's tokens, which an engine sends as lines of JSON."""

from collections import deque
from collections.abc import Sequence
from dataclasses import replace

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, Token, fault
from radishfield.edges._target_http import TargetTimeouts, broken_answer
from radishfield.edges._target_wire import ErrorLine

# A token's line holds its text and a hop for each stage, about 100 bytes each.
# Without this limit, an engine that sends no newline would fill the host's memory.
MAX_LINE_BYTES = 64 * 1024

_TOKEN_DECODER = msgspec.json.Decoder(Token)
_ERROR_LINE_DECODER = msgspec.json.Decoder(ErrorLine)
_STREAM_ERROR_CODES = frozenset(
    {
        ResultCode.STAGE_FAILED,
        ResultCode.TARGET_ERROR,
        ResultCode.DEADLINE_PASSED,
        ResultCode.CANCELLED,
    }
)


class TokenLines:
    """A `TokenStream` that reads an HTTP answer."""

    __slots__ = (
        "_chunks",
        "_partial_line",
        "_ready",
        "_problem",
        "_timeouts",
        "_limit_s",
    )

    def __init__(self, response: httpcore.Response, timeouts: TargetTimeouts):
        self._chunks = response.aiter_stream()
        self._partial_line = b""
        self._ready: deque[Token] = deque()
        self._problem: Fault | None = None
        self._timeouts = timeouts
        self._limit_s = timeouts.first_token_s

    async def next_token(self) -> Result[Token, Fault]:
        """Return the next token, or the fault that ended the stream."""
        if not self._ready:
            await self._fill()
        if self._ready:
            return Ok(self._ready.popleft())
        return Error(self._problem)

    async def next_tokens(self) -> Result[Sequence[Token], Fault]:
        """Wait for at least one token and return all that are ready, in order."""
        if not self._ready:
            await self._fill()
        if self._ready:
            tokens = tuple(self._ready)
            self._ready.clear()
            return Ok(tokens)
        return Error(self._problem)

    async def _fill(self) -> None:
        with trio.move_on_after(self._limit_s):
            while not self._ready and self._problem is None:
                chunk = await self._read_chunk()
                if chunk:
                    self._parse_chunk(chunk)
            return
        detail = f"no token within {self._limit_s} s"
        self._problem = fault(ResultCode.STREAM_SILENT, detail)

    async def _read_chunk(self) -> bytes:
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self._problem = fault(
                ResultCode.ANSWER_TRUNCATED, "the stream ended without a last token"
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            self._problem = fault(ResultCode.STREAM_BROKEN, str(error))
        except httpcore.RemoteProtocolError as error:
            self._problem = broken_answer(error)
        return b""

    def _parse_chunk(self, chunk: bytes) -> None:
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        for line in lines:
            if self._problem is None:
                self._parse_line(line)
        if len(self._partial_line) > MAX_LINE_BYTES and self._problem is None:
            self._problem = _malformed("line is too long")

    def _parse_line(self, line: bytes) -> None:
        if len(line) > MAX_LINE_BYTES:
            self._problem = _malformed("line is too long")
            return
        try:
            self._ready.append(_TOKEN_DECODER.decode(line))
            self._limit_s = self._timeouts.idle_s
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            self._problem = _parse_error_line(line)


def _parse_error_line(line: bytes) -> Fault:
    try:
        problem = _ERROR_LINE_DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _malformed(str(error))
    code = ResultCode.TARGET_ERROR
    if problem.error_code in _STREAM_ERROR_CODES:
        code = ResultCode(problem.error_code)
    return replace(fault(code, problem.detail), target_id=problem.target_id)


def _malformed(detail: str) -> Fault:
    return fault(ResultCode.MALFORMED_ANSWER, detail)
