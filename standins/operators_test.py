"""Tests of the operator command line against a running entry host."""

import json

import httpcore
import pytest
from click.testing import CliRunner

from radishfield.scripts import main
from standins.fleet import OPERATOR_TOKEN, SmallFleet
from standins.launcher import chat, check_review, expected_text


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    small = SmallFleet(tmp_path_factory.mktemp("fleet"))
    try:
        small.start()
        yield small
    finally:
        small.stop()


@pytest.fixture
def operate(fleet, tmp_path):
    token_file = tmp_path / "token"
    token_file.write_text(OPERATOR_TOKEN)
    (entry,) = fleet.entries_by_id.values()
    env = {
        "RADISHFIELD_OPERATOR": f"127.0.0.1:{entry.operator_port}",
        "RADISHFIELD_TOKEN_FILE": str(token_file),
    }

    def run(*arguments, code=0):
        done = CliRunner().invoke(main, [*arguments, "--json"], env=env)
        assert done.exit_code == code, done.output
        return json.loads(done.output)

    return run


def test_published_profile_serves_requests_that_explain_shows(fleet, operate):
    publish = ("profiles", "publish", "notice", "--model", "small")
    assert operate(*publish, "--deadline-s", "20")["version"] == 1
    assert operate(*publish, code=3)["code"] == 7006
    (port,) = fleet.entry_ports
    response = chat(port, "notice", "Exit B is closed.", 5)
    assert response.text == expected_text("Exit B is closed.", 5)
    events = operate("explain", response.system_id)["record"]["events"]
    kinds = [event["kind"] for event in events]
    assert kinds == ["received", "queued", "dispatched", "ended"]
    assert len(events[2]["target_ids"]) == 4
    shown = operate("profiles", "show", "notice")
    assert [zone["lowest_version"] for zone in shown["zones"]] == [1]
    assert operate("profiles", "retire", "notice")["retired"]
    assert chat(port, "notice", "hello", 5).code == "2008"


def test_drained_target_is_listed_as_leaving_and_serves_after_undrain(fleet, operate):
    check_review(fleet.entry_ports[0])
    assert operate("drain", "target", "a-engine-0")["active"]
    listed = operate("targets", "list")["targets"]
    state = {target["id"]: target["state"] for target in listed}
    assert state["a-engine-0"] == "leaving" and state["a-engine-4"] == "live"
    assert chat(fleet.entry_ports[0], "review", "hello", 2).outcome == "not-run"
    assert not operate("undrain", "target", "a-engine-0")["active"]
    check_review(fleet.entry_ports[0])
    assert operate("status")["profiles_known"]


def test_metrics_count_requests_and_refusals(fleet, operate):
    (entry,) = fleet.entries_by_id.values()
    check_review(entry.caller_port)
    chat(entry.caller_port, "nobody", "hello", 2)
    scraped = httpcore.request(
        "GET",
        f"http://127.0.0.1:{entry.operator_port}/metrics",
        headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
    ).content.decode()
    value_by_name = dict(
        line.rsplit(" ", 1) for line in scraped.splitlines() if line[0] != "#"
    )
    refused = 'radishfield_refusals_total{code="2003",reason="unknown-profile"}'
    assert float(value_by_name[refused]) >= 1
    assert float(value_by_name["radishfield_tokens_total"]) >= 16
    assert "radishfield_in_flight" in value_by_name
