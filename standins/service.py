"""A stand-in for a plain service: idempotent lookups and non-idempotent calls.

``GET /lookup/NAME`` may be repeated at will.  ``POST /notices`` publishes a
notice: each run counts, and the record holds how often it ran.
"""

from dataclasses import dataclass, field

import click
import msgspec
import trio

from radishfield.edges import (
    BodyLimit,
    read_body,
    send_chunk,
    send_json,
    serve_lifespan,
    start_answer,
)
from radishfield.edges._target_wire import NOT_STARTED_HEADER, Refusal
from standins.daemon import serve_until_signal

NOT_STARTED = (NOT_STARTED_HEADER, b"true")
DRAIN_S = 30.0
RETRY_AFTER_S = 0.5


@dataclass(slots=True, frozen=True)
class ServiceFaults:
    """Active faults.

    Attributes
    ----------
    refuse : bool
        Calls are refused before they start, and the answer says so.
    fail : bool
        Calls run and then answer 500.
    truncate : bool
        Calls run and their answer is truncated.
    silent : bool
        Calls run and never answer.
    """

    slow_s: float = 0.0
    refuse: bool = False
    fail: bool = False
    truncate: bool = False
    silent: bool = False


@dataclass(slots=True, frozen=True)
class CallRun:
    """One call that ran."""

    method: str
    path: str
    request_id: str
    idempotency_key: str


@dataclass(slots=True)
class ServiceRecord:
    """Every call that ran, in order."""

    calls: list[CallRun] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Answer:
    """The body of a call's answer; ``run`` counts all calls so far."""

    service: str
    path: str
    run: int


class ServiceApp:
    """The ASGI application of one plain service."""

    __slots__ = ("target_id", "faults", "record", "is_leaving", "in_flight")

    def __init__(self, target_id: str):
        self.target_id = target_id
        self.faults = ServiceFaults()
        self.record = ServiceRecord()
        self.is_leaving = False
        self.in_flight = 0

    async def drain(self) -> None:
        """Refuse new calls, and wait until the calls in flight have ended."""
        self.is_leaving = True
        with trio.move_on_after(DRAIN_S):
            while self.in_flight:
                await trio.sleep(0.02)

    async def __call__(self, scope, receive, send):
        """Answer one call."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = (await read_body(receive, BodyLimit())).default_value(b"")
        match (scope["method"], scope["path"]):
            case ("POST", "/control/faults"):
                self.faults = msgspec.json.decode(body, type=ServiceFaults)
                await send_json(send, 200, self.faults)
            case ("GET", "/control/record"):
                await send_json(send, 200, self.record)
            case ("GET", path) if path.startswith("/lookup/"):
                await self._run(scope, send)
            case ("POST", "/notices"):
                await self._run(scope, send)
            case _:
                await send_json(send, 404, Refusal(0, "unknown path"))

    async def _run(self, scope, send) -> None:
        if self.faults.refuse or self.is_leaving:
            refusal = Refusal(0, "refused before it started", RETRY_AFTER_S)
            await send_json(send, 503, refusal, [NOT_STARTED])
            return
        self.in_flight += 1
        try:
            await self._run_counted(scope, send)
        finally:
            self.in_flight -= 1

    async def _run_counted(self, scope, send) -> None:
        headers = dict(scope["headers"])
        run = CallRun(
            scope["method"],
            scope["path"],
            headers.get(b"x-request-id", b"").decode(),
            headers.get(b"idempotency-key", b"").decode(),
        )
        self.record.calls.append(run)
        faults = self.faults
        await trio.sleep(faults.slow_s)
        if faults.silent:
            await trio.sleep_forever()
        answer = Answer(self.target_id, run.path, len(self.record.calls))
        if faults.truncate:
            await start_answer(send, 200, [(b"content-length", b"1000")])
            await send_chunk(send, msgspec.json.encode(answer), more=False)
            return
        await send_json(send, 500 if faults.fail else 200, answer)


@click.command()
@click.option("--id", "target_id", required=True)
@click.option("--port", type=int, required=True)
def main(target_id, port):
    """Run one plain service stand-in."""
    trio.run(serve_until_signal, ServiceApp(target_id), port)


if __name__ == "__main__":
    main()
