"""HTTP application for callers: reads requests and hands them to a forwarder."""

import math

import msgspec

from radishfield.core import REFUSAL_CODES, Fault, ResultCode, fault
from radishfield.crashes import RequestTraits, request_digest
from radishfield.forwarding._call import Call, Responder, status_of
from radishfield.forwarding._caller_gate import CallerGate
from radishfield.forwarding._plain import PlainForwarder
from radishfield.forwarding._stream_paths import LEAVING_RETRY_S
from radishfield.forwarding._streams import StreamForwarder
from radishfield.forwarding._targets import stale_config_fault
from radishfield.forwarding._view import RouterView
from radishfield.limits import is_small
from radishfield.platform import RequestFacts, read_request
from radishfield.routing import (
    NoKeyNeeded,
    RouteKind,
    RouteRule,
    UnknownKey,
    Workspace,
)
from radishfield.telemetry import (
    DeferredTelemetry,
    RequestKind,
    current_request_id,
    log_event,
)
from radishfield.web import (
    BodyLimit,
    BodyRoom,
    body_room,
    read_body,
    run_until_disconnect,
    send_chunk,
    serve_scope,
    start_answer,
)

UNKNOWN_CONFIG_RETRY_S = 0.7
"""A host reads its configuration within a second after it starts."""
BODY_TIMEOUT_S = 10.0


class _Match(msgspec.Struct, frozen=True):
    route: RouteRule
    workspace: Workspace | None


class RouterApp:
    """Accepts, routes and logs the requests of callers."""

    __slots__ = ("_gate", "_plain", "_streams", "_telemetry", "_view")

    def __init__(
        self,
        plain: PlainForwarder,
        streams: StreamForwarder,
        gate: CallerGate,
        view: RouterView,
        telemetry: DeferredTelemetry,
    ):
        self._gate = gate
        self._plain = plain
        self._streams = streams
        self._view = view
        self._telemetry = telemetry

    async def __call__(self, scope, receive, send):
        """Serve one scope of the HTTP server."""
        await serve_scope(scope, receive, send, self._serve)

    async def _serve(self, scope, receive, send) -> None:
        arrived_at = self._view.clock.now()
        headers = list(scope["headers"])
        facts = read_request(headers)
        current_request_id.set(facts.request_id)
        responder = Responder(send, facts.request_id, lambda: self._view.leaving)
        self._gate.note_request()
        self._view.in_flight += 1
        record = _RequestRecord()
        try:
            await self._answer(scope, receive, facts, responder, arrived_at, record)
        finally:
            self._view.in_flight -= 1
            self._record_end(facts, responder, arrived_at, record)

    async def _answer(
        self,
        scope,
        receive,
        facts: RequestFacts,
        responder: Responder,
        arrived_at: float,
        record: "_RequestRecord",
    ) -> None:
        room = responder.room = body_room(scope)
        problem = self._refusal_before_body(scope, facts, room)
        if problem is not None:
            await responder.refuse_unread(problem)
            return
        body = await read_body(receive, self._body_limit(), room)
        if body.is_error():
            responder.problem = body.error
            if body.error.code is not ResultCode.CANCELLED_BEFORE_START:
                await responder.refuse_unread(body.error)
            return
        call = self._call(scope, facts, body.ok, responder, arrived_at)
        if isinstance(call, Fault):
            await responder.refuse(call)
            return
        record.call = call
        await run_until_disconnect(receive, lambda: self._forward(call))

    async def _forward(self, call: Call) -> None:
        if call.route.kind is RouteKind.STREAM:
            await self._streams.serve(call)
        else:
            await self._plain.serve(call)

    def _body_limit(self) -> BodyLimit:
        table = self._view.table
        if table is None:
            return BodyLimit(timeout_s=BODY_TIMEOUT_S)
        return BodyLimit(table.config.limits.max_body_bytes, BODY_TIMEOUT_S)

    def _refusal_before_body(
        self, scope, facts: RequestFacts, room: BodyRoom | None
    ) -> Fault | None:
        """Return why a request is refused without reading its body.

        A short body is read in any case: its caller keeps the connection.
        """
        if room is None or is_small(room.announced):
            return None
        match = self._match(scope, facts)
        return match if isinstance(match, Fault) else None

    def _match(self, scope, facts: RequestFacts) -> _Match | Fault:
        """Return a request's route and workspace, or why it is refused."""
        table = self._view.table
        if table is None:
            detail = "no configuration yet"
            return fault(ResultCode.PROFILES_UNKNOWN, detail, UNKNOWN_CONFIG_RETRY_S)
        path = scope["raw_path"].decode("latin-1")
        route = table.match(facts.host, path)
        if route is None:
            return fault(ResultCode.UNKNOWN_ROUTE, f"version {table.config.version}")
        workspace = None
        match table.identify(route, facts.key):
            case NoKeyNeeded():
                pass
            case UnknownKey():
                return self._unknown_key(table.config.version)
            case Workspace() as known:
                workspace = known
        now = self._view.clock.now()
        if workspace is not None and not self._view.freshness.admits_keys(now):
            return stale_config_fault(self._view)
        if not self._view.takes_work(route.timeout_s):
            return fault(ResultCode.DRAINING, "host is leaving", LEAVING_RETRY_S)
        return self._gate.refusal() or _Match(route, workspace)

    def _call(
        self,
        scope,
        facts: RequestFacts,
        body: bytes,
        responder: Responder,
        arrived_at: float,
    ) -> Call | Fault:
        """Match a request to a route; return the call or the reason for refusing it."""
        match = self._match(scope, facts)
        if isinstance(match, Fault):
            return match
        route, workspace = match.route, match.workspace
        service = self._view.pick_service(route)
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        wait_s = min(facts.deadline_s or math.inf, route.timeout_s)
        return Call(
            facts=facts,
            route=route,
            service=service,
            workspace=workspace,
            method=scope["method"],
            target=target,
            headers=list(scope["headers"]),
            body=body,
            arrived_at=arrived_at,
            deadline_at=arrived_at + wait_s,
            responder=responder,
            traits=RequestTraits.from_parts(
                _digest(facts.host, target, workspace, body), facts.shared_parts
            ),
        )

    def _unknown_key(self, version: int) -> Fault:
        """Refuse an unknown key; a stale view does not show that a key is invalid."""
        now = self._view.clock.now()
        if not self._view.freshness.admits_keys(now):
            return stale_config_fault(self._view)
        return fault(ResultCode.UNAUTHORIZED, f"version {version}")

    def _record_end(
        self,
        facts: RequestFacts,
        responder: Responder,
        arrived_at: float,
        record: "_RequestRecord",
    ) -> None:
        """Count and log the end of a request, whatever its outcome."""
        now = self._view.clock.now()
        problem = responder.problem
        call = record.call
        if call is not None and not responder.finished:
            problem = fault(ResultCode.CANCELLED, "caller disconnected")
        code = problem.code if problem else ResultCode.FINISHED
        kind = RequestKind.UNREAD
        if call is not None:
            streamed = call.route.kind is RouteKind.STREAM
            kind = RequestKind.MODEL if streamed else RequestKind.SERVICE
        outcome = (problem or fault(ResultCode.FINISHED)).outcome
        self._telemetry.ended(kind, outcome, code, now - arrived_at)
        if code in REFUSAL_CODES:
            self._telemetry.refused(code)
        self._view.streams_cut += responder.broken_off
        table = self._view.table
        log_event(
            "request.ended",
            request=facts.request_id,
            digest=call.digest if call else "",
            code=int(code),
            outcome=str(outcome),
            status=status_of(problem) if problem else 200,
            detail=problem.detail if problem else "",
            seconds=round(now - arrived_at, 3),
            sent=call.sent if call else 0,
            route=call.route.name if call else "",
            objective_s=call.route.objective_s if call else None,
            deadline_s=facts.deadline_s,
            **_stream_log_fields(call),
            broken_off=responder.broken_off,
            config_version=table.config.version if table else 0,
            config_age_s=_rounded(self._view.freshness.age_s(now)),
            directory_version=self._view.directory.version,
        )


