"""A short soak of the routers with fixed seeds, and each seed that ever failed."""

import pytest
import trio

from proofs._router_soak import HOSTS, MANY_HOSTS, PORTS_PER_HOST, Soak
from proofs._soak_plans import CHANGES, CRASHES, FAULTS, Plan
from standins.ports import free_ports


def _played(seed: int, hosts: int, folder, plan: Plan):
    ports = free_ports(hosts * PORTS_PER_HOST)
    return trio.run(Soak(seed, folder, ports, 8.0, plan).run)


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, HOSTS), (3, MANY_HOSTS)])
def test_promises_hold_while_faults_overlap(seed, hosts, tmp_path):
    """Callers send on while routers, the store and targets fail at random.

    Nothing runs twice that may not, nothing runs that was told not to have run,
    answers are whole and their own, no begun stream is cut without a reason, and all
    hosts serve again afterwards.
    """
    findings = _played(seed, hosts, tmp_path, FAULTS)
    assert findings.broken == []
    assert sum(findings.statuses.values()) > 100
    assert any("post 200" in name for name in findings.statuses)


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_no_begun_stream_is_cut_while_large_configurations_are_read(
    seed, hosts, tmp_path
):
    """A router whose slow link is taken by a configuration gives sound targets up."""
    findings = _played(seed, hosts, tmp_path, CHANGES)
    assert findings.broken == []
    assert findings.excused == 0
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_requests_that_crash_targets_are_sent_on_by_no_host(seed, hosts, tmp_path):
    """Guards against targets lost without end, and neighbours refused for it."""
    findings = _played(seed, hosts, tmp_path, CRASHES)
    assert findings.broken == []
    assert findings.crashes > 3
    assert findings.statuses["stream 200"] > 20
