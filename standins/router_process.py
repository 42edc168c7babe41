"""Runs a router as a separate process, for the soak test and the load tool."""

import signal
import subprocess
import sys
from pathlib import Path

import msgspec

TYPICAL_PROMISES = "retry_slack = 100\n"


class RouterProcess:
    """One router, started, signalled and ended by its own process id.

    Parameters
    ----------
    promises : str
        Additional lines of the ``promises`` section of the settings.
    source : str
        Address from which it opens connections; blank for any.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        ports: list[int],
        store: str,
        promises: str = TYPICAL_PROMISES,
        source: str = "",
    ):
        self.number = number
        self.front = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
        self.peers = f"127.0.0.1:{ports[2]}"
        self._path = folder / f"router-{number}.ini"
        self._log = folder / f"router-{number}.log"
        self._path.write_text(
            f"[host]\nid = host-{number}\nzone = a\n"
            f"[caller]\nbind = {self.front}\n"
            f"[readiness]\nbind = {self.ready}\n"
            f"[gossip]\nbind = {self.peers}\n"
            f"[platform]\naddress = {store}\n"
            f"[promises]\ngrace = 3s\n{promises}"
            "[log]\ndestination = stdout\n"
        )
        self._module = ["radishfield.forwarding"]
        if source:
            self._module = ["standins.router_from", source]
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, unless it is running."""
        if self.runs:
            return
        command = [sys.executable, "-m", *self._module]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [*command, "--settings", str(self._path)], stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        """Return the id of the last started process, or 0 if there is none."""
        return self._process.pid if self._process is not None else 0

    @property
    def runs(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def read_ids(self) -> set[str]:
        """Return the ids of the requests whose ends it has logged, so that it read."""
        lines = self._log.read_bytes().splitlines() if self._log.exists() else []
        ends = [line for line in lines if b'"request.ended"' in line]
        return {msgspec.json.decode(line).get("request", "") for line in ends}

    def signal(self, number: int) -> None:
        """Send the process a signal, if it is running."""
        if self.runs:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
