"""Tests how a host finds out that a target has ended."""

import trio
from expression import Error

from radishfield.core import ResultCode, fault
from radishfield.forwarding._target_ends import (
    CONFIRMATION_LIMITS_S,
    TargetProbe,
    TargetState,
)
from radishfield.routing import TargetPhase, TargetRecord
from standins.ports import free_port


class Targets:
    async def report(self, record):
        return Error(fault(ResultCode.CONNECT_FAILED))


class Dialer:
    """Other hosts, which say in turn whether they reach a target."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = 0

    def can_ask(self):
        return True

    async def reaches(self, address, limit_s):
        self.asked += 1
        return self.answers.pop(0) if self.answers else None


def state_of_refusing_target(dialer):
    async def main():
        address = f"127.0.0.1:{free_port()}"
        record = TargetRecord("t", address, "pool", "a", TargetPhase.READY, 8)
        return await TargetProbe(Targets(), dialer).state(record)

    return trio.run(main)


def test_crash_counts_although_no_other_host_answers_at_first():
    """Guards against crashes that are not counted while other hosts are busy."""
    dialer = Dialer(None, None, False)
    assert state_of_refusing_target(dialer) is TargetState.ENDED
    assert dialer.asked == 3


def test_target_that_another_host_reaches_late_is_not_taken_for_ended():
    """Guards against a lost link taken for a crash since the answer came late."""
    dialer = Dialer(None, True)
    assert state_of_refusing_target(dialer) is TargetState.UNKNOWN


def test_other_hosts_are_asked_a_few_times_only():
    dialer = Dialer()
    assert state_of_refusing_target(dialer) is TargetState.UNKNOWN
    assert dialer.asked == len(CONFIRMATION_LIMITS_S)
