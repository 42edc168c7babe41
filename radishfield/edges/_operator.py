"""Serves profiles, draining, status and explanations to operators as JSON.

It has a separate listener, so that callers can never reach it.  Every request but
the health check must carry the token from the settings.
"""

import hashlib
import hmac
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from radishfield.core import Fault, Profile, ResultCode, fault
from radishfield.edges._caller_answers import Answer
from radishfield.edges._caller_headers import new_headers
from radishfield.edges._operator_messages import (
    Explanation,
    HostBody,
    ProfileBody,
    ProfileList,
    ProfileView,
    RetireBody,
    TargetBody,
    TargetList,
)
from radishfield.fleet import DrainKind, FleetOperations, ProfileInZone
from radishfield.telemetry import RequestRecords, Telemetry, log_event
from radishfield.web import BodyLimit, body_room, read_body, send_bytes, serve_scope

T = TypeVar("T")

BODY_LIMIT = BodyLimit(max_bytes=64 << 10, timeout_s=5.0)
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
SEGMENT = r"([A-Za-z0-9][A-Za-z0-9._:-]{0,63})"
DRAIN_KINDS = "(target|host|zone)"


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """The variable segments of a request's path, and its body."""

    path_values: tuple[str, ...]
    body: bytes

    def decode(self, kind: type[T]) -> Result[T, Fault]:
        """Return the body decoded as the type, or a fault that says what is wrong."""
        try:
            return Ok(msgspec.json.decode(self.body or b"{}", type=kind))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Error(fault(ResultCode.CHANGE_INVALID, str(error)[:200]))


Handler = Callable[[OperatorRequest], Awaitable[Result[object, Fault]]]


@dataclass(slots=True, frozen=True)
class OperatorRoute:
    """A method and path pattern with their handler."""

    method: str
    path: re.Pattern
    handler: Handler


