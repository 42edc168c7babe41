"""Keeps the signal to read the settings again while the router is still loading.

Until a handler is set, the signal ends the process.  Nothing but the standard library
may be imported here.
"""

import signal


class EarlyReload:
    """Whether the signal came before the router handles it."""

    __slots__ = ("asked",)

    def __init__(self):
        self.asked = False

    def install(self) -> None:
        """Handle the signal from now on; the event loop replaces this handler."""
        signal.signal(signal.SIGHUP, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        self.asked = True


early_reload = EarlyReload()
