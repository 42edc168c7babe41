"""Small stand-ins for the users' targets: a plain one and one of a layered model.

Like the users' targets, both check the expected target of a request, and for a
layered model the stages of the path.  Each of their switches injects one failure.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from radishfield.web import (
    BodyLimit,
    read_body,
    run_until_disconnect,
    send_bytes,
    send_chunk,
    send_json,
    serve_scope,
    start_answer,
)

TEXT = b"text/plain"
EVENT_STREAM = b"text/event-stream"
ENDLESS_CHUNK_BYTES = 64 << 10
STALL_S = 2.0
CRASHING_BODY = b"crashes what runs it"
"""Body of requests that crash a target after it has started to run them."""
CRASH_AFTER_S = 0.05


@dataclass(slots=True)
class Notices:
    """What a target tells the hosts in its answers, and what they sent it meanwhile.

    Attributes
    ----------
    rest : str
        Value of ``Retry-After``; while it is set all requests are refused with it.
    leaving : bool
        Every answer says that the target leaves.
    arrivals : list of tuple
        Time and id of each request; the id is empty for reports and orders.
    refusals : list of tuple
        Time, id and rest of each request that was refused with a rest.
    farewells : list of tuple
        Time and id of each answered request whose answer said that the target leaves.
    """

    rest: str = ""
    leaving: bool = False
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    refusals: list[tuple[float, str, str]] = field(default_factory=list)
    farewells: list[tuple[float, str]] = field(default_factory=list)

    def note_arrival(self, headers: dict[bytes, bytes]) -> str:
        """Record a request; return its id."""
        request_id = headers.get(b"x-request-id", b"").decode()
        self.arrivals.append((trio.current_time(), request_id))
        return request_id

    async def refuse(self, send, request_id: str) -> None:
        """Refuse a request and ask for a rest."""
        extra = [
            (b"x-request-id", request_id.encode()),
            (b"x-not-executed", b"1"),
            (b"retry-after", self.rest.encode()),
        ]
        self.refusals.append((trio.current_time(), request_id, self.rest))
        await send_json(send, 503, {}, extra)

    def announce(self, send, request_id: str):
        """Return a sender that says in the head of an answer that the target leaves."""

        async def send_announced(message):
            if message["type"] == "http.response.start" and self.leaving:
                self.farewells.append((trio.current_time(), request_id))
                extra = (b"server-leaving", b"1")
                message = message | {"headers": [*message["headers"], extra]}
            await send(message)

        return send_announced


@dataclass(slots=True)
class PlainTarget:
    """One target of a plain service.

    Attributes
    ----------
    failures : list of str
        Failures of the next requests, one each: ``error``, ``refuse``,
        ``silent``, ``wrong-id``, ``cut`` (a truncated answer).
    crash : callable
        Ends the target and its connections, under a request with this id.
    limit : str
        Requests per second from all hosts together, named in every answer.
    arrived_at : list of float
        Times at which requests of any kind arrived.
    named_at : list of float
        Times of the answers that named a limit.
    names_requests : bool
        Each body names its request.
    padding : int
        Bytes that follow each body.
    """

    id: str
    address: str = ""
    names_requests: bool = False
    padding: int = 0
    work_s: float = 0.01
    limit: str = ""
    arrived_at: list[float] = field(default_factory=list)
    named_at: list[float] = field(default_factory=list)
    crash: Callable[[str], None] = lambda request_id: None
    notices: Notices = field(default_factory=Notices)
    failures: list[str] = field(default_factory=list)
    ran: Counter[str] = field(default_factory=Counter)
    seen_headers: list[dict[bytes, bytes]] = field(default_factory=list)

    async def __call__(self, scope, receive, send):
        """Serve one scope of the HTTP server."""
        await serve_scope(scope, receive, with_limit(send, self), self._serve)

    async def _serve(self, scope, receive, send) -> None:
        self.arrived_at.append(trio.current_time())
        headers = dict(scope["headers"])
        self.seen_headers.append(headers)
        name = self.notices.note_arrival(headers)
        send = self.notices.announce(send, name)
        body = await read_body(receive, BodyLimit())
        if body.is_error():
            return
        if self.notices.rest:
            await self.notices.refuse(send, name)
            return
        request_id = headers.get(b"x-request-id", b"")
        echo = (b"x-request-id", request_id)
        if headers.get(b"x-expect-instance") != self.id.encode():
            await send_json(send, 421, {}, [echo])
            return
        failure = self.failures.pop(0) if self.failures else ""
        if failure == "refuse":
            await send_json(send, 503, {}, [echo, (b"x-not-executed", b"1")])
            return
        self.ran[request_id.decode()] += 1
        await trio.sleep(self.work_s)
        if body.ok == CRASHING_BODY:
            self.crash(request_id.decode())
            await trio.sleep_forever()
        if failure == "silent":
            await trio.sleep_forever()
        if failure == "wrong-id":
            request_id = b"another"
        extra = [(b"x-request-id", request_id), (b"x-server-stamp", self.id.encode())]
        if failure == "cut":
            head = [(b"content-length", b"999"), *extra]
            await start_answer(send, 200, head)
            await send_chunk(send, b"half")
            return
        status = 500 if failure == "error" else 200
        text = b"answer of " + self.id.encode()
        if self.names_requests:
            text += b" to " + request_id
        await send_bytes(send, status, text + bytes(self.padding), TEXT, extra)


@dataclass(slots=True)
class LayeredFleet:
    """The targets of a layered model, which forward tokens to each other.

    Attributes
    ----------
    addresses_by_request : dict
        Targets on all paths of each stream that a target has started.
    crashing_parts : set of str
        Parts of prompts that crash the target which begins an answer to them, unless
        they are the last part.
    crashing_arrivals : list of tuple
        Time and id of each request with such a part that reached a target.
    """

    layers: int = 80
    target_by_address: dict[str, "LayeredTarget"] = field(default_factory=dict)
    addresses_by_request: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    crashing_parts: set[str] = field(default_factory=set)
    crashing_arrivals: list[tuple[float, str]] = field(default_factory=list)

    def add(self, target: "LayeredTarget") -> None:
        """Add a target whose address is known."""
        target.fleet = self
        self.target_by_address[target.address] = target

    def crashes_on(self, headers: dict[bytes, bytes]) -> bool:
        """Record a request's arrival; return whether its prompt crashes a target."""
        prefix = headers.get(b"x-prompt-prefix", b"").decode("latin-1")
        shared = [item.partition(":")[0] for item in prefix.split(",")[:-1]]
        if self.crashing_parts.isdisjoint(shared):
            return False
        request_id = headers.get(b"x-request-id", b"").decode()
        self.crashing_arrivals.append((trio.current_time(), request_id))
        return True

    def record_path(self, request_id: str, stages: list[tuple[str, int, int]]) -> None:
        """Record the targets on a stream's new path."""
        self.addresses_by_request[request_id] |= {address for address, _, _ in stages}

    def record_parts(self, stages: list[tuple[str, int, int]], known: set[str]) -> None:
        """Record a stream's arrival at the stages that it did not pass before."""
        for address, _, _ in stages:
            if address not in known and address in self.target_by_address:
                target = self.target_by_address[address]
                target.arrived_at.append(trio.current_time())

    def find_faulty_stage(
        self, stages: list[tuple[str, int, int]], running: bool = False
    ) -> tuple[int, str] | None:
        """Return the status and address of the first stage that cannot run.

        Running streams may still use layers that their target has released.
        """
        for address, first, end in stages:
            target = self.target_by_address.get(address)
            if target is None or target.dead:
                return 503, address
            spans = [(target.first, target.end)]
            if running:
                spans += target.released_spans
            if not any(held <= first < end <= last for held, last in spans):
                return 421, address
        return None


