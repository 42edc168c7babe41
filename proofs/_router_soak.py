"""Routers as processes under faults from outside, and the promises that callers see.

One run: three routers, a store and six targets of both kinds, each behind a relay.
A seeded plan harms relays, stops, kills and restarts routers, lets targets leave
and changes the configuration, several at a time, while callers send all kinds of
request.  What callers and targets saw is judged: nothing runs twice that may not,
nothing runs that was told not to have run, answers and streams are whole and their
own, and once the faults are over every host serves again.
"""

import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
import trio

from proofs._router_relay import Harm, HarmfulRelay
from radishfield.web import ListenerConfig, serve_app
from standins.object_store import ObjectStoreApp
from standins.routed_config import (
    config,
    layered_entry,
    request_headers,
    target_entry,
)
from standins.routed_targets import LayeredFleet, LayeredTarget, PlainTarget
from standins.router_process import RouterProcess

HOSTS = 3
"""Hosts of the usual run, each of which follows the store by itself."""
MANY_HOSTS = 6
"""So many in one zone share that duty."""
PORTS_PER_HOST = 3
CALLERS = 6
EVENTS = 12
SETTLE_S = 8.0
"""Time after the last fault in which every host has to serve again: a stopped
process wakes, views are read anew, targets that were left out are asked."""
PROMISES = (408, 421, 429, 503)


@dataclass(slots=True)
class Findings:
    """What was sent, what came back, and what broke a promise."""

    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    status_by_request: dict[str, int] = field(default_factory=dict)
    statuses: Counter[str] = field(default_factory=Counter)


