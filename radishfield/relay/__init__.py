"""Connections to targets that another entry host opens for this one.

A host whose own link to a target is down still serves its callers: another host that
reaches the target opens the connection and passes the bytes on.  All decisions on a
request stay at the host that took it from its caller.
"""

from radishfield.relay._dialer import CONNECT_TIMEOUT_S, Dialed, TargetDialer
from radishfield.relay._key import RelayKey
from radishfield.relay._metrics import watch_relay
from radishfield.relay._server import RelayServer
from radishfield.relay._streams import TargetStream

__all__ = [
    "CONNECT_TIMEOUT_S",
    "Dialed",
    "RelayKey",
    "RelayServer",
    "TargetDialer",
    "TargetStream",
    "watch_relay",
]
