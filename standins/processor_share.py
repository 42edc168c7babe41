"""Holds processes to a share of a processor, by stop and continue signals.

Usage: ``python -m standins.processor_share SHARE PID...``.  It runs as a process of its
own, so that a busy event loop does not change the shares, until it is ended.

A turn is counted in processor time where its process has to wait for a processor, so
that other processes of a busy machine do not take from the share.
"""

import math
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

PERIOD_S = 0.04
"""Time in which each process runs once."""
STEP_S = 0.0005
MAX_SHARE = 0.95


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used since its start, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


@contextmanager
def processor_share(share: float, pids: list[int]) -> Iterator[None]:
    """Hold processes to a share of a processor within a ``with`` block."""
    held_share = str(min(MAX_SHARE, share))
    command = [sys.executable, "-m", "standins.processor_share", held_share]
    holder = subprocess.Popen([*command, *map(str, pids)])
    try:
        yield
    finally:
        holder.kill()
        holder.wait()
        _signal_all(pids, signal.SIGCONT)


def _signal_all(pids: list[int], number: int) -> None:
    for pid in pids:
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            continue


def is_over(elapsed_s: float, turn_s: float, left_s: float, waits: bool) -> bool:
    """Return whether a turn is over.

    Parameters
    ----------
    elapsed_s, turn_s : float
        Time since the turn began, and for which it lasts.
    left_s : float
        Processor time that its process may still use in it.
    waits : bool
        The process is running, or would be if it had a processor.
    """
    return left_s <= 0.0 or (elapsed_s >= turn_s and not waits)


class _HeldProcess:
    """One process, and its turns.

    Parameters
    ----------
    turn_s : float
        Length of a turn, in seconds.
    """

    __slots__ = ("_began_at", "_clock", "_limit_s", "_pid", "_turn_s")

    def __init__(self, pid: int, turn_s: float):
        self._began_at: float | None = None
        # The kernel's name for the clock of a process's own processor time.
        self._clock = (~pid << 3) | 2
        self._limit_s = math.inf
        self._pid = pid
        self._turn_s = turn_s

    def begin_turn(self) -> None:
        """Let the process run; what it used beyond its last turn is taken off."""
        self._began_at = time.monotonic()
        self._limit_s = self._turn_s + min(
            self._limit_s, time.clock_gettime(self._clock)
        )
        _signal_all([self._pid], signal.SIGCONT)

    def end_turn(self) -> None:
        """Stop the process if its turn is over."""
        if self._began_at is None:
            return
        elapsed_s = time.monotonic() - self._began_at
        left_s = self._limit_s - time.clock_gettime(self._clock)
        if is_over(elapsed_s, self._turn_s, left_s, _waits_for_processor(self._pid)):
            _signal_all([self._pid], signal.SIGSTOP)
            self._began_at = None


def _waits_for_processor(pid: int) -> bool:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"


def _hold(share: float, pids: list[int]) -> None:
    held = [_HeldProcess(pid, share * PERIOD_S) for pid in pids]
    # The processes run by turns, so that a few processors suffice for all of them.
    due_by_held = {
        each: number / len(pids) * PERIOD_S for number, each in enumerate(held)
    }
    began_at = time.monotonic()
    while True:
        now = time.monotonic() - began_at
        for each in held:
            try:
                each.end_turn()
                if now >= due_by_held[each]:
                    due_by_held[each] += PERIOD_S
                    each.begin_turn()
            except OSError:
                # The process has ended.
                due_by_held[each] = math.inf
        time.sleep(STEP_S)


if __name__ == "__main__":
    _hold(float(sys.argv[1]), [int(pid) for pid in sys.argv[2:]])
