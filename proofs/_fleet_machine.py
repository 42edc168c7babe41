"""The state machine that runs operators and partitions against the fleet."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    rule,
)

from proofs._fleet import FleetWorld
from proofs._world_machine import WorldMachine

HOST_INDEX = st.integers(0, 5)
NAMES = st.sampled_from(("review", "review", "notice"))
ZONE_NAMES = st.sampled_from(("z0", "z1", "z2"))


class FleetMachine(WorldMachine):
    """Operators that race, zones that are cut off, a platform that fails."""

    world: FleetWorld | None

    @initialize(seed=st.integers(0, 9), hosts=st.sampled_from((3, 6)))
    def begin(self, seed, hosts):
        """Build the fleet and publish a profile."""
        self.world = FleetWorld(seed, hosts)
        self.publish(0, "review")
        self.world.loop.pass_time(2.0)

    @rule(host=HOST_INDEX, name=NAMES)
    def publish(self, host, name):
        """Publish a profile."""
        self.world.operate(self._seat(host), name, lambda s, p: s.publish(p))

    @rule(host=HOST_INDEX, name=NAMES)
    def change(self, host, name):
        """Change a profile."""
        self.world.operate(self._seat(host), name, lambda s, p: s.change(p))

    @rule(host=HOST_INDEX, name=NAMES)
    def retire(self, host, name):
        """Retire a profile."""
        self.world.operate(self._seat(host), name, lambda s, p: s.retire(p.name))

    @rule(host=HOST_INDEX, other=HOST_INDEX, name=NAMES, version=st.integers(1, 3))
    def race(self, host, other, name, version):
        """Let two operators change the same version at the same moment."""
        self.count("race")
        for index in (host, other):
            self.world.operate(
                self._seat(index), name, lambda s, p: s.change(p, version)
            )

    @rule(host=HOST_INDEX, name=NAMES, lost=st.integers(1, 3), stale=st.integers(0, 2))
    def change_with_a_lost_answer(self, host, name, lost, stale):
        """Lose the answers of a change's writes, and let reads be stale."""
        self.count("lost-answer")
        self.world.platform.faults.lost_answers += lost
        self.world.platform.faults.stale_reads += stale
        self.change(host, name)
        self.world.loop.pass_time(1.0)

    @rule(host=HOST_INDEX, other=HOST_INDEX, name=NAMES)
    def retire_and_change(self, host, other, name):
        """Change a profile through another host after it was retired."""
        self.retire(host, name)
        self.world.loop.pass_time(0.3)
        self.change(other, name)

    @rule(host=HOST_INDEX, name=NAMES)
    def restart_without_platform(self, host, name):
        """Replace a host whose zone is cut from the platform; peers must fill it."""
        self.count("restart-cut-off")
        self.world.heal()
        self.change(host, name)
        self.world.loop.pass_time(2.0)
        self.world.cut_platform(self._seat(host).zone)
        self.world.start(self._seat(host))
        self.world.loop.pass_time(41.0)

    @rule(share=st.sampled_from((0.0, 0.3)))
    def lose_datagrams(self, share):
        """Lose a part of the datagrams between hosts."""
        self.count("lost-datagrams")
        self.world.network.faults.lost_share = share

    @rule(lost=st.integers(1, 2))
    def lose_writes(self, lost):
        """Lose writes on their way to the platform."""
        self.count("lost-write")
        self.world.platform.faults.lost_writes += lost

    @rule(stale=st.integers(1, 3))
    def read_stale(self, stale):
        """Let the platform give out old values."""
        self.count("stale-read")
        self.world.platform.faults.stale_reads += stale

    @rule(skipped=st.integers(1, 2))
    def skip_events(self, skipped):
        """Tell no watch of the next changes."""
        self.count("skipped-event")
        self.world.platform.faults.skipped_events += skipped

    @rule(delay_s=st.sampled_from((0.0, 0.5, 3.0)))
    def slow_platform(self, delay_s):
        """Make the platform slow, or quick again."""
        self.count("slow-platform")
        self.world.disturbed()
        self.world.platform.faults.delay_s = delay_s

    @rule()
    def platform_down(self):
        """Take the platform down."""
        self.count("platform-down")
        self.world.set_down(True)

    @rule()
    def platform_up(self):
        """Bring the platform back."""
        self.world.set_down(False)

    @rule(one=ZONE_NAMES, other=ZONE_NAMES)
    def cut(self, one, other):
        """Cut two zones from each other."""
        if one != other:
            self.count("cut")
            self.world.cut(one, other)

    @rule(zone=ZONE_NAMES)
    def isolate(self, zone):
        """Cut a zone from everything."""
        self.count("isolate")
        for other in {"z0", "z1", "z2"} - {zone}:
            self.world.cut(zone, other)
        self.world.cut_platform(zone)

    @rule(zone=ZONE_NAMES)
    def cut_platform(self, zone):
        """Cut a zone from the platform."""
        self.count("cut-platform")
        self.world.cut_platform(zone)

    @rule()
    def heal(self):
        """End every fault."""
        self.world.heal()

    @rule(host=HOST_INDEX)
    def restart(self, host):
        """Replace a host by one that knows nothing."""
        self.count("restart")
        self.world.start(self._seat(host))

    @rule(seconds=st.sampled_from((0.01, 0.3, 2.0, 9.0, 45.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.world.loop.pass_time(seconds)

    def _seat(self, index: int):
        return self.world.seats[index % len(self.world.seats)]
