"""Defines the settings sections of a router on the users' platform."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from radishfield.settings._sections import DURATION, Address, LongTime, ShortTime

Ratio = Annotated[float, Meta(ge=0.0, le=10.0)]
Amount = Annotated[float, Meta(ge=0.0, le=1e6)]


@dataclass(slots=True, frozen=True)
class ReadinessSettings:
    """[readiness]: the address for the load balancer's readiness checks."""

    bind: Address = ""


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """[gossip]: the datagrams between routers; a blank ``bind`` turns them off."""

    bind: Address = ""


@dataclass(slots=True, frozen=True)
class PromisesSettings:
    """[promises]: the limits that operators set.

    Attributes
    ----------
    revoke_s : float
        Time after which no router runs requests with a revoked key.
    drain_s : float
        Time after which no work reaches a target whose leaving was acknowledged.
    grace_s : float
        Time between the shutdown signal and the end of the process.
    retry_ratio, retry_window_s, retry_slack : float
        Retries that all routers together may send to a service in a window:
        ``retry_ratio`` for each first attempt, plus ``retry_slack``.
    """

    revoke_s: ShortTime = 5.0
    drain_s: ShortTime = 2.0
    grace_s: Annotated[float, Meta(ge=0.5, le=600.0, extra=DURATION)] = 8.0
    retry_ratio: Ratio = 0.2
    retry_window_s: LongTime = 10.0
    retry_slack: Amount = 50.0


ROUTER_SECTIONS = {
    "readiness": ReadinessSettings,
    "gossip": GossipSettings,
    "promises": PromisesSettings,
}
