"""Puts load on a real router process: ``python -m bench.router_load --pattern burst``.

One router serves callers in front of stand-ins of the store and of both kinds of
target.  Requests are sent when they are due, regardless of earlier ones.  A caller
that receives a Retry-After retries once, as the users' callers do.  Prints the shares
in time, late, refused and failed by kind of request and by workspace; ``--plot``
draws them by second.
"""

import random
import tempfile
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import click
import httpcore
import trio

from radishfield.web import ListenerConfig, serve_app
from standins.object_store import ObjectStoreApp
from standins.ports import free_ports
from standins.routed_config import config, layered_entry, request_headers, target_entry
from standins.routed_targets import LayeredFleet, LayeredTarget, PlainTarget
from standins.router_process import RouterProcess

WORKSPACES = 5
OBJECTIVE_S = 0.5
"""Time to the first event, as in the users' streams; also applied to lookups here."""
LONGEST_GAP_S = 0.2
DEADLINE_S = 6.0
EVENTS, EVENT_GAP_S = 30, 0.04
STREAMS_PER_TARGET = 12
"""Streams that each target of the first stage accepts.  Two such targets and 1.2 s
per stream give a capacity of about twenty streams a second."""
BURST_FACTOR = 4.0
OUTCOMES = ("in time", "late", "refused", "failed")


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that is due."""

    at_s: float
    kind: str
    workspace: int


@dataclass(slots=True)
class Tally:
    """Outcomes and times of a group of requests."""

    outcomes: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)


def arrivals(
    pattern: str, per_s: float, length_s: float, rng: random.Random
) -> list[Arrival]:
    """Return the requests of a pattern in order of arrival.

    ``steady`` spreads them evenly, ``burst`` sends four times as many in the middle
    fifth, ``heavy`` gives one workspace four fifths of them.
    """
    due: list[Arrival] = []
    at_s = 0.0
    while at_s < length_s:
        middle = 0.4 * length_s <= at_s < 0.6 * length_s
        factor = BURST_FACTOR if pattern == "burst" and middle else 1.0
        at_s += rng.expovariate(per_s * factor)
        kind = rng.choices(["stream", "read", "post"], [8, 1, 1])[0]
        workspace = rng.randrange(WORKSPACES)
        if pattern == "heavy" and rng.random() < 0.8:
            workspace = 0
        due.append(Arrival(at_s, kind, workspace))
    return due


class LoadRun:
    """One run of a load pattern against one router."""

    def __init__(self, due: list[Arrival]):
        self.tally_by_kind: dict[str, Tally] = defaultdict(Tally)
        self.tally_by_workspace: dict[str, Tally] = defaultdict(Tally)
        self.outcomes_by_second: dict[int, Counter[str]] = defaultdict(Counter)
        self._due = due
        self._sent = 0

    async def run(self, folder: Path) -> None:
        """Start the router and stand-ins, send the requests, and stop everything."""
        async with trio.open_nursery() as nursery:
            store = await self._build(nursery)
            router = RouterProcess(0, folder, free_ports(3), store)
            router.start()
            try:
                await self._wait_until_ready(router.front)
                started = trio.current_time()
                async with trio.open_nursery() as callers:
                    for arrival in self._due:
                        await trio.sleep_until(started + arrival.at_s)
                        callers.start_soon(self._send, router.front, arrival)
            finally:
                router.end()
            nursery.cancel_scope.cancel()

    async def _build(self, nursery) -> str:
        store = ObjectStoreApp()
        tenants = [
            {"name": f"w{number}", "apiKeys": [f"key-{number}"]}
            for number in range(WORKSPACES)
        ]
        store.put("config", "main", config(tenants=tenants))
        for number in range(2):
            target = PlainTarget(f"p{number}", work_s=0.05)
            target.address = await self._serve(nursery, target)
            entry = target_entry("portal", target.address)
            store.put("servers", target.id, entry)
        fleet = LayeredFleet()
        for number, (first, end) in enumerate([(0, 40), (40, 80)] * 2):
            target = LayeredTarget(
                f"t{number}",
                first=first,
                end=end,
                events=EVENTS,
                gap_s=EVENT_GAP_S,
                places=STREAMS_PER_TARGET,
            )
            target.address = await self._serve(nursery, target)
            fleet.add(target)
            entry = layered_entry(target.address, first, end)
            store.put("servers", target.id, entry)
        return await self._serve(nursery, store)

    async def _serve(self, nursery, app) -> str:
        listener = ListenerConfig.from_settings("127.0.0.1:0", drain_s=0.0)
        (url,) = await nursery.start(serve_app, app, listener, None)
        return url.removeprefix("http://")

    async def _wait_until_ready(self, front: str) -> None:
        with trio.fail_after(20.0):
            while (await self._try(front, Arrival(0.0, "read", 0), "warm"))[0] != 200:
                await trio.sleep(0.1)

    async def _send(self, front: str, arrival: Arrival) -> None:
        self._sent += 1
        name = f"{arrival.kind}-{self._sent}"
        started = trio.current_time()
        status, in_time, retry_s = await self._try(front, arrival, name)
        if status == 503 and retry_s is not None:
            await trio.sleep(min(retry_s, DEADLINE_S / 3))
            status, _, _ = await self._try(front, arrival, f"{name}-again")
            in_time = False
        outcome = "failed"
        if status == 200:
            outcome = "in time" if in_time else "late"
        elif status == 503:
            outcome = "refused"
        self._count(arrival, outcome, trio.current_time() - started)

    async def _try(
        self, front: str, arrival: Arrival, name: str
    ) -> tuple[int, bool, float | None]:
        """Return the status (0 if aborted), whether in time, and Retry-After."""
        headers = request_headers(name, f"key-{arrival.workspace}", DEADLINE_S)
        headers["x-token-counts"] = "774,203"
        method = "GET" if arrival.kind == "read" else "POST"
        last = trio.current_time()
        limit_s, in_time = OBJECTIVE_S, True
        try:
            with trio.fail_after(DEADLINE_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    async with pool.stream(
                        method,
                        f"http://{front}/{arrival.kind}/x",
                        headers=headers,
                        content=None if method == "GET" else b"{}",
                    ) as response:
                        async for _ in response.aiter_stream():
                            now = trio.current_time()
                            in_time = in_time and now - last <= limit_s
                            last, limit_s = now, LONGEST_GAP_S
                        retry = dict(response.headers).get(b"retry-after")
                        return response.status, in_time, float(retry) if retry else None
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return 0, False, None

    def _count(self, arrival: Arrival, outcome: str, seconds: float) -> None:
        for tally in (
            self.tally_by_kind[arrival.kind],
            self.tally_by_workspace[f"w{arrival.workspace}"],
        ):
            tally.outcomes[outcome] += 1
            tally.seconds.append(seconds)
        self.outcomes_by_second[int(arrival.at_s)][outcome] += 1


def table(tally_by_name: dict[str, Tally]) -> str:
    """Return a line of outcome shares and median time for each name."""
    lines = [f"{'':10}{'asked':>7}" + "".join(f"{name:>9}" for name in OUTCOMES)]
    for name, tally in sorted(tally_by_name.items()):
        request_count = sum(tally.outcomes.values())
        shares = [tally.outcomes[outcome] / request_count for outcome in OUTCOMES]
        cells = "".join(f"{share:>9.3f}" for share in shares)
        p50 = sorted(tally.seconds)[request_count // 2]
        lines.append(f"{name:10}{request_count:>7}{cells}   p50 {p50:.2f} s")
    return "\n".join(lines)


def draw(outcomes_by_second: dict[int, Counter[str]], path: str) -> None:
    """Draw the outcomes by the second in which requests were due."""
    # Imported here because only the plot needs it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = sorted(outcomes_by_second)
    series = [
        [outcomes_by_second[second][outcome] for second in seconds]
        for outcome in OUTCOMES
    ]
    figure, axis = pyplot.subplots(figsize=(9, 4))
    axis.stackplot(
        seconds,
        series,
        labels=OUTCOMES,
        colors=["tab:green", "tab:olive", "tab:orange", "tab:red"],
    )
    axis.set_xlabel("second in which requests were due")
    axis.set_ylabel("requests")
    axis.legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


@click.command()
@click.option("--pattern", type=click.Choice(["steady", "burst", "heavy"]))
@click.option("--per-s", type=click.FloatRange(0.1, 500.0), default=12.0)
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=10.0)
@click.option("--seed", type=int, default=1)
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a PNG here.")
def main(pattern: str, per_s: float, seconds: float, seed: int, plot: str | None):
    """Play a pattern of load and print what callers got."""
    due = arrivals(pattern or "steady", per_s, seconds, random.Random(seed))
    load_run = LoadRun(due)
    with tempfile.TemporaryDirectory() as folder:
        trio.run(load_run.run, Path(folder))
    click.echo(table(load_run.tally_by_kind))
    click.echo(table(load_run.tally_by_workspace))
    if plot:
        draw(load_run.outcomes_by_second, plot)


if __name__ == "__main__":
    main()
