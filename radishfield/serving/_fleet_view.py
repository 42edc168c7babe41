"""Updates the dispatcher's view of targets and of this zone's entry hosts."""

import itertools
from collections.abc import Iterable, Sequence

import trio

from radishfield.core import Link
from radishfield.fleet import TargetDirectory
from radishfield.serving._dispatcher import Dispatcher

# The number of entry hosts that share the zone's targets can change while the targets
# stay the same.  Load reports correct a share that is up to a second old.
MAX_PAUSE_S = 1.0
# Assumed for links that the settings do not name.  Without them, no route would ever
# lead from one zone to another, and zones that hold the model only together would
# refuse all requests.  Half a millisecond is the latency between the users' zones.
# The rate is low enough that a zone's own targets are preferred.
DEFAULT_LINK_LATENCY_S = 0.0005
DEFAULT_LINK_TOKENS_PER_S = 10_000.0


class FleetView:
    """A service that forwards the directory's changes to the dispatcher."""

    __slots__ = ("_directory", "_dispatcher", "_zone", "_links")

    def __init__(
        self,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        zone: str,
        links: tuple[Link, ...] = (),
    ):
        self._directory = directory
        self._dispatcher = dispatcher
        self._zone = zone
        self._links = links

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Forward the initial view, then every change, until cancelled."""
        self._update_dispatcher()
        task_status.started()
        while True:
            seen = self._directory.version
            with trio.move_on_after(MAX_PAUSE_S):
                await self._directory.wait_changed(seen)
            self._update_dispatcher()

    def _update_dispatcher(self) -> None:
        targets = self._directory.targets()
        zones = {target.zone for target in targets}
        self._dispatcher.set_targets(
            targets,
            self._zone,
            links_between(zones, self._links),
            entry_hosts=self._directory.entry_host_count_in_zone(),
        )


def links_between(zones: Iterable[str], configured: Sequence[Link]) -> tuple[Link, ...]:
    """Return a link for each directed pair of zones; configured ones are unchanged."""
    configured_pairs = {(link.from_zone, link.to_zone) for link in configured}
    defaults = [
        Link(one, other, DEFAULT_LINK_LATENCY_S, DEFAULT_LINK_TOKENS_PER_S)
        for one, other in itertools.permutations(sorted(zones), 2)
        if (one, other) not in configured_pairs
    ]
    return (*configured, *defaults)
