"""The callers' edge: the chat-completions interface as an ASGI application."""

import time
import uuid

import msgspec
from expression import Result

from radishfield.core import (
    Clock,
    Fault,
    ProfileSource,
    Request,
    ResultCode,
    Serving,
    Token,
    fault,
)
from radishfield.edges._asgi import (
    BodyLimit,
    read_body,
    send_chunk,
    send_json,
    serve_lifespan,
    start_answer,
)


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """The body of a chat-completions request."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int = 16


class CallerApp:
    """The ASGI application that callers speak to."""

    __slots__ = ("_serving", "_profiles", "_clock")

    def __init__(self, serving: Serving, profiles: ProfileSource, clock: Clock):
        self._serving = serving
        self._profiles = profiles
        self._clock = clock

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["path"] != "/v1/chat/completions":
            await _refuse(send, fault(ResultCode.UNKNOWN_ROUTE, scope["path"]))
            return
        body = (await read_body(receive, BodyLimit())).ok
        chat = msgspec.json.decode(body, type=ChatBody)
        match self._profiles.find(chat.model):
            case Result(tag="ok", ok=profile):
                await self._generate(chat, profile, send)
            case Result(tag="error", error=problem):
                await _refuse(send, problem)

    async def _generate(self, chat: ChatBody, profile, send) -> None:
        now = self._clock.now()
        request = Request(
            id=uuid.uuid4().hex,
            workspace="default",
            profile=profile,
            prompt="\n".join(message.content for message in chat.messages),
            max_tokens=chat.max_tokens,
            arrived=now,
            deadline=now + profile.deadline_s,
        )
        sink = _StreamSink(send, chat.model) if chat.stream else _WholeSink()
        match await self._serving.generate(request, sink):
            case Result(tag="error", error=problem):
                await _refuse(send, problem)
            case Result(tag="ok", ok=finished):
                await sink.finish(send, request, finished.reason)


class _WholeSink:
    __slots__ = ("texts",)

    def __init__(self):
        self.texts: list[str] = []

    async def push(self, token: Token) -> None:
        self.texts.append(token.text)

    async def finish(self, send, request: Request, reason: str) -> None:
        message = {"role": "assistant", "content": " ".join(self.texts)}
        choice = {"index": 0, "message": message, "finish_reason": reason}
        value = {
            "id": request.id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": request.profile.name,
            "choices": [choice],
        }
        await send_json(send, 200, value, [(b"x-request-id", request.id.encode())])


class _StreamSink:
    __slots__ = ("_send", "_model", "_started")

    def __init__(self, send, model: str):
        self._send = send
        self._model = model
        self._started = False

    async def push(self, token: Token) -> None:
        if not self._started:
            self._started = True
            await start_answer(
                self._send, 200, [(b"content-type", b"text/event-stream")]
            )
        delta = {"index": 0, "delta": {"content": token.text + " "}}
        delta["finish_reason"] = token.finish
        value = {"id": "1", "object": "chat.completion.chunk", "created": 0}
        value |= {"model": self._model, "choices": [delta]}
        await send_chunk(self._send, b"data: " + msgspec.json.encode(value) + b"\n\n")

    async def finish(self, send, request: Request, reason: str) -> None:
        await send_chunk(send, b"data: [DONE]\n\n", more=False)


async def _refuse(send, problem: Fault) -> None:
    error = {"code": int(problem.code), "message": problem.detail}
    error["outcome"] = problem.outcome
    await send_json(send, 503, {"error": error})
