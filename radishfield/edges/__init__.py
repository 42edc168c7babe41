"""The edges: callers, targets, the platform, operators and peers."""

from radishfield.edges._peer import PeerNetwork
from radishfield.edges._peer_seal import PeerKey
from radishfield.edges._peer_settings import PeerSettings
from radishfield.edges._peer_transport import PeerTransport, SocketTransport
from radishfield.edges._platform import HttpPlatform, PlatformSettings

__all__ = [
    "HttpPlatform",
    "PeerKey",
    "PeerNetwork",
    "PeerSettings",
    "PeerTransport",
    "PlatformSettings",
    "SocketTransport",
]
