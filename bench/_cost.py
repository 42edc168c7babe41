"""Measures processor time and memory of decisions by targets and workspaces."""

import statistics
import time
import tracemalloc

from bench._fleets import LAYERS, STAGE_LAYERS
from bench._load import MODEL
from bench._runs import Result
from radishfield.core import LayerRange, Link, LoadReport, Priority, Target, TargetKind
from radishfield.decisions import Dispatch, Scheduler, Work

DECISIONS = 2000
BATCH = 100
"""Requests timed together; the median batch excludes disturbance by other processes."""

RUNNING = 100
"""Requests in flight at one entry host while decisions are timed."""

AIM_US = 200.0
ZONE_TARGETS = 65
"""Targets per zone at the target fleet size, 1,100 targets in 17 zones."""


def make_fleet(count: int) -> tuple[list[Target], list[Link]]:
    """Return targets, about 65 a zone in at least three zones, and their links."""
    zones = [f"z{i}" for i in range(max(3, count // ZONE_TARGETS))]
    targets = []
    for index in range(count):
        stage = index // len(zones) % 4
        speed = (100.0, 200.0, 200.0, 400.0)[index // len(zones) // 4 % 4]
        targets.append(
            Target(
                id=f"t{index}",
                host=f"h{index}",
                zone=zones[index % len(zones)],
                address="127.0.0.1:1",
                model=MODEL,
                layers=LayerRange(stage * STAGE_LAYERS, (stage + 1) * STAGE_LAYERS),
                model_layers=LAYERS,
                speed_tps=speed,
                slots=8,
            )
        )
    links = [
        Link(here, there, 0.0005, 20_000.0 if here == there else 500.0)
        for here in zones
        for there in zones
    ]
    return targets, links


def make_work(index: int, workspaces: int) -> Work:
    """Return a request of one of `workspaces` workspaces."""
    return Work(
        f"r{index}",
        f"w{index * 7919 % workspaces}",
        MODEL,
        TargetKind.ENGINE,
        Priority.NORMAL,
        0.0,
        1e6,
        100,
        100,
    )


def decision_us(targets: int, workspaces: int = 10_000) -> dict[str, float]:
    """Return microseconds of processor time for each kind of call."""
    fleet, links = make_fleet(targets)
    scheduler = Scheduler()
    started = time.process_time()
    scheduler.set_fleet(fleet, links, "z0", 9, 0.0)
    plan_us = (time.process_time() - started) * 1e6
    _fill(scheduler, workspaces)
    batches = [
        _request_us(scheduler, RUNNING + start, workspaces)
        for start in range(0, DECISIONS, BATCH)
    ]
    request_us = statistics.median(batches)
    return {
        "request_us": request_us,
        "token_us": _token_us(scheduler),
        "report_us": _report_us(scheduler, fleet),
        "plan_us": plan_us,
    }


def queue_bytes(workspaces: int) -> dict[str, float]:
    """Return MB held after one withdrawn entry per workspace, and with one queued."""
    fleet, links = make_fleet(30)
    scheduler = Scheduler()
    scheduler.set_fleet(fleet, links, "z0", 9, 0.0)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    waiting = 0
    for index in range(workspaces):
        work = make_work(index, workspaces)
        scheduler.offer(work, 0.0)
        scheduler.withdraw(work.request_id, 0.0)
    idle, _ = tracemalloc.get_traced_memory()
    for index in range(workspaces):
        scheduler.offer(make_work(index, workspaces), 0.0)
        waiting = index + 1
    full, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "idle_mb": (idle - before) / 1e6,
        "offered": float(waiting),
        "full_mb": (full - before) / 1e6,
    }


def cost_per_decision() -> Result:
    """Measure the decisions for a request with 30 and with 1,100 targets."""
    small, large = decision_us(30), decision_us(1100)
    memory = queue_bytes(42_000)
    details = {
        "request_us_30": small["request_us"],
        "token_us": large["token_us"],
        "report_us": large["report_us"],
        "plan_ms_1100": large["plan_us"] / 1000,
        "idle_mb_42000": memory["idle_mb"],
        "full_mb_42000": memory["full_mb"],
    }
    metric = large["request_us"]
    return Result("cost", metric, {"scheduler": metric}, AIM_US, False, details)


def _fill(scheduler: Scheduler, workspaces: int) -> None:
    for index in range(RUNNING):
        scheduler.offer(make_work(index, workspaces), 0.0)
    started = [item for item in scheduler.take(0.0) if isinstance(item, Dispatch)]
    if not started:
        raise ValueError("the scheduler dispatched no requests")


def _request_us(scheduler: Scheduler, first: int, workspaces: int) -> float:
    """Return the mean time to admit, start and end a request of one batch."""
    works = [make_work(index, workspaces) for index in range(first, first + BATCH)]
    started = time.process_time()
    for index, work in enumerate(works, first):
        now = index * 0.002
        scheduler.offer(work, now)
        scheduler.take(now)
        scheduler.ended(f"r{index - RUNNING}", True, now)
    return (time.process_time() - started) / BATCH * 1e6


def _token_us(scheduler: Scheduler) -> float:
    last = RUNNING + DECISIONS - 1
    started = time.process_time()
    for position in range(DECISIONS):
        scheduler.progressed(f"r{last}", position, 10.0 + position * 0.04)
    return (time.process_time() - started) / DECISIONS * 1e6


def _report_us(scheduler: Scheduler, fleet: list[Target]) -> float:
    reports = [
        LoadReport(t.id, 1, t.layers, t.model, t.model_version, 5, 1, t.slots, 0.04)
        for t in fleet
    ]
    started = time.process_time()
    for report in reports:
        scheduler.observe_load(report, 20.0)
    return (time.process_time() - started) / len(reports) * 1e6
