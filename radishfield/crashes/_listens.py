"""Checks whether a process listens at an address.

After a process has ended, its host refuses new connections at once.  After a mere reset
of a connection, the process still listens.  Over a partitioned link there is no answer
at all, which proves nothing.
"""

import trio

LISTEN_TIMEOUT_S = 0.4
"""A host of the region accepts or refuses a connection within milliseconds."""


async def is_listening(host: str, port: int) -> bool | None:
    """Return whether a process listens; None if there is no answer in time."""
    with trio.move_on_after(LISTEN_TIMEOUT_S), trio.socket.socket() as sock:
        try:
            await sock.connect((host, port))
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
        return True
    return None
