"""A router as a process of its own, for the soak and the load tool."""

import signal
import subprocess
import sys
from pathlib import Path


class RouterProcess:
    """One router, started, signalled and ended by its own process id."""

    def __init__(self, number: int, folder: Path, ports: list[int], store: str):
        self.front = f"127.0.0.1:{ports[0]}"
        self._path = folder / f"router-{number}.ini"
        self._log = folder / f"router-{number}.log"
        self._path.write_text(
            f"[host]\nid = host-{number}\nzone = a\n"
            f"[caller]\nbind = {self.front}\n"
            f"[readiness]\nbind = 127.0.0.1:{ports[1]}\n"
            f"[gossip]\nbind = 127.0.0.1:{ports[2]}\n"
            f"[platform]\naddress = {store}\n"
            "[promises]\ngrace = 3s\nretry_slack = 100\n"
            "[log]\ndestination = stdout\n"
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self._process is not None and self._process.poll() is None:
            return
        command = [sys.executable, "-m", "radishfield.forwarding"]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [*command, "--settings", str(self._path)], stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Signal the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process and wait for it."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
