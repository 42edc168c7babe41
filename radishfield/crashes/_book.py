"""Which requests end the targets that run them, by what all hosts together saw.

Load pattern: one request ends each target that begins to run it, and its caller sends
it again at any host.  A host that counts alone takes each end for a failure of the
target and sends the request on; so do the next attempt and the next host, until no
target is left.  Hosts therefore tell each other which targets ended under which
request, and refuse it once three have.

Two mistakes would make others pay.  What ran beside such a request loses its target as
well: its ends are all ends of the other one too, so they prove nothing.  And a request
that many callers share is in flight at every target that ends for another reason:
where it outlives its start anywhere, it is not what ends them.
"""

import zlib

import msgspec

PROVEN_ENDS = 3
"""Targets that ended under a request, after which it is refused."""

MOST_TRIALS = 5
"""Ends that two requests may share to the last one before both are refused: mostly
one of them is sent elsewhere before, which tells them apart."""

SETTLE_S = 0.3
"""Time in which all hosts have told which requests a target had when it ended."""

OUTLIVED_S = 1.0
"""Time after its first event in which a request ends its target, if it does: those
seen took a tenth of it."""

IMMUNE_S = 10.0
"""Time for which ends don't count under a request that has outlived its start."""

SUSPECTED_S = 60.0
"""Time after which ends are forgotten that prove nothing."""

REFUSED_S = 600.0
"""Time after its last end for which a request is refused.  Targets may have been
mended by then; if not, three more show it."""

MOST_SUSPECTS = 256
MOST_SURVIVORS = 4096
"""Requests of the last `IMMUNE_S` seconds at a busy host, some 100 bytes each."""
MOST_ENDS = 8
"""Ends that are kept of one request."""


class TargetEnd(msgspec.Struct, frozen=True):
    """A target's end under a request.

    Attributes
    ----------
    told_by : str
        Host that sent the request there and found the target ended.
    at : float
        When that was, in seconds of this host's clock.
    """

    target_id: str
    started_ms: int
    told_by: str
    at: float

    @property
    def target(self) -> tuple[str, int]:
        """Return what tells the start of the target that ended from every other."""
        return (self.target_id, self.started_ms)


class ToldEnd(msgspec.Struct, array_like=True):
    """A target's end, as a host tells it ``age_s`` after it."""

    target_id: str
    started_ms: int
    told_by: str
    age_s: float


class CrashReport(msgspec.Struct, array_like=True):
    """What a host knows of one request.

    Attributes
    ----------
    survived_age_s : float
        Seconds since the request outlived its start somewhere; negative where it
        has not.
    """

    digest: str
    ends: list[ToldEnd] = []
    survived_age_s: float = -1.0


class Verdict(msgspec.Struct, frozen=True):
    """Why a request is refused, and until when."""

    ends: tuple[TargetEnd, ...]
    until: float


