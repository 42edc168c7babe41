"""Exports the counters of the fleet's services as metrics.

The services count in plain integers, so that they need no metrics library and a
heartbeat records no metric.  The integers are read at each scrape.
"""

from radishfield.core import MemberState, ResultCode
from radishfield.edges import HttpPlatform, PeerNetwork
from radishfield.fleet import (
    FactSpreader,
    LeaseKeeper,
    LoadPoller,
    OrderSender,
    ProfileStore,
)
from radishfield.kernel import Kernel
from radishfield.telemetry import NullTelemetry, Telemetry

PLATFORM_CODES = tuple(code for code in ResultCode if 5000 < code < 6000)
PEER_CODES = tuple(code for code in ResultCode if 6000 < code < 7000)
ORDER_CODES = tuple(code for code in ResultCode if 7000 < code < 8000) + (
    ResultCode.NO_TARGET,
)


def watch_fleet(telemetry: Telemetry | NullTelemetry, kernel: Kernel) -> None:
    """Export the counters of all fleet services that the kernel holds."""
    match kernel.find("platform", object):
        case HttpPlatform() as platform:
            _watch_platform(telemetry, platform)
    match kernel.find("peers", object):
        case PeerNetwork() as peers:
            _watch_peers(telemetry, peers)
    _watch_spread(telemetry, kernel)
    _watch_orders(telemetry, kernel)


def _watch_platform(telemetry: Telemetry, platform: HttpPlatform) -> None:
    telemetry.watch_codes(
        "platform_faults",
        "Calls of the platform that failed, by reason.",
        PLATFORM_CODES,
        lambda: platform.faults_by_code,
    )
    telemetry.watch(
        "platform_calls",
        "Calls of the platform since the start, waiting watches included.",
        lambda: platform.calls_by_kind.total(),
    )


def _watch_peers(telemetry: Telemetry, peers: PeerNetwork) -> None:
    telemetry.watch_codes(
        "peer_frames_dropped",
        "Frames between hosts that were not taken in, by reason.",
        PEER_CODES,
        lambda: peers.dropped_by_code,
    )
    telemetry.watch(
        "peer_bytes_sent",
        "Bytes sent to other hosts since the start.",
        lambda: peers.bytes_sent + peers.streams.bytes_sent,
    )
    telemetry.watch(
        "peers_live",
        "Entry hosts that are live, this one included.",
        lambda: sum(member.state is MemberState.LIVE for member in peers.members()),
    )
    telemetry.watch(
        "peer_accusations_refuted",
        "Times this host was suspected and refuted it: it answers late.",
        lambda: peers.membership.false_accusations,
    )


def _watch_spread(telemetry: Telemetry, kernel: Kernel) -> None:
    spreader = kernel.find("spreader", FactSpreader)
    profiles = kernel.find("profiles", ProfileStore)
    poller = kernel.find("poller", LoadPoller)
    telemetry.watch(
        "fact_exchanges",
        "Exchanges with hosts that knew other facts, since the start.",
        lambda: spreader.exchanges,
    )
    telemetry.watch(
        "profile_versions",
        "Versions of profiles that came in force here.",
        lambda: profiles.changes,
    )
    telemetry.watch(
        "load_polls_failed",
        "Targets that did not answer for their load, since the start.",
        lambda: poller.failures,
    )


def _watch_orders(telemetry: Telemetry, kernel: Kernel) -> None:
    sender = kernel.find("order-sender", OrderSender)
    lease = kernel.find("placement-lease", LeaseKeeper)
    telemetry.watch_codes(
        "orders_refused",
        "Placement orders that were not carried out, by reason.",
        ORDER_CODES,
        lambda: sender.refused_by_code,
    )
    telemetry.watch(
        "orders_sent", "Placement orders sent, since the start.", lambda: sender.sent
    )
    telemetry.watch(
        "lease_lost", "Times the placement lease was lost.", lambda: lease.lost
    )
