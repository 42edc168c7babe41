"""Bounds the share of the event loop that goes to input which is costly to read."""

import trio


class Turns:
    """Lets one piece of costly work after the other rest, in the order of arrival.

    Whoever has done such work waits here before it does more.  However many do, all
    together take the share of time that the rests leave, and other tasks have the rest.
    """

    __slots__ = ("_one_rests", "rests")

    def __init__(self):
        self._one_rests = trio.Lock()
        self.rests = 0

    async def rest(self, rest_s: float) -> None:
        """Wait for the rests that were begun before, and then for this one."""
        self.rests += 1
        async with self._one_rests:
            await trio.sleep(rest_s)
