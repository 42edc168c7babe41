"""Sends a model's tokens to the caller: streamed or in one answer."""

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

# About 2,000 words.  Beyond this, a caller that reads more slowly than its tokens
# arrive blocks its pipeline, at most until the request's deadline.
MAX_PENDING_CHARACTERS = 16 << 10
EVENT_STREAM = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
    # The outcome is not known yet; it is sent at the end of the stream.
    (b"x-outcome", Outcome.UNKNOWN.encode()),
    (b"x-result-code", b"pending"),
]
DONE = b"data: [DONE]\n\n"


class Answer:
    """Sends one answer; holds the request's ids and whether sending has started."""

    __slots__ = ("_send", "headers", "started")

    def __init__(self, send, headers: CallerHeaders):
        self._send = send
        self.headers = headers
        self.started = False

    async def refuse(
        self, problem: Fault, extra: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        """Send a fault as a complete answer."""
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
        id_headers = self.headers.answer_headers()
        id_headers += outcome_headers(Outcome.FINISHED, code)
        await send_bytes(self._send, status, body, content_type, headers + id_headers)

    async def start_events(self) -> None:
        """Start a stream of events."""
        self.started = True
        id_headers = self.headers.answer_headers()
        await start_answer(self._send, 200, EVENT_STREAM + id_headers)

    async def events(self, chunk: bytes, more: bool = True) -> None:
        """Send a chunk of a stream; ``more=False`` ends it as finished."""
        await send_chunk(self._send, chunk, more)


class BufferedSink:
    """Collects the tokens of an answer that is not streamed."""

    __slots__ = ("_call", "_answer", "_texts")

    def __init__(self, call: ModelCall, answer: Answer):
        self._call = call
        self._answer = answer
        self._texts: list[str] = []

    async def push(self, token: Token) -> None:
        """Append a token to the answer."""
        self._texts.append(token.text)

    async def finish(self, finished: Finished) -> None:
        """Send the complete answer."""
        text = "".join(self._texts)
        choice = _complete_choice(self._call.shape, text, finished.reason)
        answer = _model_answer(
            self._call, self._answer, choice, usage=_usage(self._call, self._texts)
        )
        await self._answer.json(answer, finished.code)

    async def fail(self, problem: Fault) -> None:
        """Send the fault."""
        await self._answer.refuse(problem)


class StreamSink:
    """Streams tokens as events.

    `push` only buffers a token.  `write_events`, which runs as a separate task,
    sends all tokens buffered since its last send as one event.  A slow connection
    thus gets fewer, larger events, and reading from the engine does not wait for
    the caller until more than `MAX_PENDING_CHARACTERS` are buffered.
    """

    __slots__ = (
        "_call",
        "_answer",
        "_pending",
        "_pending_characters",
        "_token_count",
        "_ready",
        "_capacity_freed",
        "_ending",
        "_event_prefix",
        "_event_suffix",
    )

    def __init__(self, call: ModelCall, answer: Answer):
        self._call = call
        self._answer = answer
        self._pending: list[str] = []
        self._pending_characters = 0
        self._token_count = 0
        self._ready = trio.Event()
        self._capacity_freed = trio.Event()
        self._ending: Finished | Fault | None = None
        self._event_prefix, self._event_suffix = _event_frame(call, answer)

    async def push(self, token: Token) -> None:
        """Buffer a token; waits only while too many characters are pending."""
        while self._pending_characters > MAX_PENDING_CHARACTERS:
            self._capacity_freed = trio.Event()
            await self._capacity_freed.wait()
        self._append(token.text)

    async def finish(self, finished: Finished) -> None:
        """Make `write_events` send the rest and the end of the stream."""
        self._ending = finished
        self._ready.set()

    async def fail(self, problem: Fault) -> None:
        """Make `write_events` send the rest and an error that ends the stream."""
        self._ending = problem
        self._ready.set()

    async def write_events(self) -> None:
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
                    # The closing chunk is omitted on purpose: the server then
                    # closes the connection, and no client can take the truncated
                    # stream for a complete one.
                    body = error_body(problem, self._answer.headers.caller_id)
                    await self._send(events + _event(body))
                    return

    def _append(self, text: str) -> None:
        self._pending.append(text)
        self._pending_characters += len(text)
        self._token_count += 1
        self._ready.set()

    def _take_events(self) -> bytes:
        """Return all pending text as one event, or no bytes if none is pending."""
        if not self._pending:
            return b""
        text = "".join(self._pending)
        self._pending.clear()
        self._pending_characters = 0
        self._capacity_freed.set()
        return self._event_prefix + msgspec.json.encode(text) + self._event_suffix

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
            usage = _usage(self._call, range(self._token_count))
            events += _event(_model_answer(self._call, self._answer, usage=usage))
        return events + DONE


def _usage(call: ModelCall, tokens: Sequence) -> Usage:
    count = len(tokens)
    return Usage(call.prompt_tokens, count, call.prompt_tokens + count)


def _complete_choice(
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


def _event_frame(call: ModelCall, answer: Answer) -> tuple[bytes, bytes]:
    """Return the bytes before and after an event's text.

    Everything but the text is the same in each event of a stream.  It is encoded
    once, so that only the text has to be encoded for each event.
    """
    placeholder = "\x00"
    head = msgspec.json.encode(_model_answer(call, answer))
    if call.shape is Shape.CHAT:
        choice = {"index": 0, "delta": {"content": placeholder}, "finish_reason": None}
    else:
        choice = {
            "index": 0,
            "text": placeholder,
            "logprobs": None,
            "finish_reason": None,
        }
    before, after = msgspec.json.encode(choice).split(msgspec.json.encode(placeholder))
    start, end = head.split(b'"choices":[]')
    return (
        b"data: " + start + b'"choices":[' + before,
        after + b"]" + end + b"\n\n",
    )
