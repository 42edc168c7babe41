"""Finds free ports on loopback that stay free until they are bound.

Ports come from below the kernel's ephemeral range: a port from that range may be
in use for an outgoing connection by the time a process binds it.  Each port is reserved
among all processes that use this module, since another one may find the same port free
before the first has bound it.
"""

import fcntl
import os
import random
import socket
import tempfile
from functools import cache
from pathlib import Path

FIRST_PORT, LAST_PORT = 20_000, 29_999


_assigned_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return unbound ports that were not returned to a running process before.

    They are free for both TCP and UDP.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if port not in _assigned_ports and _reserve(port) and _is_free(port):
            _assigned_ports.add(port)
            found.append(port)
    return found


def free_port() -> int:
    """Return one port as `free_ports` does."""
    return free_ports(1)[0]


def _reserve(port: int) -> bool:
    """Reserve a port until this process ends; False if another one has reserved it."""
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


@cache
def _reservations() -> int:
    """Open the file whose locked bytes are the reserved ports.

    The file must not be opened a second time: a process loses all its locks on a file
    when it closes any of its descriptors.
    """
    name = f"radishfield-ports-{os.getuid()}.lock"
    path = Path(tempfile.gettempdir()) / name
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
