"""Tracks which events of a stream were sent to its caller."""

from radishfield.forwarding._call import Call
from radishfield.routing import Demand, EngineSpec, event_ids, parse_event_id


class StreamProgress:
    """Tracks the events of a stream that were sent to the caller."""

    __slots__ = ("_call", "_events", "_received_id", "last_id")

    def __init__(self, call: Call):
        given = call.facts.last_event_id.strip()
        self._call = call
        self._events = 0
        self.last_id: int | None = parse_event_id(given)
        self._received_id = self.last_id

    @property
    def has_started(self) -> bool:
        """Return whether any event of this answer was sent to the caller."""
        return self._events > 0

    def resume_after(self) -> bytes:
        """Return the id after which a target should resume; empty for the start."""
        if self._events == 0:
            return self._call.facts.last_event_id
        return b"" if self.last_id is None else str(self.last_id).encode()

    def begin_attempt(self) -> None:
        """Expect the event after the last one sent to the caller."""
        self._received_id = self.last_id

    def accepts(self, events: bytes) -> bool:
        """Return whether events follow directly on those received before."""
        for event_id in event_ids(events):
            if self._received_id is not None and event_id != self._received_id + 1:
                return False
            self._received_id = event_id
        return True

    def note_sent(self, events: bytes) -> int:
        """Record events that were sent to the caller; return their number."""
        ids = event_ids(events)
        self._events += len(ids)
        if ids:
            self.last_id = ids[-1]
        return len(ids)

    def demand(self, engine: EngineSpec | None) -> Demand:
        """Return the tokens that the request will hold at each target of its path."""
        facts = self._call.facts
        if engine is None:
            return Demand(facts.prompt_tokens, facts.expected_answer_tokens)
        answer = facts.expected_answer_tokens or engine.usual_answer
        if facts.max_answer_tokens:
            answer = min(answer, facts.max_answer_tokens)
        return Demand(facts.prompt_tokens or engine.usual_prompt, answer)
