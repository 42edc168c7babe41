"""Serves model requests and calls to plain services as an ASGI application.

Requests are validated in ``_caller_headers``, ``_caller_bodies`` and
``_caller_services``.  Answers are formatted in ``_caller_answers`` and ``_status``.
"""

import trio
from expression import Result

from radishfield.core import (
    Clock,
    Fault,
    Profile,
    ProfileSource,
    Request,
    ResultCode,
    ServiceRequest,
    Serving,
    TargetKind,
    fault,
)
from radishfield.edges._caller_answers import Answer, BufferedSink, StreamSink
from radishfield.edges._caller_bodies import ModelCall, Shape, read_model_call
from radishfield.edges._caller_headers import CallerHeaders, new_headers, read_headers
from radishfield.edges._caller_intake import CallerLimits, Intake
from radishfield.edges._caller_requests import (
    ModelEntry,
    ModelList,
    PreparedModelCall,
    check_kind,
    model_request,
    service_request,
)
from radishfield.edges._caller_services import (
    SERVICE_METHODS,
    SERVICES_PREFIX,
    headers_to_caller,
    read_service_path,
)
from radishfield.telemetry import (
    NullTelemetry,
    RequestKind,
    RequestRecords,
    Telemetry,
    current_request_id,
    log_event,
)
from radishfield.web import (
    body_room,
    read_body,
    run_until_disconnect,
    send_bytes,
    serve_scope,
)

SHAPE_BY_PATH = {
    "/v1/chat/completions": Shape.CHAT,
    "/v1/completions": Shape.COMPLETION,
}
MODELS_PATH = "/v1/models"
# No profile has this name.  Looking it up shows whether profiles are loaded.
UNUSED_PROFILE_NAME = ""
# The dispatcher ends a request at its deadline.  If it ever fails to, this second
# limit still sends the caller an answer and frees the request's slot.
DEADLINE_GRACE_S = 1.0


