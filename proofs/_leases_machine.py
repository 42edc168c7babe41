"""The state machine that runs pauses and outages against leases and orders."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    rule,
)

from proofs._leases import TARGETS, LeaseWorld
from proofs._world_machine import WorldMachine

HOST_INDEX = st.integers(0, 2)
TARGET_INDEX = st.integers(0, TARGETS - 1)
PAUSES_S = st.sampled_from((2.0, 6.0, 14.0, 18.0))


class LeaseMachine(WorldMachine):
    """A holder that is paused, cut off or drained, and its successors."""

    world: LeaseWorld | None

    @initialize(seed=st.integers(0, 9))
    def begin(self, seed):
        """Start the contenders."""
        self.world = LeaseWorld(seed)

    @rule(number=TARGET_INDEX)
    def order_by_all(self, number):
        """Let each host that thinks it may give an order."""
        for index, host in enumerate(self.world.hosts):
            if not host.pause.is_paused:
                self.world.send(index, number)

    @rule(number=TARGET_INDEX, paused_s=PAUSES_S, lag_s=st.sampled_from((0.0, 4.5)))
    def order_and_pause(self, number, paused_s, lag_s):
        """Pause the holder right after its order, and let others take over."""
        self.count("pause")
        self.world.targets.lag_s = lag_s
        for index, host in enumerate(self.world.hosts):
            if host.id in self.world.holders():
                self.world.send(index, number)
                host.pause.begin(self.world.loop.now)
        self._let_take_over(number, paused_s)

    @rule(number=TARGET_INDEX, paused_s=PAUSES_S)
    def pause_in_order(self, number, paused_s):
        """Pause the holder between its last check and the send."""
        self.count("pause")
        for index, host in enumerate(self.world.hosts):
            if host.id in self.world.holders():
                host.pause.begin(self.world.loop.now)
                self.world.send(index, number)
        self._let_take_over(number, paused_s)

    @rule(number=TARGET_INDEX, lag_s=st.sampled_from((0.0, 4.5)))
    def cut_holder_off(self, number, lag_s):
        """Cut the holder from the platform, and let all give orders for a while."""
        self.count("cut-off")
        self.world.targets.lag_s = lag_s
        self.world.platform.faults.cut_off.clear()
        self.world.platform.faults.cut_off.update(self.world.holders())
        for _ in range(9):
            self.world.loop.pass_time(2.0)
            self.order_by_all(number)

    @rule(number=TARGET_INDEX, stale_s=st.sampled_from((5.0, 6.5)))
    def send_late(self, number, stale_s):
        """Pause a holder that is cut off between its check and the send.

        It goes on just before the order's limit, and the target takes nearly all
        of the order's time to start, while the next holder takes over.
        """
        self.count("late-send")
        faults = self.world.platform.faults
        faults.cut_off.clear()
        faults.cut_off.update(self.world.holders())
        self.world.loop.pass_time(stale_s)
        self.world.targets.lag_s = 4.8
        for index, host in enumerate(self.world.hosts):
            if host.id in self.world.holders():
                host.pause.begin(self.world.loop.now)
                self.world.send(index, number)
        self._let_take_over(number, 4.0)
        self.world.targets.lag_s = 0.0
        self._let_take_over(number, 10.0)

    @rule(number=TARGET_INDEX)
    def order_and_give_back(self, number):
        """Let the holder leave while its last order has not started yet."""
        self.count("drain")
        self.world.targets.lag_s = 4.8
        self.order_by_all(number)
        self.world.targets.lag_s = 0.0
        for index, host in enumerate(self.world.hosts):
            if host.id in self.world.holders():
                self.world.give_back(index)
        self._let_take_over(number, 8.0)

    @rule(number=TARGET_INDEX)
    def pause_in_renewal(self, number):
        """Pause the holder between a renewal's effect and its answer."""
        self.count("pause")
        self.world.platform.faults.delay_s = 2.0
        self.world.loop.pass_time(4.0)
        for host in self.world.hosts:
            if host.id in self.world.holders():
                host.pause.begin(self.world.loop.now)
        self._let_take_over(number, 20.0)
        self.world.platform.faults.delay_s = 0.0

    @rule()
    def reach_again(self):
        """Let every host reach the platform."""
        self.world.platform.faults.cut_off.clear()

    @rule(lost=st.integers(1, 3))
    def lose_answers(self, lost):
        """Lose the answers of writes that take effect."""
        self.count("lost-answer")
        self.world.platform.faults.lost_answers += lost

    @rule(lost=st.integers(1, 3))
    def lose_writes(self, lost):
        """Lose writes on their way."""
        self.count("lost-write")
        self.world.platform.faults.lost_writes += lost

    @rule(stale=st.integers(1, 3))
    def read_stale(self, stale):
        """Let the platform give out old values."""
        self.count("stale-read")
        self.world.platform.faults.stale_reads += stale

    @rule(delay_s=st.sampled_from((0.0, 1.0, 4.0)))
    def slow_platform(self, delay_s):
        """Make the platform slow, or quick again."""
        self.count("slow-platform")
        self.world.platform.faults.delay_s = delay_s

    @rule(host=HOST_INDEX)
    def give_back(self, host):
        """Let a host give its lease back."""
        self.count("drain")
        self.world.give_back(host)

    @rule(seconds=st.sampled_from((0.3, 3.0, 6.0, 14.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.world.loop.pass_time(seconds)

    def _let_take_over(self, number: int, paused_s: float) -> None:
        for _ in range(int(paused_s)):
            self.world.loop.pass_time(1.0)
            self.world.check()
            if paused_s > 4.0:
                self.order_by_all(number)
        for host in self.world.hosts:
            host.pause.end(self.world.loop.now)
        self.world.loop.settle()
        self.order_by_all(number)
