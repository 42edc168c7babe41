"""Runs routers as processes under external faults and checks their guarantees.

One run has three routers, a store and six targets of both kinds, each behind a relay.
A seeded plan sets faults on relays, stops, kills and restarts routers, lets targets
leave and changes the configuration, several at a time, while callers send all kinds of
request.  What callers and targets saw is checked: no request that may run only once
runs twice, none that was reported as not run has run, answers and streams are complete
and belong to their request, no started stream ends early without a reason, and once
the faults are over every host serves again.
"""

import math
import random
import signal
from collections import Counter, defaultdict
from pathlib import Path

import httpcore
import trio

from proofs._router_relay import FaultyRelay, RelayFault, SlowLink
from proofs._soak_answers import AnswerLog, Received, is_sound
from proofs._soak_changes import Changes
from proofs._soak_crashes import PART_CAUSE, CrashLog
from proofs._soak_entries import Entries
from proofs._soak_judge import STORE, FaultLog, Findings, StreamEnd
from proofs._soak_limits import LimitLog
from proofs._soak_notices import NoticeLog
from proofs._soak_plans import Plan, ScheduledFault, draw_faults
from radishfield.web import ListenerConfig, serve_app
from standins.object_store import ObjectStoreApp
from standins.routed_config import (
    KEY,
    layered_entry,
    request_headers,
    target_entry,
)
from standins.routed_targets import (
    CRASHING_BODY,
    LayeredFleet,
    LayeredTarget,
    PlainTarget,
)
from standins.router_process import RouterProcess
from standins.stuttering_server import Habits, Run, StutteringServer