class CallerApp:
    """The ASGI application that serves callers."""

    __slots__ = (
        "_serving",
        "_profiles",
        "_clock",
        "_limits",
        "_intake",
        "_telemetry",
        "_records",
    )

    def __init__(
        self,
        serving: Serving,
        profiles: ProfileSource,
        clock: Clock,
        limits: CallerLimits | None = None,
        telemetry: Telemetry | None = None,
        records: RequestRecords | None = None,
    ):
        self._serving = serving
        self._profiles = profiles
        self._clock = clock
        self._limits = limits or CallerLimits()
        self._intake = Intake(self._limits, clock)
        self._telemetry = telemetry or NullTelemetry()
        self._records = records or RequestRecords()

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self._intake.in_flight

    @property
    def is_draining(self) -> bool:
        """Return whether `start_draining` has been called."""
        return self._intake.is_draining

    def start_draining(self, notice_s: float | None = None) -> None:
        """Fail readiness now, and refuse new requests after the notice time."""
        self._intake.start_draining(notice_s)

    async def wait_idle(self) -> None:
        """Wait until the notice time is over and nothing is in flight."""
        await self._intake.wait_idle()

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        await serve_scope(scope, receive, send, self._serve_safely)

    async def _serve_safely(self, scope, receive, send) -> None:
        match read_headers(scope["headers"]):
            case Result(tag="ok", ok=headers):
                problem = None
            case Result(tag="error", error=problem):
                headers = new_headers()
        answer = Answer(send, headers)
        context_token = current_request_id.set(headers.request_id)
        try:
            if problem is not None:
                await self._refuse(answer, problem)
            else:
                await self._route(scope, receive, send, answer)
        except Exception:
            # A defect of this software must neither expose a traceback nor end a
            # stream as if it were complete: an answer that has started is aborted.
            log_event("request.defect", 40, defect=True)
            if not answer.started:
                await self._refuse(answer, fault(ResultCode.INTERNAL))
        finally:
            current_request_id.reset(context_token)

    async def _route(self, scope, receive, send, answer: Answer) -> None:
        path, method = scope["path"], scope["method"]
        if not scope["http_version"].startswith("1"):
            # An aborted HTTP/2 stream would stay open for ever on this server.
            problem = fault(ResultCode.UNKNOWN_ROUTE, "HTTP/1.1 only")
            await self._refuse(answer, problem)
            return
        if path in SHAPE_BY_PATH:
            if await self._check_method(answer, method, "POST"):
                shape = SHAPE_BY_PATH[path]
                await self._serve_counted(
                    answer, lambda: self._serve_model(shape, scope, receive, answer)
                )
        elif scope["raw_path"].startswith(SERVICES_PREFIX):
            if await self._check_method(answer, method, *SERVICE_METHODS):
                await self._serve_counted(
                    answer, lambda: self._serve_service_call(scope, receive, answer)
                )
        elif path == MODELS_PATH or path.startswith(MODELS_PATH + "/"):
            if await self._check_method(answer, method, "GET", "HEAD"):
                await self._list_models(answer, path.removeprefix(MODELS_PATH))
        elif path in ("/healthz", "/readyz"):
            await self._send_health(path, send)
        else:
            await self._refuse(answer, fault(ResultCode.UNKNOWN_ROUTE, path[:100]))

    async def _check_method(self, answer: Answer, method: str, *allowed: str) -> bool:
        if method in allowed:
            return True
        allowed_methods = ", ".join(allowed)
        problem = fault(ResultCode.METHOD_NOT_ALLOWED, f"allowed: {allowed_methods}")
        self._record_refusal(problem)
        await answer.refuse(problem, [(b"allow", allowed_methods.encode())])
        return False

    async def _serve_counted(self, answer: Answer, serve) -> None:
        """Serve one request and count it in flight, or refuse it."""
        problem = self._intake.refusal()
        if problem is not None:
            await self._refuse(answer, problem)
            return
        with self._intake.count():
            await serve()

    async def _serve_model(self, shape: Shape, scope, receive, answer: Answer) -> None:
        arrived = self._clock.now()
        body = await read_body(receive, self._limits.body, body_room(scope))
        match body.bind(lambda raw: read_model_call(shape, raw)).bind(
            lambda call: self._prepare_model_call(call, answer.headers, arrived)
        ):
            case Result(tag="error", error=problem):
                await self._refuse(answer, problem)
            case Result(tag="ok", ok=PreparedModelCall(call=call, request=request)):
                self._open_record(answer.headers, request.profile)
                await run_until_disconnect(
                    receive, lambda: self._answer_model(call, request, answer)
                )

    def _prepare_model_call(
        self, call: ModelCall, headers: CallerHeaders, arrived: float
    ) -> Result[PreparedModelCall, Fault]:
        profile = self._find_profile(call.profile, TargetKind.ENGINE)
        return profile.map(
            lambda found: PreparedModelCall(
                call, model_request(headers, call, found, arrived)
            )
        )

    async def _answer_model(
        self, call: ModelCall, request: Request, answer: Answer
    ) -> None:
        if not call.is_streamed:
            await self._generate(request, BufferedSink(call, answer))
            return
        sink = StreamSink(call, answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sink.write_events)
            await self._generate(request, sink)

    async def _generate(
        self, request: Request, sink: StreamSink | BufferedSink
    ) -> None:
        problem = fault(ResultCode.DEADLINE_PASSED)
        with self._time_limit(request):
            match await self._serving.generate(request, sink):
                case Result(tag="ok", ok=finished):
                    problem = None
                case Result(tag="error", error=problem):
                    pass
        if problem is None:
            await sink.finish(finished)
        else:
            await sink.fail(problem)

    async def _serve_service_call(self, scope, receive, answer: Answer) -> None:
        arrived = self._clock.now()
        service_path = read_service_path(scope["raw_path"], scope["query_string"])
        profile = service_path.bind(
            lambda path: self._find_profile(path.profile, TargetKind.SERVICE)
        )
        if profile.is_error():
            await self._refuse(answer, profile.error)
            return
        match await read_body(receive, self._limits.body, body_room(scope)):
            case Result(tag="error", error=problem):
                await self._refuse(answer, problem)
            case Result(tag="ok", ok=body):
                request = service_request(
                    answer.headers,
                    scope,
                    service_path.ok.path,
                    profile.ok,
                    body,
                    arrived,
                )
                self._open_record(answer.headers, request.profile)
                await run_until_disconnect(
                    receive, lambda: self._answer_service_call(request, answer)
                )

    async def _answer_service_call(
        self, request: ServiceRequest, answer: Answer
    ) -> None:
        problem = fault(ResultCode.DEADLINE_PASSED)
        with self._time_limit(request):
            match await self._serving.call_service(request):
                case Result(tag="ok", ok=served):
                    problem = None
                case Result(tag="error", error=problem):
                    pass
        if problem is not None:
            await answer.refuse(problem)
            return
        content_type, headers = headers_to_caller(served)
        await answer.raw(served.status, served.body, content_type, headers, served.code)

    def _time_limit(self, request: Request | ServiceRequest) -> trio.CancelScope:
        remaining = request.deadline - self._clock.now() + DEADLINE_GRACE_S
        return trio.move_on_after(max(0.0, remaining))

    def _find_profile(self, name: str, kind: TargetKind) -> Result[Profile, Fault]:
        return self._profiles.find(name).bind(lambda found: check_kind(found, kind))

    def _open_record(self, headers: CallerHeaders, profile: Profile) -> None:
        self._records.open(
            headers.request_id,
            headers.caller_id,
            headers.workspace,
            profile.name,
            self._clock.now(),
        )

    async def _list_models(self, answer: Answer, rest: str) -> None:
        names = self._profiles.names()
        name = rest.removeprefix("/")
        if not rest:
            models = ModelList(tuple(ModelEntry(name) for name in names))
            await answer.json(models, ResultCode.FINISHED)
        elif name in names:
            await answer.json(ModelEntry(name), ResultCode.FINISHED)
        else:
            problem = fault(ResultCode.UNKNOWN_PROFILE, name[:100])
            await self._refuse(answer, problem)

    async def _send_health(self, path: str, send) -> None:
        if path == "/readyz" and self.is_draining:
            await send_bytes(send, 503, b"draining\n", b"text/plain")
        elif path == "/readyz" and not self._has_loaded_profiles():
            await send_bytes(send, 503, b"profiles not known yet\n", b"text/plain")
        else:
            await send_bytes(send, 200, b"ok\n", b"text/plain")

    def _has_loaded_profiles(self) -> bool:
        """Return whether the host has received the profiles since it started.

        Until then it would refuse requests that it can serve a moment later and
        that other hosts can serve already.
        """
        match self._profiles.find(UNUSED_PROFILE_NAME):
            case Result(tag="error", error=problem):
                return problem.code is not ResultCode.PROFILES_UNKNOWN
        return True

    async def _refuse(self, answer: Answer, problem: Fault) -> None:
        self._record_refusal(problem)
        await answer.refuse(problem)

    def _record_refusal(self, problem: Fault) -> None:
        """Record a refusal before the dispatcher, which counts all other outcomes."""
        self._telemetry.refused(problem.code)
        self._telemetry.ended(RequestKind.UNREAD, problem.outcome, problem.code, 0.0)
        log_event(
            "request.refused", code=int(problem.code), reason=problem.code.name.lower()
        )