class OperatorApp:
    """The ASGI application that serves operators."""

    __slots__ = (
        "_operations",
        "_records",
        "_telemetry",
        "_token_digest",
        "_host",
        "_routes",
    )

    def __init__(
        self,
        operations: FleetOperations,
        records: RequestRecords,
        telemetry: Telemetry,
        token: str,
        host: str,
    ):
        self._operations = operations
        self._records = records
        self._telemetry = telemetry
        self._token_digest = _digest(token.encode())
        self._host = host
        self._routes = self._build_routes()

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        await serve_scope(scope, receive, send, self._serve_safely)

    async def _serve_safely(self, scope, receive, send) -> None:
        answer = Answer(send, new_headers())
        try:
            await self._serve(scope, receive, send, answer)
        except Exception:
            log_event("operator.defect", 40, defect=True)
            if not answer.started:
                await answer.refuse(fault(ResultCode.INTERNAL))

    async def _serve(self, scope, receive, send, answer: Answer) -> None:
        if scope["path"] == "/healthz":
            await send_bytes(send, 200, b"ok\n", b"text/plain")
        elif not self._is_authorized(scope["headers"]):
            problem = fault(ResultCode.UNAUTHORIZED, "the operators' token is required")
            log_event("operator.unauthorized", 30, path=scope["path"])
            await answer.refuse(problem, [(b"www-authenticate", b"Bearer")])
        elif scope["path"] == "/metrics":
            await send_bytes(send, 200, self._telemetry.exposition(), METRICS_TYPE)
        else:
            await self._serve_route(scope, receive, answer)

    def _is_authorized(self, headers) -> bool:
        sent = [value for name, value in headers if name.lower() == b"authorization"]
        if len(sent) != 1:
            return False
        scheme, _, token = sent[0].partition(b" ")
        # All digests have the same length, so that the time of the comparison
        # reveals nothing about the token, not even its length.
        is_match = hmac.compare_digest(_digest(token.strip()), self._token_digest)
        return scheme.lower() == b"bearer" and is_match

    async def _serve_route(self, scope, receive, answer: Answer) -> None:
        match self._find_route(scope["method"], scope["path"]):
            case Result(tag="error", error=problem):
                await answer.refuse(problem)
                return
            case Result(tag="ok", ok=route):
                pass
        path_values = route.path.fullmatch(scope["path"]).groups()
        match await read_body(receive, BODY_LIMIT, body_room(scope)):
            case Result(tag="error", error=problem):
                await answer.refuse(problem)
                return
            case Result(tag="ok", ok=body):
                result = await route.handler(OperatorRequest(path_values, body))
        match result:
            case Result(tag="error", error=problem):
                await answer.refuse(problem)
            case Result(tag="ok", ok=value):
                await answer.json(value, ResultCode.FINISHED)
        if scope["method"] != "GET":
            code = result.error.code if result.is_error() else ResultCode.FINISHED
            log_event(
                "operator.change",
                method=scope["method"],
                path=scope["path"],
                code=int(code),
            )

    def _find_route(self, method: str, path: str) -> Result[OperatorRoute, Fault]:
        matching = [route for route in self._routes if route.path.fullmatch(path)]
        for route in matching:
            if route.method == method:
                return Ok(route)
        if matching:
            allowed = ", ".join(route.method for route in matching)
            return Error(fault(ResultCode.METHOD_NOT_ALLOWED, f"allowed: {allowed}"))
        return Error(fault(ResultCode.UNKNOWN_ROUTE, path[:100]))

    def _build_routes(self) -> tuple[OperatorRoute, ...]:
        table = (
            ("GET", "/v1/profiles", self._list_profiles),
            ("POST", "/v1/profiles", self._publish),
            ("GET", f"/v1/profiles/{SEGMENT}", self._show_profile),
            ("PUT", f"/v1/profiles/{SEGMENT}", self._change),
            ("DELETE", f"/v1/profiles/{SEGMENT}", self._retire),
            ("PUT", f"/v1/drains/{DRAIN_KINDS}/{SEGMENT}", self._drain),
            ("DELETE", f"/v1/drains/{DRAIN_KINDS}/{SEGMENT}", self._undrain),
            ("GET", "/v1/targets", self._list_targets),
            ("POST", "/v1/targets", self._add_target),
            ("POST", "/v1/hosts", self._add_host),
            ("GET", "/v1/status", self._status),
            ("GET", f"/v1/explain/{SEGMENT}", self._explain),
        )
        return tuple(
            OperatorRoute(method, re.compile(path, re.ASCII), handler)
            for method, path, handler in table
        )

    async def _list_profiles(self, request: OperatorRequest):
        profiles = self._operations.list_profiles()
        return Ok(ProfileList(tuple(map(ProfileView.from_profile, profiles))))

    async def _show_profile(self, request: OperatorRequest):
        shown = self._operations.show_profile(request.path_values[0])
        return await self._add_zones(shown)

    async def _publish(self, request: OperatorRequest):
        match request.decode(ProfileBody):
            case Result(tag="ok", ok=body):
                published = await self._operations.publish_profile(body.profile())
                return await self._add_zones(published)
            case refused:
                return refused

    async def _change(self, request: OperatorRequest):
        match request.decode(ProfileBody):
            case Result(tag="ok", ok=body) if body.name == request.path_values[0]:
                changed = await self._operations.change_profile(
                    body.profile(), body.expected_version
                )
                return await self._add_zones(changed)
            case Result(tag="ok"):
                detail = "the names in the path and in the body differ"
                return Error(fault(ResultCode.CHANGE_INVALID, detail))
            case refused:
                return refused

    async def _retire(self, request: OperatorRequest):
        match request.decode(RetireBody):
            case Result(tag="ok", ok=body):
                retired = await self._operations.retire_profile(
                    request.path_values[0], body.expected_version
                )
                return await self._add_zones(retired)
            case refused:
                return refused

    async def _add_zones(self, result: Result[Profile, Fault]):
        """Add the versions active in each zone, as far as zones can be queried."""
        if result.is_error():
            return result
        profile = result.ok
        zones: tuple[ProfileInZone, ...] = ()
        match await self._operations.status():
            case Result(tag="ok", ok=status):
                zones = tuple(
                    entry
                    for entry in status.profiles_in_zones
                    if entry.name == profile.name
                )
        return Ok(ProfileView.from_profile(profile, zones))

    async def _drain(self, request: OperatorRequest):
        kind, id = request.path_values
        return await self._operations.drain(DrainKind(kind), id)

    async def _undrain(self, request: OperatorRequest):
        kind, id = request.path_values
        return await self._operations.undrain(DrainKind(kind), id)

    async def _list_targets(self, request: OperatorRequest):
        status = await self._operations.status()
        return status.map(lambda known: TargetList(known.targets))

    async def _add_target(self, request: OperatorRequest):
        match request.decode(TargetBody):
            case Result(tag="ok", ok=body):
                return await self._operations.add_target(body.target())
            case refused:
                return refused

    async def _add_host(self, request: OperatorRequest):
        match request.decode(HostBody):
            case Result(tag="ok", ok=body):
                return await self._operations.add_host(body.host())
            case refused:
                return refused

    async def _status(self, request: OperatorRequest):
        return await self._operations.status()

    async def _explain(self, request: OperatorRequest):
        record = self._records.find(request.path_values[0])
        if record is None:
            detail = f"{self._host} has no record of {request.path_values[0]}"
            return Error(fault(ResultCode.OBJECT_NOT_FOUND, detail))
        return Ok(Explanation(self._host, record))


class MetricsApp:
    """The ASGI application of a separate listener for metrics; it needs no token."""

    __slots__ = ("_telemetry",)

    def __init__(self, telemetry: Telemetry):
        self._telemetry = telemetry

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        await serve_scope(scope, receive, send, self._serve)

    async def _serve(self, scope, receive, send) -> None:
        if scope["path"] == "/metrics":
            await send_bytes(send, 200, self._telemetry.exposition(), METRICS_TYPE)
        else:
            await send_bytes(send, 404, b"", b"text/plain")


def _digest(token: bytes) -> bytes:
    return hashlib.sha256(token).digest()
