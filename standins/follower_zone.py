"""Hosts that follow the object store and gossip, in one process and virtual time.

Only the followers and the gossip of each host run; calls to the store and datagrams
pass through memory.  Faults that a loopback network cannot show are injected there:
connections that fall silent for good, hosts without a way to the store, and datagrams
that are lost.
"""

import json
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, TrioClock, fault
from radishfield.forwarding import _gossip
from radishfield.forwarding._follower import ConfigFollower, TargetFollower
from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryAllowance
from radishfield.platform import ObjectStore
from radishfield.routing import Freshness
from radishfield.web import ApiCall, Headers
from standins.object_store import ObjectStoreApp

ANSWER_S = 0.004
"""Time that the store takes for an answer."""
REVOKE_S = 5.0
PORT = 7000

_CODE_BY_STATUS = {
    404: ResultCode.OBJECT_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.WATCH_GAP,
}


class StoreLink:
    """One host's connections to the store.

    Attributes
    ----------
    cut : bool
        New calls are not answered either.
    slow_s : float
        Time by which each answer is late.
    """

    def __init__(self, store: ObjectStoreApp):
        self._store = store
        self._epoch = 0
        self.cut = False
        self.slow_s = 0.0
        self.calls: Counter[str] = Counter()

    def silence(self) -> None:
        """Let all calls in flight hang; calls that follow are answered."""
        self._epoch += 1

    async def call(
        self, call: ApiCall, accepts: Callable[[Headers], bool] = lambda headers: True
    ) -> Result[bytes, Fault]:
        """Send a call to the store once, as `radishfield.web.ApiCaller` does."""
        self.calls[call.kind] += 1
        epoch, era = self._epoch, self._store.era
        with trio.move_on_after(call.limit_s):
            status, answer = await self._answer(call)
            if self.cut or (epoch, era) != (self._epoch, self._store.era):
                await trio.sleep_forever()
            if self._store.switches.status or not accepts(self._store.answer_headers()):
                return Error(fault(ResultCode.PLATFORM_UNAVAILABLE))
            code = _CODE_BY_STATUS.get(status)
            if code is not None:
                return Error(fault(code))
            return Ok(json.dumps(answer).encode())
        return Error(fault(ResultCode.PLATFORM_UNAVAILABLE, "no answer"))

    async def _answer(self, call: ApiCall) -> tuple[int, dict]:
        await trio.sleep(ANSWER_S)
        path, _, query = call.path.partition("?")
        parts = path.strip("/").split("/")[1:]
        values = dict(part.split("=") for part in query.split("&") if part)
        answer = await self._store._call(
            call.method, parts, values, call.body or b"null"
        )
        await trio.sleep(self.slow_s)
        return answer


@dataclass
class DatagramNetwork:
    """Carries datagrams between the hosts of a zone.

    Attributes
    ----------
    lost : set of tuple
        Pairs of sender and receiver, as host ids, whose datagrams are lost.
    lost_share : float
        Share of all other datagrams that is lost.
    """

    rng: random.Random
    lost: set[tuple[str, str]] = field(default_factory=set)
    lost_share: float = 0.0
    sent: int = 0
    inbox_by_address: dict = field(default_factory=dict)
    host_by_address: dict = field(default_factory=dict)

    def deliver(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Queue a datagram for a host, unless it is lost."""
        self.sent += 1
        pair = (self.host_by_address[sender], self.host_by_address.get(address))
        inbox = self.inbox_by_address.get(address)
        if inbox is None or pair in self.lost or self.rng.random() < self.lost_share:
            return
        inbox.send_nowait(data)


class MemoryDatagrams:
    """Replaces `radishfield.forwarding._datagrams.DatagramSocket`."""

    BATCH_S = 0.02

    def __init__(self, network: DatagramNetwork, address: str):
        host, _, port = address.rpartition(":")
        self._network = network
        self._address = (host, int(port))
        send_inbox, self._inbox = trio.open_memory_channel(10_000)
        network.inbox_by_address[self._address] = send_inbox
        self.sent_bytes = 0
        self.dropped = 0

    def __enter__(self) -> "MemoryDatagrams":
        return self

    def __exit__(self, *problem) -> None:
        del self._network.inbox_by_address[self._address]

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Send a datagram to each address."""
        for address in addresses:
            self.sent_bytes += len(data)
            self._network.deliver(self._address, data, address)

    async def receive(self) -> list[bytes]:
        """Wait for datagrams and return them."""
        received = [await self._inbox.receive()]
        await trio.sleep(self.BATCH_S)
        while self._inbox.statistics().current_buffer_used:
            received.append(self._inbox.receive_nowait())
        return received


class FollowerHost:
    """The followers and the gossip of one host."""

    def __init__(self, number: int, zone: "FollowerZone", zone_name: str = "a"):
        self.id = f"h{number:02}"
        self.address = f"10.0.0.{number + 1}:{PORT}"
        self.link = StoreLink(zone.store)
        self.view = RouterView(
            zone_name,
            TrioClock(),
            RetryAllowance(),
            Freshness(REVOKE_S),
            host_id=self.id,
        )
        self._store = ObjectStore(self.link, self.view.eras)
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Run until the scope is cancelled."""
        targets = TargetFollower(self._store, self.view)
        config = ConfigFollower(self._store, self.view, lambda idle_s: None)
        gossip = _gossip.Gossip(
            self.id, self.address, self._store, self.view, lambda: []
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                for service in (config, targets, gossip):
                    await nursery.start(service.run)

    def uses(self, target_id: str, service: str) -> bool:
        """Return whether the host would send work to a target now."""
        usable = self.view.directory.usable(service, self.view.clock.now())
        return any(record.id == target_id for record in usable)


class FollowerZone:
    """Hosts that share one store, of one zone or with the zone names that are given."""

    def __init__(self, hosts: int, seed: int = 1, zone_names: str = ""):
        self.store = ObjectStoreApp()
        self.network = DatagramNetwork(random.Random(seed))
        self.zone_names = zone_names or "a" * hosts
        self.hosts = [
            FollowerHost(number, self, self.zone_names[number])
            for number in range(hosts)
        ]
        for host in self.hosts:
            ip, _, port = host.address.rpartition(":")
            self.network.host_by_address[(ip, int(port))] = host.id

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all hosts."""
        for host in self.hosts:
            nursery.start_soon(host.run)

    def freeze(self, host: FollowerHost) -> None:
        """Stop a host for good: it sends and hears nothing, and its calls hang."""
        host.link.cut = True
        others = {each.id for each in self.hosts if each is not host}
        self.network.lost |= {(host.id, each) for each in others}
        self.network.lost |= {(each, host.id) for each in others}

    def calls(self) -> int:
        """Return the number of calls that all hosts have sent to the store."""
        return sum(sum(host.link.calls.values()) for host in self.hosts)

    def open_socket(self, address: str, limit: int) -> MemoryDatagrams:
        """Return the datagram socket of a host; stands in for the real class."""
        return MemoryDatagrams(self.network, address)
