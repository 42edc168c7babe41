"""Plays requests at targets against the book alone, in virtual time.

Each crash cuts all requests that a target was about to begin, which are sent again to
the targets that are left, as those of a real fleet are.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import pytest

from radishfield.crashes import CrashBook, RequestTraits, TargetCrash, part_trait
from radishfield.crashes._book import CRASH_WINDOW_S

TARGETS = 6
RESTART_S = 3.0
SOUND_PER_S = 40.0
STREAM_S = 1.3
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.05
CALM_S, TROUBLE_S = 20.0, 30.0
CONTACT_S = 3.0
MAX_LATE = 3
SUBJECTS = 60
POPULAR_SHARE = 0.01
MAX_REFUSED_SHARE = 0.01


@dataclass(eq=False)
class Stream:
    traits: RequestTraits
    bad: bool = False
    attempts: int = 0
    begun_at: float | None = None


@dataclass
class Fleet:
    """Targets that take a moment to begin a stream, and crash under bad ones."""

    rng: random.Random
    bad_parts: tuple[str, ...] = ()
    bad_per_s: float = 2.0
    other_crashes_per_s: float = 0.0
    book: CrashBook = field(default_factory=CrashBook)
    now: float = 0.0
    streams_by_target: dict[str, dict[Stream, None]] = field(default_factory=dict)
    crashes: list[float] = field(default_factory=list)
    late: int = 0
    sound: int = 0
    refused_sound: int = 0
    requests_by_part: Counter = field(default_factory=Counter)
    refused_parts: set[str] = field(default_factory=set)
    _events: list = field(default_factory=list)
    _numbers: count = field(default_factory=count)

    def at(self, delay_s, action):
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def run(self):
        for number in range(TARGETS):
            self.streams_by_target[f"t{number}"] = {}
        self.arrive_sound()
        for part in self.bad_parts:
            self.at(CALM_S, lambda part=part: self.arrive_bad(part))
        if self.other_crashes_per_s:
            self.at(CALM_S, self.crash_any)
        while self._events and self._events[0][0] < CALM_S + TROUBLE_S:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def arrive_sound(self):
        self.at(self.rng.expovariate(SOUND_PER_S), self.arrive_sound)
        # A few subjects get most of the requests, and some hardly any.
        subject = int(SUBJECTS * self.rng.random() ** 3)
        first = self.rng.randrange(3)
        parts = (part_trait(f"f{first}"), part_trait(f"a{subject:x}"))
        stream = Stream(RequestTraits(f"d{next(self._numbers)}", parts))
        self.sound += 1
        self.requests_by_part.update(parts)
        verdict = self.book.verdict_of(stream.traits.all, self.now)
        if verdict is None:
            self.send(stream)
            return
        self.refused_sound += 1
        self.refused_parts |= verdict.traits

    def popular_parts(self):
        """Return the parts that one of a hundred sound requests or more have."""
        counts = self.requests_by_part.items()
        return {part for part, number in counts if number >= POPULAR_SHARE * self.sound}

    def arrive_bad(self, part):
        self.at(self.rng.expovariate(self.bad_per_s), lambda: self.arrive_bad(part))
        first = self.rng.randrange(3)
        subject = self.rng.randrange(SUBJECTS)
        parts = (part_trait(f"f{first}"), part, part_trait(f"a{subject:x}"))
        self.send(Stream(RequestTraits(f"d{next(self._numbers)}", parts), bad=True))

    def send(self, stream):
        if self.book.verdict_of(stream.traits.all, self.now) is not None:
            return
        wait_s = self.book.settles_in_s(stream.traits.all, self.now)
        if wait_s > 0:
            self.at(wait_s + 0.001, lambda: self.send(stream))
            return
        if not self.streams_by_target or stream.attempts >= MAX_ATTEMPTS:
            return
        if stream.bad:
            proven = len(self.crashes) >= 5 * max(1, len(self.bad_parts))
            if proven:
                fifth_at = self.crashes[5 * len(self.bad_parts) - 1]
                self.late += self.now > fifth_at + CONTACT_S
        stream.attempts += 1
        stream.begun_at = None
        target = self.rng.choice(sorted(self.streams_by_target))
        self.streams_by_target[target][stream] = None
        self.at(self.rng.uniform(0.05, 0.15), lambda: self.begin(target, stream))

    def begin(self, target, stream):
        if stream not in self.streams_by_target.get(target, ()):
            return
        if stream.bad:
            self.crash(target)
            return
        stream.begun_at = self.now
        self.at(CRASH_WINDOW_S, lambda: self.outlive(target, stream))

    def outlive(self, target, stream):
        if stream not in self.streams_by_target.get(target, ()):
            return
        for trait in stream.traits.all:
            self.book.add_survival(trait, self.now)
        del self.streams_by_target[target][stream]

    def crash_any(self):
        self.at(self.rng.expovariate(self.other_crashes_per_s), self.crash_any)
        if self.streams_by_target:
            self.crash(self.rng.choice(sorted(self.streams_by_target)))

    def crash(self, target):
        self.crashes.append(self.now)
        crash = TargetCrash(target, 1, "host-1", self.now)
        for stream in self.streams_by_target.pop(target):
            for trait in stream.traits.all:
                self.book.add_crash(trait, crash, len(stream.traits.all))
            self.at(RETRY_PAUSE_S, lambda stream=stream: self.send(stream))
        again = f"t{next(self._numbers)}"
        self.at(RESTART_S, lambda: self.streams_by_target.setdefault(again, {}))


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("bad", [("b",), ("b", "c")])
def test_crashing_parts_are_found_and_no_other_is_refused(seed, bad):
    """Guards against a part that is found late, and refusals of those beside it."""
    fleet = Fleet(random.Random(seed), tuple(part_trait(name) for name in bad))
    fleet.run()
    assert fleet.late <= MAX_LATE * len(bad)
    assert len(fleet.crashes) <= 8 * len(bad)
    assert fleet.refused_parts.isdisjoint(fleet.popular_parts())
    assert fleet.refused_sound <= MAX_REFUSED_SHARE * fleet.sound


@pytest.mark.parametrize("seed", range(12))
def test_no_part_is_refused_while_targets_crash_for_other_reasons(seed):
    """Guards against blaming what happens to be in flight at each crash."""
    fleet = Fleet(random.Random(seed), other_crashes_per_s=1.0)
    fleet.run()
    assert len(fleet.crashes) > 10
    assert fleet.refused_parts.isdisjoint(fleet.popular_parts())
    assert fleet.refused_sound <= MAX_REFUSED_SHARE * fleet.sound


@pytest.mark.parametrize("seed", range(12))
def test_crashing_part_is_found_beside_crashes_with_other_causes(seed):
    """Guards against crashes of other causes that hide the part, or blame others."""
    fleet = Fleet(random.Random(seed), (part_trait("b"),), other_crashes_per_s=0.5)
    fleet.run()
    assert fleet.book.verdict(part_trait("b"), fleet.now) is not None
    assert fleet.refused_parts.isdisjoint(fleet.popular_parts())
    assert fleet.refused_sound <= MAX_REFUSED_SHARE * fleet.sound
