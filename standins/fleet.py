"""Starts a small fleet as separate processes on loopback.

Used by the demo, the tests and the measurements; not part of the system.
"""

import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import httpcore
import msgspec

from radishfield.core import (
    Host,
    LayerRange,
    Priority,
    Profile,
    Target,
    TargetKind,
)
from standins.platform import WriteBody
from standins.ports import free_port

MODEL = "small"
MODEL_LAYERS = 16
STAGES = ((0, 4), (4, 8), (8, 12), (12, 16))
SERVICE_MODEL = "registry-portal"
PEER_KEY_ID = "k1"
PEER_KEY = "5f" * 32
OPERATOR_TOKEN = "operator-token-of-the-demo"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05

PROFILES = (
    Profile("review", MODEL, deadline_s=60.0),
    Profile("draft", MODEL, deadline_s=60.0, idempotent=False),
    Profile("briefing", MODEL, priority=Priority.URGENT, deadline_s=30.0),
    Profile("lookup", SERVICE_MODEL, TargetKind.SERVICE, deadline_s=5.0),
    Profile(
        "portal", SERVICE_MODEL, TargetKind.SERVICE, deadline_s=5.0, idempotent=False
    ),
)


@dataclass(slots=True, frozen=True)
class ZonePlan:
    """One zone of the fleet.

    Attributes
    ----------
    step_ms : float
        Time of each engine's step; the zone has one engine for each stage.
    """

    name: str
    entry_hosts: int = 1
    step_ms: float = 2.0
    engines: bool = True
    services: int = 0


ONE_ZONE = (ZonePlan("a", services=1),)
THREE_ZONES = (
    ZonePlan("hall-petrzalka", step_ms=2.0, services=1),
    ZonePlan("hall-ruzinov", step_ms=4.0),
    ZonePlan("hall-devin", step_ms=4.0),
)


@dataclass(slots=True)
class EntryProcess:
    """A running entry host."""

    id: str
    zone: str
    process: subprocess.Popen
    caller_port: int
    operator_port: int
    peer_port: int
    settings: Path


