"""Exchanges the limits that targets name, and the tokens for them, with other hosts."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from radishfield.core import sleep_to_tick
from radishfield.forwarding._peer_messages import (
    PeerRateLimits,
    PeerTokenGrant,
    PeerTokenRequest,
    TargetRateLimit,
    encoder,
)
from radishfield.forwarding._peers import Peer, PeerBook
from radishfield.forwarding._view import RouterView
from radishfield.routing import RateLimit, ZoneHosts
from radishfield.telemetry import log_event

ASK_INTERVAL_S = 0.1
"""Pause between two requests for a token: a request that waits for one is answered
within two batches of datagrams, some hundredths of a second."""
REMOTE_ASK_INTERVAL_S = 1.0
"""The same for the issuers of other zones: traffic between zones is paid for."""
MAX_LIMITS = 100
"""Limits in a message, some 50 bytes each, so that it fits a datagram."""
SUSPENDED_S = 1.0
"""Pause between two statuses of this host that shows a suspension.  The datagrams in
its socket are old then, and an end of a limit that they report may be over."""

Send = Callable[[bytes, Iterable[Peer]], None]


class LimitGossip:
    """Reports limits, asks issuers for tokens and answers those who ask this host."""

    __slots__ = (
        "_book",
        "_host_id",
        "_remote_asked_at",
        "_reported_at",
        "_resumed_at",
        "_send",
        "_view",
    )

    def __init__(self, host_id: str, view: RouterView, book: PeerBook, send: Send):
        self._book = book
        self._host_id = host_id
        self._remote_asked_at = 0.0
        self._reported_at = view.clock.now()
        self._resumed_at = self._reported_at - SUSPENDED_S
        self._send = send
        self._view = view

    def report(self, recipients: list[Peer]) -> None:
        """Report the known limits with a status, and note which hosts take part."""
        now, view = self._view.clock.now(), self._view
        if now - self._reported_at > SUSPENDED_S:
            self._resumed_at = now
        self._reported_at = now
        view.limits.update_hosts(self._hosts(now), now)
        view.limits.keep_only(view.directory.all_records())
        limits = [_encode(limit, now) for limit in view.limits.known(now)[:MAX_LIMITS]]
        if limits:
            self._send(
                encoder.encode(PeerRateLimits(self._host_id, limits)), recipients
            )

    async def ask(self) -> None:
        """Ask for the tokens that this host's requests lack, until cancelled."""
        while True:
            await self._view.boundary.complete("limits.ask", "", self._ask_once)

    async def _ask_once(self) -> None:
        await sleep_to_tick(ASK_INTERVAL_S)
        now = self._view.clock.now()
        wanted = self._view.limits.wanted(now)[:MAX_LIMITS]
        if wanted:
            self._view.limits.asked += len(wanted)
            self._ask_issuers(wanted, now)

    def _ask_issuers(self, wanted: list[RateLimit], now: float) -> None:
        remote = now - self._remote_asked_at >= REMOTE_ASK_INTERVAL_S
        if remote:
            self._remote_asked_at = now
        limits_by_issuer: dict[str, list[TargetRateLimit]] = defaultdict(list)
        for limit in wanted:
            issuer_id = self._issuer_to_ask(limit, remote)
            if issuer_id is not None:
                limits_by_issuer[issuer_id].append(_encode(limit, now))
        for issuer_id, limits in limits_by_issuer.items():
            # This host is no peer of itself: as the issuer it takes its own tokens.
            peer = self._book.peer_by_id.get(issuer_id)
            if peer is not None:
                message = PeerTokenRequest(self._host_id, self._view.zone, now, limits)
                self._send(encoder.encode(message), [peer])

    def _issuer_to_ask(self, limit: RateLimit, remote: bool) -> str | None:
        """Return the host to ask for a token: now and then one of another zone.

        The hosts there may have fewer requests for the target than their share
        allows.  Only one is asked: if two answered, one of the tokens would expire.
        """
        limits, target_id = self._view.limits, limit.target_id
        zones = limits.hosts.issuing_zones(target_id, limit.per_s)
        others = [zone for zone in zones if zone != self._view.zone]
        if others and (remote or len(others) == len(zones)):
            return limits.issuer_id(target_id, self._view.rng.choice(others))
        return limits.own_issuer_id(target_id)

    def handle_limits(self, message: PeerRateLimits) -> None:
        """Apply the limits that another host knows."""
        self._learn(message.limits, message.host_id)

    def handle_request(self, message: PeerTokenRequest) -> None:
        """Give the tokens that another host asks for, as far as there are any."""
        self._learn(message.limits, message.host_id)
        peer = self._book.peer_by_id.get(message.host_id)
        if peer is None:
            return
        now = self._view.clock.now()
        granted = [
            limit.target_id
            for limit in message.limits
            if self._view.limits.issue(limit.target_id, message.zone, now)
        ]
        if granted:
            grant = PeerTokenGrant(self._host_id, message.asked_at, granted)
            self._send(encoder.encode(grant), [peer])

    def handle_grant(self, message: PeerTokenGrant) -> None:
        """Keep the tokens that an issuer gave, and wake the requests that wait."""
        now = self._view.clock.now()
        kept = [
            self._view.limits.receive(target_id, message.asked_at, now)
            for target_id in message.target_ids
        ]
        if any(kept):
            self._view.notify_capacity_freed()

    def _learn(self, limits: list[TargetRateLimit], host_id: str) -> None:
        now = self._view.clock.now()
        resumed = (
            now - self._reported_at > SUSPENDED_S
            or now - self._resumed_at < SUSPENDED_S
        )
        for item in limits:
            record = self._view.directory.find(item.target_id)
            if record is None or record.started_ms != item.started_ms:
                continue
            per_s = None if item.per_s < 0 else item.per_s
            if per_s is None and resumed:
                continue
            named_at = now - max(0.0, item.age_s)
            limit = RateLimit(
                item.target_id, item.started_ms, per_s, named_at, item.by_report
            )
            if self._view.limits.learn(limit, now):
                log_event(
                    "target.limit", target=item.target_id, per_s=per_s, by=host_id
                )

    def _hosts(self, now: float) -> ZoneHosts:
        ids_by_zone: dict[str, set[str]] = {self._view.zone: {self._host_id}}
        for host_id, peer in self._book.counted(now).items():
            ids_by_zone.setdefault(peer.zone, set()).add(host_id)
        present = self._book.present_own_zone(now)
        return ZoneHosts(
            self._view.zone,
            frozenset([self._host_id, *present]),
            {zone: frozenset(ids) for zone, ids in ids_by_zone.items()},
            self._book.count_hosts(now),
        )


def _encode(limit: RateLimit, now: float) -> TargetRateLimit:
    return TargetRateLimit(
        limit.target_id,
        limit.started_ms,
        -1.0 if limit.per_s is None else limit.per_s,
        round(now - limit.named_at, 3),
        limit.by_report,
    )
