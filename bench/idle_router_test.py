"""Tests a short measurement of an idle router among simulated hosts."""

import trio

from bench.idle_router import IdleRun


def test_idle_router_hears_the_simulated_hosts_and_takes_little_time(tmp_path):
    idle_run = IdleRun(hosts=5, targets=9, seconds=1.5)
    share = trio.run(idle_run.run, tmp_path)
    assert 0.0 <= share < 0.5
    assert any(other.known is not None for other in idle_run._others)
