"""A fleet in which every path crosses links between zones, in modelled time.

Hosts are the router's own views; links carry one prompt after the other, and what
hosts tell each other arrives as late as it does on a network.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryAllowance
from radishfield.routing import Demand, Freshness, TargetLoad, ZoneSum
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
GIVEN_UP_S = 1.57
PATIENCE_S = 1.44
TELL_S, LOOK_S = 0.25, 0.05
LOST_AT, BACK_AT, END = 5.0, 15.0, 22.0


class SceneClock:
    def __init__(self):
        self.reading = 0.0

    def now(self):
        return self.reading


@dataclass
class Scene:
    """Hosts, links and the streams that run."""

    seed: int
    rate: float = 18.0
    clock: SceneClock = field(default_factory=SceneClock)
    free_at: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    asked: Counter = field(default_factory=Counter)
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self):
        self.chance = random.Random(self.seed)
        self.views = []
        for index in range(HOSTS):
            zone = ZONES[index % len(ZONES)]
            view = RouterView(zone, self.clock, RetryAllowance(), Freshness(5.0))
            view.hosts, view.chance = HOSTS, random.Random(self.seed * 100 + index)
            self.views.append(view)
        self.records = [
            make_target(f"{zone}{first}", zone, "a100", (first, end))
            for zone in ZONES
            for first, end in SPANS
        ]
        self.list_all(self.records)

    def list_all(self, records):
        for view in self.views:
            view.directory.replace_all({item.id: item for item in records}, 0.0)
        self.zone_by_id = {item.id: item.zone for item in records}

    def at(self, when, act, *given):
        heapq.heappush(self.events, (when, next(self.numbers), act, given))

    def play(self):
        self.at(LOST_AT, self.lose)
        self.at(BACK_AT, self.list_all, self.records)
        self.at(0.0, self.tell)
        when = 0.0
        while (when := when + self.chance.expovariate(self.rate)) < END:
            self.at(when, self.arrive, self.chance.choice(self.views), when)
        while self.events and self.events[0][0] < END:
            self.clock.reading, _, act, given = heapq.heappop(self.events)
            act(*given)
        return self

    def lose(self):
        """Each zone loses one range, so that none is whole: a quarter, at once."""
        gone = {f"{zone}{SPANS[n % 4][0]}" for n, zone in enumerate(ZONES)}
        self.list_all([item for item in self.records if item.id not in gone])
        for view in self.views:
            view.free_room()

    def tell(self):
        now = self.clock.now()
        for zone in ZONES:
            near = [view for view in self.views if view.zone == zone]
            shares, held = Counter(), {}
            for view in near:
                view.links.told_own(now)
                view.load.told_own(now)
                shares.update(view.links.own_shares(now))
                for name, own in view.load.own_by_id.items():
                    total = held.setdefault(name, TargetLoad())
                    total.requests += own.requests
                    total.token_layers += own.token_layers
                    total.as_first += own.as_first
            for view in self.views:
                late = 0.0 if view.zone == zone else TELL_S
                self.at(now + late, self.hear, view, zone, now, dict(shares), held)
        self.at(now + TELL_S, self.tell)

    def hear(self, view, zone, made_at, shares, held):
        view.links.sums.take(zone, ZoneSum(made_at, shares))
        view.load.sums.take(zone, ZoneSum(made_at, held))
        view.load.add_up(view.zone, self.clock.now())
        view.links.advance(self.clock.now(), view.zone)

    def arrive(self, view, arrived):
        self.asked[int(arrived)] += 1
        self.look(view, arrived, None)

    def look(self, view, arrived, entry):
        """Take a path, or stand in line for one."""
        now, queue = self.clock.now(), view.admission_queue("pool")
        records = view.directory.usable("pool", now)
        path = view.path_finder("pool", ENGINE).find(records, DEMAND)
        if path is None:
            entry = entry or queue.join(0, "w", now, 2.4)
            if now - arrived < PATIENCE_S:
                self.at(now + LOOK_S, self.look, view, arrived, entry)
            else:
                queue.leave(entry)
            return
        if entry is not None:
            queue.leave(entry)
        self.send(view, path, arrived)

    def send(self, view, path, arrived):
        now = self.clock.now()
        view.note_crossings(ENGINE, path, DEMAND.prompt)
        first_at = now + READ_S
        zones = [self.zone_by_id[part.target_id] for part in path]
        for pair in itertools.pairwise(zones):
            if pair[0] != pair[1]:
                name = tuple(sorted(pair))
                begin = max(first_at, self.free_at[name])
                first_at = self.free_at[name] = begin + PROMPT_S
        for index, part in enumerate(path):
            view.load.started(part.target_id, DEMAND.tokens * len(part.span), not index)
        if first_at - arrived <= OBJECTIVE_S:
            self.in_time[int(arrived)] += 1
        served = first_at - now <= GIVEN_UP_S
        ends_at = first_at + STREAM_S if served else now + GIVEN_UP_S
        self.at(ends_at, self.end, view, path)

    def end(self, view, path):
        for index, part in enumerate(path):
            view.load.ended(part.target_id, DEMAND.tokens * len(part.span), not index)


@pytest.mark.parametrize("seed", range(4))
def test_service_goes_on_while_every_path_crosses(seed):
    """Each zone loses a range of layers at once, and ten seconds later has it back.

    A prompt holds a link for 0.4 s, and 18 come a second.  Sent over whatever link
    looks free, they stand for seconds behind prompts that nobody waits for any more,
    and nobody is served until long after the layers are back.
    """
    scene = Scene(seed).play()
    lost = range(int(LOST_AT) + 1, int(BACK_AT) - 1)
    assert sum(scene.in_time[s] == 0 for s in lost) == 0
    for second in range(int(BACK_AT) + 2, int(END) - 1):
        assert scene.in_time[second] == scene.asked[second]


def test_calm_fleet_is_not_held_back():
    scene = Scene(9)
    scene.lose = lambda: None
    scene.play()
    for second in range(1, int(END) - 1):
        assert scene.in_time[second] == scene.asked[second]
