"""The records of crashes, as a host keeps them and as it reports them to others."""

import msgspec

TargetKey = tuple[str, int]
"""Identifies one start of a target."""


class TargetCrash(msgspec.Struct, frozen=True):
    """A crash of a target under a request.

    Attributes
    ----------
    told_by : str
        Host that sent the request to the target and detected the crash.
    at : float
        Time of the detection, in seconds of this host's clock.
    from_record : bool
        Known only from a record in the store.  Requests may have survived since, as
        nobody can tell who was not there.
    """

    target_id: str
    started_ms: int
    told_by: str
    at: float
    from_record: bool = False

    @property
    def target(self) -> TargetKey:
        """Return the key that identifies this start of the target."""
        return (self.target_id, self.started_ms)


CrashesByTarget = dict[TargetKey, TargetCrash]


class TargetCrashEntry(msgspec.Struct, array_like=True):
    """A crash of a target, as a host reports it ``age_s`` seconds later."""

    target_id: str
    started_ms: int
    told_by: str
    age_s: float
    from_record: bool = False


class CrashReport(msgspec.Struct, array_like=True):
    """The crashes and survival that a host has recorded under one trait.

    Attributes
    ----------
    digest : str
        The trait: the digest of a whole request, or a part of prompts.
    survived_age_s : float
        Seconds since a request with the trait outlived its start at any target;
        negative if none has.
    width : int
        Number of traits of the request that brought it, the smallest one known; 0 if
        none is known.
    """

    digest: str
    ends: list[TargetCrashEntry] = []
    survived_age_s: float = -1.0
    width: int = 0
