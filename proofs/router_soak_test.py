"""A short soak of the routers with fixed seeds, and each seed that ever failed."""

import pytest
import trio

from proofs._router_soak import HOSTS, MANY_HOSTS, PORTS_PER_HOST, Soak
from proofs._soak_plans import (
    CHANGES,
    CRASHES,
    DRILLS,
    FAULTS,
    LIMITS,
    NOTICES,
    PARTS,
    STUTTER,
    Plan,
)
from standins.ports import free_ports


def _run_soak(seed: int, hosts: int, folder, plan: Plan):
    ports = free_ports(hosts * PORTS_PER_HOST)
    return trio.run(Soak(seed, folder, ports, 8.0, plan).run)


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, HOSTS), (3, MANY_HOSTS)])
def test_promises_hold_while_faults_overlap(seed, hosts, tmp_path):
    """Callers keep sending while routers, the store and targets fail at random.

    No request that may run only once runs twice, none that was reported as not run
    has run, answers are complete and belong to their request, no started stream is
    aborted without a reason, and all hosts serve again afterwards.
    """
    findings = _run_soak(seed, hosts, tmp_path, FAULTS)
    assert findings.violations == []
    assert sum(findings.statuses.values()) > 100
    assert any("post 200" in name for name in findings.statuses)


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_no_begun_stream_is_cut_while_large_configurations_are_read(
    seed, hosts, tmp_path
):
    """Guards against loss of healthy targets when a configuration fills a slow link."""
    findings = _run_soak(seed, hosts, tmp_path, CHANGES)
    assert findings.violations == []
    assert findings.excused == 0
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_requests_that_crash_targets_are_sent_on_by_no_host(seed, hosts, tmp_path):
    """Guards against endless target crashes and refusals of other requests for them."""
    findings = _run_soak(seed, hosts, tmp_path, CRASHES)
    assert findings.violations == []
    assert findings.crashes > 3
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_parts_that_crash_targets_are_sent_on_by_no_host(seed, hosts, tmp_path):
    """Guards against endless crashes by requests that share only a part."""
    findings = _run_soak(seed, hosts, tmp_path, PARTS)
    assert findings.violations == []
    assert findings.crashes > 3
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_targets_get_no_more_than_the_limits_that_they_name(seed, hosts, tmp_path):
    """Guards against limits that are forgotten where hosts stop and start."""
    findings = _run_soak(seed, hosts, tmp_path, LIMITS)
    assert findings.violations == []
    assert findings.limits > 1
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_targets_get_the_rest_that_they_ask_for(seed, hosts, tmp_path):
    """Guards against notices of targets that are lost where hosts stop and start."""
    findings = _run_soak(seed, hosts, tmp_path, NOTICES)
    assert findings.violations == []
    assert findings.rests > 1
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(1, HOSTS), (2, MANY_HOSTS)])
def test_promises_hold_while_the_store_comes_back_from_copies(seed, hosts, tmp_path):
    """Guards against what hosts read of a store that has forgotten its last writes."""
    findings = _run_soak(seed, hosts, tmp_path, DRILLS)
    assert findings.violations == []
    assert findings.faults.count("drill") > 1
    assert findings.statuses["stream 200"] > 20


@pytest.mark.parametrize(("seed", "hosts"), [(5, HOSTS)])
def test_callers_get_the_answers_that_stuttering_targets_gave_them(
    seed, hosts, tmp_path
):
    """Guards against second answers that alter the next one on a kept connection."""
    findings = _run_soak(seed, hosts, tmp_path, STUTTER)
    assert findings.violations == []
    assert findings.doubled > 50
    assert findings.statuses["stream 200"] > 20
    assert findings.reads[0] > 200
