"""What entry hosts tell each other: work in flight, lost and leaving targets, duties.

In zones of many hosts a few follow the store and tell the others what it says.

Datagrams that are lost cost nothing: each one holds the whole of what changes, and
the next follows in a fraction of a second.
"""

import math
import random
from collections import deque
from collections.abc import Iterable

import msgspec
import trio

from radishfield.forwarding._crash_gossip import CrashGossip
from radishfield.forwarding._datagrams import DatagramSocket
from radishfield.forwarding._peer_amounts import (
    held_by_id,
    link_shares_of,
    share_by_pair,
    work_of,
)
from radishfield.forwarding._peer_finder import PeerFinder, split_peer_address
from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    Echo,
    Pace,
    PeerConfig,
    PeerCrashes,
    PeerNews,
    PeerStatus,
    PeerSum,
    Use,
    config_datagram,
    decoder,
    encoder,
    news_datagrams,
)
from radishfield.forwarding._peers import Peer, PeerBook
from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryUse
from radishfield.platform import ObjectStore
from radishfield.routing import (
    Pair,
    PeerConfirmation,
    ZoneSum,
    confirmed_by_peer_at,
)
from radishfield.telemetry import DeferredTelemetry, log_event

GOSSIP_PERIOD_S = 0.25
"""Between two statuses a host starts one or two requests; later, hosts of a zone
would crowd the same target."""
NEWS_PERIOD_S = 0.05
"""Pause in which news of targets gathers; they mostly come by tens."""
SUMS_EVERY = 2
"""Watchers of other zones hear a zone's sum with each second status."""
PASS_DUTY_S = 1.0
"""A duty is passed on for this long after its holder was heard: half of a lease."""
MOST_REPORTED_LOST = 4
"""A host that has lost more targets than this at once is itself the one that is cut
off; believed, its neighbours would leave out what they reach."""
MOST_LIST_WORDS = 8
"""Words of watchers that are kept: those of a second and a half."""
MOST_PACES = 40
"""Slow targets that are told, some 25 bytes each; more of them at a time are a matter
of the fleet, which no path avoids."""
MOST_ECHOES = 120
"""Some 30 bytes each: half of a datagram.  A host that is not echoed confirms its
view with the store."""


class _ListWord(msgspec.Struct, frozen=True):
    """A watcher's word on its list, and since when that had been confirmed."""

    digest: int
    age_s: float
    heard_at: float


