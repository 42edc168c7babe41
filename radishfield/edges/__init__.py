"""The edges: callers, targets, the platform, operators and peers."""

from radishfield.edges._absent import (
    AbsentPlatform,
    LonePeer,
)
from radishfield.edges._asgi import (
    BodyLimit,
    read_body,
    send_chunk,
    send_json,
    serve_lifespan,
    start_answer,
)
from radishfield.edges._caller import (
    CallerApp,
)
from radishfield.edges._caller_intake import (
    CallerLimits,
)
from radishfield.edges._listener import (
    HttpListener,
    ListenerConfig,
    serve_app,
)
from radishfield.edges._peer import (
    PeerNetwork,
    PeerSettings,
)
from radishfield.edges._peer_seal import (
    PeerKey,
)
from radishfield.edges._peer_settings import (
    PeerSettings,
)
from radishfield.edges._peer_transport import (
    PeerTransport,
    SocketTransport,
)
from radishfield.edges._platform import (
    HttpPlatform,
    PlatformSettings,
)
from radishfield.edges._target import (
    EngineTargets,
)
from radishfield.edges._target_http import (
    TargetTimeouts,
)
from radishfield.edges._target_protocols import (
    register_protocol,
    targets_for,
)

__all__ = [
    "AbsentPlatform",
    "BodyLimit",
    "CallerApp",
    "CallerLimits",
    "EngineTargets",
    "HttpListener",
    "HttpPlatform",
    "ListenerConfig",
    "LonePeer",
    "PeerKey",
    "PeerNetwork",
    "PeerSettings",
    "PeerTransport",
    "PlatformSettings",
    "SocketTransport",
    "TargetTimeouts",
    "read_body",
    "register_protocol",
    "send_chunk",
    "send_json",
    "serve_app",
    "serve_lifespan",
    "start_answer",
    "targets_for",
]
