"""Runs hosts that contend for a lease, and targets that take orders under it."""

import random
from dataclasses import dataclass

import msgspec
import trio
from expression import Error, Ok, Result

from proofs._loop import Loop
from radishfield.core import (
    Fault,
    LayerRange,
    Member,
    MemberState,
    ResultCode,
    StoredObject,
    Target,
    TargetOrder,
    TrioClock,
    fault,
)
from radishfield.fleet import (
    FactTable,
    LeaseKeeper,
    LeaseSettings,
    OrderSender,
    OrderSettings,
    ProposedOrder,
    TargetDirectory,
)
from standins.fakes import FakePlatform

HOSTS = ("h0", "h1", "h2")
# All hold the same layers, so that no order is refused for the last replica.
TARGETS = 4
# After the last fault: the old lease (12 s plus a tenth), the pauses between
# attempts (3.3 s), and the settling of a write.
ACQUISITION_BOUND_S = 40.0


class Pause:
    """Suspends a host: whatever it sends waits until it resumes."""

    def __init__(self):
        self._resumed = trio.Event()
        self._resumed.set()
        self.paused_s = 0.0
        self._paused_since: float | None = None

    @property
    def is_paused(self) -> bool:
        """Return whether the host is suspended."""
        return self._paused_since is not None

    def begin(self, now: float) -> None:
        """Suspend the host."""
        if not self.is_paused:
            self._paused_since = now
            self._resumed = trio.Event()

    def end(self, now: float) -> None:
        """Resume the host."""
        if self.is_paused:
            self.paused_s += now - self._paused_since
            self._paused_since = None
            self._resumed.set()

    async def wait_until_running(self) -> None:
        """Wait until the host runs."""
        await self._resumed.wait()


class HostClock:
    """The host's clock, which also advances while the host is suspended."""

    def __init__(self, pause: Pause):
        self.pause = pause

    def now(self) -> float:
        """Return trio's time."""
        return trio.current_time()


class PausedPort:
    """A port whose calls and answers wait while the host is suspended."""

    def __init__(self, port: object, pause: Pause):
        self._port = port
        self._pause = pause

    def __getattr__(self, name: str):
        """Return a method of the wrapped port that waits for the host to run."""
        call = getattr(self._port, name)

        async def paused(*arguments):
            await self._pause.wait_until_running()
            answer = await call(*arguments)
            await self._pause.wait_until_running()
            return answer

        return paused


@dataclass(slots=True, frozen=True)
class OrderStart:
    """An order that a target started."""

    target_id: str
    fencing: int
    at: float


class OrderTargets:
    """Targets that start orders late, but within the order's timeout."""

    def __init__(self):
        self.starts: list[OrderStart] = []
        self.highest_fencing_by_target: dict[str, int] = {}
        self.lag_s = 0.0

    async def order(self, target: Target, order: TargetOrder) -> Result[None, Fault]:
        """Start an order after the lag, unless it is fenced or too late.

        The target continues when its caller has timed out.
        """
        highest_fencing = self.highest_fencing_by_target.get(target.id, 0)
        if target.checks_fencing and order.fencing < highest_fencing:
            return Error(fault(ResultCode.ORDER_FENCED))
        self.highest_fencing_by_target[target.id] = max(highest_fencing, order.fencing)
        with trio.CancelScope(shield=True):
            await trio.sleep(min(self.lag_s, order.timeout_s * 0.98))
        if target.checks_fencing:
            if order.fencing < self.highest_fencing_by_target[target.id]:
                return Error(fault(ResultCode.ORDER_FENCED))
        self.starts.append(OrderStart(target.id, order.fencing, trio.current_time()))
        return Ok(None)


class ZoneMembers:
    """A `PeerPort` of which only the members are queried."""

    def __init__(self):
        self.leaving: set[str] = set()

    def members(self) -> list[Member]:
        """Return the zone's hosts."""
        return [
            Member(
                host,
                "z",
                "",
                1,
                MemberState.LEAVING if host in self.leaving else MemberState.LIVE,
            )
            for host in HOSTS
        ]


class LeaseHost:
    """One host with its lease keeper and order sender."""

    def __init__(self, host_id: str, world: "LeaseWorld"):
        self.id = host_id
        self.pause = Pause()
        clock = HostClock(self.pause)
        platform = PausedPort(world.platform.as_caller(host_id), self.pause)
        self.keeper = LeaseKeeper(
            LeaseSettings("placement", "z", host_id),
            platform,
            world.zone,
            clock,
            rng=random.Random(host_id),
        )
        facts = FactTable()
        for number in range(TARGETS):
            target = _target(number)
            value = msgspec.json.encode(target)
            facts.learn(StoredObject("target", target.id, 1, value))
        directory = TargetDirectory("z", facts, world.zone, clock)
        port = PausedPort(world.targets, self.pause)
        self.sender = OrderSender(OrderSettings(), self.keeper, port, directory, clock)


class LeaseWorld:
    """Three contenders, the platform, and targets with and without fencing checks."""

    def __init__(self, seed: int):
        self.loop = Loop(seed)
        self.platform = FakePlatform(TrioClock())
        self.targets = OrderTargets()
        self.zone = ZoneMembers()
        self.hosts = [LeaseHost(host_id, self) for host_id in HOSTS]
        for host in self.hosts:
            self.loop.start(host.keeper.run)
        self.loop.pass_time(5.0)

    def send(self, host_index: int, target_index: int) -> None:
        """Let a host send an order, if it assumes that it holds the lease."""
        host = self.hosts[host_index]
        order = ProposedOrder(f"target-{target_index}", "set-role", "prefill")
        self.loop.start(lambda: host.sender.send(order))
        self.loop.settle()

    def give_back(self, host_index: int) -> None:
        """Let a host leave, unless it is the last one."""
        host = self.hosts[host_index]
        if len(self.zone.leaving | {host.id}) < len(HOSTS):
            self.zone.leaving.add(host.id)
            self.loop.start(host.keeper.drain)
            self.loop.settle()

    def holders(self) -> list[str]:
        """Return the hosts that hold the lease according to their own keepers."""

        async def ask() -> list[str]:
            return [host.id for host in self.hosts if host.keeper.check().is_ok()]

        return self.loop.run(ask)

    def check(self) -> None:
        """Check that there is at most one holder, and no old order after a new one."""
        holders = self.holders()
        assert len(holders) <= 1, f"{holders} all hold the lease"
        highest_fencing_by_target: dict[str, int] = {}
        for start in self.targets.starts:
            highest_fencing = highest_fencing_by_target.get(start.target_id, 0)
            assert (
                start.fencing >= highest_fencing
            ), f"{start} after fencing number {highest_fencing}"
            highest_fencing_by_target[start.target_id] = start.fencing

    def check_end(self) -> None:
        """Check that a host acquires the lease once all faults are over."""
        faults = self.platform.faults
        faults.delay_s = 0.0
        faults.lost_answers = faults.lost_writes = faults.stale_reads = 0
        faults.cut_off.clear()
        self.loop.run(self._platform_up)
        for host in self.hosts:
            host.pause.end(self.loop.now)
        self.loop.pass_time(ACQUISITION_BOUND_S)
        self.check()
        assert len(self.holders()) == 1, "no host acquired the lease"

    async def _platform_up(self) -> None:
        self.platform.set_down(False)


def _target(number: int) -> Target:
    return Target(
        f"target-{number}",
        f"machine-{number}",
        "z",
        f"10.0.0.{number}:1",
        model="small",
        layers=LayerRange(0, 8),
        model_layers=8,
        checks_fencing=number < TARGETS // 2,
    )
