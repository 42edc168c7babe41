"""Runs an entry host as a process of its own, without a platform."""

import subprocess
import sys
from pathlib import Path


class EntryHostProcess:
    """One entry host, started and ended by its own process id.

    Parameters
    ----------
    address : str
        Where it listens for callers.
    service : str
        Address of the plain service behind its profile ``notice``.
    settings : str
        Additional lines of the section ``caller``, and further sections.
    """

    __slots__ = ("_command", "_log", "_process", "address")

    def __init__(self, folder: Path, address: str, service: str, settings: str = ""):
        self.address = address
        self._log = folder / "entry-host.log"
        path = folder / "entry-host.ini"
        path.write_text(
            "[host]\nid = entry-host\nzone = a\n"
            f"[targets]\nportal = {service} a portal 0 1 1 100 1000 service\n"
            "[profiles]\n"
            "notice = portal kind=service deadline=20s idempotent=no\n"
            f"[caller]\nbind = {address}\n{settings}"
        )
        self._command = [sys.executable, "-m", "radishfield.scripts", "run"]
        self._command += ["--settings", str(path)]
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(self._command, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    @property
    def runs(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def end(self) -> None:
        """Kill the process and wait for its exit."""
        self._process.kill()
        self._process.wait()
