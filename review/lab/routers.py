"""The project's routers as processes, started as the deploy file says."""

import os
import signal
import socket
import subprocess
import sys
import tomllib
from contextlib import ExitStack
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]

SETTINGS = """\
[host]
id = {id}
zone = {zone}

[caller]
bind = {ip}:{front}

[readiness]
bind = {ip}:{ready}

[gossip]
bind = {ip}:{peers}

[metrics]
bind = {ip}:{metrics}

[resources]
memory = 300MiB
open_files = 4100

[platform]
address = {store}
max_calls_per_s = 20

[promises]
revoke = 5000ms
drain = 2000ms
grace = 8s
retry_window = 10s
retry_ratio = 0.2
retry_slack = 202

[log]
level = info
destination = stdout
"""


def free_ports(ip, count):
    """Return different ports that no process uses now."""
    with ExitStack() as held:
        found = [held.enter_context(socket.socket()) for _ in range(count)]
        for each in found:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in found]


class RouterProcess:
    """One router on a loopback address of its own."""

    def __init__(self, folder, ip, host_id, zone, store_address):
        names = ("front", "ready", "peers", "metrics")
        ports = dict(zip(names, free_ports(ip, len(names)), strict=True))
        self._path = folder / f"{host_id}.ini"
        self._path.write_text(
            SETTINGS.format(id=host_id, zone=zone, ip=ip, store=store_address, **ports)
        )
        self._log = folder / f"{host_id}.log"
        self._process = None
        self.id = host_id
        self.zone = zone
        self.front = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.in_rotation = False

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        program, *words = deploy["roles"]["router"]["run"].split()
        program = sys.executable if program == "python3" else program
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RADISHFIELD_SETTINGS": str(self._path),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [program, *words],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send the process a signal, if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    @property
    def runs(self):
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def log_lines(self, *events):
        """Return the lines that it logged for some events."""
        wanted = [f'"event":"{event}"'.encode() for event in events]
        lines = self._log.read_bytes().splitlines() if self._log.exists() else []
        return [
            line.decode(errors="replace")
            for line in lines
            if any(item in line for item in wanted)
        ]
