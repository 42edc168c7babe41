"""The state machine that runs callers and faults against the dispatcher."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    precondition,
    rule,
)

from proofs._serving import Caller, ServingWorld
from proofs._targets import Trouble
from proofs._world_machine import WorldMachine
from radishfield.serving import Dispatcher

# Values drawn by rules.  They are few, so that shrinking is quick, and such that
# deadlines may be shorter or longer than idle limits and steps.
DEADLINES_S = st.sampled_from((0.05, 0.5, 3.0, 8.0))
TOKENS = st.integers(1, 6)
ENGINE_INDEX = st.integers(0, 11)
IN_MID_TOKEN_S = st.sampled_from((0.005, 0.015, 0.035))


class ServingMachine(WorldMachine):
    """Callers, engines that fail in every way, and time."""

    world: ServingWorld | None

    @initialize(
        seed=st.integers(0, 9), stages=st.sampled_from((2, 1, 4)), n=st.integers(1, 3)
    )
    def begin(self, seed, stages, n):
        """Build the fleet."""
        self.world = ServingWorld(seed, stages, n)

    @rule(
        idempotent=st.booleans(),
        tokens=TOKENS,
        deadline_s=DEADLINES_S,
        push_s=st.sampled_from((0.0, 0.0, 0.2)),
    )
    def send(self, idempotent, tokens, deadline_s, push_s):
        """Send a model request."""
        self.world.send(idempotent, tokens, deadline_s, push_s)

    @rule(count=st.integers(2, 30), idempotent=st.booleans(), deadline_s=DEADLINES_S)
    def burst(self, count, idempotent, deadline_s):
        """Send many requests at once, so that some of them wait."""
        for _ in range(count):
            self.world.send(idempotent, 2, deadline_s, 0.0)

    @rule(count=st.integers(15, 30), hung_up=st.integers(1, 8))
    def burst_and_cancel(self, count, hung_up):
        """Send more at once than targets take, and hang up on the last ones."""
        self.count("cancel")
        for _ in range(count):
            self.world.send(True, 2, 8.0, 0.0)
        for caller in self.world.callers[-hung_up:]:
            if caller.ended_at is None:
                self.world.cancel(caller)

    @rule(idempotent=st.booleans(), tokens=TOKENS, trouble=st.sampled_from(Trouble))
    def send_into_trouble(self, idempotent, tokens, trouble):
        """Send a request while each first stage has a trouble in store."""
        self.count(trouble)
        for engine in self.world.heads():
            engine.troubles.append(trouble)
        self.world.send(idempotent, tokens, 8.0, 0.0)
        self.world.loop.pass_time(0.3)

    @rule(idempotent=st.booleans())
    def send_to_standstill(self, idempotent):
        """Send a request while every first stage stands still."""
        self.count("freeze")
        for engine in self.world.heads():
            engine.frozen = True
        self.world.send(idempotent, 2, 0.5, 0.0)
        self.world.loop.pass_time(2.5)

    @rule(index=ENGINE_INDEX, idempotent=st.booleans(), after_s=IN_MID_TOKEN_S)
    def send_and_kill(self, index, idempotent, after_s):
        """Kill a target in the middle of a request's tokens."""
        self.world.send(idempotent, 6, 8.0, 0.0)
        self.world.loop.pass_time(after_s)
        self.kill(index)

    @rule(index=ENGINE_INDEX)
    def drain_and_send(self, index):
        """Drain a target, and send once its few seconds are over."""
        self.drain(index)
        self.world.loop.pass_time(4.0)
        for _ in range(2):
            self.world.send(True, 2, 8.0, 0.0)

    @precondition(lambda self: hasattr(Dispatcher, "call_service"))
    @rule(idempotent=st.booleans(), deadline_s=DEADLINES_S)
    def call(self, idempotent, deadline_s):
        """Call the plain service."""
        self.world.call(idempotent, deadline_s)

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        """Hang up on a request."""
        waiting = [caller for caller in self.world.callers if not caller.ended_at]
        if waiting:
            self.count("cancel")
            self.world.cancel(waiting[index % len(waiting)])

    @rule(index=ENGINE_INDEX)
    def kill(self, index):
        """Kill a target in the middle of whatever it does."""
        self.count("kill")
        self.world.targets.kill(self._target_id(index))

    @rule(index=ENGINE_INDEX)
    def revive(self, index):
        """Start a dead target again."""
        target_id = self._target_id(index)
        if not self.world.targets.by_id[target_id].alive:
            self.world.revive(target_id)

    @rule(index=ENGINE_INDEX, frozen=st.booleans())
    def freeze(self, index, frozen):
        """Stop a target, or let it go on, without its connections noticing."""
        self.count("freeze")
        self.world.targets.by_id[self._target_id(index)].frozen = frozen

    @rule(index=ENGINE_INDEX, refusing=st.booleans())
    def refuse(self, index, refusing):
        """Let a target refuse new work, or take it again."""
        self.count("refuse")
        self.world.targets.by_id[self._target_id(index)].refusing = refusing

    @rule(index=ENGINE_INDEX, step_s=st.sampled_from((0.01, 0.2, 1.5)))
    def slow(self, index, step_s):
        """Make a target slow, or quick again."""
        self.count("slow")
        self.world.targets.by_id[self._target_id(index)].step_s = step_s

    @rule(index=ENGINE_INDEX)
    def lose_start(self, index):
        """Lose the answer to a target's next start, which takes effect."""
        self.count("lose-start")
        self.world.targets.by_id[self._target_id(index)].lost += 1

    @rule(index=ENGINE_INDEX, trouble=st.sampled_from(Trouble))
    def trouble(self, index, trouble):
        """Play a trouble on the next token of a target."""
        self.count(trouble)
        self.world.targets.by_id[self._target_id(index)].troubles.append(trouble)

    @rule()
    def recover(self):
        """End every fault that is being played."""
        self.world.end_faults()

    @rule(index=ENGINE_INDEX)
    def drain(self, index):
        """Tell that a target is leaving."""
        self.count("drain")
        self.world.drain(self._target_id(index))

    @rule(index=ENGINE_INDEX)
    def report_leaving(self, index):
        """Let a target say that it is leaving; the platform's list lags."""
        self.count("report-leaving")
        self.world.report_leaving(self._target_id(index))
        self.world.loop.pass_time(4.0)
        for _ in range(2):
            self.world.send(True, 2, 8.0, 0.0)

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.3, 2.5, 6.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.world.loop.pass_time(seconds)

    def _target_id(self, index: int) -> str:
        ids = list(self.world.targets.by_id)
        return ids[index % len(ids)]


__all__ = ["Caller", "ServingMachine"]
