"""Decides which traits of requests crash targets, from the crashes under each trait.

A target that crashes takes all its requests with it.  The trait that is to blame is the
one with the most crashes; those that other traits share with it prove nothing against
them.  Three kinds of harmless traits must not be blamed:

- A trait of a request that ran beside a crashing one: its crashes are explained.
- A trait that comes with the crashing one in each request, such as a first part that
  half of all requests share: as long as both have the same crashes, only requests with
  both are refused, and the next request with one of them tells which it is.
- A part that many requests share is in flight at each target that crashes for another
  reason.  Requests with it outlive their start all the time, so it is not blamed, and
  for a while after the last survival it takes far more crashes than other parts do.
"""

from collections.abc import Iterable, Sequence, Set

import msgspec

from radishfield.crashes._records import CrashesByTarget, TargetCrash, TargetKey
from radishfield.crashes._traits import is_part

REFUSAL_THRESHOLD = 3
"""Number of targets that crashed under a trait, after which it is to blame."""

MAX_SHARED_CRASHES = 5
"""Number of crashes at which two requests that share all of them are both refused.
Usually one of the two is sent to another target before, which tells them apart."""

MAX_JOINT_CRASHES = 8
"""The same for traits that one request may have together."""

SETTLE_S = 0.3
"""Time within which all hosts report the requests that a crashed target was running."""

SOUND_THRESHOLD = 5
"""Number of crashes after which a part is to blame that requests have survived with, or
while most targets crash for other reasons."""

MIN_SOUND_RATIO = 2
"""How many times more targets must crash under such a part than without it."""

SOUND_S = 20.0
"""Time after a survival in which a part is not to blame.  While a whole service is down
for some seconds, no request outlives its start, whatever parts it has."""

BACKGROUND_S = 10.0
"""Time in which crashes without a part are compared with its own."""

MIN_MOMENTS = 2
"""Number of moments, `SETTLE_S` apart, at which targets crashed under a part before it
is to blame.  Targets that are lost at one moment, as with a rack, crash under each part
that is popular."""


class Suspect(msgspec.Struct, frozen=True):
    """A trait and the crashes under it.

    Attributes
    ----------
    survived_at : float or None
        When a request with the trait last outlived its start; None if that is not
        known of any in the last minute.
    """

    trait: str
    crashes: CrashesByTarget
    survived_at: float | None = None

    @property
    def proven_sound(self) -> bool:
        """Return whether it is a part that requests have survived with."""
        return self.survived_at is not None and is_part(self.trait)

    def explains(self, other: "Suspect") -> bool:
        """Return whether its crashes prove nothing against another trait."""
        if self.proven_sound != other.proven_sound:
            return other.proven_sound
        return len(self.crashes) > len(other.crashes)


class Proof(msgspec.Struct, frozen=True):
    """Traits that are to blame together, and the crashes that prove it.

    A request is refused if it has all of the traits.
    """

    traits: frozenset[str]
    crashes: tuple[TargetCrash, ...]


class Evidence(msgspec.Struct, frozen=True):
    """What is known of all requests together.

    Attributes
    ----------
    crashed_at_by_target : dict
        When each target crashed, under whatever it ran.
    last_survival_at : float or None
        When any request was last known to have outlived its start; None if that is not
        known of any.
    """

    crashed_at_by_target: dict[TargetKey, float]
    last_survival_at: float | None = None


def find_proofs(
    suspects: Iterable[Suspect], now: float, evidence: Evidence
) -> list[Proof]:
    """Return the traits that are to blame."""
    ranked = sorted(
        (item for item in suspects if len(item.crashes) >= REFUSAL_THRESHOLD),
        key=lambda item: (item.proven_sound, -len(item.crashes), item.trait),
    )
    blamed: list[Suspect] = []
    proofs: list[Proof] = []
    for suspect in ranked:
        if any(suspect.trait in proof.traits for proof in proofs):
            continue
        explained = set().union(
            *(other.crashes.keys() for other in blamed if other.explains(suspect))
        )
        crashes = _unexplained(suspect, explained, now)
        if not _suffices(suspect, crashes, explained, now, evidence):
            continue
        traits = _traits_to_blame(suspect, _indistinguishable(suspect, ranked))
        if traits:
            blamed.append(suspect)
            proofs.append(Proof(traits, crashes))
    return proofs


def _unexplained(
    suspect: Suspect, explained: Set[TargetKey], now: float
) -> tuple[TargetCrash, ...]:
    """Return the crashes that count against a trait."""
    return tuple(
        crash
        for key, crash in suspect.crashes.items()
        if key not in explained and crash.at + SETTLE_S <= now
    )


def _suffices(
    suspect: Suspect,
    crashes: Sequence[TargetCrash],
    explained: Set[TargetKey],
    now: float,
    evidence: Evidence,
) -> bool:
    """Return whether crashes are enough to blame a trait."""
    if not is_part(suspect.trait):
        return len(crashes) >= REFUSAL_THRESHOLD
    times = sorted(crash.at for crash in crashes)
    if len(times) < REFUSAL_THRESHOLD or _count_moments(times) < MIN_MOMENTS:
        return False
    others = _count_others(suspect, explained, times[-1], evidence)
    if not suspect.proven_sound:
        return len(times) >= SOUND_THRESHOLD or len(times) >= others
    # Other requests must survive meanwhile: if none does, the targets are to blame.
    return (
        now - suspect.survived_at >= SOUND_S
        and len(times) >= max(SOUND_THRESHOLD, MIN_SOUND_RATIO * others)
        and evidence.last_survival_at is not None
        and evidence.last_survival_at > times[-1]
    )


def _count_others(
    suspect: Suspect, explained: Set[TargetKey], until: float, evidence: Evidence
) -> int:
    """Return how many targets crashed recently without the trait or known cause.

    While many do, some requests are cut three times in a row by chance.
    """
    return sum(
        until - BACKGROUND_S <= at <= until
        for key, at in evidence.crashed_at_by_target.items()
        if key not in suspect.crashes and key not in explained
    )


def _count_moments(times: Sequence[float]) -> int:
    """Return at how many moments crashes occurred, `SETTLE_S` apart."""
    moments = 0
    last_at = float("-inf")
    for at in times:
        if at >= last_at + SETTLE_S:
            moments += 1
            last_at = at
    return moments


def _indistinguishable(suspect: Suspect, suspects: Iterable[Suspect]) -> list[Suspect]:
    """Return the traits that were in flight at each target that crashed under one."""
    return [
        other
        for other in suspects
        if other is suspect
        or (
            other.proven_sound == suspect.proven_sound
            and suspect.crashes.keys() <= other.crashes.keys()
        )
    ]


def _traits_to_blame(suspect: Suspect, group: Sequence[Suspect]) -> frozenset[str]:
    """Return which traits of an indistinguishable group are to blame together.

    No request has two digests, so of several digests at most one is to blame, or a part
    that all of their requests have.  Traits that share many crashes and still were not
    told apart belong to different requests that reach their targets together.
    """
    parts = [item.trait for item in group if is_part(item.trait)]
    digests = len(group) - len(parts)
    crashes = len(suspect.crashes)
    if len(group) == 1:
        return frozenset([suspect.trait])
    if digests <= 1 and crashes < MAX_JOINT_CRASHES:
        return frozenset(item.trait for item in group)
    if crashes >= MAX_SHARED_CRASHES:
        return frozenset([suspect.trait])
    return frozenset(parts) if is_part(suspect.trait) else frozenset()
