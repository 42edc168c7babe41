"""Whether a process listens at an address.

A process that has ended listens no more, and its host refuses new connections at once.
A connection that was only reset leaves one that listens; behind a link that is cut
nothing answers at all, which proves nothing.
"""

import trio

LISTEN_TIMEOUT_S = 0.4
"""A host of the region accepts or refuses a connection within milliseconds."""


async def listens(host: str, port: int) -> bool | None:
    """Return whether anybody listens; None where nobody answers in time."""
    with trio.move_on_after(LISTEN_TIMEOUT_S), trio.socket.socket() as sock:
        try:
            await sock.connect((host, port))
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
        return True
    return None
