"""Parses the bodies of model requests in the format of existing clients.

A field that would change the answer but is not supported is refused by name.
Fields that only label a request are accepted and ignored.
"""

import enum
import hashlib
import re
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from radishfield.core import Fault, ResultCode, Sampling, fault

# The interface's own default for a completion without a length.
DEFAULT_MAX_TOKENS = 16
MAX_ANSWER_TOKENS = 32_768
# Admission needs an estimated length before any tokenizer has run.  English text
# has about four bytes per token; admission corrects the estimate by measurements.
BYTES_PER_TOKEN = 4
PART_DIGEST_BYTES = 12

Count = Annotated[int, Meta(ge=1, le=MAX_ANSWER_TOKENS)]
ModelName = Annotated[str, Meta(min_length=1, max_length=64)]
StopText = Annotated[str, Meta(min_length=1, max_length=64)]
# Engines hold a seed in 64 bits.
Seed = Annotated[int, Meta(ge=-(1 << 63), le=(1 << 63) - 1)]
Penalty = Annotated[float, Meta(ge=-2, le=2)]

_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]{1,60})`")


class Shape(enum.Enum):
    """The interface that a request uses: chat or text completion."""

    CHAT = "chat.completion"
    COMPLETION = "text_completion"


class TextPart(msgspec.Struct, forbid_unknown_fields=True):
    """A part of a message; only text is supported."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct, forbid_unknown_fields=True):
    """One message of a chat."""

    role: Literal["system", "developer", "user", "assistant"]
    content: str | list[TextPart]
    name: str | None = None

    def text(self) -> str:
        """Return the message's text in one piece."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class StreamOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options for the events of a streamed answer."""

    include_usage: bool = False
    include_obfuscation: bool = False


class CommonBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The fields that both interfaces share."""

    model: ModelName
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: Count | None = None
    n: Literal[1] | None = None
    temperature: Annotated[float, Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, Meta(gt=0, le=1)] | None = None
    seed: Seed | None = None
    stop: StopText | Annotated[list[StopText], Meta(max_length=4)] | None = None
    presence_penalty: Penalty | None = None
    frequency_penalty: Penalty | None = None
    user: str | None = None

    def sampling(self) -> Sampling:
        """Return the sampling parameters for the engine."""
        stop = [self.stop] if isinstance(self.stop, str) else self.stop or []
        return Sampling(
            self.temperature,
            self.top_p,
            self.seed,
            tuple(stop),
            self.presence_penalty,
            self.frequency_penalty,
        )


class ChatBody(CommonBody, kw_only=True, forbid_unknown_fields=True):
    """The body of a chat-completions request."""

    messages: Annotated[list[ChatMessage], Meta(min_length=1)]
    max_completion_tokens: Count | None = None
    metadata: dict[str, str] | None = None
    store: Literal[False] | None = None
    safety_identifier: str | None = None
    prompt_cache_key: str | None = None

    def prompt(self) -> str:
        """Return the conversation as text; a single user message has no role prefix."""
        if len(self.messages) == 1 and self.messages[0].role == "user":
            return self.messages[0].text()
        return "\n".join(f"{item.role}: {item.text()}" for item in self.messages)

    def shared_parts(self) -> list[str]:
        """Return the messages but the last, which other conversations may have too."""
        return [f"{item.role}: {item.text()}" for item in self.messages[:-1]]

    def length(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class CompletionBody(CommonBody, kw_only=True, forbid_unknown_fields=True):
    """The body of a completions request."""

    prompt_field: str | Annotated[list[str], Meta(min_length=1, max_length=1)] = (
        msgspec.field(name="prompt")
    )
    echo: Literal[False] | None = None
    best_of: Literal[1] | None = None

    def prompt(self) -> str:
        """Return the only prompt."""
        if isinstance(self.prompt_field, str):
            return self.prompt_field
        return self.prompt_field[0]

    def shared_parts(self) -> list[str]:
        """Return no parts: they are not told apart in the only prompt."""
        return []

    def length(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_tokens or DEFAULT_MAX_TOKENS


@dataclass(slots=True, frozen=True)
class ModelCall:
    """A model request's body, validated and in the same form for both interfaces.

    Attributes
    ----------
    digest : str
        Digest of all fields that determine the answer.  It is the same whether or
        not the answer is streamed, and for any order of the body's fields.
    shared_parts : tuple of str
        Digests of the messages of a conversation but for the last, in their order.
    """

    shape: Shape
    profile: str
    prompt: str
    max_tokens: int
    prompt_tokens: int
    is_streamed: bool
    shows_usage: bool
    sampling: Sampling
    digest: str
    shared_parts: tuple[str, ...]


def read_model_call(shape: Shape, body: bytes) -> Result[ModelCall, Fault]:
    """Validate a body and return the call that it describes."""
    body_type = ChatBody if shape is Shape.CHAT else CompletionBody
    try:
        decoded = msgspec.json.decode(body, type=body_type)
        return Ok(_model_call(shape, decoded))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Error(_body_fault(str(error)))


def _model_call(shape: Shape, body: ChatBody | CompletionBody) -> ModelCall:
    prompt = body.prompt()
    sampling = body.sampling()
    digest_fields = (shape.value, body.model, prompt, body.length(), sampling)
    options = body.stream_options or StreamOptions()
    return ModelCall(
        shape=shape,
        profile=body.model,
        prompt=prompt,
        max_tokens=body.length(),
        prompt_tokens=max(1, len(prompt.encode()) // BYTES_PER_TOKEN),
        is_streamed=bool(body.stream),
        shows_usage=options.include_usage,
        sampling=sampling,
        digest=hashlib.sha256(msgspec.json.encode(digest_fields)).hexdigest(),
        shared_parts=tuple(_part_digest(text) for text in body.shared_parts()),
    )


def _part_digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=PART_DIGEST_BYTES).hexdigest()


def _body_fault(reason: str) -> Fault:
    unknown = _UNKNOWN_FIELD.search(reason)
    if unknown:
        return fault(ResultCode.UNSUPPORTED_FIELD, unknown[1])
    # The reason names the position in the body and what was expected there.
    return fault(ResultCode.MALFORMED_BODY, reason[:200])
