"""Simulates a fleet in which every path crosses links between zones.

Hosts are the router's own views on simulated time.  Links carry one prompt after the
other, and the state that hosts exchange arrives with the delay of a network.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryAllowance
from radishfield.routing import Demand, Freshness, TargetLoad, ZoneTotal
from radishfield.routing.conftest import make_engine, make_target

ZONES = "abcde"
HOSTS = 25
SPANS = ((0, 24), (24, 48), (48, 64), (64, 80))
ENGINE = make_engine(
    step_bytes=75_400.0,
    zone_mbps=1_100.0,
    delay_ms_by_pair={pair: 0.5 for pair in itertools.combinations(ZONES, 2)},
)
PROMPT_S = ENGINE.transfer_ms(774) / 1e3
DEMAND = Demand(774, 203)
STREAM_S = 1.5
READ_S = 0.15
OBJECTIVE_S = 0.603
ABANDON_AFTER_S = 1.57
MAX_WAIT_S = 1.44
ANNOUNCE_S, CHECK_INTERVAL_S = 0.25, 0.05
LOST_AT, RESTORED_AT, END = 5.0, 15.0, 22.0


class ScenarioClock:
    def __init__(self):
        self.now_s = 0.0

    def now(self):
        return self.now_s


@dataclass
class Scenario:
    """Simulated hosts and links with the running streams."""

    seed: int
    rate: float = 18.0
    clock: ScenarioClock = field(default_factory=ScenarioClock)
    free_at_by_link: Counter = field(default_factory=Counter)
    on_time_by_second: Counter = field(default_factory=Counter)
    requests_by_second: Counter = field(default_factory=Counter)
    events: list = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.views = []
        for index in range(HOSTS):
            zone = ZONES[index % len(ZONES)]
            view = RouterView(zone, self.clock, RetryAllowance(), Freshness(5.0))
            view.hosts, view.rng = HOSTS, random.Random(self.seed * 100 + index)
            self.views.append(view)
        self.records = [
            make_target(f"{zone}{first}", zone, "a100", (first, end))
            for zone in ZONES
            for first, end in SPANS
        ]
        self.set_targets(self.records)

    def set_targets(self, records):
        for view in self.views:
            view.directory.replace_all({item.id: item for item in records}, 0.0)
        self.zone_by_id = {item.id: item.zone for item in records}

    def schedule(self, at_s, action, *args):
        heapq.heappush(self.events, (at_s, next(self.sequence), action, args))

    def run(self):
        self.schedule(LOST_AT, self.remove_ranges)
        self.schedule(RESTORED_AT, self.set_targets, self.records)
        self.schedule(0.0, self.announce)
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(self.rate)) < END:
            self.schedule(at_s, self.arrive, self.rng.choice(self.views), at_s)
        while self.events and self.events[0][0] < END:
            self.clock.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def remove_ranges(self):
        """Remove one range per zone, a quarter of all at once; no zone is complete."""
        gone = {f"{zone}{SPANS[n % 4][0]}" for n, zone in enumerate(ZONES)}
        self.set_targets([item for item in self.records if item.id not in gone])
        for view in self.views:
            view.notify_capacity_freed()

    def announce(self):
        now = self.clock.now()
        for zone in ZONES:
            zone_views = [view for view in self.views if view.zone == zone]
            shares, load_by_id = Counter(), {}
            for view in zone_views:
                view.links.told_own(now)
                view.load.told_own(now)
                shares.update(view.links.own_shares(now))
                for name, own in view.load.own_by_id.items():
                    total = load_by_id.setdefault(name, TargetLoad())
                    total.requests += own.requests
                    total.token_layers += own.token_layers
                    total.as_first += own.as_first
            for view in self.views:
                delay_s = 0.0 if view.zone == zone else ANNOUNCE_S
                self.schedule(
                    now + delay_s,
                    self.receive_totals,
                    view,
                    zone,
                    now,
                    dict(shares),
                    load_by_id,
                )
        self.schedule(now + ANNOUNCE_S, self.announce)

    def receive_totals(self, view, zone, made_at, shares, load_by_id):
        view.links.sums.take(zone, ZoneTotal(made_at, shares))
        view.load.sums.take(zone, ZoneTotal(made_at, load_by_id))
        view.load.add_up(view.zone, self.clock.now())
        view.links.advance(self.clock.now(), view.zone)

    def arrive(self, view, arrived):
        self.requests_by_second[int(arrived)] += 1
        self.try_path(view, arrived, None)

    def try_path(self, view, arrived, entry):
        """Send over a path if one is found, or wait in the queue."""
        now, queue = self.clock.now(), view.admission_queue("pool")
        records = view.directory.usable("pool", now)
        path = view.path_finder("pool", ENGINE).find(records, DEMAND)
        if path is None:
            entry = entry or queue.join(0, "w", now, 2.4)
            if now - arrived < MAX_WAIT_S:
                self.schedule(
                    now + CHECK_INTERVAL_S, self.try_path, view, arrived, entry
                )
            else:
                queue.leave(entry)
            return
        if entry is not None:
            queue.leave(entry)
        self.send(view, path, arrived)

    def send(self, view, path, arrived):
        now = self.clock.now()
        view.note_crossings(ENGINE, path, DEMAND.prompt)
        first_event_at = now + READ_S
        zones = [self.zone_by_id[stage.target_id] for stage in path]
        for pair in itertools.pairwise(zones):
            if pair[0] != pair[1]:
                link = tuple(sorted(pair))
                start = max(first_event_at, self.free_at_by_link[link])
                first_event_at = self.free_at_by_link[link] = start + PROMPT_S
        for index, stage in enumerate(path):
            view.load.started(
                stage.target_id, DEMAND.tokens * len(stage.span), not index
            )
        if first_event_at - arrived <= OBJECTIVE_S:
            self.on_time_by_second[int(arrived)] += 1
        served = first_event_at - now <= ABANDON_AFTER_S
        ends_at = first_event_at + STREAM_S if served else now + ABANDON_AFTER_S
        self.schedule(ends_at, self.end, view, path)

    def end(self, view, path):
        for index, stage in enumerate(path):
            view.load.ended(stage.target_id, DEMAND.tokens * len(stage.span), not index)


@pytest.mark.parametrize("seed", range(4))
def test_service_goes_on_while_every_path_crosses(seed):
    """Each zone loses a range of layers at once and gets it back 10 s later.

    A prompt occupies a link for 0.4 s, and 18 arrive per second.  If hosts sent them
    over any link that seems free, they would queue for seconds behind prompts whose
    callers have left, and no request would be served until long after the layers are
    back.
    """
    scenario = Scenario(seed).run()
    outage = range(int(LOST_AT) + 1, int(RESTORED_AT) - 1)
    assert sum(scenario.on_time_by_second[s] == 0 for s in outage) == 0
    for second in range(int(RESTORED_AT) + 2, int(END) - 1):
        assert scenario.on_time_by_second[second] == scenario.requests_by_second[second]


def test_calm_fleet_is_not_held_back():
    scenario = Scenario(9)
    scenario.remove_ranges = lambda: None
    scenario.run()
    for second in range(1, int(END) - 1):
        assert scenario.on_time_by_second[second] == scenario.requests_by_second[second]
