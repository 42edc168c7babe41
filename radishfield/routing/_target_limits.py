"""Keeps the request rates that targets name, for all hosts together.

A target in need names the requests per second that it takes from all hosts.  If each
host kept that rate for itself, nine hosts would send nine times as much.  If each had
an even share, the shares of hosts without requests would lie idle, and with two
hundred hosts a single request of each would exceed the limit at once.  So every
request to such a target needs a token.  In each availability zone one host, the
issuer, gives out the tokens of the zone's share of the rate: to itself, and to the
hosts that ask it when they have a request that could use one.  An issuer that fails
gives out nothing, so the limit is kept whatever it does; another host takes its place
after a pause.

A target tolerates, in any four seconds, one and a half times what its rate allows and
five requests more.  A token is used within `TOKEN_LIFE_S` after it was asked for, and
its request arrives within `MAX_DELIVERY_S`, so four seconds hold the tokens of 5.4::

    (4 s + TOKEN_LIFE_S + MAX_DELIVERY_S) x rate + issuers + BURST_S x rate
        <=  1.5 x 4 s x rate + 5

which holds with ``ISSUERS_S x rate + EXTRA_ISSUERS`` issuers at most.
"""

import math
import zlib
from collections.abc import Iterable, Mapping

import msgspec

from radishfield.routing._types import TargetRecord

TOKEN_LIFE_S = 1.0
"""Time after the request for a token in which it may be used."""
BURST_S = 0.3
"""Time for which an issuer collects tokens beyond the first one while none is asked
for: several times the interval at which hosts ask."""
ISSUERS_S, EXTRA_ISSUERS = 0.25, 4
"""Zones that have an issuer: some for any rate, and one more for each four requests per
second."""
MIN_PER_S = 0.2
"""Rate that is used of a lower limit, also of zero: without any answer nobody would
learn that the limit has ended."""
HANDOVER_S = 1.5
"""Time for which a new issuer gives out nothing: until then the hosts of the zone,
the earlier issuer included, have received each other's statuses."""
WANTED_S = 0.12
"""Time for which a host asks for a token after a request could have used one: a little
more than the pauses between two requests for tokens, and between two checks of a
request that waits.  Tokens for requests that went elsewhere would expire."""
DENIED_S = 1.0
"""Time for which an issuer that lacked a token for its zone gives none to others."""
ENDED_KEPT_S = 10.0
"""Time for which the end of a limit is reported to other hosts."""
MIN_NEWER_S = 0.5
"""Difference from which a report of the same limit counts as newer."""
MIN_RETRY_S, MAX_RETRY_S = 0.2, 10.0
FIRST_CHECK_S = 1.5
"""Time without an answer that names a limit after which its issuers ask the target
whether it still holds.  A target that is only a later stage answers no request."""
MAX_CHECK_SHARE = 0.25
"""Share of the tokens that such checks use of a limit that lasts."""


class RateLimit(msgspec.Struct, frozen=True):
    """The limit of a target's incarnation, as of an answer.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all hosts; None if it is no longer named.
    named_at : float
        When a host received the answer.
    by_report : bool
        A report has named it as well, so that one without it shows its end.
    """

    target_id: str
    started_ms: int
    per_s: float | None
    named_at: float
    by_report: bool = False


class ZoneHosts(msgspec.Struct, frozen=True):
    """The hosts among which tokens are given out.

    Attributes
    ----------
    present_ids : frozenset of str
        Hosts of the own zone that take part, this one included.
    ids_by_zone : dict
        Hosts of every zone that may be alive, for a guess at the issuers there.
    count : int
        Number of all hosts that may be alive.
    """

    zone: str
    present_ids: frozenset[str]
    ids_by_zone: Mapping[str, frozenset[str]] = {}
    count: int = 1

    def share(self, target_id: str, per_s: float) -> float:
        """Return the own zone's share of a rate, if it has an issuer.

        Hosts that may be alive count in full, so the two sides of a partition have
        no more together than the whole rate.
        """
        zones = self.issuing_zones(target_id, per_s)
        sizes = [len(self.ids_by_zone.get(zone, ())) for zone in zones]
        return min(1.0, len(self.present_ids) / max(1, *sizes, sum(sizes)))

    def issuing_zones(self, target_id: str, per_s: float) -> list[str]:
        """Return the zones that have an issuer for a target."""
        zones = sorted(
            {self.zone, *self.ids_by_zone}, key=lambda name: _rank(target_id, name)
        )
        return zones[: int(per_s * ISSUERS_S) + EXTRA_ISSUERS]


