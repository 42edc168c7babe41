"""Runs the daemons and stand-ins on loopback and records what callers receive."""

import signal
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

import httpcore
import msgspec
import trio

from proofs._relay import Relay
from standins.engine_control import Record
from standins.fleet import MODEL, OPERATOR_TOKEN, SmallFleet, ZonePlan
from standins.launcher import expected_text
from standins.service import ServiceRecord

ZONES = (
    ZonePlan("a", entry_hosts=2, step_ms=3.0, services=1),
    ZonePlan("b", entry_hosts=1, step_ms=3.0),
)
CALL_TIMEOUT_S = 20.0


@dataclass(slots=True)
class ReceivedAnswer:
    """What a caller received for one request; ``broken`` names a connection error."""

    prompt: str
    tokens: int
    status: int = 0
    outcome: str = ""
    code: str = ""
    text: str = ""
    system_id: str = ""
    is_done: bool = False
    broken: str = ""

    @property
    def is_complete(self) -> bool:
        """Return whether the answer ended properly and is the only right one."""
        return self.is_done and self.text == expected_text(self.prompt, self.tokens)


class RelayedFleet(SmallFleet):
    """A small fleet whose first engine of zone ``a`` stands behind a relay."""

    __slots__ = ("relay",)

    def __init__(self, folder: Path):
        super().__init__(folder, ZONES)
        self.relay: Relay | None = None

    def publish_behind_relay(self, target_id: str) -> None:
        """Let the platform list a target at the relay's address."""
        target = self.targets_by_id[target_id]
        self.relay = Relay(target.address)
        self.targets_by_id[target_id] = replace(target, address=self.relay.address)

    def _publish(self) -> None:
        self.publish_behind_relay("a-engine-0")
        super()._publish()

    def stop(self) -> None:
        """Stop every process by its id; stand-ins need no orderly shutdown."""
        for name, process in list(self.processes_by_id.items()):
            if name not in self.entries_by_id:
                process.kill()
                process.wait()
                del self.processes_by_id[name]
        super().stop()
        if self.relay is not None:
            self.relay.close()

    def engine_record(self, target_id: str) -> Record:
        """Return the record of what an engine ran."""
        address = self.targets_by_id[target_id].address
        answer = httpcore.request("GET", f"http://{address}/control/record")
        return msgspec.json.decode(answer.content, type=Record)

    def service_record(self) -> ServiceRecord:
        """Return the record of what the plain service ran."""
        address = self.targets_by_id["a-service-1"].address
        answer = httpcore.request("GET", f"http://{address}/control/record")
        return msgspec.json.decode(answer.content, type=ServiceRecord)

    def send_operator_request(
        self, host_id: str, method: str, path: str, body: object
    ) -> int:
        """Send an operator's request to a host; return the status of the answer."""
        port = self.entries_by_id[host_id].operator_port
        headers = {
            "authorization": f"Bearer {OPERATOR_TOKEN}",
            "content-type": "application/json",
        }
        url = f"http://127.0.0.1:{port}{path}"
        answer = httpcore.request(
            method, url, headers=headers, content=msgspec.json.encode(body)
        )
        return answer.status

    def count_started_requests(self, target_id: str) -> int:
        """Return how many requests have run a step at an engine."""
        return len({step.request_id for step in self.engine_record(target_id).steps})

    def running_engines(self) -> list[str]:
        """Return the ids of the engines whose processes are running."""
        return [
            target.id
            for target in self.targets_by_id.values()
            if target.model == MODEL and target.id in self.processes_by_id
        ]

    def stages_of(self, system_id: str) -> list[str]:
        """Return the engines that ran layers for a request."""
        return [
            target_id
            for target_id in self.running_engines()
            if any(
                step.request_id == system_id
                for step in self.engine_record(target_id).steps
            )
        ]

    def count_starts(self, system_id: str) -> int:
        """Return how often engines started a request."""
        return sum(
            start.request_id == system_id
            for target_id in self.running_engines()
            for start in self.engine_record(target_id).starts
        )

    def layers_run_twice(self, system_id: str) -> list[tuple[int, int, int]]:
        """Return each attempt, position and layer that ran more than once."""
        runs: Counter[tuple[int, int, int]] = Counter()
        for target_id in self.running_engines():
            for step in self.engine_record(target_id).steps:
                if step.request_id == system_id and not step.refused:
                    for layer in range(step.layers.first, step.layers.end):
                        runs[step.attempt, step.position, layer] += 1
        return [key for key, count in runs.items() if count > 1]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process by its id."""
        self.processes_by_id[name].send_signal(number)

    def restart_engine(self, target_id: str) -> None:
        """Kill an engine and start it again on the same port."""
        target = self.targets_by_id[target_id]
        if target_id in self.processes_by_id:
            self.end(target_id, signal.SIGKILL)
        self.spawn(
            target_id,
            "standins.engine",
            f"--id={target_id}",
            f"--port={target.address.rpartition(':')[2]}",
            f"--first={target.layers.first}",
            f"--end={target.layers.end}",
            "--step-ms=3.0",
        )
        self._wait_port(int(target.address.rpartition(":")[2]))


async def stream(
    port: int,
    received: ReceivedAnswer,
    profile: str = "review",
    key: str = "",
    progress=None,
) -> ReceivedAnswer:
    """Request a streamed chat answer and record what is received."""
    body = {
        "model": profile,
        "messages": [{"role": "user", "content": received.prompt}],
        "max_tokens": received.tokens,
        "stream": True,
    }
    headers = {"content-type": "application/json"}
    if key:
        headers["idempotency-key"] = key
    url = f"http://127.0.0.1:{port}/v1/chat/completions"
    # A new connection for each request: a load balancer chooses a host for each one,
    # and no pooled connection is left over from an earlier request.
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                async with pool.stream(
                    "POST", url, headers=headers, content=msgspec.json.encode(body)
                ) as answer:
                    await _read_answer(answer, received, progress)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ) as error:
            received.broken = type(error).__name__
    return received


async def _read_answer(
    answer: httpcore.Response, received: ReceivedAnswer, progress
) -> None:
    header_by_name = {
        name.decode().lower(): value.decode() for name, value in answer.headers
    }
    received.status = answer.status
    received.outcome = header_by_name.get("x-outcome", "")
    received.code = header_by_name.get("x-result-code", "")
    received.system_id = header_by_name.get("x-radishfield-id", "")
    rest = b""
    async for chunk in answer.aiter_stream():
        rest += chunk
        while b"\n\n" in rest:
            event, _, rest = rest.partition(b"\n\n")
            _record_event(event, received)
            if progress is not None:
                progress.set()


def _record_event(event: bytes, received: ReceivedAnswer) -> None:
    data = event.removeprefix(b"data: ")
    if data == b"[DONE]":
        received.is_done = True
        return
    value = msgspec.json.decode(data)
    if "error" in value:
        received.outcome = value["error"].get("outcome", "")
        received.code = str(value["error"].get("code", ""))
        return
    for choice in value.get("choices", ()):
        received.text += choice.get("delta", {}).get("content") or ""
