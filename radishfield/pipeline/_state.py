"""What has been committed of one request, over all its attempts.

No I/O here.  A token is committed only with a whole receipt: of the current
attempt, of the next position, with the route's stages in order and each once.
What goes wrong without it: a stage that died is replaced, and late tokens of
the old route are mixed into the answer; a stage replays a step after a
reconnect and a word is doubled; a route made from two splits of the layers
runs a layer twice; a re-plan goes on with another model version in the middle
of a sentence.  Each shows only as an answer that reads a little wrong.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import (
    Fault,
    Hop,
    Outcome,
    ResultCode,
    Route,
    Token,
    covers_model_once,
    fault,
)

# The finish reason where the caller's own limit ends the answer.
LENGTH = "length"

# Making a result value takes as long as the checks of a token; this one says
# nothing of its own, so one is enough.
_COMMITTED: Result[None, Fault] = Ok(None)


@dataclass(slots=True, frozen=True)
class CommittedBatch:
    """The good tokens at the head of a batch, and what was wrong after them."""

    tokens: tuple[Token, ...]
    problem: Fault | None = None


class PipelineState:
    """The attempt, route and committed tokens of one request.

    Parameters
    ----------
    max_tokens : int or None
        The caller's limit on the answer; None where the target alone ends it.
    """

    __slots__ = (
        "request_id",
        "attempt",
        "route",
        "finish",
        "_max_tokens",
        "_texts",
        "_hops",
    )

    def __init__(self, request_id: str, max_tokens: int | None = None):
        self.request_id = request_id
        self.attempt = 0
        self.route = Route(())
        self.finish: str | None = None
        self._max_tokens = max_tokens
        self._texts: list[str] = []
        self._hops: tuple[Hop, ...] = ()

    @property
    def committed(self) -> tuple[str, ...]:
        """Return the texts of the committed tokens, in order."""
        return tuple(self._texts)

    @property
    def next_position(self) -> int:
        """Return the position of the token to be committed next."""
        return len(self._texts)

    def start_attempt(self, attempt: int, route: Route) -> Result[None, Fault]:
        """Begin an attempt on a route that covers the model once, in order."""
        if self.finish is not None:
            return _defect("the request has finished")
        if attempt <= self.attempt:
            return _defect("attempt number did not rise")
        ranges = [stage.layers for stage in route.stages]
        if not covers_model_once(ranges, route.model_layers):
            return _defect("route leaves a gap or overlaps")
        if self.attempt and not _same_model(route, self.route):
            # The prefix was made by one version.  With none of its stages left
            # the request can't be ended; another version's words don't follow.
            detail = f"no route of version {self.route.model_version} any more"
            gone = Fault(ResultCode.NO_TARGET, detail, proven_outcome=Outcome.UNKNOWN)
            return Error(gone)
        self.attempt = attempt
        self.route = route
        self._hops = tuple(Hop(stage.target_id, stage.layers) for stage in route.stages)
        return Ok(None)

    def commit(self, token: Token) -> Result[None, Fault]:
        """Commit the token if its receipt is whole; else say what is wrong."""
        receipt = token.receipt
        if self.finish is not None:
            return _bad("token after the last one")
        if receipt.request_id != self.request_id:
            return _bad("receipt of another request")
        if receipt.attempt != self.attempt:
            return _bad(f"attempt {receipt.attempt}, expected {self.attempt}")
        if token.position != self.next_position or receipt.position != token.position:
            return _bad(f"position {token.position}, expected {self.next_position}")
        if receipt.hops != self._hops:
            return _bad("receipt does not show the route's stages in order")
        self._texts.append(token.text)
        self.finish = token.finish
        if self.finish is None and self.next_position == self._max_tokens:
            self.finish = LENGTH
        return _COMMITTED

    def commit_batch(self, tokens: Sequence[Token]) -> CommittedBatch:
        """Commit tokens that arrived together, up to the first bad one."""
        for count, token in enumerate(tokens):
            match self.commit(token):
                case Result(tag="error", error=problem):
                    return CommittedBatch(tuple(tokens[:count]), problem)
        return CommittedBatch(tuple(tokens))


def _same_model(one: Route, other: Route) -> bool:
    return (one.model, one.model_version, one.model_layers) == (
        other.model,
        other.model_version,
        other.model_layers,
    )


def _defect(detail: str) -> Result[None, Fault]:
    return Error(fault(ResultCode.INTERNAL, detail))


def _bad(detail: str) -> Result[None, Fault]:
    return Error(fault(ResultCode.BAD_RECEIPT, detail))
