"""Counts the calls to the store after it came back from a copy.

Usage: ``python -m bench.store_return HOSTS...``.  All hosts of a zone run in one
process and in virtual time; their addresses are missing in the copy, and the
configuration and the entries of targets are written again.
"""

import random
import sys
from collections import Counter

import trio
import trio.testing

from radishfield.forwarding import _gossip
from standins.follower_zone import FollowerZone
from standins.routed_config import config, target_entry

CALM_S = 15.0
COUNTED_S = 5.0
TARGETS = 30
BEAT_S = 1.2


class CallCounts:
    """Calls of all hosts by kind, in a calm time and after the return."""

    def __init__(self):
        self.calm: Counter[str] = Counter()
        self.after: Counter[str] = Counter()


async def _beat(zone: FollowerZone, number: int) -> None:
    """Write a target's entry every heartbeat."""
    beats = 0
    await trio.sleep(random.Random(number).uniform(0.0, BEAT_S))
    while True:
        beats += 1
        entry = target_entry("portal", f"10.9.9.{number + 1}:80", seq=beats)
        zone.store.put("servers", f"t{number}", entry)
        await trio.sleep(BEAT_S)


def _calls(zone: FollowerZone) -> Counter[str]:
    return sum((host.link.calls for host in zone.hosts), Counter())


async def _play(hosts: int, counts: CallCounts) -> None:
    zone = FollowerZone(hosts)
    _gossip.DatagramSocket = zone.open_socket
    zone.store.put("config", "main", config())
    async with trio.open_nursery() as nursery:
        for number in range(TARGETS):
            nursery.start_soon(_beat, zone, number)
        await zone.start(nursery)
        await trio.sleep(CALM_S)
        before = _calls(zone)
        await trio.sleep(COUNTED_S)
        counts.calm = _calls(zone) - before
        copy = zone.store.copy()
        copy.items["radishfield-hosts"].clear()
        await trio.sleep(2.0)
        zone.store.restore(copy)
        before = _calls(zone)
        zone.store.put("config", "main", config())
        await trio.sleep(COUNTED_S)
        counts.after = _calls(zone) - before
        nursery.cancel_scope.cancel()


def main(sizes: list[int]) -> None:
    """Print a line for each number of hosts."""
    for hosts in sizes:
        counts = CallCounts()
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(_play, hosts, counts, clock=clock)
        for name, calls in (("calm", counts.calm), ("returned", counts.after)):
            parts = ", ".join(
                f"{kind} {count}" for kind, count in sorted(calls.items())
            )
            print(f"{hosts} hosts, {name}: {calls.total()} in {COUNTED_S} s ({parts})")


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [9])
