"""Free ports on loopback that stay free until they are bound.

Taken from below the range that the kernel hands out for outgoing connections:
a port from within it may be in use again by the time a process binds it.
"""

import random
import socket

FIRST, LAST = 20_000, 29_999


_given_out: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody has bound and that this process got never before.

    They are free for TCP and for UDP.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randint(FIRST, LAST)
        if port not in _given_out and _is_free(port):
            _given_out.add(port)
            found.append(port)
    return found


def free_port() -> int:
    """Return one such port."""
    return free_ports(1)[0]


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as tried:
            try:
                tried.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