class Soak:
    """One seeded run, of as many hosts as it is given ports for."""

    def __init__(self, seed: int, folder: Path, ports: list[int], seconds: float):
        self.findings = Findings()
        self._chance = random.Random(seed)
        self._folder = folder
        self._ports = ports
        self._seconds = seconds
        self._store = ObjectStoreApp()
        self._fleet = LayeredFleet()
        self._plain: list[PlainTarget] = []
        self._layered: list[LayeredTarget] = []
        self._relays: dict[str, HarmfulRelay] = {}
        self._routers: list[RouterProcess] = []
        self._version = 1
        self._sent = 0

    async def run(self) -> Findings:
        """Play the run and judge it."""
        async with trio.open_nursery() as nursery:
            await self._build(nursery)
            try:
                await self._wait_served(20.0)
                async with trio.open_nursery() as callers:
                    for number in range(CALLERS):
                        callers.start_soon(self._call_on, number)
                    await self._harm()
                    callers.cancel_scope.cancel()
                await self._wait_served(SETTLE_S)
                await self._judge_settled()
            finally:
                for router in self._routers:
                    router.end()
            self._judge()
            nursery.cancel_scope.cancel()
        return self.findings

    async def _build(self, nursery) -> None:
        self._store.put("config", "main", config())
        store = await self._relayed(nursery, "store", self._store)
        for number in range(2):
            target = PlainTarget(f"p{number}")
            target.address = await self._relayed(nursery, target.id, target)
            self._plain.append(target)
            entry = target_entry("portal", target.address)
            self._store.put("servers", target.id, entry)
        for number, (first, end) in enumerate([(0, 40), (40, 80)] * 2):
            target = LayeredTarget(f"t{number}", first=first, end=end, events=EVENTS)
            target.address = await self._relayed(nursery, target.id, target)
            self._fleet.add(target)
            self._layered.append(target)
            entry = layered_entry(target.address, first, end)
            self._store.put("servers", target.id, entry)
        for number in range(len(self._ports) // PORTS_PER_HOST):
            first = number * PORTS_PER_HOST
            ports = self._ports[first : first + PORTS_PER_HOST]
            self._routers.append(RouterProcess(number, self._folder, ports, store))
            self._routers[-1].start()

    async def _relayed(self, nursery, name: str, app) -> str:
        listener = ListenerConfig.from_settings("127.0.0.1:0", drain_s=0.0)
        (url,) = await nursery.start(serve_app, app, listener, None)
        relay = HarmfulRelay(url.removeprefix("http://"))
        await nursery.start(relay.run)
        self._relays[name] = relay
        return relay.address

    async def _harm(self) -> None:
        """Start faults that overlap, and end them all."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(self._seconds):
                while True:
                    nursery.start_soon(self._one_fault)
                    await trio.sleep(self._chance.uniform(0.3, 1.2))

    async def _one_fault(self) -> None:
        kind = self._chance.choice(
            [
                "relay",
                "relay",
                "reset",
                "stop",
                "kill",
                "term",
                "hup",
                "leave",
                "config",
            ]
        )
        lasts_s = self._chance.uniform(0.3, 2.0)
        name = self._chance.choice(list(self._relays))
        router = self._chance.choice(self._routers)
        self.findings.faults.append(kind)
        match kind:
            case "relay":
                harms = [harm for harm in Harm if harm is not Harm.NONE]
                self._relays[name].set(self._chance.choice(harms))
                await trio.sleep(lasts_s)
                self._relays[name].set(Harm.NONE)
            case "reset":
                await self._relays[name].reset_open()
            case "stop":
                router.signal(signal.SIGSTOP)
                await trio.sleep(lasts_s)
                router.signal(signal.SIGCONT)
            case "kill" | "term":
                router.signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
                await trio.sleep(lasts_s)
                router.signal(signal.SIGCONT)
                await trio.sleep(4.0)
                router.start()
            case "hup":
                router.signal(signal.SIGHUP)
            case "leave":
                await self._leave_and_return(lasts_s)
            case "config":
                self._version += self._chance.randint(1, 5)
                self._store.put("config", "main", config(self._version))

    async def _leave_and_return(self, lasts_s: float) -> None:
        target = self._chance.choice(self._plain)
        entry = self._store.spec("servers", target.id)
        self._store.put("servers", target.id, entry | {"state": "draining"})
        await trio.sleep(lasts_s)
        self._store.remove("servers", target.id)
        # Another start, so that the leaving of the earlier one does not hold.
        born = entry.get("born", 0) + 1
        self._store.put("servers", target.id, entry | {"state": "ready", "born": born})

    async def _call_on(self, caller: int) -> None:
        chance = random.Random(caller)
        while True:
            router = chance.choice(self._routers)
            kind = chance.choice(["read", "post", "post", "stream"])
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                for _ in range(chance.randint(1, 5)):
                    await self._call(pool, router.front, kind)
                    await trio.sleep(chance.uniform(0.0, 0.05))

    async def _call(self, pool, front: str, kind: str) -> int:
        """Send one request and judge its answer; return the status, 0 for none."""
        self._sent += 1
        request_id = f"{kind}-{self._sent}"
        headers = request_headers(request_id, deadline_s=5.0)
        method = "GET" if kind == "read" else "POST"
        body, status, whole = bytearray(), 0, False
        try:
            with trio.fail_after(6.0):
                async with pool.stream(
                    method,
                    f"http://{front}/{kind}/x",
                    headers=headers,
                    content=None if kind == "read" else b"{}",
                ) as answer:
                    status = answer.status
                    async for chunk in answer.aiter_stream():
                        body += chunk
                    whole = True
                    self._judge_answer(request_id, kind, answer, bytes(body))
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            pass
        if status == 200 and kind == "stream" and not whole:
            self._judge_events(request_id, bytes(body), whole=False)
        self.findings.status_by_request[request_id] = status
        self.findings.statuses[f"{kind} {status}{'' if whole else ' cut'}"] += 1
        return status if whole else 0

    def _judge_answer(self, request_id: str, kind: str, answer, body: bytes) -> None:
        by_name = {name.lower(): value for name, value in answer.headers}
        if by_name.get(b"x-request-id", b"").decode() != request_id:
            self._break(f"{request_id}: an answer to {by_name.get(b'x-request-id')}")
        if answer.status != 200:
            return
        if b"x-server-stamp" not in by_name:
            self._break(f"{request_id}: a success that no target signed")
        if kind == "stream":
            self._judge_events(request_id, body, whole=True)
        elif not body.startswith(b"answer of "):
            self._break(f"{request_id}: {body[:40]!r}")

    def _judge_events(self, request_id: str, body: bytes, whole: bool) -> None:
        ids = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
        if ids != list(range(1, len(ids) + 1)):
            self._break(f"{request_id}: events {ids}")
        if whole and len(ids) != EVENTS:
            self._break(f"{request_id}: whole after {len(ids)} events")

    async def _wait_served(self, limit_s: float) -> None:
        """Wait until every host answers a request of each kind."""
        with trio.move_on_after(limit_s):
            for router in self._routers:
                router.signal(signal.SIGCONT)
                router.start()
                while not await self._serves(router):
                    await trio.sleep(0.2)
            return
        self._break(f"not every host serves {limit_s} s after the faults")

    async def _serves(self, router: RouterProcess) -> bool:
        async with httpcore.AsyncConnectionPool() as pool:
            for kind in ("read", "post", "stream"):
                if await self._call(pool, router.front, kind) != 200:
                    return False
        return True

    async def _judge_settled(self) -> None:
        """Once settled, refusals are over."""
        before = self.findings.statuses.copy()
        for router in self._routers:
            await self._serves(router)
        new = self.findings.statuses - before
        if any(" 200" not in name for name in new):
            self._break(f"after the faults: {dict(new)}")

    def _judge(self) -> None:
        """Compare what targets ran with what callers were told."""
        runs: Counter[str] = Counter()
        for target in self._plain:
            runs += target.ran
        for request_id, status in self.findings.status_by_request.items():
            if not request_id.startswith("post"):
                continue
            if runs[request_id] > 1:
                self._break(f"{request_id}: ran {runs[request_id]} times")
            if status in PROMISES and runs[request_id]:
                self._break(f"{request_id}: told {status} and ran")

    def _break(self, what: str) -> None:
        self.findings.broken.append(what)