@dataclass(slots=True)
class LayeredTarget:
    """One target of a layered model.

    Attributes
    ----------
    dead : bool
        It forwards and accepts nothing; as a first stage it is silent.
    abort_after_events : int
        Number of events after which the next stream is aborted, within an event;
        0 for no abort.
    endless_after_events : int or None
        Number of events after which all its streams become bytes without end.
    endless_bytes : int
        Bytes of these that it has sent.
    loses_starts : bool
        Its answers end before their first event.
    places : int
        Maximum number of concurrent streams as a first stage; 0 for any number.
    refusing, refuse_after_s : int, float
        Number of refusals of streams that were begun, and the time that each takes.
    crash : callable
        Ends the target and its connections, under a request with this id.
    on_placed : callable
        Called with the layers that it holds once it has carried out an order.
    released_spans : list of tuple
        Layers that it was ordered to release.
    ended_runs : int
        Number of ended runs, including those whose caller has disconnected.
    limit : str
        Requests per second from all hosts together, named in every answer.
    arrived_at : list of float
        Times at which requests of any kind arrived, as a part of a path too.
    named_at : list of float
        Times of the answers that named a limit.
    names_requests : bool
        Each event names its request.
    """

    id: str
    address: str = ""
    names_requests: bool = False
    limit: str = ""
    arrived_at: list[float] = field(default_factory=list)
    named_at: list[float] = field(default_factory=list)
    notices: Notices = field(default_factory=Notices)
    first: int = 0
    end: int = 0
    events: int = 6
    gap_s: float = 0.02
    dead: bool = False
    abort_after_events: int = 0
    endless_after_events: int | None = None
    endless_bytes: int = 0
    loses_starts: bool = False
    places: int = 0
    refusing: int = 0
    refuse_after_s: float = 0.0
    crash: Callable[[str], None] = lambda request_id: None
    on_placed: Callable[[dict | None], None] = lambda held: None
    crash_after_s: float = CRASH_AFTER_S
    ended_runs: int = 0
    released_spans: list[tuple[int, int]] = field(default_factory=list)
    orders: int = 0
    born: int = 1
    order_log: list[dict] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    paths: list[str] = field(default_factory=list)
    fleet: LayeredFleet | None = None
    _stages_by_request: dict[str, list[tuple[str, int, int]]] = field(
        default_factory=dict
    )

    async def __call__(self, scope, receive, send):
        """Serve one scope of the HTTP server."""
        await serve_scope(scope, receive, with_limit(send, self), self._serve)

    async def _serve(self, scope, receive, send) -> None:
        self.arrived_at.append(trio.current_time())
        headers = dict(scope["headers"])
        name = self.notices.note_arrival(headers)
        send = self.notices.announce(send, name)
        body = await read_body(receive, BodyLimit())
        if body.is_error():
            return
        if self.dead:
            await trio.sleep_forever()
        match scope["path"]:
            case "/report":
                await send_json(send, 200, self._report())
            case "/order":
                status, answer = self._order(msgspec.json.decode(body.ok))
                await send_json(send, status, answer)
            case _ if self.notices.rest:
                await self.notices.refuse(send, name)
            case _:
                crashes = body.ok == CRASHING_BODY or self.fleet.crashes_on(headers)
                work = lambda: self._stream(headers, send, crashes)  # noqa: E731
                await run_until_disconnect(receive, work)

    def _report(self) -> dict:
        stalled = [
            {"id": request_id, "addr": fault[1]}
            for request_id, stages in self._stages_by_request.items()
            if (fault := self.fleet.find_faulty_stage(stages, running=True)) is not None
        ]
        return {
            "born": self.born,
            "busy": False,
            "seq": self.orders,
            "waiting": 0,
            "running": len(self._stages_by_request),
            "kvUsed": 0,
            "kvTotal": 1000,
            "pace": 1.0,
            "layers": self._held_layers(),
            "stalled": stalled,
        }

    def _held_layers(self) -> dict | None:
        held = {"from": self.first, "target": self.end, "version": 1}
        return held if self.end else None

    def _order(self, order: dict) -> tuple[int, dict]:
        self.order_log.append(order)
        if order["operation"] == "repath":
            return self._repath(order)
        if order.get("expectRev", self.orders) != self.orders:
            return 409, {}
        if (order["from"], order["target"]) == (self.first, self.end):
            return 200, {}
        self.released_spans.append((self.first, self.end))
        self.first, self.end = order["from"], order["target"]
        self.orders += 1
        self.on_placed(self._held_layers())
        return 202, {}

    def _repath(self, order: dict) -> tuple[int, dict]:
        if order["id"] not in self._stages_by_request:
            return 404, {}
        stages = _parse_path(order["path"])
        faulty_stage = self.fleet.find_faulty_stage(stages)
        if faulty_stage is not None:
            return 409, {"addr": faulty_stage[1]}
        before = {address for address, _, _ in self._stages_by_request[order["id"]]}
        self._stages_by_request[order["id"]] = stages
        self.fleet.record_path(order["id"], stages)
        self.fleet.record_parts(stages, before)
        self.paths.append(order["path"])
        return 202, {}

    async def _stream(self, headers: dict[bytes, bytes], send, crashes: bool) -> None:
        request_id = headers.get(b"x-request-id", b"").decode()
        echo = (b"x-request-id", request_id.encode())
        if headers.get(b"x-expect-instance") != self.id.encode():
            await send_json(send, 421, {}, [echo])
            return
        path = headers.get(b"x-hop-count", b"").decode()
        stages = _parse_path(path)
        faulty_stage = self.fleet.find_faulty_stage(stages)
        if self.places and len(self._stages_by_request) >= self.places:
            faulty_stage = (503, self.address)
        if faulty_stage is not None:
            self.refusing += 1
            await trio.sleep(self.refuse_after_s)
            extra = [
                echo,
                (b"x-not-executed", b"1"),
                (b"at-server", faulty_stage[1].encode()),
            ]
            await send_json(send, faulty_stage[0], {}, extra)
            return
        self.runs[request_id] += 1
        run_number = self.runs[request_id]
        self.paths.append(path)
        self._stages_by_request[request_id] = stages
        self.fleet.record_path(request_id, stages)
        self.fleet.record_parts(stages, {self.address})
        try:
            if crashes:
                await trio.sleep(self.crash_after_s)
                self.crash(request_id)
            await self._send_events(request_id, headers, send)
        finally:
            self.ended_runs += 1
            if self.runs[request_id] == run_number:
                # Otherwise a later run of the same request uses them.
                self._stages_by_request.pop(request_id, None)

    async def _send_events(self, request_id: str, headers, send) -> None:
        head = [
            (b"content-type", EVENT_STREAM),
            (b"x-request-id", request_id.encode()),
            (b"x-server-stamp", self.id.encode()),
        ]
        await start_answer(send, 200, head)
        if self.loses_starts:
            return
        done = int(headers.get(b"last-event-id", b"0") or b"0")
        for number in range(done + 1, self.events + 1):
            await trio.sleep(self.gap_s)
            stalled_s = 0.0
            while self.dead or self.fleet.find_faulty_stage(
                self._stages_by_request[request_id], running=True
            ):
                await trio.sleep(0.02)
                stalled_s += 0.02
                if stalled_s >= STALL_S:
                    return
            if self.endless_after_events in range(number):
                await self._send_without_end(send)
            token = b"token %d" % number
            if self.names_requests:
                token += b" of " + request_id.encode()
            event = b"id: %d\ndata: %b\n\n" % (number, token)
            if self.abort_after_events and number > self.abort_after_events:
                self.abort_after_events = 0
                await send_chunk(send, event[:7])
                return
            await send_chunk(send, event)
        await send_chunk(send, b"", more=False)

    async def _send_without_end(self, send) -> None:
        """Send bytes that are no event until the other end closes."""
        while True:
            await send_chunk(send, b"x" * ENDLESS_CHUNK_BYTES)
            self.endless_bytes += ENDLESS_CHUNK_BYTES


def with_limit(send, target: PlainTarget | LayeredTarget):
    """Return a sender that names the target's limit in the head of each answer."""

    async def send_named(message):
        if message["type"] == "http.response.start" and target.limit:
            target.named_at.append(trio.current_time())
            named = (b"server-limit", target.limit.encode())
            message = message | {"headers": [*message["headers"], named]}
        await send(message)

    return send_named


def _parse_path(path: str) -> list[tuple[str, int, int]]:
    stages = []
    for item in path.split(",") if path else ():
        address, _, span = item.rpartition("=")
        first, _, end = span.partition("-")
        stages.append((address, int(first), int(end)))
    return stages
