"""What this host believes at the moment: configuration, targets, load, peers."""

import random
from dataclasses import dataclass, field

import trio

from radishfield.core import Clock
from radishfield.routing import (
    Freshness,
    LoadBook,
    RetryAllowance,
    RetryBudget,
    RouteRule,
    RoutingTable,
    ServiceSpec,
    TargetDirectory,
    takes_work,
)


@dataclass(slots=True)
class RouterView:
    """Shared by all services of the process; only the followers and peers write it.

    Attributes
    ----------
    hosts : int
        Entry hosts that share the fleet's allowances, this one included; counts
        hosts that are cut off too, since they go on spending.
    duty_told_at : dict
        When another host last said that it holds a service's placement.
    room_freed : trio.Event
        Set, and replaced, whenever waiting requests should look again.
    """

    zone: str
    clock: Clock
    allowance: RetryAllowance
    freshness: Freshness
    grace_s: float = 8.0
    table: RoutingTable | None = None
    directory: TargetDirectory = field(default_factory=TargetDirectory)
    load: LoadBook = field(default_factory=LoadBook)
    pace_by_id: dict[str, float] = field(default_factory=dict)
    hosts: int = 1
    leaving_since: float | None = None
    in_flight: int = 0
    chance: random.Random = field(default_factory=random.Random)
    room_freed: trio.Event = field(default_factory=trio.Event)
    duty_told_at: dict[str, float] = field(default_factory=dict)
    _budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)

    @property
    def leaving(self) -> bool:
        """Return whether this host was told to leave."""
        return self.leaving_since is not None

    def takes_work(self, longest_s: float) -> bool:
        """Return whether a request that may take so long is still taken."""
        leaving_for_s = None
        if self.leaving_since is not None:
            leaving_for_s = self.clock.now() - self.leaving_since
        return takes_work(leaving_for_s, self.grace_s, longest_s)

    def budget(self, service: str) -> RetryBudget:
        """Return the service's allowance of repeats."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(self.allowance)
        return budget

    def pick_service(self, route: RouteRule) -> ServiceSpec | None:
        """Return one of the route's services, by weight."""
        shares = route.shares
        share = shares[0]
        if len(shares) > 1:
            weights = [part.weight for part in shares]
            share = self.chance.choices(shares, weights)[0]
        known = self.table.config.service_by_name.get(share.service)
        return known or ServiceSpec(share.service, "", 100)

    def free_room(self) -> None:
        """Wake the requests that wait for a target."""
        event, self.room_freed = self.room_freed, trio.Event()
        event.set()
