"""Defines the messages of a model's answer in the format that clients read."""

from dataclasses import dataclass
from typing import Literal

import msgspec

from radishfield.core import Outcome


@dataclass(slots=True, frozen=True)
class Usage:
    """Token counts of a request; the number of prompt tokens is an estimate."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(slots=True, frozen=True)
class Ending:
    """The outcome of a streamed request, sent in the event with its last choice."""

    outcome: Outcome
    code: int


@dataclass(slots=True, frozen=True)
class ChatAnswerMessage:
    """The complete text of an answer."""

    content: str
    role: Literal["assistant"] = "assistant"


@dataclass(slots=True, frozen=True)
class ChatChoice:
    """The only choice of a complete chat answer."""

    message: ChatAnswerMessage
    finish_reason: str
    index: int = 0


@dataclass(slots=True, frozen=True)
class CompletionChoice:
    """The only choice of a complete completion or of the last event of its stream."""

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
    """A complete answer, or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChatChoice | CompletionChoice | LastChatChoice, ...]
    usage: Usage | None = None
    radishfield: Ending | None = None
