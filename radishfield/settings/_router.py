"""Defines the settings sections of a router on the users' platform."""

import enum
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from radishfield.settings._sections import DURATION, Address, LongTime, ShortTime

Ratio = Annotated[float, Meta(ge=0.0, le=10.0)]
Amount = Annotated[float, Meta(ge=0.0, le=1e6)]


class Switch(enum.StrEnum):
    """Whether a feature acts: ``auto`` where the configuration calls for it."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"

    def decide(self, called_for: bool) -> bool:
        """Return whether the feature acts, given whether it is called for."""
        return called_for if self is Switch.AUTO else self is Switch.ON


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


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """[admission]: who gets the room of layered targets when it is short.

    Attributes
    ----------
    by_rank : Switch
        Less urgent streams leave room for the bursts of more urgent ones; ``auto``
        where routes or workspaces of one service differ in priority.
    workspace_shares : Switch
        Streams of a workspace beyond its fair share leave room for the others;
        ``auto`` where callers need keys and some of them go before others.
    """

    by_rank: Switch = Switch.AUTO
    workspace_shares: Switch = Switch.AUTO


@dataclass(slots=True, frozen=True)
class LayoutSettings:
    """[layout]: the layers that targets hold.

    Attributes
    ----------
    repair : Switch
        Targets move to other layers while lost ones are away, if that widens what
        the fleet carries; ``auto`` where a loss can leave a zone without a copy.
    spread_by_room : Switch
        Streams leave a target's room to those that other hosts start unseen, once
        these would fill it; ``auto`` where there are more hosts than hear each other.
    """

    repair: Switch = Switch.AUTO
    spread_by_room: Switch = Switch.AUTO


@dataclass(slots=True, frozen=True)
class PlainSettings:
    """[plain]: targets that serve a request alone.

    Attributes
    ----------
    learn_answer_times : Switch
        Targets are chosen, and limited, by the answer times that hosts observe;
        ``auto`` where a route names an objective.
    """

    learn_answer_times: Switch = Switch.AUTO


ROUTER_SECTIONS = {
    "admission": AdmissionSettings,
    "layout": LayoutSettings,
    "plain": PlainSettings,
    "readiness": ReadinessSettings,
    "gossip": GossipSettings,
    "promises": PromisesSettings,
}
