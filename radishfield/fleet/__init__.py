"""The fleet: membership, profiles, leases, claims and leaving."""

from radishfield.fleet._claims import Claims, ClaimTimes, KeeperStart
from radishfield.fleet._claims_keepers import KnownHost
from radishfield.fleet._claims_votes import Claimed, Replay

__all__ = ["Claimed", "Claims", "ClaimTimes", "KeeperStart", "KnownHost", "Replay"]
