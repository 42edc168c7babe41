"""Finds the requests that crash their targets, from the reports of all hosts.

When a request crashes each target that starts to run it, its caller resends it to any
host.  A host that counts alone takes each crash for a failure of the target and sends
the request to another one; so do the next attempt and the next host, until no target
remains.  Hosts therefore report to each other which targets crashed under which
request, and refuse the request once three have.

Two kinds of harmless requests must not be refused.  A request that ran beside a
crashing one loses its targets as well: all its crashes are also crashes of the other
request, so they prove nothing.  A request that many callers share is in flight at every
target that crashes for another reason: if it outlives its start anywhere, it is not
the cause.
"""

import zlib

import msgspec

REFUSAL_THRESHOLD = 3
"""Number of targets that crashed under a request, after which it is refused."""

MAX_SHARED_CRASHES = 5
"""Number of crashes at which two requests that share all of them are both refused.
Usually one of the two is sent to another target before, which tells them apart."""

SETTLE_S = 0.3
"""Time within which all hosts report the requests that a crashed target was running."""

CRASH_WINDOW_S = 1.0
"""Time after its first event within which a request crashes its target, if it does.
Observed crashes took a tenth of it."""

IMMUNE_S = 10.0
"""Time for which crashes are not counted after a request has outlived its start."""

SUSPECTED_S = 60.0
"""Time after which crashes that prove nothing are forgotten."""

REFUSED_S = 600.0
"""Time after its last crash for which a request is refused.  Targets may be fixed by
then; if not, three more crashes show it."""

MAX_SUSPECTS = 256
MAX_SURVIVORS = 4096
"""Requests of the last `IMMUNE_S` seconds at a busy host, some 100 bytes each."""
MAX_CRASHES_PER_REQUEST = 8
"""Maximum number of crashes that are kept for one request."""


class TargetCrash(msgspec.Struct, frozen=True):
    """A crash of a target under a request.

    Attributes
    ----------
    told_by : str
        Host that sent the request to the target and detected the crash.
    at : float
        Time of the detection, in seconds of this host's clock.
    """

    target_id: str
    started_ms: int
    told_by: str
    at: float

    @property
    def target(self) -> tuple[str, int]:
        """Return the key that identifies this start of the target."""
        return (self.target_id, self.started_ms)


class TargetCrashEntry(msgspec.Struct, array_like=True):
    """A crash of a target, as a host reports it ``age_s`` seconds later."""

    target_id: str
    started_ms: int
    told_by: str
    age_s: float


class CrashReport(msgspec.Struct, array_like=True):
    """The crashes and survival of one request that a host has recorded.

    Attributes
    ----------
    survived_age_s : float
        Seconds since the request outlived its start at any target; negative if it
        has not.
    """

    digest: str
    ends: list[TargetCrashEntry] = []
    survived_age_s: float = -1.0


class Verdict(msgspec.Struct, frozen=True):
    """The crashes for which a request is refused, and until when."""

    ends: tuple[TargetCrash, ...]
    until: float


