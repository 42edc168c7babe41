"""The state machine that sends repeated keys to several entry hosts."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    rule,
)

from proofs._keyed import ZONES, KeyedWorld
from proofs._world_machine import WorldMachine

HOST_INDEX = st.integers(0, 8)
KEYS = st.sampled_from(("key-a", "key-a", "key-b"))
DEADLINES_S = st.sampled_from((0.5, 3.0, 8.0))


class KeyedMachine(WorldMachine):
    """Callers that repeat, hosts that restart, zones that are cut off."""

    world: KeyedWorld | None

    @initialize(
        seed=st.integers(0, 9),
        hosts=st.sampled_from((3, 6, 9)),
        replicas=st.integers(1, 2),
    )
    def begin(self, seed, hosts, replicas):
        """Build the fleet."""
        self.world = KeyedWorld(seed, hosts, replicas)

    @rule(host=HOST_INDEX, key=KEYS, deadline_s=DEADLINES_S)
    def send(self, host, key, deadline_s):
        """Send a call, or a repeat of an earlier one, through any host."""
        self.world.send(host, key, deadline_s)

    @rule(host=HOST_INDEX, other=HOST_INDEX, key=KEYS)
    def race(self, host, other, key):
        """Send two copies at the same moment through two hosts."""
        self.count("race")
        self.world.send(host, key, 3.0)
        self.world.send(other, key, 3.0)

    @rule(host=HOST_INDEX, other=HOST_INDEX, key=KEYS, after_s=DEADLINES_S)
    def lose_answer_and_repeat(self, host, other, key, after_s):
        """Lose a run's answer, and repeat the call through another host."""
        self.count("lost-answer")
        for engine in self.world.targets.by_id.values():
            engine.lost += 1
        self.world.send(host, key, 3.0)
        self.world.loop.pass_time(after_s)
        self.world.send(other, key, 3.0)

    @rule(host=HOST_INDEX, other=HOST_INDEX, key=KEYS)
    def repeat_after_a_while(self, host, other, key):
        """Repeat a call long after its deadline, while its key is remembered."""
        self.count("late-repeat")
        self.world.send(host, key, 3.0)
        self.world.loop.pass_time(70.0)
        self.world.send(other, key, 3.0)

    @rule(host=HOST_INDEX, key=KEYS, after_s=st.sampled_from((0.0004, 0.0012, 0.005)))
    def restart_in_claim(self, host, key, after_s):
        """Kill a host in the middle of its claim or its run."""
        self.count("restart")
        self.world.send(host, key, 3.0)
        self.world.loop.pass_time(after_s)
        self.world.restart(host)

    @rule(host=HOST_INDEX)
    def restart(self, host):
        """Replace a host by one without memory."""
        self.count("restart")
        self.world.restart(host)

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        """Hang up on a request."""
        waiting = [caller for caller in self.world.callers if not caller.ended_at]
        if waiting:
            self.count("cancel")
            self.world.cancel(waiting[index % len(waiting)])

    @rule(zone=st.sampled_from(ZONES))
    def cut(self, zone):
        """Cut a zone off from the others and from the platform."""
        self.count("cut")
        self.world.cut({zone})

    @rule()
    def heal(self):
        """End cuts, losses and the platform's troubles."""
        self.world.heal()

    @rule(
        lost_answers=st.integers(0, 3),
        lost_writes=st.integers(0, 2),
        stale_reads=st.integers(0, 2),
    )
    def lose_platform_answers(self, lost_answers, lost_writes, stale_reads):
        """Lose writes, or only their answers, and give out old reads."""
        self.count("platform-answers")
        faults = self.world.platform.faults
        faults.lost_answers = lost_answers
        faults.lost_writes = lost_writes
        faults.stale_reads = stale_reads

    @rule(down=st.booleans(), delay_s=st.sampled_from((0.001, 0.4, 4.0)))
    def trouble_the_platform(self, down, delay_s):
        """Take the platform down, or make it slow."""
        self.count("platform")
        self.world.platform.faults.delay_s = delay_s
        self.world.platform.set_down(down)

    @rule(host=HOST_INDEX)
    def lose_peer_answers(self, host):
        """Lose the answers that other hosts send to one."""
        self.count("lost-peer-answers")
        self.world.net.losing_answers_to.add(f"h{host}")

    @rule(index=st.integers(0, 1), refusing=st.booleans(), frozen=st.booleans())
    def trouble_a_service(self, index, refusing, frozen):
        """Let a service refuse, hang, or work again."""
        self.count("service")
        engine = list(self.world.targets.by_id.values())[index % len(self.targets)]
        engine.refusing = refusing
        engine.frozen = frozen

    @rule(seconds=st.sampled_from((0.0008, 0.02, 0.5, 4.0, 12.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.world.loop.pass_time(seconds)

    @property
    def targets(self):
        """Return the services."""
        return self.world.targets.by_id