class _Bucket(msgspec.Struct):
    """Tokens that this host gives out as the issuer of its zone.

    Attributes
    ----------
    check_due : bool
        The next token is kept for a check.
    checked_at, check_after_s : float
        When the target was last asked whether the limit holds, and the time without an
        answer after which it is asked again.
    """

    issuer_since: float
    filled_at: float
    level: float = 0.0
    denied_at: float = -1e9
    check_due: bool = False
    checked_at: float = -1e9
    check_after_s: float = FIRST_CHECK_S


class TargetLimits(msgspec.Struct):
    """The limits that targets name, and this host's tokens for them.

    Attributes
    ----------
    hosts_changed_at : float
        When the hosts of the zone that are present last changed, or this one started.
    issued, asked : int
        Tokens that this host gave out to others, and asked for.
    """

    own_id: str
    hosts: ZoneHosts
    hosts_changed_at: float
    issued: int = 0
    asked: int = 0
    _limit_by_id: dict[str, RateLimit] = msgspec.field(default_factory=dict)
    _bucket_by_id: dict[str, _Bucket] = msgspec.field(default_factory=dict)
    _expiry_by_id: dict[str, dict[float, float]] = msgspec.field(default_factory=dict)
    _wanted_at_by_id: dict[str, float] = msgspec.field(default_factory=dict)
    _issuer_by_id: dict[str, str | None] = msgspec.field(default_factory=dict)

    @classmethod
    def for_host(
        cls, own_id: str, zone: str, started_at: float = -math.inf
    ) -> "TargetLimits":
        """Return the limits of a host that knows no others yet."""
        return cls(own_id, ZoneHosts(zone, frozenset([own_id])), started_at)

    def note_answer(
        self,
        record: TargetRecord,
        per_s: float | None,
        sent_at: float,
        now: float,
        is_report: bool = False,
    ) -> bool:
        """Apply what an answer names; return whether the limit changed.

        An answer that names no limit ends it only if its request was sent after the
        limit was named: answers on different connections overtake each other.  A report
        ends only a limit that reports name.
        """
        before = self.limit(record)
        if per_s is None:
            if before is None or sent_at <= before.named_at:
                return False
            if is_report and not before.by_report:
                return False
        by_report = is_report or (before is not None and before.by_report)
        limit = RateLimit(record.id, record.started_ms, per_s, now, by_report)
        self._put(limit, now)
        return per_s != (before.per_s if before else None)

    def learn(self, limit: RateLimit, now: float) -> bool:
        """Apply another host's report if it is newer; return whether it changed."""
        before = self._limit_by_id.get(limit.target_id)
        if before is None and limit.per_s is None:
            return False
        if before is not None:
            same = before.per_s == limit.per_s
            # A relayed report seems a little newer than it is.
            newer_s = MIN_NEWER_S if same else 0.0
            if limit.named_at <= before.named_at + newer_s:
                return False
            if before.by_report and before.started_ms == limit.started_ms:
                limit = msgspec.structs.replace(limit, by_report=True)
        self._put(limit, now)
        return before is None or before.per_s != limit.per_s

    def _put(self, limit: RateLimit, now: float) -> None:
        self._refill(limit.target_id, now)
        self._issuer_by_id.pop(limit.target_id, None)
        self._limit_by_id[limit.target_id] = limit
        if limit.per_s is None:
            self._bucket_by_id.pop(limit.target_id, None)
            self._expiry_by_id.pop(limit.target_id, None)
        elif limit.target_id not in self._bucket_by_id:
            bucket = _Bucket(self.hosts_changed_at, now)
            self._bucket_by_id[limit.target_id] = bucket

    def limit(self, record: TargetRecord) -> RateLimit | None:
        """Return the limit that this incarnation of a target names, if any."""
        limit = self._limit_by_id.get(record.id)
        if limit is None or limit.per_s is None:
            return None
        return limit if limit.started_ms == record.started_ms else None

    def known(self, now: float) -> list[RateLimit]:
        """Return the limits, and those that ended lately, to report them."""
        return [
            limit
            for limit in self._limit_by_id.values()
            if limit.per_s is not None or now - limit.named_at < ENDED_KEPT_S
        ]

    def keep_only(self, records: Iterable[TargetRecord]) -> None:
        """Forget the limits of targets and incarnations that are gone."""
        started_by_id = {record.id: record.started_ms for record in records}
        for target_id, limit in list(self._limit_by_id.items()):
            if started_by_id.get(target_id) != limit.started_ms:
                for by_id in (
                    self._limit_by_id,
                    self._bucket_by_id,
                    self._expiry_by_id,
                    self._wanted_at_by_id,
                    self._issuer_by_id,
                ):
                    by_id.pop(target_id, None)

    def update_hosts(self, hosts: ZoneHosts, now: float) -> None:
        """Apply which hosts take part; a new issuer starts without tokens."""
        if hosts == self.hosts:
            return
        for target_id in self._bucket_by_id:
            self._refill(target_id, now)
        before, self.hosts = self.hosts, hosts
        self._issuer_by_id.clear()
        if before.present_ids == hosts.present_ids:
            return
        self.hosts_changed_at = now
        for target_id, bucket in self._bucket_by_id.items():
            if self._issuer(before.present_ids, target_id) != self.own_id:
                bucket.issuer_since, bucket.level = now, 0.0

    def has_room(self, record: TargetRecord, now: float) -> bool:
        """Return whether a request may be sent to a target now.

        If not, the host asks for a token in the time that follows.
        """
        limit = self.limit(record)
        if limit is None or self._tokens(record.id, now):
            return True
        if self._may_issue(limit, now):
            return True
        self._wanted_at_by_id[record.id] = now
        if record.id in self._bucket_by_id:
            self._bucket_by_id[record.id].denied_at = now
        return False

    def take(self, records: Iterable[TargetRecord], now: float) -> bool:
        """Use a token of each limited target; use none if one of them lacks it."""
        limited = [record for record in records if self.limit(record) is not None]
        # The list is built whole, so that a token is asked for of each target.
        if not all([self.has_room(record, now) for record in limited]):
            return False
        for record in limited:
            tokens = self._tokens(record.id, now)
            if tokens:
                del tokens[min(tokens)]
            else:
                self._bucket_by_id[record.id].level -= 1.0
        return True

    def issue(self, target_id: str, zone: str, now: float) -> bool:
        """Give a token to another host; False if there is none for its zone."""
        limit = self._limit_by_id.get(target_id)
        if limit is None or limit.per_s is None:
            return False
        bucket = self._bucket_by_id[target_id]
        if zone != self.hosts.zone and now - bucket.denied_at < DENIED_S:
            return False
        if not self._may_issue(limit, now):
            if zone == self.hosts.zone:
                bucket.denied_at = now
            return False
        bucket.level -= 1.0
        self.issued += 1
        return True

    def due_checks(self, now: float) -> list[str]:
        """Return the targets to be asked whether their limits still hold.

        The next token of each is kept for that.
        """
        due = []
        for target_id, bucket in self._bucket_by_id.items():
            limit = self._limit_by_id[target_id]
            silent_s = now - max(limit.named_at, bucket.checked_at)
            bucket.check_due = (
                silent_s >= bucket.check_after_s
                and self.own_issuer_id(target_id) == self.own_id
            )
            if bucket.check_due:
                due.append(target_id)
        return due

    def take_check(self, record: TargetRecord, now: float) -> bool:
        """Use the token kept for a check; return False if there is none yet."""
        limit, bucket = self.limit(record), self._bucket_by_id.get(record.id)
        if limit is None or bucket is None or not bucket.check_due:
            return False
        bucket.check_due = False
        if not self._may_issue(limit, now):
            bucket.check_due = True
            return False
        bucket.level -= 1.0
        bucket.checked_at = now
        zone_per_s = _used_per_s(limit.per_s) * self.hosts.share(record.id, limit.per_s)
        longest_s = max(FIRST_CHECK_S, 1.0 / (MAX_CHECK_SHARE * zone_per_s))
        bucket.check_after_s = min(longest_s, 2.0 * bucket.check_after_s)
        return True

    def receive(self, target_id: str, asked_at: float, now: float) -> bool:
        """Keep a token that was asked for; return whether it is still valid."""
        limit = self._limit_by_id.get(target_id)
        expires_at = asked_at + TOKEN_LIFE_S
        if limit is None or limit.per_s is None or not asked_at <= now < expires_at:
            return False
        self._expiry_by_id.setdefault(target_id, {})[asked_at] = expires_at
        return True

    def wanted(self, now: float) -> list[RateLimit]:
        """Return the limits of the targets for which this host lacks a token."""
        return [
            self._limit_by_id[target_id]
            for target_id, wanted_at in self._wanted_at_by_id.items()
            if now - wanted_at < WANTED_S
            and target_id in self._bucket_by_id
            and not self._tokens(target_id, now)
        ]

    def own_issuer_id(self, target_id: str) -> str | None:
        """Return the host that gives out a target's tokens in this host's zone."""
        if target_id not in self._issuer_by_id:
            self._issuer_by_id[target_id] = self.issuer_id(target_id, self.hosts.zone)
        return self._issuer_by_id[target_id]

    def issuer_id(self, target_id: str, zone: str) -> str | None:
        """Return the host that gives out a target's tokens in a zone.

        Of another zone it is a guess, since its hosts are seldom heard.
        """
        limit = self._limit_by_id[target_id]
        if zone not in self.hosts.issuing_zones(target_id, limit.per_s or 0.0):
            return None
        ids = self.hosts.ids_by_zone.get(zone, frozenset())
        if zone == self.hosts.zone:
            ids = self.hosts.present_ids
        return self._issuer(ids, target_id) if ids else None

    def token_wait_s(self, records: Iterable[TargetRecord], waiting: int) -> float:
        """Return when this host may expect a token of any of the targets.

        Parameters
        ----------
        waiting : int
            Requests of this host that wait for one as well.
        """
        limits = [self.limit(record) for record in records]
        per_s = sum(_used_per_s(limit.per_s) for limit in limits if limit is not None)
        if not per_s:
            return MIN_RETRY_S
        wait_s = (waiting + 1) * self.hosts.count / per_s
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))

    def _issuer(self, host_ids: Iterable[str], target_id: str) -> str:
        return min(host_ids, key=lambda host_id: _rank(target_id, host_id))

    def _may_issue(self, limit: RateLimit, now: float) -> bool:
        """Return whether this host is the zone's issuer and has a token left."""
        if self.own_issuer_id(limit.target_id) != self.own_id:
            return False
        self._refill(limit.target_id, now)
        bucket = self._bucket_by_id[limit.target_id]
        kept = 1.0 if bucket.check_due else 0.0
        return now - bucket.issuer_since >= HANDOVER_S and bucket.level >= 1.0 + kept

    def _refill(self, target_id: str, now: float) -> None:
        bucket, limit = self._bucket_by_id.get(target_id), self._limit_by_id.get(
            target_id
        )
        if bucket is None or limit is None or limit.per_s is None:
            return
        gained = (now - bucket.filled_at) * _used_per_s(limit.per_s)
        share = self.hosts.share(target_id, limit.per_s)
        level = bucket.level + max(0.0, gained) * share
        max_level = 1.0 + BURST_S * _used_per_s(limit.per_s) * share
        bucket.level, bucket.filled_at = min(max_level, level), now

    def _tokens(self, target_id: str, now: float) -> dict[float, float]:
        """Return the valid tokens of a target: when each expires, by when asked for."""
        expiry_by_asked = self._expiry_by_id.get(target_id, {})
        for asked_at in [at for at, expiry in expiry_by_asked.items() if expiry <= now]:
            del expiry_by_asked[asked_at]
        return expiry_by_asked


def _used_per_s(per_s: float) -> float:
    return max(MIN_PER_S, per_s)


def _rank(target_id: str, name: str) -> int:
    return zlib.crc32(f"{target_id}/{name}".encode())
