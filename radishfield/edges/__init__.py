"""Interfaces to callers, targets, the platform, operators and peer hosts."""

from radishfield.edges._absent import (
    AbsentPlatform,
    LonePeer,
)
from radishfield.edges._caller import (
    CallerApp,
)
from radishfield.edges._caller_intake import (
    CallerLimits,
)
from radishfield.edges._operator import (
    MetricsApp,
    OperatorApp,
)
from radishfield.edges._operator_messages import (
    Explanation,
    HostBody,
    ProfileBody,
    ProfileList,
    ProfileView,
    RetireBody,
    TargetBody,
    TargetList,
)
from radishfield.edges._peer import (
    PeerNetwork,
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
from radishfield.edges._status import (
    ErrorBody,
    http_status,
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
from radishfield.web import (
    BodyLimit,
    GatedListener,
    ListenerConfig,
    read_body,
    send_chunk,
    send_json,
    serve_app,
    serve_lifespan,
    start_answer,
)

__all__ = [
    "AbsentPlatform",
    "BodyLimit",
    "CallerApp",
    "CallerLimits",
    "EngineTargets",
    "ErrorBody",
    "Explanation",
    "GatedListener",
    "HostBody",
    "HttpPlatform",
    "ListenerConfig",
    "LonePeer",
    "MetricsApp",
    "OperatorApp",
    "PeerKey",
    "PeerNetwork",
    "PeerSettings",
    "PeerTransport",
    "PlatformSettings",
    "ProfileBody",
    "ProfileList",
    "ProfileView",
    "RetireBody",
    "SocketTransport",
    "TargetBody",
    "TargetList",
    "TargetTimeouts",
    "http_status",
    "read_body",
    "register_protocol",
    "send_chunk",
    "send_json",
    "serve_app",
    "serve_lifespan",
    "start_answer",
    "targets_for",
]
