"""Tells other hosts under which requests targets ended.

News goes to every host at once: to those of the own zone, and to two of each other
zone, which pass it on within theirs.  A host that missed some, because it slept, was
cut off or has just started, has another checksum in its status and is told again.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from radishfield.crashes import CrashReport
from radishfield.forwarding._peer_messages import NEWS_BYTES, PeerCrashes, encoder
from radishfield.forwarding._peers import Peer, PeerBook
from radishfield.forwarding._view import RouterView

TELL_AGAIN_S = 1.0
"""Shortest pause between two repairs of one host: its next status shows what came."""

Send = Callable[[bytes, Iterable[Peer]], None]


class CrashGossip:
    """Sends what this host knows, and takes in what others know."""

    __slots__ = ("_book", "_host_id", "_send", "_told_at_by_host", "_view")

    def __init__(self, host_id: str, view: RouterView, book: PeerBook, send: Send):
        self._host_id = host_id
        self._view = view
        self._book = book
        self._send = send
        self._told_at_by_host: dict[str, float] = {}

    async def tell_news(self) -> None:
        """Tell all hosts what this one found, until cancelled."""
        while True:
            await self._view.crash_news.wait()
            digests = self._view.crash_news.take()
            self._tell(digests, [*self._near(), *self._book.far_watchers()])

    def hear(self, message: PeerCrashes) -> None:
        """Take in what another host knows, and pass it on within the zone."""
        news = self._view.crashes.learn(message.reports, message.host_id)
        if news and message.zone != self._view.zone:
            self._tell(news, self._near())

    def compare(self, host_id: str, peer: Peer, checksum: int) -> None:
        """Tell a host what it may have missed, if it knows something else."""
        now = self._view.clock.now()
        if checksum == self._view.crashes.book.checksum():
            return
        if now - self._told_at_by_host.get(host_id, -TELL_AGAIN_S) < TELL_AGAIN_S:
            return
        self._told_at_by_host[host_id] = now
        self._tell(self._view.crashes.book.lasting(), [peer])

    def _near(self) -> list[Peer]:
        return self._book.present_near(self._view.clock.now())

    def _tell(self, digests: Iterable[str], peers: list[Peer]) -> None:
        reports = [self._view.crashes.report(digest) for digest in digests]
        for batch in _batches(reports):
            message = PeerCrashes(self._host_id, self._view.zone, batch)
            self._send(encoder.encode(message), peers)


def _batches(reports: Iterable[CrashReport]) -> Iterator[list[CrashReport]]:
    """Yield reports in batches that each fit a datagram."""
    batch: list[CrashReport] = []
    left = NEWS_BYTES
    for report in reports:
        size = len(msgspec.msgpack.encode(report))
        if size > left and batch:
            yield batch
            batch, left = [], NEWS_BYTES
        batch.append(report)
        left -= size
    if batch:
        yield batch
