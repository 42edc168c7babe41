"""The real daemons and stand-ins on loopback, and callers that judge them."""

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
class Heard:
    """What a caller heard of one request."""

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
    def is_whole(self) -> bool:
        """Return whether the answer is the only right one, and ended as such."""
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
        """End every process by its id; stand-ins need no orderly end."""
        for name, process in list(self.processes_by_id.items()):
            if name not in self.entries_by_id:
                process.kill()
                process.wait()
                del self.processes_by_id[name]
        super().stop()
        if self.relay is not None:
            self.relay.close()

    def record_of(self, target_id: str) -> Record:
        """Return what an engine really ran."""
        address = self.targets_by_id[target_id].address
        answer = httpcore.request("GET", f"http://{address}/control/record")
        return msgspec.json.decode(answer.content, type=Record)

    def service_record(self) -> ServiceRecord:
        """Return what the plain service really ran."""
        address = self.targets_by_id["a-service-1"].address
        answer = httpcore.request("GET", f"http://{address}/control/record")
        return msgspec.json.decode(answer.content, type=ServiceRecord)

    def operate(self, host_id: str, method: str, path: str, body: object) -> int:
        """Let an operator act through a host; return the status told."""
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

    def starts_at(self, target_id: str) -> int:
        """Return how many requests have run a step at an engine."""
        return len({step.request_id for step in self.record_of(target_id).steps})

    def engines(self) -> list[str]:
        """Return the ids of the engines whose processes run."""
        return [
            target.id
            for target in self.targets_by_id.values()
            if target.model == MODEL and target.id in self.processes_by_id
        ]

    def stages_of(self, system_id: str) -> list[str]:
        """Return the engines that ran layers for a request."""
        return [
            target_id
            for target_id in self.engines()
            if any(
                step.request_id == system_id for step in self.record_of(target_id).steps
            )
        ]

    def starts_of(self, system_id: str) -> int:
        """Return how often engines began a request."""
        return sum(
            start.request_id == system_id
            for target_id in self.engines()
            for start in self.record_of(target_id).starts
        )

    def layers_run_twice(self, system_id: str) -> list[tuple[int, int, int]]:
        """Return each attempt, position and layer that ran more than once."""
        runs: Counter[tuple[int, int, int]] = Counter()
        for target_id in self.engines():
            for step in self.record_of(target_id).steps:
                if step.request_id == system_id and not step.refused:
                    for layer in range(step.layers.first, step.layers.end):
                        runs[step.attempt, step.position, layer] += 1
        return [key for key, count in runs.items() if count > 1]

    def signal(self, name: str, number: int) -> None:
        """Send one process a signal by its id."""
        self.processes_by_id[name].send_signal(number)

    def restart_engine(self, target_id: str) -> None:
        """Kill an engine and start it again where it listened."""
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
    port: int, heard: Heard, profile: str = "review", key: str = "", progress=None
) -> Heard:
    """Ask for a streamed chat answer and take down what comes."""
    body = {
        "model": profile,
        "messages": [{"role": "user", "content": heard.prompt}],
        "max_tokens": heard.tokens,
        "stream": True,
    }
    headers = {"content-type": "application/json"}
    if key:
        headers["idempotency-key"] = key
    url = f"http://127.0.0.1:{port}/v1/chat/completions"
    # One connection a request: a balancer's choice, and no pooled leftovers.
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                async with pool.stream(
                    "POST", url, headers=headers, content=msgspec.json.encode(body)
                ) as answer:
                    await _take_down(answer, heard, progress)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ) as error:
            heard.broken = type(error).__name__
    return heard


async def _take_down(answer: httpcore.Response, heard: Heard, progress) -> None:
    told = {name.decode().lower(): value.decode() for name, value in answer.headers}
    heard.status = answer.status
    heard.outcome = told.get("x-outcome", "")
    heard.code = told.get("x-result-code", "")
    heard.system_id = told.get("x-radishfield-id", "")
    rest = b""
    async for chunk in answer.aiter_stream():
        rest += chunk
        while b"\n\n" in rest:
            event, _, rest = rest.partition(b"\n\n")
            _take_event(event, heard)
            if progress is not None:
                progress.set()


def _take_event(event: bytes, heard: Heard) -> None:
    data = event.removeprefix(b"data: ")
    if data == b"[DONE]":
        heard.is_done = True
        return
    value = msgspec.json.decode(data)
    if "error" in value:
        heard.outcome = value["error"].get("outcome", "")
        heard.code = str(value["error"].get("code", ""))
        return
    for choice in value.get("choices", ()):
        heard.text += choice.get("delta", {}).get("content") or ""
