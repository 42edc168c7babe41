"""The messages that a model's answer is made of, as clients read them."""

from dataclasses import dataclass
from typing import Literal

import msgspec

from radishfield.core import Outcome


@dataclass(slots=True, frozen=True)
class Usage:
    """Tokens of a request, the prompt's being an estimate."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(slots=True, frozen=True)
class Ending:
    """How a streamed request ended, in its last event."""

    outcome: Outcome
    code: int


@dataclass(slots=True, frozen=True)
class ChatAnswerMessage:
    """The whole text of an answer."""

    content: str
    role: Literal["assistant"] = "assistant"


@dataclass(slots=True, frozen=True)
class ChatChoice:
    """The one choice of a whole chat answer."""

    message: ChatAnswerMessage
    finish_reason: str
    index: int = 0


@dataclass(slots=True, frozen=True)
class CompletionChoice:
    """The one choice of a whole completion, or of its last event."""

    text: str
    finish_reason: str
    index: int = 0
    logprobs: None = None


@dataclass(slots=True, frozen=True)
class EmptyDelta:
    """No further text."""


@dataclass(slots=True, frozen=True)
class LastChatChoice:
    """The choice in the last event of a chat stream."""

    finish_reason: str
    delta: EmptyDelta = EmptyDelta()
    index: int = 0


class ModelAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer, or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChatChoice | CompletionChoice | LastChatChoice, ...]
    usage: Usage | None = None
    radishfield: Ending | None = None