HOSTS = 3
"""Hosts of the typical run, each of which watches the store by itself."""
MANY_HOSTS = 6
"""This many hosts in one zone share the watching of the store."""
PORTS_PER_HOST = 3
SETTLE_S = 8.0
"""Time after the last fault within which every host has to serve again: a stopped
process resumes, views are read again, and excluded targets are probed."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
POLL_S = 0.01
FIRST_PARTS = ("f0", "f1")
"""First parts of prompts, each of which many requests share."""
CRASHING_PARTS = ("bad0", "bad1")
"""Parts of prompts that crash targets."""
BYTES_PER_MBIT = 125_000


class Soak:
    """One seeded run, with one host for each `PORTS_PER_HOST` ports."""

    def __init__(
        self, seed: int, folder: Path, ports: list[int], seconds: float, plan: Plan
    ):
        self.findings = Findings()
        self._plan = plan
        self._fault_log = FaultLog()
        self._stream_ends: list[StreamEnd] = []
        self._seed = seed
        self._folder = folder
        self._ports = ports
        self._seconds = seconds
        self._store = ObjectStoreApp()
        self._entries = Entries(self._store)
        self._fleet = LayeredFleet(crashing_parts=set(CRASHING_PARTS))
        self._plain: list[PlainTarget] = []
        self._layered: list[LayeredTarget] = []
        self._relays: dict[str, FaultyRelay] = {}
        self._crashed_relays: dict[str, FaultyRelay] = {}
        self._routers: list[RouterProcess] = []
        self._crashes = CrashLog()
        self._limits = LimitLog()
        self._notices = NoticeLog()
        self._answers = AnswerLog()
        self._stutterers: list[StutteringServer] = []
        self._restarts: trio.Nursery | None = None
        self._link_by_source: dict[str, SlowLink] = {}
        self._changes = Changes(self._store, plan.timeout_ms, self._max_queued_s)
        self._sent = 0
        self._wake_at = math.inf

    async def run(self) -> Findings:
        """Run the plan and check the results."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure_lateness)
            await self._build(nursery)
            try:
                await self._wait_all_serving(20.0)
                async with trio.open_nursery() as callers:
                    for number in range(self._plan.callers):
                        callers.start_soon(self._run_caller, number)
                    await self._run_faults()
                    callers.cancel_scope.cancel()
                self._changes.restore()
                settled_at = trio.current_time() + SETTLE_S
                await self._wait_all_serving(SETTLE_S)
                if self._link_by_source:
                    # A host may serve with an older version while it reads the last.
                    await trio.sleep_until(settled_at)
                await self._check_settled()
            finally:
                for router in self._routers:
                    router.end()
            self._check_results()
            nursery.cancel_scope.cancel()
        return self.findings

    async def _build(self, nursery) -> None:
        self._restarts = nursery
        store = await self._serve_behind_relay(nursery, STORE, self._store)
        for number in range(2 + self._plan.spares):
            await self._add_plain(f"p{number}")
        spans = [(0, 40), (40, 80)] * (2 + self._plan.spares // 2)
        for number, (first, end) in enumerate(spans):
            await self._add_layered(f"t{number}", first, end)
        for number in range(len(self._ports) // PORTS_PER_HOST):
            first = number * PORTS_PER_HOST
            ports = self._ports[first : first + PORTS_PER_HOST]
            source = ""
            if self._plan.link_mbps:
                source = f"127.0.1.{number + 1}"
                self._link_by_source[source] = SlowLink()
            router = RouterProcess(
                number, self._folder, ports, store, self._plan.promises, source
            )
            self._routers.append(router)
            router.start()

    async def _add_plain(self, target_id: str) -> None:
        target = PlainTarget(target_id, names_requests=self._plan.stutters)
        await self._serve_until_crash(target, self._add_plain)
        self._plain.append(target)
        entry = target_entry("portal", target.address)
        self._entries.write(target_id, entry)

    async def _add_layered(self, target_id: str, first: int, end: int) -> None:
        target = LayeredTarget(target_id, first=first, end=end)
        target.events, target.gap_s = self._plan.events, self._plan.gap_s
        target.names_requests = self._plan.stutters
        await self._serve_until_crash(target, self._add_layered, first, end)
        self._fleet.add(target)
        self._layered.append(target)
        target.on_placed = lambda held: self._entries.change(target_id, layers=held)
        self._entries.write(target_id, layered_entry(target.address, first, end))

    async def _serve_until_crash(self, target, add_again, *span: int) -> None:
        """Serve a target until it crashes, and then start another one in its place."""
        scope = trio.CancelScope()

        async def run(*, task_status):
            with scope:
                async with trio.open_nursery() as nursery:
                    address = await self._serve_behind_relay(nursery, target.id, target)
                    task_status.started(address)
                    await trio.sleep_forever()

        def crash(request_id: str) -> None:
            self._crashes.record_crash(target.id, request_id, trio.current_time())
            if scope.cancel_called:
                return
            self._fleet.target_by_address.pop(target.address, None)
            scope.cancel()
            self._restarts.start_soon(self._replace, target.id, add_again, *span)

        target.crash = crash
        target.address = await self._restarts.start(run)

    async def _replace(self, target_id: str, add_again, *span: int) -> None:
        with self._fault_log.record(target_id):
            rng = random.Random(f"{self._seed} {target_id}")
            await trio.sleep(rng.uniform(0.5, 2.5))
            self._entries.remove(target_id)
            self._crashed_relays[target_id] = self._relays.pop(target_id)
            await add_again(f"{target_id}+", *span)

    async def _serve_behind_relay(self, nursery, name: str, app) -> str:
        if self._plan.stutters and name != STORE:
            rng = random.Random(f"{self._seed} {name}")
            server = StutteringServer(name, app, rng)
            self._stutterers.append(server)
            address = await nursery.start(server.serve)
        else:
            listener = ListenerConfig.from_settings("127.0.0.1:0", drain_s=0.0)
            (url,) = await nursery.start(serve_app, app, listener, None)
            address = url.removeprefix("http://")
        relay = FaultyRelay(address, self._link_by_source)
        await nursery.start(relay.run)
        self._relays[name] = relay
        return relay.address

    async def _run_faults(self) -> None:
        """Start overlapping faults, and end them all."""
        rng = random.Random(f"{self._seed} links")
        for link in self._link_by_source.values():
            self._set_bandwidth(link, rng)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in draw_faults(self._plan, self._seconds, self._seed):
                await trio.sleep_until(started_at + fault.at_s)
                nursery.start_soon(self._inject_fault, fault)

    async def _inject_fault(self, scheduled: ScheduledFault) -> None:
        rng = random.Random(scheduled.seed)
        duration_s = rng.uniform(0.3, 2.0)
        router = rng.choice(self._routers)
        name = rng.choice(list(self._relays))
        relay = self._relays[name]
        self.findings.faults.append(scheduled.kind)
        match scheduled.kind:
            case "relay":
                faults_to_set = [
                    fault for fault in RelayFault if fault is not RelayFault.NONE
                ]
                with self._fault_log.record(name):
                    relay.set_fault(rng.choice(faults_to_set))
                    await trio.sleep(duration_s)
                    relay.set_fault(RelayFault.NONE)
            case "reset":
                with self._fault_log.record(name):
                    await relay.reset_open()
            case "stop":
                with self._fault_log.record(_router_name(router)):
                    router.signal(signal.SIGSTOP)
                    await trio.sleep(duration_s)
                    router.signal(signal.SIGCONT)
            case "kill" | "term":
                with self._fault_log.record(_router_name(router)):
                    pid = router.pid
                    router.signal(
                        signal.SIGKILL if scheduled.kind == "kill" else signal.SIGTERM
                    )
                    await trio.sleep(duration_s)
                    router.signal(signal.SIGCONT)
                    await trio.sleep(4.0)
                    # If another fault stopped it, it gets the signal when it resumes.
                    while router.runs and router.pid == pid:
                        await trio.sleep(POLL_S)
                    router.start()
            case "crash":
                await self._crash(rng.choice(("read", "post", "stream")), rng)
            case "part":
                await self._crash_by_part(rng)
            case "limit":
                await self._limit(rng)
            case "rest":
                await self._rest(rng)
            case "word":
                await self._say_leaving(rng)
            case "stutter":
                await self._stutter(rng)
            case "drill":
                await self._drill(rng)
            case "hup":
                router.signal(signal.SIGHUP)
            case "leave":
                await self._leave_and_return(duration_s, rng)
            case "config":
                self._changes.skip_versions(rng)
            case "large":
                await self._changes.write_large_versions(rng)
            case "others" | "used":
                await self._changes.change_and_revert(scheduled.kind == "used", rng)
            case "link":
                self._set_bandwidth(
                    rng.choice(list(self._link_by_source.values())), rng
                )

    async def _limit(self, rng: random.Random) -> None:
        """Let a target name a limit, unless it names one already."""
        per_s, duration_s = rng.randint(1, 4), rng.uniform(4.0, 8.0)
        target = rng.choice([*self._plain, *self._layered])
        if target.limit:
            return
        named_at = trio.current_time()
        target.limit = str(per_s)
        await trio.sleep(duration_s)
        target.limit = ""
        self._limits.record(target, per_s, named_at, trio.current_time())

    async def _rest(self, rng: random.Random) -> None:
        """Let a target refuse requests for a moment and ask for a rest."""
        rest, refuses_s = rng.choice(("1", "2", "3", "soon")), rng.uniform(0.3, 1.5)
        notices = rng.choice([*self._plain, *self._layered]).notices
        if notices.rest:
            return
        self._notices.rests += 1
        notices.rest = rest
        await trio.sleep(refuses_s)
        notices.rest = ""

    async def _say_leaving(self, rng: random.Random) -> None:
        """Let a target say that it leaves before the store knows, and start anew."""
        target = rng.choice(self._plain)
        if target.notices.leaving:
            return
        since = trio.current_time()
        target.notices.leaving = True
        await trio.sleep(rng.uniform(2.5, 4.0))
        target.notices.leaving = False
        self._notices.record_leaving(target, since, trio.current_time())
        entry = self._entries.find(target.id)
        if entry is not None:
            self._entries.change(target.id, born=entry.get("born", 0) + 1)

    async def _stutter(self, rng: random.Random) -> None:
        """Let half of the targets stutter for some seconds, or all of them.

        Hosts leave targets aside whose answers break, unless all are like that.
        """
        share = rng.choice((0.5, 1.0))
        servers = [
            server
            for server in self._stutterers
            if server.habits is None and rng.random() < share
        ]
        stutters_s = rng.uniform(2.0, 5.0)
        for server in servers:
            server.habits = Habits()
        await trio.sleep(stutters_s)
        for server in servers:
            server.habits = None

    async def _drill(self, rng: random.Random) -> None:
        """Let the store go away for a moment and come back from an older copy.

        It excuses nothing: no stream ends early and no promise is broken by it.
        """
        copy = self._store.copy()
        await trio.sleep(rng.uniform(0.5, 3.0))
        self._store.switches.silent = True
        await trio.sleep(rng.uniform(0.1, 1.0))
        self._store.restore(copy)
        self._store.switches.silent = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._entries.write_again, rng)
            await trio.sleep(rng.uniform(0.0, 1.0))
            self._changes.write_again()

    async def _crash(self, kind: str, rng: random.Random) -> None:
        """Repeatedly send a request that crashes targets, through any router."""
        path = f"{kind}/crash-{rng.randint(1, 2)}"
        async with httpcore.AsyncConnectionPool() as pool:
            for _ in range(rng.randint(2, 5)):
                router = rng.choice(self._routers)
                await self._call(pool, router, kind, path=path, body=CRASHING_BODY)
                await trio.sleep(rng.uniform(0.0, 1.0))

    async def _crash_by_part(self, rng: random.Random) -> None:
        """Send different requests with one part that crashes targets, to any router."""
        part = rng.choice(CRASHING_PARTS)
        first = rng.choice(FIRST_PARTS)
        async with httpcore.AsyncConnectionPool() as pool:
            for _ in range(rng.randint(2, 5)):
                router = rng.choice(self._routers)
                parts = (first, part, f"own{self._sent}")
                body = b"%d" % self._sent
                await self._call(pool, router, "stream", body=body, parts=parts)
                await trio.sleep(rng.uniform(0.0, 1.0))

    def _set_bandwidth(self, link: SlowLink, rng: random.Random) -> None:
        mbps = rng.uniform(*self._plan.link_mbps)
        link.bytes_per_s = mbps * BYTES_PER_MBIT

    def _max_queued_s(self) -> float:
        links = self._link_by_source.values()
        return max((link.queued_s for link in links), default=0.0)

    async def _measure_lateness(self) -> None:
        while True:
            self._wake_at = trio.current_time() + POLL_S
            await trio.sleep_until(self._wake_at)
            self.findings.late_s = max(self.findings.late_s, self._current_lateness())

    def _current_lateness(self) -> float:
        """Return how long ago the next measurement was due."""
        return max(0.0, trio.current_time() - self._wake_at)

    async def _leave_and_return(self, duration_s: float, rng: random.Random) -> None:
        target = rng.choice(self._plain)
        entry = self._entries.find(target.id)
        self._entries.change(target.id, state="draining")
        await trio.sleep(duration_s)
        self._entries.remove(target.id)
        # A new start, so that the draining of the earlier one does not apply to it.
        born = entry.get("born", 0) + 1
        self._entries.write(target.id, entry | {"state": "ready", "born": born})

    async def _run_caller(self, caller: int) -> None:
        rng = random.Random(caller)
        key = self._plan.keys[caller % len(self._plan.keys)]
        while True:
            router = rng.choice(self._routers)
            kind = rng.choice(self._plan.calls)
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                for _ in range(rng.randint(1, self._plan.max_calls)):
                    await self._call(pool, router, kind, key)
                    await trio.sleep(rng.uniform(0.0, 0.05))

    async def _call(
        self,
        pool,
        router: RouterProcess,
        kind: str,
        key: str = KEY,
        path: str = "",
        body: bytes = b"{}",
        parts: tuple[str, ...] = (),
    ) -> int:
        """Send one request and check its answer; return the status, 0 if incomplete."""
        self._sent += 1
        request_id = f"{kind}-{self._sent}"
        bad_parts = [part for part in parts if part in CRASHING_PARTS]
        crashes = body == CRASHING_BODY or bool(bad_parts)
        cause = PART_CAUSE + bad_parts[0] if bad_parts else path
        self._crashes.record_request(request_id, cause, _router_name(router))
        self._notices.record_request(
            request_id, _router_name(router), trio.current_time()
        )
        deadline_s = self._plan.deadline_s
        headers = request_headers(request_id, key, deadline_s)
        if kind == "stream":
            sound = (FIRST_PARTS[self._sent % len(FIRST_PARTS)], "subject", request_id)
            items = [f"{part}:10" for part in parts or sound]
            headers["x-prompt-prefix"] = ",".join(items)
        method = "GET" if kind == "read" else "POST"
        received, status, complete, stamp = bytearray(), 0, False, b""
        sent_at = trio.current_time()
        try:
            with trio.fail_after(deadline_s + 1.0):
                async with pool.stream(
                    method,
                    f"http://{router.front}/{path or f'{kind}/x'}",
                    headers=headers,
                    content=None if kind == "read" and not crashes else body,
                ) as answer:
                    status = answer.status
                    stamp = _header_by_name(answer).get(b"x-server-stamp", b"")
                    async for chunk in answer.aiter_stream():
                        received += chunk
                    complete = True
                    if not crashes:
                        self._check_answer(request_id, kind, answer, bytes(received))
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            pass
        if status == 200 and kind == "stream" and not complete:
            self._check_events(request_id, bytes(received), complete=False)
        times = sent_at, trio.current_time()
        name = _router_name(router)
        if kind == "stream" and not crashes:
            self._stream_ends.append(
                StreamEnd(request_id, name, *times, status, bool(stamp), complete)
            )
        if self._plan.stutters:
            body = bytes(received)
            self._answers.record(
                Received(request_id, kind, name, *times, status, stamp, body, complete)
            )
        self.findings.status_by_request[request_id] = status
        name = f"{kind} crash" if crashes else kind
        self.findings.statuses[f"{name} {status}{'' if complete else ' cut'}"] += 1
        return status if complete else 0

    def _check_answer(self, request_id: str, kind: str, answer, body: bytes) -> None:
        header_by_name = _header_by_name(answer)
        if header_by_name.get(b"x-request-id", b"").decode() != request_id:
            self._add_violation(
                f"{request_id}: an answer to {header_by_name.get(b'x-request-id')}"
            )
        if answer.status != 200:
            if b'"code":4015' in body:
                self._add_violation(
                    f"{request_id}: refused for a crash of another request"
                )
            return
        if b"x-server-stamp" not in header_by_name:
            self._add_violation(f"{request_id}: a success that no target signed")
        if kind == "stream":
            self._check_events(request_id, body, complete=True)
        elif not body.startswith(b"answer of "):
            self._add_violation(f"{request_id}: {body[:40]!r}")

    def _check_events(self, request_id: str, body: bytes, complete: bool) -> None:
        ids = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
        if ids != list(range(1, len(ids) + 1)):
            self._add_violation(f"{request_id}: events {ids}")
        if complete and len(ids) != self._plan.events:
            self._add_violation(f"{request_id}: whole after {len(ids)} events")

    async def _wait_all_serving(self, limit_s: float) -> None:
        """Wait until every host answers a request of each kind."""
        with trio.move_on_after(limit_s):
            async with trio.open_nursery() as nursery:
                for router in self._routers:
                    nursery.start_soon(self._wait_until_serving, router)
            return
        late_s = max(self.findings.late_s, self._current_lateness())
        self._add_violation(
            f"not every host serves {limit_s} s after the faults,"
            f" this process was late by up to {late_s:.2f} s"
        )

    async def _wait_until_serving(self, router: RouterProcess) -> None:
        router.signal(signal.SIGCONT)
        router.start()
        while not await self._serves(router):
            await trio.sleep(0.2)

    async def _serves(self, router: RouterProcess) -> bool:
        async with httpcore.AsyncConnectionPool() as pool:
            for kind in ("read", "post", "stream"):
                if await self._call(pool, router, kind) != 200:
                    return False
        return True

    async def _check_settled(self) -> None:
        """Check that no request is refused once the hosts have settled."""
        before = self.findings.statuses.copy()
        for router in self._routers:
            await self._serves(router)
        new = self.findings.statuses - before
        if any(" 200" not in name for name in new):
            self._add_violation(f"after the faults: {dict(new)}")

    def _check_results(self) -> None:
        """Compare what targets ran with what callers received."""
        links = self._link_by_source.values()
        self.findings.queued_s = max((link.max_wait_s for link in links), default=0.0)
        runs: Counter[str] = Counter()
        for target in self._plain:
            runs += target.ran
        for request_id, status in self.findings.status_by_request.items():
            if not request_id.startswith("post"):
                continue
            if runs[request_id] > 1:
                self._add_violation(f"{request_id}: ran {runs[request_id]} times")
            if status in NOT_RUN_STATUSES and runs[request_id]:
                self._add_violation(f"{request_id}: told {status} and ran")
        runs_by_request = self._collect_runs()
        for end in self._stream_ends:
            self._check_stream_end(end, runs_by_request.get(end.request_id, []))
        for violation in self._answers.find_violations(
            runs_by_request, self._fault_log
        ):
            self._add_violation(violation)
        self.findings.doubled = sum(server.doubled for server in self._stutterers)
        self.findings.reads = self._answers.count_served("read", runs_by_request)
        self.findings.crashes = len(self._crashes)
        self.findings.limits = len(self._limits)
        for violation in self._crashes.find_violations(self._fault_log):
            self._add_violation(violation)
        for violation in self._limits.find_violations():
            self._add_violation(violation)
        self.findings.rests = self._notices.rests
        targets = [*self._plain, *self._layered]
        for violation in self._notices.find_violations(targets, self._fault_log):
            self._add_violation(violation)

    def _collect_runs(self) -> dict[str, list[Run]]:
        runs_by_request: dict[str, list[Run]] = defaultdict(list)
        for server in self._stutterers:
            for request_id, runs in server.runs_by_request.items():
                runs_by_request[request_id] += runs
        return runs_by_request

    def _check_stream_end(self, end: StreamEnd, runs: list[Run]) -> None:
        """Check that a started stream did not end early without a reason."""
        addresses = self._fleet.addresses_by_request.get(end.request_id)
        if not addresses or not end.is_aborted:
            return
        relay_by_name = self._crashed_relays | self._relays
        relays = [
            name for name, relay in relay_by_name.items() if relay.address in addresses
        ]
        all_spoiled = bool(runs) and not any(is_sound(run) for run in runs)
        if all_spoiled or self._fault_log.is_excused(end, relays):
            self.findings.excused += 1
            return
        lasted_s = end.ended_at - end.sent_at
        self._add_violation(
            f"{end.request_id}: cut at {end.router} after {lasted_s:.2f} s,"
            f" status {end.status}, begun at {', '.join(relays)}"
        )

    def _add_violation(self, violation: str) -> None:
        self.findings.violations.append(violation)


def _router_name(router: RouterProcess) -> str:
    return f"router-{router.number}"


def _header_by_name(answer) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in answer.headers}
