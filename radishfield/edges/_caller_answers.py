"""How a model's tokens leave towards the caller: streamed or whole."""

import time
from collections.abc import Sequence

import msgspec
import trio

from radishfield.core import Fault, Finished, Outcome, ResultCode, Token
from radishfield.edges._caller_bodies import ModelCall, Shape
from radishfield.edges._caller_headers import CallerHeaders
from radishfield.edges._caller_messages import (
    ChatAnswerMessage,
    ChatChoice,
    CompletionChoice,
    Ending,
    LastChatChoice,
    ModelAnswer,
    Usage,
)
from radishfield.edges._status import (
    error_body,
    fault_headers,
    http_status,
    outcome_headers,
)
from radishfield.web import send_bytes, send_chunk, send_json, start_answer

# About 2,000 words.  A caller that reads more slowly than its tokens come holds
# its pipeline back from there on, and at the latest its deadline frees it.
MAX_PENDING_CHARACTERS = 16 << 10
EVENT_STREAM = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
    # How it ends is not known yet; the last event tells.
    (b"x-outcome", Outcome.UNKNOWN.encode()),
    (b"x-result-code", b"pending"),
]
DONE = b"data: [DONE]\n\n"


class Answer:
    """Sends one answer; knows the request's ids and whether it has started."""

    __slots__ = ("_send", "headers", "started")

    def __init__(self, send, headers: CallerHeaders):
        self._send = send
        self.headers = headers
        self.started = False

    async def refuse(
        self, problem: Fault, extra: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        """Send a fault as a whole answer."""
        self.started = True
        headers = self.headers.answer_headers() + fault_headers(problem)
        body = error_body(problem, self.headers.caller_id)
        await send_json(
            self._send, http_status(problem.code), body, headers + (extra or [])
        )

    async def json(self, value: object, code: ResultCode) -> None:
        """Send a finished answer of one JSON value."""
        self.started = True
        headers = self.headers.answer_headers()
        headers += outcome_headers(Outcome.FINISHED, code)
        await send_json(self._send, 200, value, headers)

    async def raw(
        self,
        status: int,
        body: bytes,
        content_type: bytes,
        headers: list[tuple[bytes, bytes]],
        code: ResultCode,
    ) -> None:
        """Send a finished answer of bytes."""
        self.started = True
        names = self.headers.answer_headers()
        names += outcome_headers(Outcome.FINISHED, code)
        await send_bytes(self._send, status, body, content_type, headers + names)

    async def start_events(self) -> None:
        """Start a stream of events."""
        self.started = True
        names = self.headers.answer_headers()
        await start_answer(self._send, 200, EVENT_STREAM + names)

    async def events(self, chunk: bytes, more: bool = True) -> None:
        """Send a part of a stream; ``more=False`` ends it as finished."""
        await send_chunk(self._send, chunk, more)


class WholeSink:
    """Collects the tokens of an answer that leaves in one piece."""

    __slots__ = ("_call", "_answer", "_texts")

    def __init__(self, call: ModelCall, answer: Answer):
        self._call = call
        self._answer = answer
        self._texts: list[str] = []

    async def push(self, token: Token) -> None:
        """Keep a token."""
        self._texts.append(token.text)

    async def finish(self, finished: Finished) -> None:
        """Send the whole answer."""
        text = "".join(self._texts)
        choice = _whole_choice(self._call.shape, text, finished.reason)
        answer = _model_answer(
            self._call, self._answer, choice, usage=_usage(self._call, self._texts)
        )
        await self._answer.json(answer, finished.code)

    async def fail(self, problem: Fault) -> None:
        """Send the fault."""
        await self._answer.refuse(problem)


class StreamSink:
    """Streams tokens as events.

    `push` only puts a token down; `write_out`, a task of its own, sends all
    that has come up since its last send as one event.  A slow connection thus
    gets fewer, larger events, and reading from the engine never waits for a
    caller until `MAX_PENDING_CHARACTERS` are waiting.
    """

    __slots__ = (
        "_call",
        "_answer",
        "_pending",
        "_pending_characters",
        "_count",
        "_ready",
        "_room",
        "_ending",
        "_before",
        "_after",
    )

    def __init__(self, call: ModelCall, answer: Answer):
        self._call = call
        self._answer = answer
        self._pending: list[str] = []
        self._pending_characters = 0
        self._count = 0
        self._ready = trio.Event()
        self._room = trio.Event()
        self._ending: Finished | Fault | None = None
        self._before, self._after = _frame(call, answer)

    async def push(self, token: Token) -> None:
        """Put a token down; waits only while the caller is far behind."""
        while self._pending_characters > MAX_PENDING_CHARACTERS:
            self._room = trio.Event()
            await self._room.wait()
        self._put(token.text)

    async def finish(self, finished: Finished) -> None:
        """Let the writer send the rest and the end of the stream."""
        self._ending = finished
        self._ready.set()

    async def fail(self, problem: Fault) -> None:
        """Let the writer send the rest and an error that ends the stream."""
        self._ending = problem
        self._ready.set()

    async def write_out(self) -> None:
        """Send events until the request has ended."""
        while True:
            await self._ready.wait()
            self._ready = trio.Event()
            events = self._take_events()
            match self._ending:
                case None:
                    await self._send(events)
                case Finished() as finished:
                    await self._send(events + self._last_events(finished), more=False)
                    return
                case Fault() as problem if not (events or self._answer.started):
                    await self._answer.refuse(problem)
                    return
                case Fault() as problem:
                    # The closing chunk is left out on purpose: the server then
                    # cuts the connection, and no client can take the part for a
                    # whole.
                    body = error_body(problem, self._answer.headers.caller_id)
                    await self._send(events + _event(body))
                    return

    def _put(self, text: str) -> None:
        self._pending.append(text)
        self._pending_characters += len(text)
        self._count += 1
        self._ready.set()

    def _take_events(self) -> bytes:
        """Return all that is pending as one event; empty if nothing is."""
        if not self._pending:
            return b""
        text = "".join(self._pending)
        self._pending.clear()
        self._pending_characters = 0
        self._room.set()
        return self._before + msgspec.json.encode(text) + self._after

    async def _send(self, events: bytes, more: bool = True) -> None:
        if not self._answer.started:
            await self._answer.start_events()
        await self._answer.events(events, more)

    def _last_events(self, finished: Finished) -> bytes:
        choice = _last_choice(self._call.shape, finished.reason)
        ending = Ending(Outcome.FINISHED, int(finished.code))
        last = _model_answer(self._call, self._answer, choice, ending=ending)
        events = _event(last)
        if self._call.shows_usage:
            usage = _usage(self._call, range(self._count))
            events += _event(_model_answer(self._call, self._answer, usage=usage))
        return events + DONE


def _usage(call: ModelCall, tokens: Sequence) -> Usage:
    count = len(tokens)
    return Usage(call.prompt_tokens, count, call.prompt_tokens + count)


def _whole_choice(
    shape: Shape, text: str, reason: str
) -> ChatChoice | CompletionChoice:
    if shape is Shape.CHAT:
        return ChatChoice(ChatAnswerMessage(text), reason)
    return CompletionChoice(text, reason)


def _last_choice(shape: Shape, reason: str) -> LastChatChoice | CompletionChoice:
    if shape is Shape.CHAT:
        return LastChatChoice(reason)
    return CompletionChoice("", reason)


def _model_answer(
    call: ModelCall,
    answer: Answer,
    choice: ChatChoice | CompletionChoice | LastChatChoice | None = None,
    usage: Usage | None = None,
    ending: Ending | None = None,
) -> ModelAnswer:
    is_event = call.is_streamed and call.shape is Shape.CHAT
    return ModelAnswer(
        id=answer.headers.request_id,
        object=call.shape.value + ".chunk" if is_event else call.shape.value,
        created=int(time.time()),
        model=call.profile,
        choices=() if choice is None else (choice,),
        usage=usage,
        radishfield=ending,
    )


def _event(value: object) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _frame(call: ModelCall, answer: Answer) -> tuple[bytes, bytes]:
    """Return the bytes before and after an event's text.

    All but the text is the same in each event of a stream: encoded once, it
    leaves one string to encode for a token.
    """
    mark = "\x00"
    head = msgspec.json.encode(_model_answer(call, answer))
    if call.shape is Shape.CHAT:
        choice = {"index": 0, "delta": {"content": mark}, "finish_reason": None}
    else:
        choice = {"index": 0, "text": mark, "logprobs": None, "finish_reason": None}
    before, after = msgspec.json.encode(choice).split(msgspec.json.encode(mark))
    start, end = head.split(b'"choices":[]')
    return (
        b"data: " + start + b'"choices":[' + before,
        after + b"]" + end + b"\n\n",
    )
