"""What has been committed of one request, over all its attempts.

No I/O here.  A token is committed only with a whole receipt: of the current
attempt, of the next position, with the route's stages in order and each once.
"""

from expression import Error, Ok, Result

from radishfield.core import (
    Fault,
    Hop,
    ResultCode,
    Route,
    Token,
    covers_model_once,
    fault,
)


class PipelineState:
    """The attempt, route and committed tokens of one request."""

    __slots__ = ("request_id", "attempt", "route", "_texts", "finish")

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.attempt = 0
        self.route = Route(())
        self._texts: list[str] = []
        self.finish: str | None = None

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
        ranges = [stage.layers for stage in route.stages]
        if not covers_model_once(ranges, route.model_layers):
            return Error(fault(ResultCode.INTERNAL, "route leaves a gap or overlaps"))
        if attempt <= self.attempt:
            return Error(fault(ResultCode.INTERNAL, "attempt number did not rise"))
        self.attempt = attempt
        self.route = route
        return Ok(None)

    def commit(self, token: Token) -> Result[None, Fault]:
        """Commit the token if its receipt is whole; else say what is wrong."""
        receipt = token.receipt
        expected = tuple(
            Hop(stage.target_id, stage.layers) for stage in self.route.stages
        )
        if receipt.request_id != self.request_id or receipt.attempt != self.attempt:
            return _bad("receipt of another request or attempt")
        if token.position != self.next_position or receipt.position != token.position:
            return _bad(f"position {token.position}, expected {self.next_position}")
        if receipt.hops != expected:
            return _bad("receipt does not show the route's stages in order")
        self._texts.append(token.text)
        self.finish = token.finish
        return Ok(None)


def _bad(detail: str) -> Result[None, Fault]:
    return Error(fault(ResultCode.BAD_RECEIPT, detail))
