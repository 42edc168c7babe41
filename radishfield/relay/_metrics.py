"""Counters of relayed connections."""

from radishfield.relay._dialer import TargetDialer
from radishfield.relay._server import RelayServer
from radishfield.telemetry import DeferredTelemetry


def watch_relay(
    telemetry: DeferredTelemetry, server: RelayServer, dialer: TargetDialer
) -> None:
    """Export the counters of both ends."""
    telemetry.watch(
        "connections_relayed",
        "Connections to targets that another host opened for this one.",
        lambda: dialer.relayed,
    )
    telemetry.watch(
        "links_lost",
        "Times that this host's own link to a target was found down.",
        lambda: dialer.links_lost,
    )
    telemetry.watch(
        "relay_open",
        "Connections that this host relays for others, now.",
        lambda: server.open,
    )
    telemetry.watch(
        "relay_served",
        "Connections to targets that this host opened for others.",
        lambda: server.served,
    )
    telemetry.watch(
        "relay_refused",
        "Requests of others to relay that this host refused.",
        lambda: server.refused,
    )
    telemetry.watch(
        "relay_bytes", "Bytes passed on for other hosts.", lambda: server.bytes_passed
    )
