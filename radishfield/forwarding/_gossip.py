"""What entry hosts tell each other: work in flight, lost and leaving targets, duties.

In zones of many hosts a few follow the store and tell the others what it says.

Datagrams that are lost cost nothing: each one holds the whole of what changes, and
the next follows in a fraction of a second.  Hosts find each other once, in the
store: each writes its address before it lists the others', so of any two the later
one sees the earlier one and tells it of itself.
"""

import math
import random
import socket
from dataclasses import dataclass

import msgspec
import trio

from radishfield.core import ResultCode
from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    Echo,
    LinkShare,
    NewsItem,
    PeerNews,
    PeerStatus,
    PeerSum,
    Use,
    Work,
    decoder,
    encoder,
    news_datagrams,
)
from radishfield.forwarding._view import RouterView, TargetNews
from radishfield.platform import ObjectStore
from radishfield.routing import (
    WATCHERS_PER_ZONE,
    PeerConfirmation,
    RetryUse,
    TargetLoad,
    ZoneHost,
    ZoneSum,
    confirmed_by_peer_at,
    pair_of,
)
from radishfield.telemetry import log_event
from radishfield.web import backoff_s

HOSTS_KIND = "radishfield-hosts"
GOSSIP_PERIOD_S = 0.25
"""Between two statuses a host starts one or two requests; later, hosts of a zone
would crowd the same target."""
REMOTE_ZONE_EVERY = 4
"""Other zones hear each fourth status: their work rarely meets this zone's, and
bytes between zones are paid for."""
ZONE_FANOUT = 12
"""Hosts of the own zone that hear a status, each in its turn where there are more:
a host's part of the load shrinks as the hosts grow, and so does what its status is
worth."""
NEWS_PERIOD_S = 0.05
"""Pause in which news of targets gathers; they mostly come by tens."""
SUMS_EVERY = 2
"""Watchers of other zones hear a zone's sum with each second status."""
PASS_DUTY_S = 1.0
"""A duty is passed on for this long after its holder was heard: half of a lease."""
REMOTE_ZONE_FANOUT = 6
"""Hosts of other zones that hear a status, drawn at random: with many hosts the
bytes between zones must not grow with their square."""
ALIVE_S = 2.5
MOST_REPORTED_LOST = 4
"""A host that has lost more targets than this at once is itself the one that is cut
off; believed, its neighbours would leave out what they reach."""
MOST_ECHOES = 120
"""Some 30 bytes each: half of a datagram.  A host that is not echoed confirms its
view with the store."""
COUNTED_S = 30.0
"""Time for which a host that has fallen silent is still counted among those that
share allowances: longer than cuts last, after which both sides spend again."""


class _HostBody(msgspec.Struct):
    address: str
    zone: str = ""


@dataclass(slots=True)
class _Peer:
    address: tuple[str, int]
    zone: str
    found_at: float
    heard_at: float = -1e9
    sent_at: float = 0.0
    store_silent_s: float = math.inf
    watches: bool = False

    def silent_s(self, now: float) -> float:
        """Return since when it has had no answer of the store, at the most."""
        return self.store_silent_s + now - self.heard_at


