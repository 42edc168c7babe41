"""The settings of a router on the users' platform: further sections of the file."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from radishfield.settings._sections import DURATION, Address, LongTime, ShortTime

Ratio = Annotated[float, Meta(ge=0.0, le=10.0)]
Amount = Annotated[float, Meta(ge=0.0, le=1e6)]


@dataclass(slots=True, frozen=True)
class ReadinessSettings:
    """[readiness]: the address at which the balancer asks."""

    bind: Address = ""


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """[gossip]: the datagrams between routers; a blank ``bind`` turns them off."""

    bind: Address = ""


@dataclass(slots=True, frozen=True)
class PromisesSettings:
    """[promises]: the bounds that operators set.

    Attributes
    ----------
    revoke_s : float
        Time after which a key that was taken away runs nowhere.
    grace_s : float
        Time between the signal to leave and the end of the process.
    retry_ratio, retry_window_s, retry_slack : float
        Repeats that all routers together may send a service in a window, for
        each first try and beside.
    """

    revoke_s: ShortTime = 5.0
    grace_s: Annotated[float, Meta(ge=0.5, le=600.0, extra=DURATION)] = 8.0
    retry_ratio: Ratio = 0.2
    retry_window_s: LongTime = 10.0
    retry_slack: Amount = 50.0


ROUTER_SECTIONS = {
    "readiness": ReadinessSettings,
    "gossip": GossipSettings,
    "promises": PromisesSettings,
}
