"""A small stand-in for the platform's object API, over HTTP with JSON.

``python -m standins.platform --port 7000`` serves it on loopback.  Objects,
faults and rate limits are those of `standins.fakes.FakePlatform`; the control
routes below ``/control`` set its switches and return its counters.
"""

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

import click
import msgspec
import trio
from expression import Result
from hypercorn.config import Config
from hypercorn.trio import serve

from radishfield.core import Fault, Host, ResultCode, TrioClock
from standins.fakes import FakePlatform

MAX_BODY_BYTES = 2 << 20
"""Allows for a value of one megabyte as base64 in JSON, with a margin."""

STATUS_BY_CODE = {
    ResultCode.OBJECT_NOT_FOUND: 404,
    ResultCode.PLATFORM_CONFLICT: 409,
    ResultCode.WATCH_GAP: 410,
    ResultCode.VALUE_TOO_LARGE: 413,
    ResultCode.PLATFORM_RATE_LIMITED: 429,
    ResultCode.PLATFORM_UNAVAILABLE: 503,
}


@dataclass(slots=True, frozen=True)
class WriteBody:
    """Body of a conditional write."""

    value: bytes
    expected_version: int


@dataclass(slots=True, frozen=True)
class FaultChange:
    """Switches to set; an omitted field keeps its value."""

    down: bool | None = None
    delay_s: float | None = None
    lost_answers: int | None = None
    lost_writes: int | None = None
    skipped_events: int | None = None
    stale_reads: int | None = None
    host_list_lag_s: float | None = None
    cut_off: set[str] | None = None


@dataclass(slots=True, frozen=True)
class CallCount:
    """Number of calls of a kind from a caller since the start."""

    caller: str
    kind: str
    calls: int


class PlatformApp:
    """The ASGI application around one `FakePlatform`."""

    __slots__ = ("platform",)

    def __init__(self, platform: FakePlatform):
        self.platform = platform

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request or the server's lifespan scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        if body is None:
            await _send_json(send, 413, b"")
            return
        raw_path = scope["raw_path"].decode("ascii").strip("/")
        parts = [unquote(part) for part in raw_path.split("/")]
        if parts[0] == "control":
            status, answer = self._control(parts[1:], scope["method"], body)
            await _send_json(send, status, answer)
            return
        result = await self._call(scope, parts, body)
        if result is None:
            await _send_json(send, 404, b"")
            return
        await _send_result(send, result)

    async def _call(self, scope, parts: list[str], body: bytes) -> Result | None:
        query = parse_qs(scope["query_string"].decode())
        headers = dict(scope["headers"])
        caller = headers.get(b"x-caller", b"").decode()
        platform = self.platform.as_caller(caller)
        match (scope["method"], *parts):
            case ("GET", "objects", kind, name):
                return await platform.read(kind, name)
            case ("PUT", "objects", kind, name):
                write = msgspec.json.decode(body, type=WriteBody)
                return await platform.write(
                    kind, name, write.value, write.expected_version
                )
            case ("GET", "objects", kind):
                return await platform.list(kind)
            case ("GET", "watch", kind):
                after = int(query["after"][0])
                timeout_s = min(float(query["timeout_s"][0]), 300.0)
                return await platform.watch(kind, after, timeout_s)
            case ("GET", "hosts"):
                return await platform.hosts()
        return None

    def _control(self, parts: list[str], method: str, body: bytes):
        match (method, *parts):
            case ("GET", "calls"):
                return 200, msgspec.json.encode(self._call_counts())
            case ("PUT", "faults"):
                self._set_faults(msgspec.json.decode(body, type=FaultChange))
                return 200, b"{}"
            case ("PUT", "hosts"):
                hosts = msgspec.json.decode(body, type=list[Host])
                self.platform.set_hosts(hosts)
                return 200, b"{}"
        return 404, b""

    def _call_counts(self) -> Sequence[CallCount]:
        counts = self.platform.state.calls_by_caller_and_kind
        return [
            CallCount(caller, kind, calls)
            for (caller, kind), calls in sorted(counts.items())
        ]

    def _set_faults(self, change: FaultChange) -> None:
        for name in FaultChange.__slots__:
            value = getattr(change, name)
            if value is not None:
                setattr(self.platform.faults, name, value)
        self.platform.state.wake()


async def serve_platform(
    app: PlatformApp, port: int, *, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Serve the application on loopback until cancelled."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.errorlog = logging.getLogger("standins.platform")
    await serve(app, config, task_status=task_status)


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if message["type"] == "http.disconnect" or len(body) > MAX_BODY_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _send_result(send, result: Result) -> None:
    match result:
        case Result(tag="ok", ok=value):
            await _send_json(send, 200, msgspec.json.encode(value))
        case Result(tag="error", error=problem):
            await _send_fault(send, problem)


async def _send_fault(send, problem: Fault) -> None:
    if problem.code is ResultCode.PLATFORM_AMBIGUOUS:
        # The caller must not learn whether the write took effect: it receives
        # only the headers of an answer, then the connection is closed.
        await _send_head(send, 200, 100)
        return
    await _send_json(send, STATUS_BY_CODE[problem.code], msgspec.json.encode(problem))


async def _send_json(send, status: int, body: bytes) -> None:
    await _send_head(send, status, len(body))
    await send({"type": "http.response.body", "body": body})


async def _send_head(send, status: int, length: int) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(length).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})


@click.command()
@click.option("--port", type=click.IntRange(1, 65535), required=True)
def main(port: int) -> None:
    """Serve a platform stand-in on loopback until interrupted."""
    app = PlatformApp(FakePlatform(TrioClock()))
    trio.run(serve_platform, app, port)


if __name__ == "__main__":
    main()