class Gossip:
    """Tells the other hosts, and hears them, over UDP."""

    __slots__ = (
        "_address",
        "_began_at",
        "_chance",
        "_duties",
        "_duty_heard_at",
        "_host_id",
        "_peer_by_id",
        "_round",
        "_store",
        "_view",
        "malformed",
        "sent_bytes",
    )

    def __init__(
        self, host_id: str, address: str, store: ObjectStore, view: RouterView, duties
    ):
        self._host_id = host_id
        self._address = address
        self._store = store
        self._view = view
        self._duties = duties
        self._duty_heard_at: dict[str, float] = {}
        self._chance = random.Random()
        self._peer_by_id: dict[str, _Peer] = {}
        self._round = 0
        self._began_at = view.clock.now()
        self.malformed = 0
        self.sent_bytes = 0

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Talk until cancelled."""
        ip, _, port = self._address.rpartition(":")
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            await sock.bind((ip, int(port)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._send_statuses, sock)
                nursery.start_soon(self._send_news, sock)
                nursery.start_soon(self._find)
                task_status.started()

    async def _find(self) -> None:
        """Write this host's address, then read the others'."""
        failures = 0
        while not await self._registered():
            failures += 1
            await trio.sleep(backoff_s(failures, self._chance))
        failures = 0
        while (listing := await self._store.list(HOSTS_KIND)).is_error():
            failures += 1
            await trio.sleep(backoff_s(failures, self._chance))
        for value in listing.ok.values:
            self._add_listed(value.name, value.spec)
        self._count()
        log_event(
            "peers.found", peers=len(self._peer_by_id), revision=listing.ok.revision
        )

    async def _registered(self) -> bool:
        body = {"address": self._address, "zone": self._view.zone}
        created = await self._store.create(HOSTS_KIND, self._host_id, body)
        if created.is_ok():
            return True
        if created.error.code is not ResultCode.PLATFORM_CONFLICT:
            return False
        read = await self._store.read(HOSTS_KIND, self._host_id)
        if read.is_error():
            return False
        if read.ok.spec == body:
            return True
        written = await self._store.replace(
            HOSTS_KIND, self._host_id, body, read.ok.revision
        )
        return written.is_ok()

    def _add_listed(self, host_id: str, spec: object) -> None:
        if host_id == self._host_id or host_id in self._peer_by_id:
            return
        try:
            body = msgspec.convert(spec, _HostBody)
            self._peer_by_id[host_id] = _Peer(
                _split(body.address), body.zone, self._view.clock.now()
            )
        except (msgspec.ValidationError, ValueError) as problem:
            log_event("peer.unreadable", peer=host_id, detail=str(problem))

    async def _send_statuses(self, sock) -> None:
        while True:
            await trio.sleep(GOSSIP_PERIOD_S * self._chance.uniform(0.9, 1.1))
            self._round += 1
            self._view.load.expire_remote(self._view.clock.now())
            self._sum_up()
            status = self._status()
            recipients = self._recipients()
            self._view.load.told_own(self._view.clock.now())
            await self._send(sock, status, recipients)
            if self._view.watch_duty.on_duty and self._view.watch_duty.shared:
                await self._send_sums(sock, recipients)
            self._view.load.add_up(self._view.zone, self._view.clock.now())

    async def _send_sums(self, sock, recipients: list[_Peer]) -> None:
        """Add up the work of the zone, and tell it with that of other zones."""
        load, now, zone = self._view.load, self._view.clock.now(), self._view.zone
        near_ids = [
            host_id for host_id, peer in self._peer_by_id.items() if peer.zone == zone
        ]
        load.take_sum(zone, ZoneSum(now, load.sum_of(near_ids)))
        near = [peer for peer in recipients if peer.zone == zone]
        for each, item in load.sums(now).items():
            work = [
                Work(target_id, held.requests, int(held.token_layers), held.as_first)
                for target_id, held in item.held_by_id.items()
            ]
            data = encoder.encode(PeerSum(each, now - item.at, work))
            if len(data) > DATAGRAM_BYTES:
                log_event("sum.too_long", zone=each, bytes=len(data))
                continue
            await self._send(sock, data, near)
            if each == zone and self._round % SUMS_EVERY == 0:
                await self._send(sock, data, self._far_watchers())

    async def _send_news(self, sock) -> None:
        """Pass on what the store told, to every host of the zone."""
        while True:
            await trio.sleep(NEWS_PERIOD_S)
            if not self._view.news:
                continue
            items, self._view.news = self._view.news, []
            now = self._view.clock.now()
            near = [peer for peer in self._near() if self._present(peer, now)]
            for datagram in news_datagrams(items):
                await self._send(sock, datagram, near)

    async def _send(self, sock, data: bytes, peers: list[_Peer]) -> None:
        for peer in peers:
            try:
                await sock.sendto(data, peer.address)
                self.sent_bytes += len(data)
            except OSError as problem:
                log_event("peer.unreachable", peer=peer.address[0], detail=str(problem))

    def _status(self) -> bytes:
        now = self._view.clock.now()
        age_s = self._view.freshness.age_s(now)
        silent_s = self._view.freshness.silent_s(now)
        list_age_s = now - self._view.targets_confirmed_at
        work = [
            Work(target_id, held.requests, int(held.token_layers), held.as_first)
            for target_id, held in self._view.load.own_by_id.items()
        ]
        return encoder.encode(
            PeerStatus(
                self._host_id,
                self._view.zone,
                self._address,
                work,
                self._view.directory.leaving_incarnations(),
                self._view.directory.lost_incarnations(now),
                self._duties(),
                now,
                self._version(),
                age_s if math.isfinite(age_s) else -1.0,
                silent_s if math.isfinite(silent_s) else -1.0,
                self._echoes(now),
                [
                    Use(service, use.firsts, use.repeats)
                    for service, use in self._view.retry_use().items()
                ],
                [
                    LinkShare(zone, other, round(share, 3))
                    for (zone, other), share in self._view.links.own_shares(now).items()
                ],
                self._view.watch_duty.on_duty,
                self._view.directory.digest(),
                list_age_s if math.isfinite(list_age_s) else -1.0,
                [
                    duty
                    for duty, heard_at in self._duty_heard_at.items()
                    if now - heard_at < PASS_DUTY_S
                ],
            )
        )

    def _echoes(self, now: float) -> list[Echo]:
        """Return the hosts heard lately; past a datagram's room, the last ones."""
        heard = [
            (peer.heard_at, host_id, peer.sent_at)
            for host_id, peer in self._peer_by_id.items()
            if self._alive(peer, now)
        ]
        if len(heard) > MOST_ECHOES:
            heard = sorted(heard, reverse=True)[:MOST_ECHOES]
        return [Echo(host_id, sent_at) for _, host_id, sent_at in heard]

    def _version(self) -> int:
        table = self._view.table
        return table.config.version if table else 0

    def _far_watchers(self) -> list[_Peer]:
        """Return the hosts of other zones that follow the store, or likely do."""
        ids_by_zone: dict[str, list[str]] = {}
        for host_id, peer in self._peer_by_id.items():
            if peer.zone != self._view.zone:
                ids_by_zone.setdefault(peer.zone, []).append(host_id)
        likely = {
            host_id
            for ids in ids_by_zone.values()
            for host_id in sorted(ids)[:WATCHERS_PER_ZONE]
        }
        return [
            peer
            for host_id, peer in self._peer_by_id.items()
            if peer.zone != self._view.zone and (peer.watches or host_id in likely)
        ]

    def _near(self) -> list[_Peer]:
        return [
            peer for peer in self._peer_by_id.values() if peer.zone == self._view.zone
        ]

    def _recipients(self) -> list[_Peer]:
        """Return who hears this status; hosts that are silent, only now and then."""
        now = self._view.clock.now()
        peers = list(self._peer_by_id.values())
        near = self._near()
        recipients = [
            peer for peer in near if self._present(peer, now) or self._round % 8 == 0
        ]
        if len(recipients) > ZONE_FANOUT:
            start = self._round * ZONE_FANOUT % len(recipients)
            in_turn = recipients[start:] + recipients[:start]
            # A watcher's word counts from when it heard this host, so it always does.
            recipients = in_turn[:ZONE_FANOUT] + [
                peer for peer in in_turn[ZONE_FANOUT:] if peer.watches
            ]
        if self._round % REMOTE_ZONE_EVERY == 0:
            far = [peer for peer in peers if peer.zone != self._view.zone]
            recipients += self._chance.sample(far, min(REMOTE_ZONE_FANOUT, len(far)))
        elif self._duties():
            # Every host that sees an empty target would ask the store who has it.
            recipients += self._far_watchers()
        return recipients

    def _alive(self, peer: _Peer, now: float) -> bool:
        return now - peer.heard_at < ALIVE_S

    def _present(self, peer: _Peer, now: float) -> bool:
        """Return whether a host lives, or was found too lately to be heard.

        Hosts that start together would else be strangers, who get every eighth
        status and no news, for their first two seconds.
        """
        return now - max(peer.heard_at, peer.found_at) < ALIVE_S

    async def _receive(self, sock) -> None:
        while True:
            try:
                data, _ = await sock.recvfrom(DATAGRAM_BYTES)
            except OSError as problem:
                # A host without a listener answers a datagram with an error here.
                log_event("peer.error", detail=str(problem))
                continue
            try:
                match decoder.decode(data):
                    case PeerNews(items):
                        self._take_news(items)
                    case PeerSum() as told:
                        self._take_sum(told)
                    case PeerStatus() as status:
                        self._take(status, _split(status.address))
            except (msgspec.DecodeError, ValueError):
                self.malformed += 1

    def _take_news(self, items: list[NewsItem]) -> None:
        self._view.hear_news(
            [TargetNews(item.target_id, item.revision, item.spec) for item in items]
        )

    def _take_sum(self, told: PeerSum) -> None:
        held_by_id = {
            item.target_id: TargetLoad(item.requests, item.token_layers, item.as_first)
            for item in told.work
        }
        at = self._view.clock.now() - max(0.0, told.age_s)
        self._view.load.take_sum(told.zone, ZoneSum(at, held_by_id))

    def _take(self, status: PeerStatus, address: tuple[str, int]) -> None:
        if status.host_id == self._host_id:
            return
        now = self._view.clock.now()
        peer = self._peer_by_id.get(status.host_id)
        if peer is None or peer.address != address:
            peer = self._peer_by_id[status.host_id] = _Peer(address, status.zone, now)
            log_event("peer.joined", peer=status.host_id, zone=status.zone)
            self._count()
        peer.heard_at = now
        peer.sent_at = status.sent_at
        peer.store_silent_s = math.inf
        if status.store_silent_s >= 0:
            peer.store_silent_s = status.store_silent_s
        peer.watches = status.watches
        if status.config_age_s >= 0:
            self._merge_freshness(status)
        duty = self._view.watch_duty
        duty.newest_version = max(duty.newest_version, status.config_version)
        if status.watches:
            self._take_list_word(status, now)
        self._view.peers.use_by_service_by_host[status.host_id] = {
            use.service: RetryUse(use.firsts, use.repeats) for use in status.uses
        }
        self._view.links.report_remote(
            status.host_id,
            {pair_of(item.zone, item.other): item.share for item in status.links},
        )
        held_by_id = {
            item.target_id: TargetLoad(item.requests, item.token_layers, item.as_first)
            for item in status.work
        }
        self._view.load.report_remote(status.host_id, held_by_id, now, status.zone)
        for incarnation in status.leaving:
            self._view.directory.mark_leaving(incarnation)
        if len(status.lost) <= MOST_REPORTED_LOST:
            for target_id, started_ms in status.lost:
                self._merge_lost(status.host_id, target_id, started_ms)
        for duty in status.duties:
            self._duty_heard_at[duty] = now
        for duty in (*status.duties, *status.passed_duties):
            self._view.duty_reported_at[duty] = now

    def _take_list_word(self, status: PeerStatus, now: float) -> None:
        """Take a watcher's word on its list, counted from this host's own question.

        A host that slept finds old words in its socket: they echo what it sent
        before, and would have it use for seconds a list that has changed since.
        """
        sent_at = self._echoed_at(status, now)
        if sent_at is None or status.targets_age_s < 0:
            return
        same = status.targets_digest == self._view.directory.digest()
        age_s = status.targets_age_s + now - sent_at
        self._view.watch_duty.told(same, age_s, now)

    def _echoed_at(self, status: PeerStatus, now: float) -> float | None:
        """Return when this host sent what another had heard last.

        An echo of what an earlier process of this host sent does not count: after a
        loss of power the clock may have begun anew, and the echo's time lie ahead.
        """
        for echo in status.echoes:
            if echo.host_id == self._host_id:
                return echo.sent_at if self._began_at <= echo.sent_at <= now else None
        return None

    def _merge_freshness(self, status: PeerStatus) -> None:
        """Take another host's confirmation that the version in force is the newest."""
        sent_at = self._echoed_at(status, self._view.clock.now())
        if sent_at is None or not self._version():
            return
        confirmation = PeerConfirmation(
            status.config_version, status.config_age_s, sent_at
        )
        confirmed_at = confirmed_by_peer_at(confirmation, self._version())
        if confirmed_at is not None:
            self._view.freshness.confirm_by_peer(confirmed_at)

    def _sum_up(self) -> None:
        """Note how many hosts are heard, and how fresh the freshest is."""
        now = self._view.clock.now()
        view_of_peers = self._view.peers
        alive = {
            host_id: peer
            for host_id, peer in self._peer_by_id.items()
            if self._alive(peer, now)
        }
        self._count()
        self._assign_duty(now)
        view_of_peers.heard = len(alive)
        view_of_peers.ever_heard = view_of_peers.ever_heard or bool(alive)
        view_of_peers.freshest_s = min(
            (peer.silent_s(now) for peer in alive.values()), default=math.inf
        )
        for host_id in list(view_of_peers.use_by_service_by_host):
            if host_id not in alive:
                del view_of_peers.use_by_service_by_host[host_id]
                self._view.links.forget(host_id)

    def _assign_duty(self, now: float) -> None:
        """Share the duty among the hosts of the zone."""
        near = [
            ZoneHost(host_id, peer.watches, peer.silent_s(now))
            for host_id, peer in self._peer_by_id.items()
            if peer.zone == self._view.zone and self._present(peer, now)
        ]
        if self._view.watch_duty.assign(self._host_id, near):
            log_event(
                "watch.duty",
                on_duty=self._view.watch_duty.on_duty,
                zone_hosts=len(near) + 1,
            )

    def _merge_lost(self, host_id: str, target_id: str, started_ms: int) -> None:
        """Ask a target that another host found lost before it is used again."""
        directory, now = self._view.directory, self._view.clock.now()
        record = directory.find(target_id)
        if record is None or record.started_ms != started_ms:
            return
        if not directory.suspected(target_id, now):
            directory.doubt(target_id, now)
            log_event(
                "target.reported_lost",
                target=target_id,
                by=host_id,
                directory_version=directory.version,
            )

    def _count(self) -> None:
        now = self._view.clock.now()
        self._view.hosts = 1 + sum(
            now - max(peer.heard_at, peer.found_at) < COUNTED_S
            for peer in self._peer_by_id.values()
        )


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"{address!r} is no address")
    return host, int(port)