class CrashBook(msgspec.Struct):
    """The target crashes under each suspected request, by the request's digest."""

    _crashes_by_digest: dict[str, dict[tuple[str, int], TargetCrash]] = msgspec.field(
        default_factory=dict
    )
    _survived_at_by_digest: dict[str, float] = msgspec.field(default_factory=dict)
    _checksum: int | None = 0
    """Cached because it is read for each status received; None after a change."""

    def __len__(self) -> int:
        return len(self._crashes_by_digest)

    def add_crash(self, digest: str, crash: TargetCrash) -> bool:
        """Record that a target crashed under a request; return whether this is new."""
        survived_at = self._survived_at_by_digest.get(digest)
        if survived_at is not None and crash.at < survived_at + IMMUNE_S:
            return False
        crashes = self._crashes_by_digest.get(digest)
        if crashes is None:
            self._evict_if_full()
            crashes = self._crashes_by_digest[digest] = {}
        if crash.target in crashes or len(crashes) >= MAX_CRASHES_PER_REQUEST:
            return False
        crashes[crash.target] = crash
        self._checksum = None
        return True

    def add_survival(self, digest: str, at: float) -> bool:
        """Record that a request outlived its start; return whether it was suspected."""
        before = self._survived_at_by_digest.pop(digest, at)
        self._survived_at_by_digest[digest] = at = max(at, before)
        if len(self._survived_at_by_digest) > MAX_SURVIVORS:
            self._survived_at_by_digest.pop(next(iter(self._survived_at_by_digest)))
        crashes = self._crashes_by_digest.pop(digest, {})
        self._checksum = None if crashes else self._checksum
        later = {
            key: crash for key, crash in crashes.items() if crash.at >= at + IMMUNE_S
        }
        if later:
            self._crashes_by_digest[digest] = later
        return len(later) < len(crashes)

    def verdict(self, digest: str, now: float) -> Verdict | None:
        """Return why a request is refused; None if it is not."""
        if len(self._crashes_by_digest.get(digest, ())) < REFUSAL_THRESHOLD:
            return None
        crashes = self._proof_by_digest(now).get(digest)
        if crashes is None:
            return None
        until = max(crash.at for crash in crashes) + REFUSED_S
        return Verdict(crashes, until) if now < until else None

    def verdicts(self, now: float) -> dict[str, Verdict]:
        """Return why requests are refused, by digest."""
        verdict_by_digest = {
            digest: self.verdict(digest, now) for digest in self._proof_by_digest(now)
        }
        return {each: verdict for each, verdict in verdict_by_digest.items() if verdict}

    def _proof_by_digest(self, now: float) -> dict[str, tuple[TargetCrash, ...]]:
        """Return the crashes that count against each request, by its digest.

        The request with the most crashes is checked first, and accounts for those
        that other requests share with it.
        """
        suspects = [
            (digest, crashes)
            for digest, crashes in self._crashes_by_digest.items()
            if len(crashes) >= REFUSAL_THRESHOLD
        ]
        suspects.sort(key=lambda item: -len(item[1]))
        proof_by_digest: dict[str, tuple[TargetCrash, ...]] = {}
        for digest, crashes in suspects:
            if _is_undecided(crashes, suspects):
                continue
            explained = set().union(
                *(
                    self._crashes_by_digest[other].keys()
                    for other in proof_by_digest
                    if len(self._crashes_by_digest[other]) > len(crashes)
                )
            )
            proof = tuple(
                crash
                for key, crash in crashes.items()
                if key not in explained and crash.at + SETTLE_S <= now
            )
            if len(proof) >= REFUSAL_THRESHOLD:
                proof_by_digest[digest] = proof
        return proof_by_digest

    def settles_in_s(self, digest: str, now: float) -> float:
        """Return the time until it is decided whether a request is refused."""
        crashes = self._crashes_by_digest.get(digest, {})
        if len(crashes) < REFUSAL_THRESHOLD or self.verdict(digest, now) is not None:
            return 0.0
        newest_at = max(crash.at for crash in crashes.values())
        return max(0.0, newest_at + SETTLE_S - now)

    def next_settled_in_s(self, now: float) -> float | None:
        """Return the time until another request may be refused; None if none may."""
        waits_s = [
            self.settles_in_s(digest, now)
            for digest, crashes in self._crashes_by_digest.items()
            if len(crashes) >= REFUSAL_THRESHOLD
        ]
        return min((wait_s for wait_s in waits_s if wait_s > 0), default=None)

    def report(self, digest: str, now: float) -> CrashReport:
        """Return the crashes and survival that are recorded for a request."""
        survived_at = self._survived_at_by_digest.get(digest)
        crashes = self._crashes_by_digest.get(digest, {}).values()
        return CrashReport(
            digest,
            [
                TargetCrashEntry(
                    crash.target_id, crash.started_ms, crash.told_by, now - crash.at
                )
                for crash in crashes
            ],
            -1.0 if survived_at is None else now - survived_at,
        )

    def merge(self, report: CrashReport, now: float) -> bool:
        """Merge a report from another host; return whether it was new."""
        digest = report.digest
        changed = False
        if report.survived_age_s >= 0:
            changed = self.add_survival(digest, now - report.survived_age_s)
        for entry in report.ends:
            at = now - max(0.0, entry.age_s)
            crash = TargetCrash(entry.target_id, entry.started_ms, entry.told_by, at)
            changed |= self.add_crash(digest, crash)
        return changed

    def contradicts(self, report: CrashReport) -> bool:
        """Return whether a report has crashes but lacks the survival recorded here."""
        survived = report.digest in self._survived_at_by_digest
        return survived and bool(report.ends) and report.survived_age_s < 0

    def repeated_digests(self) -> list[str]:
        """Return the digests that hosts report repeatedly, most crashes first."""
        digests = [
            digest
            for digest, crashes in self._crashes_by_digest.items()
            if len(crashes) > 1
        ]
        return sorted(digests, key=lambda each: -len(self._crashes_by_digest[each]))

    def checksum(self) -> int:
        """Return a checksum, for comparison, of what hosts report repeatedly."""
        if self._checksum is None:
            self._checksum = 0
            for digest in self.repeated_digests():
                for target_id, started_ms in self._crashes_by_digest[digest]:
                    text = f"{digest} {target_id} {started_ms}"
                    self._checksum ^= zlib.crc32(text.encode())
        return self._checksum

    def forget(self, now: float) -> None:
        """Drop the records that are too old to count."""
        for digest, crashes in list(self._crashes_by_digest.items()):
            lifetime_s = REFUSED_S if len(crashes) >= REFUSAL_THRESHOLD else SUSPECTED_S
            if now - max(crash.at for crash in crashes.values()) >= lifetime_s:
                del self._crashes_by_digest[digest]
                self._checksum = None
        self._survived_at_by_digest = {
            digest: at
            for digest, at in self._survived_at_by_digest.items()
            if now - at < SUSPECTED_S
        }

    def _evict_if_full(self) -> None:
        """Drop the request with the fewest crashes, the oldest first, if full.

        A caller that varies its body adds a suspect with each attempt.
        """
        if len(self._crashes_by_digest) >= MAX_SUSPECTS:
            least_suspected = min(
                self._crashes_by_digest.items(), key=lambda item: len(item[1])
            )
            del self._crashes_by_digest[least_suspected[0]]
            self._checksum = None


def _is_undecided(crashes, suspects) -> bool:
    """Return whether another request ran at each of the targets that crashed.

    Requests that share all their crashes are usually told apart by the next crash.
    """
    if len(crashes) >= MAX_SHARED_CRASHES:
        return False
    return any(
        other is not crashes and crashes.keys() <= other.keys() for _, other in suspects
    )
