"""Starts the routers of a small deployment, with the command of the deploy file."""

import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "revokeMs": 5000,
    "drainMs": 2000,
    "graceS": 8,
    "budgetWindowS": 10,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 202,
}
RESTART_S = 0.3
STORE_PORT = 8223


def free_network():
    """Return the first two parts of loopback addresses that nothing listens on."""
    while True:
        network = f"127.{random.randint(20, 250)}"
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((f"{network}.200.1", STORE_PORT))
            except OSError:
                continue
        return network


def render(template, values):
    """Fill in a template of settings: values and sections, as DEPLOY.md tells them."""

    def find(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def section(match):
        value = find(match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: str(find(match[1])), text)


class Process:
    """A process of a test, ended by its own id."""

    def __init__(self, command, log, env=None):
        self.command = command
        self.log = log
        self.env = env
        self.process = None
        self.ends = []

    def start(self):
        """Start the process."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log, env=self.env
            )

    @property
    def pid(self):
        """Return the id of the process, or 0."""
        return self.process.pid if self.process else 0

    def runs(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send the process a signal."""
        if self.runs():
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for its exit."""
        if self.runs():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        """Return the resident memory of the process."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0


def environment(**more):
    """Return the variables that a program gets, with the built libraries."""
    kept = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
    return (
        kept
        | {"PYTHONPATH": path, "PYTHONUNBUFFERED": "1", "PYTHONDONTWRITEBYTECODE": "1"}
        | more
    )


def standin(script, arguments, folder):
    """Return a process of the review's own stand-ins."""
    command = [sys.executable, str(ROOT / script), *map(str, arguments)]
    name = Path(script).stem
    return Process(command, folder / f"{name}.log", environment())


class Router(Process):
    """One entry host, with a loopback address of its own."""

    def __init__(self, number, zone, network, folder):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["router"]
        self.name, self.zone = f"edge-{number}", zone
        self.ip = f"{network}.1.{number + 1}"
        self.front = f"{self.ip}:8227"
        self.ready = f"{self.ip}:8220"
        values = {
            "node": self.name,
            "ip": self.ip,
            "zone": zone,
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [7340, 7355],
            "bounds": BOUNDS,
            "platform": {"addr": f"{network}.200.1:{STORE_PORT}"},
        }
        path = folder / f"{self.name}.ini"
        path.write_text(render((ROOT / role["template"]).read_text(), values))
        command = role["run"].split(" ")
        env = environment(RADISHFIELD_SETTINGS=str(path))
        super().__init__(command, folder / f"{self.name}.log", env)


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began_at = time.time()

    def note(self, text):
        """Add a line with the time since the start."""
        at = time.time() - self._began_at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
