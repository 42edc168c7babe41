"""Finds free ports on loopback that stay free until they are bound.

Ports come from below the kernel's ephemeral range: a port from that range may be
in use for an outgoing connection by the time a process binds it.
"""

import random
import socket

FIRST_PORT, LAST_PORT = 20_000, 29_999


_assigned_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return unbound ports that were not returned to this process before.

    They are free for both TCP and UDP.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if port not in _assigned_ports and _is_free(port):
            _assigned_ports.add(port)
            found.append(port)
    return found


def free_port() -> int:
    """Return one port as `free_ports` does."""
    return free_ports(1)[0]


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
