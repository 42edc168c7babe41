"""Records the target crashes under each trait of requests, as all hosts report them.

When a request crashes each target that starts to run it, its caller resends it to any
host, or sends others that share the cause with it.  A host that counts alone, or by
whole requests, takes each crash for a failure of the target and sends the request to
another one; so do the next attempt and the next host, until no target remains.  Hosts
therefore report to each other which targets crashed under which traits, and refuse the
requests that the crashes prove to be the cause; see `find_proofs`.
"""

import math
import zlib
from collections.abc import Collection, Iterable

import msgspec

from radishfield.crashes._blame import (
    REFUSAL_THRESHOLD,
    SETTLE_S,
    Evidence,
    Proof,
    Suspect,
    find_proofs,
)
from radishfield.crashes._records import (
    CrashesByTarget,
    CrashReport,
    TargetCrash,
    TargetCrashEntry,
    TargetKey,
)
from radishfield.crashes._survivals import Survivals
from radishfield.crashes._traits import is_part

CRASH_WINDOW_S = 1.0
"""Time after its first event within which a request crashes its target, if it does.
Observed crashes took a tenth of it."""

IMMUNE_S = 10.0
"""Time for which crashes are not counted after a whole request has outlived its start.
Those under a part are counted, and prove nothing for a while; see `find_proofs`."""

SUSPECTED_S = 60.0
"""Time after which crashes that prove nothing, and survivals, are forgotten."""

REFUSED_S = 600.0
"""Time after its last crash for which a request is refused.  Targets may be fixed by
then; if not, three more crashes show it."""

MAX_SUSPECTS = 1024
EVICTED_AT_ONCE = 128
MAX_CRASHES = 256
"""Maximum number of crashes whose times are kept, whatever the targets ran."""
MAX_CRASHES_PER_TRAIT = 16
"""Maximum number of crashes that are kept for one trait."""


class Verdict(msgspec.Struct, frozen=True):
    """Why a request is refused: the traits to blame, the crashes, and until when."""

    traits: frozenset[str]
    ends: tuple[TargetCrash, ...]
    until: float

    @property
    def is_doubtful(self) -> bool:
        """Return whether it rests on records that no live host has vouched for."""
        vouched = sum(not crash.from_record for crash in self.ends)
        return vouched < REFUSAL_THRESHOLD