class _RequestRecord:
    """Holds the call of a request once the request is matched to a route."""

    __slots__ = ("call",)

    def __init__(self):
        self.call: Call | None = None


def _stream_log_fields(call: Call | None) -> dict[str, float | int | None]:
    if call is None or call.route.kind is not RouteKind.STREAM:
        return {}
    return {
        "gap_objective_s": call.route.longest_gap_s,
        "rank": call.rank,
        "workspace": call.workspace_name,
        **call.times.log_fields(),
    }


def _digest(host: str, target: bytes, workspace: Workspace | None, body: bytes) -> str:
    caller = workspace.name if workspace else ""
    return request_digest([host.encode(), target, caller.encode(), body])


def _rounded(age_s: float) -> float | None:
    return None if math.isinf(age_s) else round(age_s, 2)


class ReadinessApp:
    """Reports to the load balancer whether this host takes new connections."""

    __slots__ = ("_path", "_view", "_was_ready")

    def __init__(self, path: str, view: RouterView):
        self._path = path
        self._view = view
        self._was_ready = False

    async def __call__(self, scope, receive, send):
        """Serve one scope of the HTTP server."""
        await serve_scope(scope, receive, send, self._serve)

    async def _serve(self, scope, receive, send) -> None:
        view = self._view
        ready = view.table is not None and not view.leaving
        ready = ready and not view.sends_callers_away()
        ready = ready and not view.withdrawal.is_withdrawn
        if ready != self._was_ready:
            self._was_ready = ready
            now = view.clock.now()
            log_event(
                "host.ready" if ready else "host.unready",
                leaving=view.leaving,
                withdrawn=view.withdrawal.is_withdrawn,
                store_silent_s=_rounded(view.freshness.silent_s(now)),
                store_failing_s=round(view.freshness.failing_s(now), 2),
                peers_heard=view.peers.heard,
                peers_freshest_s=_rounded(view.peers.freshest_s),
            )
        status = 200 if ready and scope["path"] == self._path else 503
        await start_answer(send, status, [(b"content-length", b"0")])
        await send_chunk(send, b"", more=False)
