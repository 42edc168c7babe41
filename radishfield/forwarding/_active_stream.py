"""One attempt of a stream, as those see it that look after streams in flight."""

import trio

from radishfield.forwarding._call import Call
from radishfield.routing import Demand, EngineSpec, Path, StreamSilence

GAP_MEMORY = 0.8
"""Weight of the past in a stream's usual pause."""


class ActiveStream:
    """One attempt of a stream: its path, and when it was last heard of."""

    __slots__ = (
        "call",
        "demand",
        "engine",
        "given_up",
        "has_events",
        "heard_at",
        "moving",
        "path",
        "scope",
        "may_resume",
        "usual_gap_s",
    )

    def __init__(
        self,
        call: Call,
        engine: EngineSpec | None,
        demand: Demand,
        path: Path,
        now: float,
    ):
        self.call = call
        self.engine = engine
        self.demand = demand
        self.path = path
        self.heard_at = now
        self.has_events = False
        self.given_up = ""
        self.moving = False
        self.may_resume = True
        self.usual_gap_s = 0.0
        self.scope = trio.CancelScope()

    def heard(self, now: float) -> None:
        """Note an event."""
        if self.has_events:
            gap_s = now - self.heard_at
            before_s = self.usual_gap_s or gap_s
            self.usual_gap_s = GAP_MEMORY * before_s + (1 - GAP_MEMORY) * gap_s
        self.heard_at = now
        self.has_events = True

    def silence(self, now: float) -> StreamSilence:
        """Return how the stream stands, for decisions."""
        route = self.call.route
        return StreamSilence(
            target_ids=tuple(part.target_id for part in self.path),
            silent_s=now - self.heard_at,
            has_events=self.has_events,
            usual_gap_s=self.usual_gap_s,
            allowed_s=route.allowed_silence_s(self.has_events),
            caller_patience_s=route.caller_patience_s,
            report_lag_s=self.engine.report_lag_s if self.engine else 0.0,
        )

    def give_up(self, reason: str) -> None:
        """End the attempt, so that the stream goes on elsewhere."""
        self.given_up = reason
        self.scope.cancel()


def path_words(path: Path) -> str:
    """Return a path for a log line."""
    return " ".join(
        f"{part.target_id}={part.span.first}-{part.span.end}" for part in path
    )
