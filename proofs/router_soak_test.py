"""A short soak of the routers with fixed seeds, and each seed that ever failed."""

import pytest
import trio

from proofs._router_soak import HOSTS, MANY_HOSTS, PORTS_PER_HOST, Soak
from standins.ports import free_ports


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, HOSTS), (3, MANY_HOSTS)])
def test_promises_hold_while_faults_overlap(seed, hosts, tmp_path):
    """Callers send on while routers, the store and targets fail at random.

    Nothing runs twice that may not, nothing runs that was told not to have run,
    answers are whole and their own, and all hosts serve again afterwards.
    """
    soak = Soak(seed, tmp_path, free_ports(hosts * PORTS_PER_HOST), seconds=8.0)
    findings = trio.run(soak.run)
    assert findings.broken == []
    assert sum(findings.statuses.values()) > 100
    assert any("post 200" in name for name in findings.statuses)
