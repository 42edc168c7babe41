"""State of one attempt of a stream while it is in flight."""

import math
from collections.abc import Callable

import trio

from radishfield.crashes import CRASH_WINDOW_S
from radishfield.forwarding._call import Call
from radishfield.routing import Demand, EngineSpec, Path, StreamSilence
from radishfield.telemetry import log_event

GAP_HISTORY_WEIGHT = 0.8
"""Weight of earlier gaps in the moving average of a stream's gaps between events."""
KEPT_RECHECK_S = 0.25
"""Time for which an attempt without a possible successor is kept before the host checks
again for one."""
MAX_KEPT_S = 1.6
"""Silence after which an attempt with an unreachable target ends, even if no other
attempt can follow it.  A target that pauses for a second goes on within this time, and
lost packets are retransmitted.  The attempt holds capacity at the other targets of its
path that new requests lack."""


STOP_GRACE_S = 0.05
"""Time for which a stopped attempt still waits for its target's answer.  A refusal that
is on its way proves that the request did not run."""


class ActiveStream:
    """One attempt of a stream, with its path and the time of its last progress.

    Attributes
    ----------
    held_up_s : float
        Time since its last progress in which this host was held up.
    started_at : float
        When the attempt began.
    connection_lost : bool
        Its target is well, and only the connection to it is lost.
    prepare_successor : callable
        Reserves what another attempt needs; returns the reason why none can follow this
        one, or an empty string.
    """

    __slots__ = (
        "call",
        "connection_lost",
        "demand",
        "engine",
        "prepare_successor",
        "abandon_reason",
        "has_events",
        "held_up_s",
        "last_progress_at",
        "moving",
        "path",
        "scope",
        "started_at",
        "may_resume",
        "typical_gap_s",
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
        self.started_at = now
        self.connection_lost = False
        self.last_progress_at = now
        self.has_events = False
        self.abandon_reason = ""
        self.moving = False
        self.may_resume = True
        self.typical_gap_s = 0.0
        self.prepare_successor = prepare_successor
        self._first_event_at: float | None = None
        self.held_up_s = 0.0
        self._kept_until = now
        self.scope = trio.CancelScope()

    def note_events(self, now: float, count: int = 1) -> None:
        """Record the arrival of some events that were read together."""
        if self.has_events:
            gap_s = (now - self.last_progress_at) / max(1, count)
            before_s = self.typical_gap_s or gap_s
            self.typical_gap_s = (
                GAP_HISTORY_WEIGHT * before_s + (1 - GAP_HISTORY_WEIGHT) * gap_s
            )
        else:
            self._first_event_at = now
            self.scope.deadline = math.inf
        self.last_progress_at = now
        self.has_events = True
        self.held_up_s = 0.0

    def note_lateness(self, held_up_s: float, now: float) -> None:
        """Record that this host was held up, in which time it could read no event."""
        waited_s = now - self.last_progress_at
        self.held_up_s = min(waited_s, self.held_up_s + held_up_s)

    @property
    def outlived_start(self) -> bool:
        """Return whether its target was still alive well after the attempt started."""
        started_at = self._first_event_at
        return (
            started_at is not None
            and self.last_progress_at - started_at >= CRASH_WINDOW_S
        )

    def stop(self) -> None:
        """End the attempt, unless its target has started to answer."""
        if not self.has_events:
            self.abandon_reason = "targets crashed under this request"
            self.scope.deadline = trio.current_time() + STOP_GRACE_S

    def silence(self, now: float) -> StreamSilence:
        """Return the state of the stream that decisions are based on.

        Time in which this host was held up does not count as silence.
        """
        route = self.call.route
        return StreamSilence(
            target_ids=tuple(stage.target_id for stage in self.path),
            silent_s=max(0.0, now - self.last_progress_at - self.held_up_s),
            has_events=self.has_events,
            typical_gap_s=self.typical_gap_s,
            allowed_s=route.allowed_silence_s(self.has_events),
            caller_patience_s=route.caller_patience_s,
            report_lag_s=self.engine.report_lag_s if self.engine else 0.0,
        )

    def abandon_connection(self, now: float) -> bool:
        """End the attempt so that the stream goes on over another connection."""
        self.connection_lost = True
        if self.abandon("connection lost", now):
            return True
        self.connection_lost = False
        return False

    def abandon(
        self, reason: str, now: float, target_unreachable: bool = False
    ) -> bool:
        """End the attempt so that another can resume the stream; False if it is kept.

        An attempt without a possible successor is kept: it may still continue, and
        ending it would leave the caller with a truncated answer.

        Parameters
        ----------
        target_unreachable : bool
            A target of its path did not answer, although this host received answers
            from others.
        """
        if now < self._kept_until:
            return False
        obstacle = self.prepare_successor()
        if not obstacle or (
            target_unreachable and now - self.last_progress_at >= MAX_KEPT_S
        ):
            self.abandon_reason = reason
            self.scope.cancel()
            return True
        self._kept_until = now + KEPT_RECHECK_S
        log_event(
            "stream.kept",
            request=self.call.facts.request_id,
            reason=reason,
            obstacle=obstacle,
            silent_s=round(now - self.last_progress_at, 2),
        )
        return False


def format_path(path: Path) -> str:
    """Return a path formatted for a log line."""
    return " ".join(
        f"{stage.target_id}={stage.span.first}-{stage.span.end}" for stage in path
    )
