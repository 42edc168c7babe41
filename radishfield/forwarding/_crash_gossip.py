"""Reports requests that crash their targets to the other hosts.

New reports go to every host at once: to those of the own zone, and to two of each
other zone, which forward them within theirs.  A host that missed some, because it was
suspended, was partitioned or has just started, has another checksum in its status and
is sent the reports again.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from radishfield.crashes import CrashReport
from radishfield.forwarding._peer_messages import MAX_UPDATE_BYTES, PeerCrashes, encoder
from radishfield.forwarding._peers import Peer, PeerBook
from radishfield.forwarding._view import RouterView

RESEND_INTERVAL_S = 1.0
"""Minimum interval between resends to one host: its next status shows what arrived."""

Send = Callable[[bytes, Iterable[Peer]], None]


class CrashGossip:
    """Sends crash reports to other hosts and merges the reports received from them."""

    __slots__ = ("_book", "_host_id", "_send", "_sent_at_by_host", "_view")

    def __init__(self, host_id: str, view: RouterView, book: PeerBook, send: Send):
        self._host_id = host_id
        self._view = view
        self._book = book
        self._send = send
        self._sent_at_by_host: dict[str, float] = {}

    async def send_new_reports(self) -> None:
        """Send new crash reports to all hosts until cancelled."""
        while True:
            await self._view.crash_updates.wait()
            traits = self._view.crash_updates.take()
            with self._view.boundary.contain("crashes.send"):
                self._send_reports(
                    traits, [*self._zone_peers(), *self._book.remote_watchers()]
                )

    def handle_report(self, message: PeerCrashes) -> None:
        """Merge reports of another host and forward new ones within the zone."""
        new_traits = self._view.crashes.learn(message.reports, message.host_id)
        if new_traits and message.zone != self._view.zone:
            self._send_reports(new_traits, self._zone_peers())

    def compare(self, host_id: str, peer: Peer, checksum: int) -> None:
        """Resend the lasting reports to a host whose status has another checksum."""
        now = self._view.clock.now()
        if checksum == self._view.crashes.book.checksum():
            return
        if (
            now - self._sent_at_by_host.get(host_id, -RESEND_INTERVAL_S)
            < RESEND_INTERVAL_S
        ):
            return
        self._sent_at_by_host[host_id] = now
        self._send_reports(self._view.crashes.book.repeated_traits(), [peer])

    def _zone_peers(self) -> list[Peer]:
        return self._book.present_zone_peers(self._view.clock.now())

    def _send_reports(self, traits: Iterable[str], peers: list[Peer]) -> None:
        reports = [self._view.crashes.report(trait) for trait in traits]
        for batch in _batches(reports):
            message = PeerCrashes(self._host_id, self._view.zone, batch)
            self._send(encoder.encode(message), peers)


def _batches(reports: Iterable[CrashReport]) -> Iterator[list[CrashReport]]:
    """Yield reports in batches that each fit a datagram."""
    batch: list[CrashReport] = []
    free_bytes = MAX_UPDATE_BYTES
    for report in reports:
        size = len(msgspec.msgpack.encode(report))
        if size > free_bytes and batch:
            yield batch
            batch, free_bytes = [], MAX_UPDATE_BYTES
        batch.append(report)
        free_bytes -= size
    if batch:
        yield batch
