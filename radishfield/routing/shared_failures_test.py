"""Tests of failed answers that are added up over hosts."""

from radishfield.routing import AnswerCounts, SharedFailures
from radishfield.routing._choice import MIN_EXCLUDED_SHARE
from radishfield.routing._shared_failures import (
    DECAY_S,
    FRESH_S,
    MAX_REPORTED,
    MIN_ANSWERS,
)


def test_failures_of_a_target_that_each_host_sees_once_add_up():
    """Guards against hosts that each need several failures to avoid a target."""
    hosts = [SharedFailures() for _ in range(60)]
    for number in range(int(MIN_ANSWERS) + 2):
        hosts[number].note("grey", True, 10.0)
        hosts[number].note("sound", False, 10.0)
    for number, host in enumerate(hosts):
        for other, reporter in enumerate(hosts):
            if other != number:
                host.learn(f"host-{other}", reporter.own(10.2), 10.2)
    for host in hosts:
        shares = host.share_by_id(10.3)
        assert shares["grey"] >= MIN_EXCLUDED_SHARE
        assert shares.get("sound", 0.0) == 0.0


def test_single_failure_is_no_reason_to_avoid_a_target():
    host = SharedFailures()
    host.note("t", True, 0.0)
    assert host.share_by_id(0.0) == {}


def test_target_that_recovers_is_tried_again():
    host, other = SharedFailures(), SharedFailures()
    for _ in range(5):
        other.note("t", True, 0.0)
    host.learn("other", other.own(0.0), 0.0)
    assert host.share_by_id(0.1)["t"] == 1.0
    assert host.share_by_id(FRESH_S) == {}
    assert other.own(10 * DECAY_S) == []


def test_report_is_bounded():
    """Guards against a status that fits no datagram while a whole service fails."""
    host = SharedFailures()
    for number in range(200):
        host.note(f"t{number}", True, 0.0)
    host.note("t7", True, 0.0)
    reported = host.own(0.0)
    assert len(reported) == MAX_REPORTED
    assert reported[0] == AnswerCounts("t7", 2.0, 2.0)
