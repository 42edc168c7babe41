"""Free ports on loopback that stay free until they are bound.

Taken from below the range that the kernel hands out for outgoing connections:
a port from within it may be in use again by the time a process binds it.
"""

import random
import socket

FIRST, LAST = 20_000, 29_999


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on."""
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randint(FIRST, LAST)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def free_port() -> int:
    """Return one such port."""
    return free_ports(1)[0]


def _is_free(port: int) -> bool:
    with socket.socket() as tried:
        try:
            tried.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
