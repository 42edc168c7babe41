"""Starts a small fleet as separate processes: a tool, not part of the system."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
import httpcore
import msgspec

from standins.model import expected_words

MODEL_LAYERS = 16
STAGES = ((0, 4), (4, 8), (8, 12), (12, 16))
PROMPT = "Summarise the transfer dispute."


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class SmallFleet:
    """Processes started by `start`, ended by their ids in `stop`."""

    __slots__ = (
        "_processes",
        "folder",
        "step_ms",
        "entry_ports",
        "entry_process_ids",
    )

    def __init__(self, folder: Path, step_ms: float = 2.0):
        self.folder = folder
        self.step_ms = step_ms
        self.entry_process_ids: list[int] = []
        self._processes: list[subprocess.Popen] = []
        self.entry_ports: list[int] = []

    def spawn(self, *arguments: str) -> int:
        """Start one Python process of the fleet and return its id."""
        process = subprocess.Popen([sys.executable, *arguments])
        self._processes.append(process)
        return process.pid

    def start(self) -> None:
        """Start engines for four stages, and one entry host."""
        lines = ["[targets]"]
        for first, end in STAGES:
            port = free_port()
            name = f"engine-{first}"
            self.spawn(
                "-m",
                "standins.engine",
                f"--id={name}",
                f"--port={port}",
                f"--first={first}",
                f"--end={end}",
                f"--step-ms={self.step_ms}",
            )
            lines.append(
                f"{name} = 127.0.0.1:{port} a small {first} {end} {MODEL_LAYERS}"
            )
        port = free_port()
        self.entry_ports.append(port)
        lines += [
            "[profiles]",
            "review = small",
            "[caller]",
            f"bind = 127.0.0.1:{port}",
        ]
        path = self.folder / "entry.ini"
        path.write_text("\n".join(lines))
        self.entry_process_ids.append(
            self.spawn("-m", "radishfield.scripts", "run", "--settings", str(path))
        )
        self._wait_listening(port)

    def _wait_listening(self, port: int) -> None:
        for _ in range(200):
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            time.sleep(0.05)
        raise SystemExit("the fleet did not start")

    def stop(self) -> None:
        """End every process that was started, by its id."""
        for process in self._processes:
            os.kill(process.pid, signal.SIGTERM)
        for process in self._processes:
            process.wait(timeout=20)


@click.group()
def main():
    """Run a small fleet on loopback."""


@main.command()
def demo():
    """Start a fleet, send a request through, print the answer, stop."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(Path(folder))
        try:
            fleet.start()
            ask(fleet.entry_ports[0])
        finally:
            fleet.stop()


def ask(port: int) -> None:
    """Send one request and check its answer."""
    body = {"model": "review", "messages": [{"role": "user", "content": PROMPT}]}
    answer = httpcore.request(
        "POST",
        f"http://127.0.0.1:{port}/v1/chat/completions",
        content=msgspec.json.encode(body),
    )
    value = msgspec.json.decode(answer.content)
    text = value["choices"][0]["message"]["content"]
    click.echo(text)
    expected = " ".join(expected_words("small", PROMPT, MODEL_LAYERS, 16))
    if text != expected:
        raise SystemExit("the answer is not the expected one")


if __name__ == "__main__":
    main()