class CrashBook(msgspec.Struct):
    """The target crashes under each suspected trait, and the survivals of traits."""

    _crashes_by_trait: dict[str, CrashesByTarget] = msgspec.field(default_factory=dict)
    _survivals: Survivals = msgspec.field(default_factory=Survivals)
    _width_by_trait: dict[str, int] = msgspec.field(default_factory=dict)
    _crashed_at_by_target: dict[TargetKey, float] = msgspec.field(default_factory=dict)
    _checksum: int | None = 0
    """Cached because it is read for each status received; None after a change."""
    _verdicts: list[Verdict] | None = None
    """Cached because each attempt and each wait reads it; None after a change."""
    _verdicts_valid_until: float = -math.inf

    def __len__(self) -> int:
        return len(self._crashes_by_trait)

    def add_crash(self, trait: str, crash: TargetCrash, width: int = 0) -> bool:
        """Record that a target crashed under a request; return whether this is new.

        Parameters
        ----------
        width : int
            Number of traits of the request; 0 if it is not known.
        """
        self._crashed_at_by_target.setdefault(crash.target, crash.at)
        if len(self._crashed_at_by_target) > MAX_CRASHES:
            del self._crashed_at_by_target[next(iter(self._crashed_at_by_target))]
        if self._is_immune(trait, crash.at):
            return False
        crashes = self._crashes_by_trait.get(trait)
        if crashes is None:
            self._evict_if_full()
            crashes = self._crashes_by_trait[trait] = {}
        known_width = self._width_by_trait.get(trait, width)
        self._width_by_trait[trait] = min(width, known_width) or max(width, known_width)
        known = crashes.get(crash.target)
        if known is not None:
            if crash.from_record or not known.from_record:
                return False
        elif len(crashes) >= MAX_CRASHES_PER_TRAIT:
            return False
        crashes[crash.target] = crash
        self._note_change()
        return True

    def _is_immune(self, trait: str, crashed_at: float) -> bool:
        """Return whether a survival shows that a crash has another cause."""
        survived_at = self._survivals.get(trait)
        if survived_at is None:
            return False
        return crashed_at < survived_at + _immune_s(trait)

    def add_survival(self, trait: str, at: float) -> bool:
        """Record that a request outlived its start; return whether it was suspected."""
        is_first = trait not in self._survivals
        last_at = self._survivals.last_at
        at = self._survivals.record(trait, at)
        if self._survivals.last_at != last_at:
            self._verdicts = None
        crashes = self._crashes_by_trait.get(trait)
        if crashes is None:
            return False
        immune_until = at + _immune_s(trait)
        later = {
            key: crash for key, crash in crashes.items() if crash.at >= immune_until
        }
        if later:
            self._crashes_by_trait[trait] = later
        else:
            self._drop(trait)
        if len(later) < len(crashes) or is_first:
            self._note_change()
            return True
        return False

    def is_cleared(self, trait: str, crashed_at: float) -> bool:
        """Return whether a survival of the trait makes an earlier crash void."""
        return self._is_immune(trait, crashed_at)

    def vouch(self, trait: str) -> None:
        """Count the crashes that records named as if they had been seen here."""
        crashes = self._crashes_by_trait.get(trait, {})
        for key, crash in crashes.items():
            crashes[key] = msgspec.structs.replace(crash, from_record=False)
        self._note_change()

    def forget_recorded(self, trait: str) -> None:
        """Drop the crashes under a trait that only a record named."""
        crashes = self._crashes_by_trait.get(trait)
        if crashes is None:
            return
        seen = {key: crash for key, crash in crashes.items() if not crash.from_record}
        if seen:
            self._crashes_by_trait[trait] = seen
        else:
            self._drop(trait)
        self._note_change()

    def verdict(self, trait: str, now: float) -> Verdict | None:
        """Return why a request with only one trait is refused; None if it is not."""
        return self.verdict_of((trait,), now)

    def verdict_of(self, traits: Collection[str], now: float) -> Verdict | None:
        """Return why a request with these traits is refused; None if it is not."""
        return next(iter(self.verdicts_of(traits, now)), None)

    def verdicts_of(self, traits: Collection[str], now: float) -> list[Verdict]:
        """Return all verdicts by which a request with these traits is refused."""
        if not self._has_suspect(traits):
            return []
        return [
            verdict for verdict in self.verdicts(now) if verdict.traits.issubset(traits)
        ]

    def verdicts(self, now: float) -> list[Verdict]:
        """Return why requests are refused."""
        if self._verdicts is None or now >= self._verdicts_valid_until:
            evidence = Evidence(self._crashed_at_by_target, self._survivals.last_at)
            proofs = find_proofs(self._suspects(), now, evidence)
            self._verdicts = [_verdict_of(proof) for proof in proofs]
            self._verdicts_valid_until = self._next_settled_at(now)
        return [verdict for verdict in self._verdicts if now < verdict.until]

    def _suspects(self) -> list[Suspect]:
        return [
            Suspect(trait, crashes, self._survivals.get(trait))
            for trait, crashes in self._crashes_by_trait.items()
            if len(crashes) >= REFUSAL_THRESHOLD
        ]

    def _next_settled_at(self, now: float) -> float:
        settled_at = (
            crash.at + SETTLE_S
            for crashes in self._crashes_by_trait.values()
            if len(crashes) >= REFUSAL_THRESHOLD
            for crash in crashes.values()
        )
        return min((at for at in settled_at if at > now), default=math.inf)

    def _has_suspect(self, traits: Iterable[str]) -> bool:
        return any(
            len(self._crashes_by_trait.get(trait, ())) >= REFUSAL_THRESHOLD
            for trait in traits
        )

    def settles_in_s(self, traits: Collection[str], now: float) -> float:
        """Return the time until it is decided whether a request is refused."""
        if not self._has_suspect(traits) or self.verdict_of(traits, now) is not None:
            return 0.0
        newest_at = max(
            crash.at
            for trait in traits
            if len(self._crashes_by_trait.get(trait, ())) >= REFUSAL_THRESHOLD
            for crash in self._crashes_by_trait[trait].values()
        )
        return max(0.0, newest_at + SETTLE_S - now)

    def next_settled_in_s(self, now: float) -> float | None:
        """Return the time until another request may be refused; None if none may."""
        settled_at = self._next_settled_at(now)
        return settled_at - now if math.isfinite(settled_at) else None

    def report(self, trait: str, now: float) -> CrashReport:
        """Return the crashes and survival that are recorded for a trait."""
        survived_at = self._survivals.get(trait)
        crashes = self._crashes_by_trait.get(trait, {}).values()
        return CrashReport(
            trait,
            [
                TargetCrashEntry(
                    crash.target_id,
                    crash.started_ms,
                    crash.told_by,
                    now - crash.at,
                    crash.from_record,
                )
                for crash in crashes
            ],
            -1.0 if survived_at is None else now - survived_at,
            self._width_by_trait.get(trait, 0),
        )

    def merge(self, report: CrashReport, now: float) -> bool:
        """Merge a report from another host; return whether it was new."""
        trait = report.digest
        changed = False
        if 0 <= report.survived_age_s < SUSPECTED_S:
            changed = self.add_survival(trait, now - report.survived_age_s)
        for entry in report.ends:
            at = now - max(0.0, entry.age_s)
            crash = TargetCrash(
                entry.target_id, entry.started_ms, entry.told_by, at, entry.from_record
            )
            changed |= self.add_crash(trait, crash, report.width)
        return changed

    def contradicts(self, report: CrashReport, now: float) -> bool:
        """Return whether a reported trait survived here as its reporter cannot know."""
        survived_at = self._survivals.get(report.digest)
        if survived_at is None or not report.ends:
            return False
        if report.survived_age_s < 0:
            return True
        newest_at = now - min(entry.age_s for entry in report.ends)
        reported_at = now - report.survived_age_s
        return survived_at + _immune_s(report.digest) > newest_at > reported_at

    def is_unexplained(self, trait: str, crashes: int) -> bool:
        """Return whether at least so many targets crashed and no request survived."""
        return (
            len(self._crashes_by_trait.get(trait, ())) >= crashes
            and trait not in self._survivals
        )

    def repeated_traits(self) -> list[str]:
        """Return the traits that hosts report repeatedly, most crashes first."""
        traits = [
            trait
            for trait, crashes in self._crashes_by_trait.items()
            if len(crashes) > 1
        ]
        return sorted(traits, key=lambda each: -len(self._crashes_by_trait[each]))

    def checksum(self) -> int:
        """Return a checksum, for comparison, of what hosts report repeatedly."""
        if self._checksum is None:
            self._checksum = 0
            for trait in self.repeated_traits():
                for crash in self._crashes_by_trait[trait].values():
                    text = f"{trait} {crash.target_id} {crash.started_ms}"
                    if crash.from_record:
                        # Hosts that saw it tell those that only read of it.
                        text += " recorded"
                    self._checksum ^= zlib.crc32(text.encode())
        return self._checksum

    def forget(self, now: float) -> None:
        """Drop the records that are too old to count."""
        for trait, crashes in list(self._crashes_by_trait.items()):
            lifetime_s = REFUSED_S if len(crashes) >= REFUSAL_THRESHOLD else SUSPECTED_S
            if now - max(crash.at for crash in crashes.values()) >= lifetime_s:
                self._drop(trait)
                self._note_change()
        last_at = self._survivals.last_at
        self._survivals.forget(now - SUSPECTED_S)
        if self._survivals.last_at != last_at:
            self._verdicts = None

    def _evict_if_full(self) -> None:
        """Drop the traits with the fewest crashes if full.

        A caller that varies its body or parts adds suspects with each attempt.  Of
        traits with the same number of crashes, those of requests with many traits go
        first, then the oldest.
        """
        if len(self._crashes_by_trait) < MAX_SUSPECTS:
            return
        ranked = sorted(
            self._crashes_by_trait,
            key=lambda trait: (
                len(self._crashes_by_trait[trait]),
                -self._width_by_trait.get(trait, 0),
            ),
        )
        for trait in ranked[:EVICTED_AT_ONCE]:
            self._drop(trait)
        self._note_change()

    def _drop(self, trait: str) -> None:
        del self._crashes_by_trait[trait]
        self._width_by_trait.pop(trait, None)

    def _note_change(self) -> None:
        self._checksum = None
        self._verdicts = None


def _verdict_of(proof: Proof) -> Verdict:
    until = max(crash.at for crash in proof.crashes) + REFUSED_S
    return Verdict(proof.traits, proof.crashes, until)


def _immune_s(trait: str) -> float:
    return 0.0 if is_part(trait) else IMMUNE_S
