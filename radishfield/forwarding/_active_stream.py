"""One attempt of a stream, as those see it that look after streams in flight."""

from collections.abc import Callable

import trio

from radishfield.crashes import OUTLIVED_S
from radishfield.forwarding._call import Call
from radishfield.routing import Demand, EngineSpec, Path, StreamSilence
from radishfield.telemetry import log_event

GAP_MEMORY = 0.8
"""Weight of the past in a stream's usual pause."""
KEPT_LOOK_S = 0.25
"""Time for which an attempt that nothing can follow is kept before that is asked
again."""
LONGEST_KEPT_S = 1.0
"""Silence after which an attempt ends whose target was found lost, whatever may follow
it: lost packets are sent again within this time, and what it holds at the other
targets of its path is room that new requests lack."""


class ActiveStream:
    """One attempt of a stream: its path, and when it was last heard of.

    Attributes
    ----------
    prepare_successor : callable
        Reserves what another attempt takes; returns what keeps it from following this
        one, or nothing.
    """

    __slots__ = (
        "call",
        "demand",
        "engine",
        "prepare_successor",
        "given_up",
        "has_events",
        "heard_at",
        "moving",
        "path",
        "scope",
        "may_resume",
        "usual_gap_s",
        "_first_event_at",
        "_kept_until",
    )

    def __init__(
        self,
        call: Call,
        engine: EngineSpec | None,
        demand: Demand,
        path: Path,
        now: float,
        prepare_successor: Callable[[], str] = lambda: "",
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
        self.prepare_successor = prepare_successor
        self._first_event_at: float | None = None
        self._kept_until = now
        self.scope = trio.CancelScope()

    def heard(self, now: float) -> None:
        """Note an event."""
        if self.has_events:
            gap_s = now - self.heard_at
            before_s = self.usual_gap_s or gap_s
            self.usual_gap_s = GAP_MEMORY * before_s + (1 - GAP_MEMORY) * gap_s
        else:
            self._first_event_at = now
        self.heard_at = now
        self.has_events = True

    @property
    def outlived_start(self) -> bool:
        """Return whether its target lives on well after it began to run."""
        began_at = self._first_event_at
        return began_at is not None and self.heard_at - began_at >= OUTLIVED_S

    def stop(self) -> None:
        """End the attempt for good, unless its target has begun to answer."""
        if not self.has_events:
            self.given_up = "targets ended under it"
            self.scope.cancel()

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

    def give_up(self, reason: str, now: float, found_lost: bool = False) -> bool:
        """End the attempt, so that the stream goes on elsewhere; False if it is kept.

        An attempt that nothing can follow is kept: it may yet go on, and ended it
        would leave the caller with half an answer.

        Parameters
        ----------
        found_lost : bool
            A target of its path did not answer, though this host heard others.
        """
        if now < self._kept_until:
            return False
        obstacle = self.prepare_successor()
        if not obstacle or (found_lost and now - self.heard_at >= LONGEST_KEPT_S):
            self.given_up = reason
            self.scope.cancel()
            return True
        self._kept_until = now + KEPT_LOOK_S
        log_event(
            "stream.kept",
            request=self.call.facts.request_id,
            reason=reason,
            obstacle=obstacle,
            silent_s=round(now - self.heard_at, 2),
        )
        return False


def path_words(path: Path) -> str:
    """Return a path for a log line."""
    return " ".join(
        f"{part.target_id}={part.span.first}-{part.span.end}" for part in path
    )