class SmallFleet:
    """A platform stand-in, targets and entry hosts, as processes.

    Each process is ended by its own id.  ``targets_by_id`` and ``entries_by_id``
    hold the addresses and ports.
    """

    __slots__ = (
        "folder",
        "zones",
        "platform_port",
        "targets_by_id",
        "entries_by_id",
        "processes_by_id",
    )

    def __init__(
        self,
        folder: Path,
        zones: tuple[ZonePlan, ...] = ONE_ZONE,
        step_ms: float | None = None,
    ):
        self.folder = folder
        self.zones = zones
        if step_ms is not None:
            self.zones = tuple(
                ZonePlan(
                    zone.name, zone.entry_hosts, step_ms, zone.engines, zone.services
                )
                for zone in zones
            )
        self.platform_port = 0
        self.targets_by_id: dict[str, Target] = {}
        self.entries_by_id: dict[str, EntryProcess] = {}
        self.processes_by_id: dict[str, subprocess.Popen] = {}

    @property
    def entry_ports(self) -> list[int]:
        """Return the caller ports of the entry hosts, in order of start."""
        return [entry.caller_port for entry in self.entries_by_id.values()]

    @property
    def entry_process_ids(self) -> list[int]:
        """Return the process ids of the entry hosts, in order of start."""
        return [entry.process.pid for entry in self.entries_by_id.values()]

    def start(self) -> None:
        """Start all processes, and wait until each entry host serves requests."""
        self.start_platform()
        for zone in self.zones:
            self._start_targets(zone)
        self._wait_listening()
        self._publish()
        for zone in self.zones:
            for number in range(zone.entry_hosts):
                self.start_entry(f"{zone.name}-{number + 1}", zone.name)
        for entry in self.entries_by_id.values():
            self.wait_serving(entry)

    def start_platform(self) -> None:
        """Start the platform stand-in, on its previous port if it had one."""
        self.platform_port = self.platform_port or free_port()
        self.spawn("platform", "standins.platform", "--port", str(self.platform_port))
        self._wait_port(self.platform_port)

    def start_entry(self, host_id: str, zone: str) -> EntryProcess:
        """Start an entry host with new ports and no state of an earlier one."""
        caller, operator, peer = free_port(), free_port(), free_port()
        seeds = ", ".join(
            f"127.0.0.1:{entry.peer_port}" for entry in self.entries_by_id.values()
        )
        path = self.folder / f"{host_id}.ini"
        path.write_text(
            f"[host]\nid = {host_id}\nzone = {zone}\n"
            f"[caller]\nbind = 127.0.0.1:{caller}\n"
            f"[operator]\nbind = 127.0.0.1:{operator}\ntoken = {OPERATOR_TOKEN}\n"
            f"[platform]\naddress = 127.0.0.1:{self.platform_port}\n"
            f"[peers]\nbind = 127.0.0.1:{peer}\nseeds = {seeds}\n"
            f"keys = {PEER_KEY_ID}:{PEER_KEY}\nactive_key = {PEER_KEY_ID}\n"
            "[drain]\nnotice = 300ms\ntimeout = 30s\n"
            "[log]\nlevel = warning\n"
        )
        process = self.spawn(
            host_id, "radishfield.scripts", "run", "--settings", str(path)
        )
        entry = EntryProcess(host_id, zone, process, caller, operator, peer, path)
        self.entries_by_id[host_id] = entry
        return entry

    def spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        """Start one Python process of the fleet."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command)
        self.processes_by_id[name] = process
        return process

    def end(self, name: str, number: int = signal.SIGTERM, wait: bool = True) -> None:
        """Send one process a signal, and wait for its end."""
        process = self.processes_by_id[name]
        process.send_signal(number)
        if wait:
            code = process.wait(timeout=STOP_TIMEOUT_S)
            self.processes_by_id.pop(name)
            self.entries_by_id.pop(name, None)
            if number == signal.SIGTERM:
                _check_clean_exit(name, code)

    def stop(self) -> None:
        """End every running process, by its id.

        An entry host that does not exit cleanly fails the run: a fault in its
        graceful shutdown would otherwise appear only in a log that nobody reads.
        """
        running = {
            name: process
            for name, process in self.processes_by_id.items()
            if process.poll() is None
        }
        self.processes_by_id.clear()
        for process in running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        codes = {name: _wait_exit_code(process) for name, process in running.items()}
        for entry_id in self.entries_by_id.keys() & codes.keys():
            _check_clean_exit(entry_id, codes[entry_id])

    def wait_serving(self, entry: EntryProcess) -> None:
        """Wait until an entry host has its profiles and a complete model to serve."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if _is_ready(entry.caller_port):
                return
            if entry.process.poll() is not None:
                raise SystemExit(
                    f"{entry.id} exited with status {entry.process.returncode}"
                )
            time.sleep(POLL_S)
        raise SystemExit(f"{entry.id} did not serve requests in time")

    def put(self, kind: str, name: str, value: object) -> None:
        """Create an object in the platform stand-in; fail if it exists."""
        body = WriteBody(msgspec.json.encode(value), 0)
        url = f"http://127.0.0.1:{self.platform_port}/objects/{kind}/{name}"
        answer = httpcore.request("PUT", url, content=msgspec.json.encode(body))
        if answer.status != 200:
            raise SystemExit(f"the platform refused {kind} {name}: {answer.status}")

    def _start_targets(self, zone: ZonePlan) -> None:
        if zone.engines:
            for first, end in STAGES:
                self._start_engine(zone, first, end)
        for number in range(zone.services):
            self._start_service(zone, number)

    def _start_engine(self, zone: ZonePlan, first: int, end: int) -> None:
        port = free_port()
        target_id = f"{zone.name}-engine-{first}"
        self.targets_by_id[target_id] = Target(
            target_id,
            f"{target_id}-host",
            zone.name,
            f"127.0.0.1:{port}",
            model=MODEL,
            layers=LayerRange(first, end),
            model_layers=MODEL_LAYERS,
            speed_tps=1000.0 / zone.step_ms,
            checks_fencing=True,
        )
        self.spawn(
            target_id,
            "standins.engine",
            f"--id={target_id}",
            f"--port={port}",
            f"--first={first}",
            f"--end={end}",
            f"--step-ms={zone.step_ms}",
        )

    def _start_service(self, zone: ZonePlan, number: int) -> None:
        port = free_port()
        target_id = f"{zone.name}-service-{number + 1}"
        self.targets_by_id[target_id] = Target(
            target_id,
            f"{target_id}-host",
            zone.name,
            f"127.0.0.1:{port}",
            TargetKind.SERVICE,
            SERVICE_MODEL,
        )
        self.spawn(target_id, "standins.service", f"--id={target_id}", f"--port={port}")

    def _publish(self) -> None:
        for target in self.targets_by_id.values():
            self.put("target", target.id, target)
        for profile in PROFILES:
            self.put("profile", profile.name, profile)
        hosts = [
            Host(target.host, target.zone) for target in self.targets_by_id.values()
        ]
        url = f"http://127.0.0.1:{self.platform_port}/control/hosts"
        httpcore.request("PUT", url, content=msgspec.json.encode(hosts))

    def _wait_listening(self) -> None:
        for target in self.targets_by_id.values():
            self._wait_port(int(target.address.rpartition(":")[2]))

    def _wait_port(self, port: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            time.sleep(POLL_S)
        raise SystemExit(f"nothing listened on port {port} in time")


def _is_ready(port: int) -> bool:
    """Return whether a short request is answered completely."""
    body = {"model": "review", "max_tokens": 1, "messages": []}
    body["messages"] = [{"role": "user", "content": "ready?"}]
    url = f"http://127.0.0.1:{port}/v1/chat/completions"
    try:
        answer = httpcore.request("POST", url, content=msgspec.json.encode(body))
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False
    return answer.status == 200


def _wait_exit_code(process: subprocess.Popen) -> int:
    try:
        return process.wait(timeout=STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def _check_clean_exit(name: str, code: int) -> None:
    if code != 0:
        raise SystemExit(f"{name} did not shut down gracefully: exit status {code}")
