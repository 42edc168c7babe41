"""Tests of the ports that processes reserve for the servers that they start."""

import subprocess
import sys

from standins import ports

OTHER_PROCESS = "from standins.ports import free_port; print(free_port()); input()"


class ScriptedDraws:
    """Draws given ports in place of random ones."""

    def __init__(self, draws):
        self._draws = iter(draws)

    def randint(self, first, last):
        assert first <= last
        return next(self._draws)


def test_a_port_is_not_assigned_while_another_process_has_yet_to_bind_it(monkeypatch):
    """Guards against two processes that bind the same port, so that one start fails."""
    other = subprocess.Popen(
        [sys.executable, "-c", OTHER_PROCESS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        taken = int(other.stdout.readline())
        unused = ports.free_port()
        ports._assigned_ports.discard(unused)
        draws = ScriptedDraws([taken, unused])
        monkeypatch.setattr(ports.random, "SystemRandom", lambda: draws)
        assert ports.free_port() == unused
    finally:
        other.communicate("\n")
    monkeypatch.setattr(ports.random, "SystemRandom", lambda: ScriptedDraws([taken]))
    assert ports.free_port() == taken