class Gossip:
    """Tells the other hosts, and hears them, over UDP."""

    __slots__ = (
        "_address",
        "_began_at",
        "_book",
        "_chance",
        "_closed_links",
        "_crashes",
        "_duties",
        "_duty_heard_at",
        "_finder",
        "_host_id",
        "_list_words",
        "_round",
        "_socket",
        "_view",
        "malformed",
    )

    def __init__(
        self, host_id: str, address: str, store: ObjectStore, view: RouterView, duties
    ):
        self._host_id = host_id
        self._address = address
        self._view = view
        self._duties = duties
        self._duty_heard_at: dict[str, float] = {}
        self._chance = random.Random()
        self._book = PeerBook(view.zone, self._chance)
        self._finder = PeerFinder(host_id, address, store, view, self._book)
        self._crashes = CrashGossip(host_id, view, self._book, self._send)
        self._closed_links: set[Pair] = set()
        self._list_words: deque[_ListWord] = deque(maxlen=MOST_LIST_WORDS)
        self._round = 0
        self._began_at = view.clock.now()
        self._socket: DatagramSocket | None = None
        self.malformed = 0

    def watch_counters(self, telemetry: DeferredTelemetry) -> None:
        """Export what is counted here; a datagram that can't be read leaves no line."""
        telemetry.watch(
            "peer_bytes_sent",
            "Bytes to other hosts.",
            lambda: self._socket.sent_bytes if self._socket else 0,
        )
        telemetry.watch(
            "peer_dropped",
            "Datagrams to other hosts that found no room in this host's buffer.",
            lambda: self._socket.dropped if self._socket else 0,
        )
        telemetry.watch(
            "peer_malformed",
            "Datagrams that could not be read.",
            lambda: self.malformed,
        )

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Talk until cancelled."""
        with DatagramSocket(self._address, DATAGRAM_BYTES) as self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._send_statuses)
                nursery.start_soon(self._send_news)
                nursery.start_soon(self._send_config)
                nursery.start_soon(self._crashes.tell_news)
                nursery.start_soon(self._finder.find)
                task_status.started()

    async def _send_statuses(self) -> None:
        while True:
            await trio.sleep(GOSSIP_PERIOD_S * self._chance.uniform(0.9, 1.1))
            self._round += 1
            self._view.load.expire_remote(self._view.clock.now())
            self._sum_up()
            self._weigh_list_words(self._view.clock.now())
            status = self._status()
            recipients = self._recipients()
            self._view.load.told_own(self._view.clock.now())
            self._view.links.told_own(self._view.clock.now())
            self._send(status, recipients)
            if self._view.watch_duty.tells_others:
                self._send_sums(recipients)
            self._view.load.add_up(self._view.zone, self._view.clock.now())
            self._view.links.advance(self._view.clock.now(), self._view.zone)
            self._log_links(self._view.clock.now())

    def _log_links(self, now: float) -> None:
        """Log which links were closed to prompts, or opened, since the last look."""
        links = self._view.links
        shares = links.shares(now, self._view.zone)
        closed = links.full(shares)
        for pair in sorted(closed ^ self._closed_links):
            log_event(
                "link.closed" if pair in closed else "link.open",
                zone=pair[0],
                other=pair[1],
                share=round(shares.get(pair, 0.0), 2),
                backlog_s=round(links.backlog_s(pair), 2),
            )
        self._closed_links = closed

    def _send_sums(self, recipients: list[Peer]) -> None:
        """Add up the work of the zone, and tell it with that of other zones."""
        load, links = self._view.load, self._view.links
        now, zone = self._view.clock.now(), self._view.zone
        hosts = self._book.near()
        load.sums.take(zone, ZoneSum(now, load.sum_of(hosts)))
        links.sums.take(zone, ZoneSum(now, links.sum_of(hosts, now)))
        near = [peer for peer in recipients if peer.zone == zone]
        link_sums = links.sums.fresh(now)
        for each, item in load.sums.fresh(now).items():
            shares = link_sums[each].by_key if each in link_sums else {}
            work = work_of(item.by_key)
            told = PeerSum(
                each, now - item.at, work, link_shares_of(shares), self._paces(now)
            )
            data = encoder.encode(told)
            if len(data) > DATAGRAM_BYTES:
                log_event("sum.too_long", zone=each, bytes=len(data))
                continue
            self._send(data, near)
            if each == zone and self._round % SUMS_EVERY == 0:
                self._send(data, self._book.far_watchers())

    async def _send_news(self) -> None:
        """Pass on what the store told, to every host of the zone."""
        while True:
            await self._view.news.wait()
            await trio.sleep(NEWS_PERIOD_S)
            items = self._view.news.take()
            near = self._book.present_near(self._view.clock.now())
            for datagram in news_datagrams(items):
                self._send(datagram, near)

    async def _send_config(self) -> None:
        """Pass on a new configuration, so that forty hosts need not read it."""
        while True:
            await self._view.config_news.wait()
            item = self._view.config_news.take()[-1]
            value = item.value
            data = config_datagram(item.version, value.revision, value.spec)
            if data is not None:
                self._send(data, self._book.present_near(self._view.clock.now()))

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        self._socket.send(data, [peer.address for peer in peers])

    def _status(self) -> bytes:
        now = self._view.clock.now()
        return encoder.encode(
            PeerStatus(
                self._host_id,
                self._view.zone,
                self._address,
                work_of(self._view.load.own_by_id),
                self._view.directory.leaving_incarnations(),
                self._view.directory.lost_incarnations(now),
                self._duties(),
                now,
                self._version(),
                _or_negative(self._view.freshness.age_s(now)),
                _or_negative(self._view.freshness.silent_s(now)),
                self._echoes(now),
                [
                    Use(service, use.firsts, use.repeats)
                    for service, use in self._view.retry_use().items()
                ],
                link_shares_of(self._view.links.own_shares(now)),
                self._view.watch_duty.on_duty,
                self._view.directory.digest(),
                _or_negative(now - self._view.targets_confirmed_at),
                [
                    duty
                    for duty, heard_at in self._duty_heard_at.items()
                    if now - heard_at < PASS_DUTY_S
                ],
                self._view.directory.answered_lately(now),
                self._paces(now),
                self._view.crashes.book.checksum(),
            )
        )

    def _echoes(self, now: float) -> list[Echo]:
        """Return the hosts heard lately; past a datagram's room, the last ones."""
        heard = [
            (peer.heard_at, host_id, peer.sent_at)
            for host_id, peer in self._book.alive(now).items()
        ]
        if len(heard) > MOST_ECHOES:
            heard = sorted(heard, reverse=True)[:MOST_ECHOES]
        return [Echo(host_id, sent_at) for _, host_id, sent_at in heard]

    def _paces(self, now: float) -> list[Pace]:
        return [
            Pace(target_id, round(pace, 2), round(age_s, 2))
            for target_id, pace, age_s in self._view.paces.known(now)
        ][:MOST_PACES]

    def _take_paces(self, paces: list[Pace]) -> None:
        now = self._view.clock.now()
        for item in paces:
            self._view.paces.note(item.target_id, item.pace, now - max(0.0, item.age_s))

    def _version(self) -> int:
        table = self._view.table
        return table.config.version if table else 0

    def _recipients(self) -> list[Peer]:
        now = self._view.clock.now()
        return self._book.recipients(self._round, now, bool(self._duties()))

    async def _receive(self) -> None:
        while True:
            for data in await self._socket.receive():
                self._hear(data)

    def _hear(self, data: bytes) -> None:
        try:
            match decoder.decode(data):
                case PeerNews(items):
                    self._view.hear_news(items)
                case PeerConfig() as message:
                    self._view.hear_config(message)
                case PeerCrashes() as message:
                    self._crashes.hear(message)
                case PeerSum() as told:
                    self._take_sum(told)
                case PeerStatus() as status:
                    self._take(status, split_peer_address(status.address))
        except (msgspec.DecodeError, ValueError):
            self.malformed += 1

    def _take_sum(self, told: PeerSum) -> None:
        at = self._view.clock.now() - max(0.0, told.age_s)
        self._view.load.sums.take(told.zone, ZoneSum(at, held_by_id(told.work)))
        self._view.links.sums.take(told.zone, ZoneSum(at, share_by_pair(told.links)))
        self._take_paces(told.paces)

    def _take(self, status: PeerStatus, address: tuple[str, int]) -> None:
        if status.host_id == self._host_id:
            return
        now = self._view.clock.now()
        peer = self._book.peer_by_id.get(status.host_id)
        if peer is None or peer.address != address:
            peer = Peer(address, status.zone, now)
            self._book.peer_by_id[status.host_id] = peer
            log_event("peer.joined", peer=status.host_id, zone=status.zone)
            self._view.hosts = self._book.counted(now)
        peer.heard_at = now
        peer.sent_at = status.sent_at
        peer.store_silent_s = math.inf
        if status.store_silent_s >= 0:
            peer.store_silent_s = status.store_silent_s
        peer.watches = status.watches
        if self._view.watch_duty.heard_version(status.config_version, now):
            self._view.wake_followers()
        echoed_at = self._echoed_at(status, now)
        if echoed_at is not None:
            self._merge_freshness(status, echoed_at)
            self._take_list_word(status, echoed_at, now)
        self._view.peers.use_by_service_by_host[status.host_id] = {
            use.service: RetryUse(use.firsts, use.repeats) for use in status.uses
        }
        self._view.links.report_remote(
            status.host_id, share_by_pair(status.links), status.zone
        )
        self._view.load.report_remote(
            status.host_id, held_by_id(status.work), now, status.zone
        )
        self._take_paces(status.paces)
        self._crashes.compare(status.host_id, peer, status.crashes_checksum)
        for incarnation in status.leaving:
            self._view.directory.mark_leaving(incarnation)
        if len(status.lost) <= MOST_REPORTED_LOST:
            for target_id, started_ms in status.lost:
                self._merge_lost(status.host_id, target_id, started_ms)
        if status.zone == self._view.zone:
            for target_id, started_ms in status.answered:
                self._merge_answered(target_id, started_ms, now)
        for duty in status.duties:
            self._duty_heard_at[duty] = now
        for duty in (*status.duties, *status.passed_duties):
            self._view.duty_reported_at[duty] = now

    def _take_list_word(self, status: PeerStatus, echoed_at: float, now: float) -> None:
        """Take a watcher's word on its list, counted from this host's own question.

        A host that slept finds old words in its socket: they echo what it sent
        before, and would have it use for seconds a list that has changed since.
        """
        if not status.watches or status.targets_age_s < 0:
            return
        age_s = status.targets_age_s + now - echoed_at
        self._list_words.append(_ListWord(status.targets_digest, age_s, now))
        self._weigh_list_words(now)

    def _weigh_list_words(self, now: float) -> None:
        """Take the words on lists that this host has, or has had, by now.

        News of a change often comes after the word of a watcher that knows it.
        """
        for word in list(self._list_words):
            if self._view.directory.has_had(word.digest):
                self._list_words.remove(word)
                age_s = word.age_s + now - word.heard_at
                self._view.watch_duty.told(True, age_s, word.heard_at)

    def _echoed_at(self, status: PeerStatus, now: float) -> float | None:
        """Return when this host sent what another had heard last.

        An echo of what an earlier process of this host sent does not count: after a
        loss of power the clock may have begun anew, and the echo's time lie ahead.
        """
        for echo in status.echoes:
            if echo.host_id == self._host_id:
                return echo.sent_at if self._began_at <= echo.sent_at <= now else None
        return None

    def _merge_freshness(self, status: PeerStatus, echoed_at: float) -> None:
        """Take another host's confirmation that the version in force is the newest."""
        if status.config_age_s < 0 or not self._version():
            return
        confirmation = PeerConfirmation(
            status.config_version, status.config_age_s, echoed_at
        )
        confirmed_at = confirmed_by_peer_at(confirmation, self._version())
        if confirmed_at is not None:
            self._view.freshness.confirm_by_peer(confirmed_at)

    def _sum_up(self) -> None:
        """Note how many hosts are heard, and how fresh the freshest is."""
        now = self._view.clock.now()
        view_of_peers = self._view.peers
        alive = self._book.alive(now)
        self._view.hosts = self._book.counted(now)
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
        near = self._book.zone_hosts(now)
        if self._view.watch_duty.assign(self._host_id, near):
            self._view.wake_followers()
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

    def _merge_answered(self, target_id: str, started_ms: int, now: float) -> None:
        record = self._view.directory.find(target_id)
        if record is not None and record.started_ms == started_ms:
            self._view.directory.answered_elsewhere(target_id, now)


def _or_negative(age_s: float) -> float:
    """Return an age as it is told: negative where nothing was confirmed yet."""
    return age_s if math.isfinite(age_s) else -1.0
