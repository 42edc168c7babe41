"""Gossip between entry hosts: work in flight, unreachable and leaving targets, duties.

In zones with many hosts a few follow the store and forward its changes to the others.

Lost datagrams do no harm: each one holds the complete changing state, and the next
follows within a fraction of a second.
"""

import math
import random
from collections import deque
from collections.abc import Iterable

import msgspec
import trio

from radishfield.capacity import fit_demands
from radishfield.core import UNREADABLE_ERRORS
from radishfield.forwarding._crash_gossip import CrashGossip
from radishfield.forwarding._datagrams import DatagramSocket
from radishfield.forwarding._limit_gossip import LimitGossip
from radishfield.forwarding._peer_amounts import (
    decode_link_shares,
    decode_work,
    encode_link_shares,
    encode_work,
)
from radishfield.forwarding._peer_finder import PeerFinder
from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    Echo,
    PeerConfig,
    PeerCrashes,
    PeerListConfirmation,
    PeerRateLimits,
    PeerStatus,
    PeerTargetUpdates,
    PeerTokenGrant,
    PeerTokenRequest,
    PeerZoneTotal,
    RelayOffer,
    TargetSlowdown,
    Use,
    config_datagram,
    decoder,
    encoder,
    update_datagrams,
)
from radishfield.forwarding._peers import Peer, PeerBook
from radishfield.forwarding._view import ConfigUpdate, RouterView
from radishfield.limits import RetryUse
from radishfield.platform import ObjectStore
from radishfield.routing import (
    MIN_EXCLUDED_SHARE,
    Pair,
    PeerConfirmation,
    ZoneTotal,
    confirmed_by_peer_at,
)
from radishfield.telemetry import DeferredTelemetry, log_event
from radishfield.web import split_ip_address

GOSSIP_PERIOD_S = 0.25
"""Interval between statuses, in which a host starts one or two requests.  With a
longer one the hosts of a zone would overload the same target."""
UPDATE_COALESCE_S = 0.05
"""Time for which updates of targets are collected; they mostly come in tens."""
TOTALS_EVERY = 2
"""Watchers of other zones receive a zone's totals with every second status."""
FORWARD_DUTY_S = 1.0
"""Time for which a duty is forwarded after its holder last reported it: half of a
lease."""
OFFER_INTERVAL_S = 1.0
"""Interval in which a host is sent a version of the configuration again."""
ANSWER_INTERVAL_S = 0.5
"""Interval in which the statuses of a host without a confirmed version are answered."""
MAX_REPORTED_UNREACHABLE = 4
"""A host that reports more unreachable targets at once than this is itself partitioned.
If its report were applied, neighbours would exclude targets that they can reach."""
MAX_LIST_CONFIRMATIONS = 24
"""Confirmations by watchers that are kept: those of about one and a half seconds."""
MAX_SLOWDOWNS = 40
"""Maximum number of slow targets in a message, some 25 bytes each.  If more are slow
at once, the whole fleet is affected and no path avoids them."""
MAX_DEMAND_BYTES = 1024
"""Space for callers' demand in a message, an eighth of a datagram.  Without a bound
several services with long names would make messages too long to be received."""
MAX_ECHOES = 120
"""Maximum number of echoes, some 30 bytes each: half of a datagram.  A host that is
not echoed confirms its view with the store."""


class _ListConfirmation(msgspec.Struct, frozen=True):
    """A watcher's digest of its list, and the time for which the store confirmed it."""

    digest: int
    confirmed_at: float