class CrashBook(msgspec.Struct):
    """The ends of targets under each request that is suspected, by its digest."""

    _ends_by_digest: dict[str, dict[tuple[str, int], TargetEnd]] = msgspec.field(
        default_factory=dict
    )
    _survived_at_by_digest: dict[str, float] = msgspec.field(default_factory=dict)
    _checksum: int | None = 0
    """None after a change: it is asked for with each status that is heard."""

    def __len__(self) -> int:
        return len(self._ends_by_digest)

    def add_end(self, digest: str, end: TargetEnd) -> bool:
        """Note that a target ended under a request; return whether it is news."""
        survived_at = self._survived_at_by_digest.get(digest)
        if survived_at is not None and end.at < survived_at + IMMUNE_S:
            return False
        ends = self._ends_by_digest.get(digest)
        if ends is None:
            self._make_room()
            ends = self._ends_by_digest[digest] = {}
        if end.target in ends or len(ends) >= MOST_ENDS:
            return False
        ends[end.target] = end
        self._checksum = None
        return True

    def outlived(self, digest: str, at: float) -> bool:
        """Note that a request outlived its start; return whether it was suspected."""
        before = self._survived_at_by_digest.pop(digest, at)
        self._survived_at_by_digest[digest] = at = max(at, before)
        if len(self._survived_at_by_digest) > MOST_SURVIVORS:
            self._survived_at_by_digest.pop(next(iter(self._survived_at_by_digest)))
        ends = self._ends_by_digest.pop(digest, {})
        self._checksum = None if ends else self._checksum
        later = {key: end for key, end in ends.items() if end.at >= at + IMMUNE_S}
        if later:
            self._ends_by_digest[digest] = later
        return len(later) < len(ends)

    def verdict(self, digest: str, now: float) -> Verdict | None:
        """Return why a request is refused; None where it is not."""
        if len(self._ends_by_digest.get(digest, ())) < PROVEN_ENDS:
            return None
        ends = self._proof_by_digest(now).get(digest)
        if ends is None:
            return None
        until = max(end.at for end in ends) + REFUSED_S
        return Verdict(ends, until) if now < until else None

    def refused(self, now: float) -> dict[str, Verdict]:
        """Return why requests are refused, by digest."""
        verdict_by_digest = {
            digest: self.verdict(digest, now) for digest in self._proof_by_digest(now)
        }
        return {each: verdict for each, verdict in verdict_by_digest.items() if verdict}

    def _proof_by_digest(self, now: float) -> dict[str, tuple[TargetEnd, ...]]:
        """Return the ends that prove something, by the digest of their request.

        Whoever has the most ends goes first, and explains those that others share
        with it.
        """
        suspects = [
            (digest, ends)
            for digest, ends in self._ends_by_digest.items()
            if len(ends) >= PROVEN_ENDS
        ]
        suspects.sort(key=lambda item: -len(item[1]))
        proof_by_digest: dict[str, tuple[TargetEnd, ...]] = {}
        for digest, ends in suspects:
            if _is_undecided(ends, suspects):
                continue
            explained = set().union(
                *(
                    self._ends_by_digest[other].keys()
                    for other in proof_by_digest
                    if len(self._ends_by_digest[other]) > len(ends)
                )
            )
            proof = tuple(
                end
                for key, end in ends.items()
                if key not in explained and end.at + SETTLE_S <= now
            )
            if len(proof) >= PROVEN_ENDS:
                proof_by_digest[digest] = proof
        return proof_by_digest

    def settles_in_s(self, digest: str, now: float) -> float:
        """Return for how long it can't be told yet whether a request is refused."""
        ends = self._ends_by_digest.get(digest, {})
        if len(ends) < PROVEN_ENDS or self.verdict(digest, now) is not None:
            return 0.0
        newest_at = max(end.at for end in ends.values())
        return max(0.0, newest_at + SETTLE_S - now)

    def next_settled_in_s(self, now: float) -> float | None:
        """Return after how long another request may be refused; None if none may."""
        waits_s = [
            self.settles_in_s(digest, now)
            for digest, ends in self._ends_by_digest.items()
            if len(ends) >= PROVEN_ENDS
        ]
        return min((wait_s for wait_s in waits_s if wait_s > 0), default=None)

    def report(self, digest: str, now: float) -> CrashReport:
        """Return what this host knows of a request."""
        survived_at = self._survived_at_by_digest.get(digest)
        ends = self._ends_by_digest.get(digest, {}).values()
        return CrashReport(
            digest,
            [
                ToldEnd(end.target_id, end.started_ms, end.told_by, now - end.at)
                for end in ends
            ],
            -1.0 if survived_at is None else now - survived_at,
        )

    def merge(self, report: CrashReport, now: float) -> bool:
        """Take what another host knows; return whether it was news."""
        digest = report.digest
        news = False
        if report.survived_age_s >= 0:
            news = self.outlived(digest, now - report.survived_age_s)
        for told in report.ends:
            at = now - max(0.0, told.age_s)
            end = TargetEnd(told.target_id, told.started_ms, told.told_by, at)
            news |= self.add_end(digest, end)
        return news

    def contradicts(self, report: CrashReport) -> bool:
        """Return whether ends are told of a request that is known to outlive them."""
        survived = report.digest in self._survived_at_by_digest
        return survived and bool(report.ends) and report.survived_age_s < 0

    def lasting(self) -> list[str]:
        """Return the digests that hosts tell each other again, the gravest first."""
        digests = [
            digest for digest, ends in self._ends_by_digest.items() if len(ends) > 1
        ]
        return sorted(digests, key=lambda each: -len(self._ends_by_digest[each]))

    def checksum(self) -> int:
        """Return a number that hosts share which know the same to tell again."""
        if self._checksum is None:
            self._checksum = 0
            for digest in self.lasting():
                for target_id, started_ms in self._ends_by_digest[digest]:
                    text = f"{digest} {target_id} {started_ms}"
                    self._checksum ^= zlib.crc32(text.encode())
        return self._checksum

    def forget(self, now: float) -> None:
        """Drop what is too old to count."""
        for digest, ends in list(self._ends_by_digest.items()):
            lasts_s = REFUSED_S if len(ends) >= PROVEN_ENDS else SUSPECTED_S
            if now - max(end.at for end in ends.values()) >= lasts_s:
                del self._ends_by_digest[digest]
                self._checksum = None
        self._survived_at_by_digest = {
            digest: at
            for digest, at in self._survived_at_by_digest.items()
            if now - at < SUSPECTED_S
        }

    def _make_room(self) -> None:
        """Drop the least suspected of too many, the oldest first.

        A caller that varies its body makes a new suspect of each attempt.
        """
        if len(self._ends_by_digest) >= MOST_SUSPECTS:
            least = min(self._ends_by_digest.items(), key=lambda item: len(item[1]))
            del self._ends_by_digest[least[0]]
            self._checksum = None


def _is_undecided(ends, suspects) -> bool:
    """Return whether another request was at each of the targets that ended.

    Requests that share all their ends are told apart by the next one, mostly.
    """
    if len(ends) >= MOST_TRIALS:
        return False
    return any(
        other is not ends and ends.keys() <= other.keys() for _, other in suspects
    )