class Gossip:
    """Exchanges state with the other hosts over UDP."""

    __slots__ = (
        "_address",
        "_started_at",
        "_book",
        "_rng",
        "_closed_links",
        "_crashes",
        "_duties",
        "_duty_received_at",
        "_finder",
        "_host_id",
        "_limits",
        "_list_confirmations",
        "_relay_offered",
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
        self._duty_received_at: dict[str, float] = {}
        self._rng = random.Random()
        self._book = PeerBook(view.zone, self._rng)
        self._finder = PeerFinder(host_id, address, store, view, self._book)
        self._crashes = CrashGossip(host_id, view, self._book, self._send)
        self._limits = LimitGossip(host_id, view, self._book, self._send)
        self._closed_links: set[Pair] = set()
        self._list_confirmations: deque[_ListConfirmation] = deque(
            maxlen=MAX_LIST_CONFIRMATIONS
        )
        self._relay_offered = RelayOffer.NONE
        self._round = 0
        self._started_at = view.clock.now()
        view.peers.found_at = math.inf
        view.find_relays = lambda: self._book.relays(view.clock.now())
        self._socket: DatagramSocket | None = None
        self.malformed = 0

    def watch_counters(self, telemetry: DeferredTelemetry) -> None:
        """Export the counters; unreadable datagrams are counted, not logged."""
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
        """Exchange state until cancelled."""
        with DatagramSocket(self._address, DATAGRAM_BYTES) as self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._send_statuses)
                nursery.start_soon(self._send_target_updates)
                nursery.start_soon(self._send_list_confirmations)
                nursery.start_soon(self._send_config)
                nursery.start_soon(self._limits.ask)
                nursery.start_soon(self._crashes.send_new_reports)
                nursery.start_soon(self._finder.run)
                task_status.started()

    async def _send_statuses(self) -> None:
        while True:
            await trio.sleep(GOSSIP_PERIOD_S * self._rng.uniform(0.9, 1.1))
            with self._view.boundary.contain("status.send"):
                self._send_round()

    def _send_round(self) -> None:
        """Update what is known of other hosts, and send them this host's state."""
        self._round += 1
        self._book.begin_round(self._view.clock.now())
        self._view.load.expire_remote(self._view.clock.now())
        self._view.target_links.keep_only(
            {record.address for record in self._view.directory.all_records()}
        )
        self._update_peer_summary()
        self._view.demands.drop_old(self._view.clock.now())
        self._update_failures()
        self._apply_list_confirmations()
        status = self._status()
        recipients = self._recipients()
        if self._withdraws_relay():
            recipients = list(self._book.alive(self._view.clock.now()).values())
        self._view.load.told_own(self._view.clock.now())
        self._view.links.told_own(self._view.clock.now())
        self._send(status, recipients)
        self._limits.report(recipients)
        if self._view.watch_duty.reports_to_zone:
            self._send_zone_totals(recipients)
            self._send_pulse(recipients)
        self._view.load.add_up(self._view.zone, self._view.clock.now())
        self._view.links.advance(self._view.clock.now(), self._view.zone)
        self._log_links(self._view.clock.now())

    def _log_links(self, now: float) -> None:
        """Log the links closed to prompts, or opened, since the last check."""
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

    def _send_pulse(self, recipients: list[Peer]) -> None:
        """Show the hosts of a large zone that get no status now that this one lives.

        A confirmation without echoes confirms nothing.
        """
        addresses = {peer.address for peer in recipients}
        others = [
            peer
            for peer in self._book.present_zone_peers(self._view.clock.now())
            if peer.address not in addresses
        ]
        if others:
            pulse = PeerListConfirmation(self._host_id, 0, 0.0, [])
            self._send(encoder.encode(pulse), others)

    def _send_zone_totals(self, recipients: list[Peer]) -> None:
        """Add up the work of the zone and send it with the totals of other zones."""
        load, links = self._view.load, self._view.links
        now, zone = self._view.clock.now(), self._view.zone
        hosts = self._book.own_zone_peers()
        load.sums.take(zone, ZoneTotal(now, load.sum_of(hosts)))
        links.sums.take(zone, ZoneTotal(now, links.sum_of(hosts, now)))
        demands = self._view.demands
        demands.take_total(
            zone, demands.zone_total(self._view.own_demands(), hosts, now), now
        )
        own_zone = [peer for peer in recipients if peer.zone == zone]
        link_sums = links.sums.fresh(now)
        for summed_zone, total in load.sums.fresh(now).items():
            shares = link_sums[summed_zone].by_key if summed_zone in link_sums else {}
            work = encode_work(total.by_key)
            message = PeerZoneTotal(
                summed_zone,
                now - total.at,
                work,
                encode_link_shares(shares),
                self._slowdowns(now),
                fit_demands(demands.total_of(summed_zone, total.at), MAX_DEMAND_BYTES),
            )
            data = encoder.encode(message)
            if len(data) > DATAGRAM_BYTES:
                # Other hosts know no demand then, but still the work.
                message.demand = []
                data = encoder.encode(message)
            if len(data) > DATAGRAM_BYTES:
                log_event("sum.too_long", zone=summed_zone, bytes=len(data))
                continue
            self._send(data, own_zone)
            if summed_zone == zone and self._round % TOTALS_EVERY == 0:
                self._send(data, self._book.remote_watchers())

    async def _send_target_updates(self) -> None:
        """Forward changes of targets in the store to every host of the zone."""
        while True:
            await self._view.target_updates.wait()
            await trio.sleep(UPDATE_COALESCE_S)
            updates = self._view.target_updates.take()
            with self._view.boundary.contain("updates.send"):
                peers = self._book.present_zone_peers(self._view.clock.now())
                for datagram in update_datagrams(updates):
                    self._send(datagram, peers)

    async def _send_list_confirmations(self) -> None:
        """Report each confirmation of the list at once to every host of the zone.

        Statuses reach the hosts of a large zone in turn.  A list that is confirmed
        only by them would be so old that every host would have to read the store.
        """
        while True:
            await self._view.list_confirmations.wait()
            confirmed_at = self._view.list_confirmations.take()[-1]
            with self._view.boundary.contain("list.send"):
                self._send_list_confirmation(confirmed_at)

    def _send_list_confirmation(self, confirmed_at: float) -> None:
        now = self._view.clock.now()
        message = PeerListConfirmation(
            self._host_id,
            self._view.directory.digest(),
            now - confirmed_at,
            self._echoes(self._book.present_own_zone(now)),
        )
        self._send(encoder.encode(message), self._book.present_zone_peers(now))

    async def _send_config(self) -> None:
        """Forward a new configuration, so that forty hosts need not read it."""
        while True:
            await self._view.config_updates.wait()
            update = self._view.config_updates.take()[-1]
            with self._view.boundary.contain("config.send"):
                self._send_config_update(update)

    def _send_config_update(self, update: ConfigUpdate) -> None:
        value = update.value
        data = config_datagram(update.version, value.position, value.spec)
        if data is not None:
            self._send(data, self._book.present_zone_peers(self._view.clock.now()))

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        self._socket.send(data, [peer.address for peer in peers])

    def _status(self) -> bytes:
        now = self._view.clock.now()
        return encoder.encode(
            PeerStatus(
                self._host_id,
                self._view.zone,
                self._address,
                encode_work(self._view.load.own_by_id),
                self._view.directory.leaving_incarnations(),
                self._unreachable(now),
                self._duties(),
                now,
                self._version(),
                _or_negative(self._view.freshness.age_s(now)),
                _or_negative(self._view.freshness.silent_s(now)),
                self._echoes(self._book.alive(now)),
                [
                    Use(service, use.firsts, use.repeats)
                    for service, use in self._view.retry_use().items()
                ],
                encode_link_shares(self._view.links.own_shares(now)),
                self._view.watch_duty.on_duty,
                self._view.directory.digest(),
                _or_negative(self._view.list_age_s()),
                [
                    duty
                    for duty, received_at in self._duty_received_at.items()
                    if now - received_at < FORWARD_DUTY_S
                ],
                self._view.directory.recently_answered(now),
                self._slowdowns(now),
                self._view.crashes.book.checksum(),
                self._relay_offer(now),
                self._view.shared_failures.own(now),
                self._offered_idle_share(),
                fit_demands(self._view.own_demands(), MAX_DEMAND_BYTES),
                self._view.plain_use(),
                self._view.eras.known,
                self._view.confirmed_era,
            )
        )

    def _unreachable(self, now: float) -> list[tuple[str, int]]:
        """Return the targets that this host found unreachable, to report to others.

        Failures that may be those of its own links are not reported.
        """
        if self._view.target_links.proves_nothing(now):
            return []
        return self._view.directory.unreachable_incarnations(now)

    def _offered_idle_share(self) -> float:
        """Return how much time this host has for callers that others turn away."""
        view, load = self._view, self._view.host_load
        takes_callers = not (view.leaving or view.withdrawal.is_withdrawn)
        if not takes_callers or load.is_short or view.table is None:
            return 0.0
        return round(load.idle_share, 2)

    def _withdraws_relay(self) -> bool:
        """Return whether all hosts have to learn that this one relays no more.

        Hosts of other zones get few statuses, and would ask it in vain for a second.
        """
        before = self._relay_offered
        self._relay_offered = self._relay_offer(self._view.clock.now())
        return self._relay_offered < before

    def _relay_offer(self, now: float) -> RelayOffer:
        if self._view.leaving or not self._view.offers_relay():
            return RelayOffer.NONE
        if self._view.target_links.proves_nothing(now):
            return RelayOffer.CUT_OFF
        return RelayOffer.SOUND

    def _echoes(self, peer_by_id: dict[str, Peer]) -> list[Echo]:
        """Return echoes of hosts; if too many for a datagram, the most recent ones."""
        received = [
            (peer.received_at, host_id, peer.sent_at)
            for host_id, peer in peer_by_id.items()
        ]
        if len(received) > MAX_ECHOES:
            received = sorted(received, reverse=True)[:MAX_ECHOES]
        return [Echo(host_id, sent_at) for _, host_id, sent_at in received]

    def _slowdowns(self, now: float) -> list[TargetSlowdown]:
        return [
            TargetSlowdown(target_id, round(slowdown, 2), round(age_s, 2))
            for target_id, slowdown, age_s in self._view.slowdowns.known(now)
        ][:MAX_SLOWDOWNS]

    def _record_slowdowns(self, slowdowns: list[TargetSlowdown]) -> None:
        now = self._view.clock.now()
        for item in slowdowns:
            self._view.slowdowns.note(
                item.target_id, item.slowdown, now - max(0.0, item.age_s)
            )

    def _version(self) -> int:
        table = self._view.table
        return table.config.version if table else 0

    def _recipients(self) -> list[Peer]:
        now = self._view.clock.now()
        if self._view.lacks_witness():
            # Each one may be the only host that knows a newer version.
            return list(self._book.peer_by_id.values())
        return self._book.recipients(self._round, now, bool(self._duties()))

    async def _receive(self) -> None:
        while True:
            received = await self._view.boundary.complete(
                "peers.receive", "", self._socket.receive
            )
            for data in received:
                self._handle_datagram(data)

    def _handle_datagram(self, data: bytes) -> None:
        with self._view.boundary.contain("peer.message"):
            try:
                self._apply_message(decoder.decode(data))
            except UNREADABLE_ERRORS:
                self.malformed += 1

    def _apply_message(self, message: object) -> None:
        match message:
            case PeerTargetUpdates(items):
                self._view.on_target_updates(items)
                self._apply_list_confirmations()
            case PeerListConfirmation():
                self._apply_list_confirmation(message)
            case PeerConfig():
                self._view.on_config(message)
            case PeerCrashes():
                self._crashes.handle_report(message)
            case PeerRateLimits():
                self._limits.handle_limits(message)
            case PeerTokenRequest():
                self._limits.handle_request(message)
            case PeerTokenGrant():
                self._limits.handle_grant(message)
            case PeerZoneTotal():
                self._apply_zone_total(message)
            case PeerStatus():
                self._apply_status(message, split_ip_address(message.address))

    def _apply_zone_total(self, message: PeerZoneTotal) -> None:
        at = self._view.clock.now() - max(0.0, message.age_s)
        self._view.load.sums.take(
            message.zone, ZoneTotal(at, decode_work(message.work))
        )
        self._view.links.sums.take(
            message.zone, ZoneTotal(at, decode_link_shares(message.links))
        )
        self._view.demands.take_total(message.zone, message.demand, at)
        self._record_slowdowns(message.slowdowns)

    def _apply_status(self, status: PeerStatus, address: tuple[str, int]) -> None:
        if status.host_id == self._host_id:
            return
        now = self._view.clock.now()
        peer = self._book.peer_by_id.get(status.host_id)
        if peer is None or peer.address != address:
            peer = Peer(address, status.zone, now)
            self._book.peer_by_id[status.host_id] = peer
            log_event("peer.joined", peer=status.host_id, zone=status.zone)
            self._view.hosts = self._book.count_hosts(now)
        peer.received_at = now
        peer.sent_at = status.sent_at
        peer.store_silent_s = math.inf
        if status.store_silent_s >= 0:
            peer.store_silent_s = status.store_silent_s
        peer.watches = status.watches
        peer.relay = status.relay
        peer.idle_share = status.idle_share
        self._view.eras.hear(status.store_era, status.host_id)
        if self._view.watch_duty.record_peer_version(status.config_version, now):
            self._view.wake_followers()
        view_of_peers = self._view.peers
        view_of_peers.confirmed_era = max(
            view_of_peers.confirmed_era, status.confirmed_era
        )
        self._offer_config(status.config_version, peer, now)
        self._answer_status(status, peer, now)
        echoed_at = self._echoed_at(status.echoes, now)
        if echoed_at is not None:
            self._merge_freshness(status, echoed_at)
            if status.watches and status.targets_age_s >= 0:
                confirmed_at = echoed_at - status.targets_age_s
                self._add_list_confirmation(status.targets_digest, confirmed_at)
        self._view.peers.use_by_service_by_host[status.host_id] = {
            use.service: RetryUse(use.firsts, use.repeats) for use in status.uses
        }
        self._view.links.report_remote(
            status.host_id, decode_link_shares(status.links), status.zone
        )
        self._view.load.report_remote(
            status.host_id, decode_work(status.work), now, status.zone
        )
        self._view.demands.report_remote(
            status.host_id, status.zone, status.demand, now
        )
        self._view.plain_targets.learn(status.host_id, status.plain_use, now)
        self._record_slowdowns(status.slowdowns)
        self._view.shared_failures.learn(status.host_id, status.failures, now)
        self._crashes.compare(status.host_id, peer, status.crashes_checksum)
        for incarnation in status.leaving:
            if self._view.directory.mark_leaving(incarnation):
                log_event(
                    "target.reported_leaving",
                    target=incarnation[0],
                    by=status.host_id,
                    directory_version=self._view.directory.version,
                )
        if len(status.lost) <= MAX_REPORTED_UNREACHABLE:
            for target_id, started_ms in status.lost:
                self._merge_unreachable(status.host_id, target_id, started_ms)
        if status.zone == self._view.zone:
            for target_id, started_ms in status.answered:
                self._merge_answered(target_id, started_ms, now)
        for duty in status.duties:
            self._duty_received_at[duty] = now
        for duty in (*status.duties, *status.forwarded_duties):
            self._view.duty_reported_at[duty] = now

    def _offer_config(self, version: int, peer: Peer, now: float) -> None:
        """Send the version in force to a host that can't read it from the store.

        A store that came back from a copy has an older one for a moment.
        """
        update = self._view.active_config
        if not self._view.offers_config or update is None or version >= update.version:
            return
        if now - peer.offered_at < OFFER_INTERVAL_S:
            return
        peer.offered_at = now
        data = config_datagram(update.version, update.value.position, update.value.spec)
        if data is not None:
            log_event("config.offered", version=update.version, peer=peer.address[0])
            self._send(data, [peer])

    def _answer_status(self, status: PeerStatus, peer: Peer, now: float) -> None:
        """Tell a host that may have read an older version which one is in force here.

        Hosts of other zones would wait up to a second for the next status.
        """
        confirmed = 0 <= status.config_age_s < self._view.freshness.bound_s
        if confirmed or not self._view.eras.has_returned:
            return
        if status.config_version >= self._version():
            # Hosts that have the same version would answer each other's answers.
            return
        if now - peer.answered_at >= ANSWER_INTERVAL_S:
            peer.answered_at = now
            self._send(self._status(), [peer])

    def _apply_list_confirmation(self, message: PeerListConfirmation) -> None:
        """Date a watcher's confirmation of its list by this host's own status.

        A host that was suspended finds old datagrams in its socket.  They echo what
        it sent before; dated by arrival, they would make it use for seconds a list
        that has changed since.
        """
        peer = self._book.peer_by_id.get(message.host_id)
        if peer is not None:
            peer.confirmed_list_at = self._view.clock.now()
        echoed_at = self._echoed_at(message.echoes, self._view.clock.now())
        if echoed_at is not None:
            confirmed_at = echoed_at - max(0.0, message.age_s)
            self._add_list_confirmation(message.digest, confirmed_at)

    def _add_list_confirmation(self, digest: int, confirmed_at: float) -> None:
        self._list_confirmations.append(_ListConfirmation(digest, confirmed_at))
        self._apply_list_confirmations()

    def _apply_list_confirmations(self) -> None:
        """Apply the confirmations of lists that this host has now or had recently.

        An update often arrives after the confirmation of a watcher that has it.
        """
        for confirmation in list(self._list_confirmations):
            confirmed_at = confirmation.confirmed_at
            if self._view.directory.was_current(confirmation.digest, confirmed_at):
                self._list_confirmations.remove(confirmation)
                self._view.watch_duty.record_list_confirmation(confirmed_at)

    def _echoed_at(self, echoes: list[Echo], now: float) -> float | None:
        """Return when this host sent the status that another received last.

        An echo of a status from an earlier process of this host is ignored: after a
        power loss the clock may have restarted, and the echoed time may lie ahead.
        """
        for echo in echoes:
            if echo.host_id == self._host_id:
                return echo.sent_at if self._started_at <= echo.sent_at <= now else None
        return None

    def _merge_freshness(self, status: PeerStatus, echoed_at: float) -> None:
        """Apply another host's confirmation that the active version is the newest."""
        if status.config_age_s < 0 or not self._version():
            return
        view = self._view
        if view.eras.has_returned and view.watch_duty.newest_version > self._version():
            # The store may have lost the newer version that this host has heard of.
            return
        confirmation = PeerConfirmation(
            status.config_version, status.config_age_s, echoed_at
        )
        confirmed_at = confirmed_by_peer_at(confirmation, self._version())
        if confirmed_at is not None:
            view.freshness.record_confirmation(confirmed_at)
            if status.confirmed_era == view.eras.known:
                view.confirmed_era = status.confirmed_era

    def _update_peer_summary(self) -> None:
        """Record how many hosts are alive, and how recently one reached the store."""
        now = self._view.clock.now()
        view_of_peers = self._view.peers
        alive = self._book.alive(now)
        self._view.hosts = self._book.count_hosts(now)
        self._assign_duty(now)
        view_of_peers.heard = len(alive)
        if not alive:
            view_of_peers.heard_since = math.inf
        elif math.isinf(view_of_peers.heard_since):
            view_of_peers.heard_since = now
        view_of_peers.idle_shares = self._book.idle_shares(now)
        view_of_peers.ever_heard = view_of_peers.ever_heard or bool(alive)
        view_of_peers.freshest_s = min(
            (peer.silent_s(now) for peer in alive.values()), default=math.inf
        )
        for host_id in list(view_of_peers.use_by_service_by_host):
            if host_id not in alive:
                del view_of_peers.use_by_service_by_host[host_id]
                self._view.links.forget(host_id)

    def _update_failures(self) -> None:
        """Apply the failures that all hosts have seen, and log what changes."""
        now, failures = self._view.clock.now(), self._view.failures
        before = failures.elsewhere_by_id
        failures.elsewhere_by_id = self._view.shared_failures.share_by_id(now)
        for target_id, share in failures.elsewhere_by_id.items():
            if share >= MIN_EXCLUDED_SHARE > before.get(target_id, 0.0):
                log_event("target.failing", target=target_id, share=round(share, 2))

    def _assign_duty(self, now: float) -> None:
        """Assign the duty of following the store among the hosts of the zone."""
        others = self._book.zone_hosts(now)
        if self._view.watch_duty.assign(self._host_id, others, now):
            self._view.wake_followers()
            log_event(
                "watch.duty",
                on_duty=self._view.watch_duty.on_duty,
                zone_hosts=len(others) + 1,
            )

    def _merge_unreachable(self, host_id: str, target_id: str, started_ms: int) -> None:
        """Have a target probed before further use if another host can't reach it."""
        directory, now = self._view.directory, self._view.clock.now()
        record = directory.find(target_id)
        if record is None or record.started_ms != started_ms:
            return
        if not directory.suspected(target_id, now):
            directory.exclude_until_probed(target_id, now)
            log_event(
                "target.reported_lost",
                target=target_id,
                by=host_id,
                directory_version=directory.version,
            )

    def _merge_answered(self, target_id: str, started_ms: int, now: float) -> None:
        record = self._view.directory.find(target_id)
        if record is not None and record.started_ms == started_ms:
            self._view.directory.record_answer_elsewhere(target_id, now)


def _or_negative(age_s: float) -> float:
    """Return an age as it is sent: negative if nothing was confirmed yet."""
    return age_s if math.isfinite(age_s) else -1.0
