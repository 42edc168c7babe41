"""Tests the operators' application with a small fleet in memory."""

import json

import pytest
import trio
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from radishfield.core import Profile, ResultCode, fault
from radishfield.edges import OperatorApp
from radishfield.edges.caller_test import exchange
from radishfield.fleet import Drain, FleetStatus, ProfileInZone
from radishfield.telemetry import RequestRecords, Telemetry

TOKEN = "a-token-of-enough-length"
REVIEW = {"name": "review", "model": "small", "priority": "high", "deadline_s": 90}


class MemoryFleet:
    """`FleetOperations` on a dict; a mismatched expected version is a conflict."""

    def __init__(self):
        self.by_name = {}
        self.drains = []

    async def publish_profile(self, profile):
        if profile.name in self.by_name:
            return Error(fault(ResultCode.CHANGE_CONFLICT, "the name is taken"))
        return self._store(profile, 1)

    async def change_profile(self, profile, expected_version=None):
        current = self.by_name[profile.name].version
        if expected_version not in (None, current):
            detail = f"version {current} won"
            return Error(fault(ResultCode.CHANGE_CONFLICT, detail))
        return self._store(profile, current + 1)

    async def retire_profile(self, name, expected_version=None):
        return await self.change_profile(
            Profile(name, "small", retired=True), expected_version
        )

    def _store(self, profile, version):
        fields = {name: getattr(profile, name) for name in Profile.__slots__}
        self.by_name[profile.name] = Profile(**fields | {"version": version})
        return Ok(self.by_name[profile.name])

    def list_profiles(self):
        return list(self.by_name.values())

    def show_profile(self, name):
        if name not in self.by_name:
            return Error(fault(ResultCode.OBJECT_NOT_FOUND, name))
        return Ok(self.by_name[name])

    async def drain(self, kind, id):
        self.drains.append((kind, id))
        return Ok(Drain(kind, id))

    async def undrain(self, kind, id):
        return Ok(Drain(kind, id, active=False))

    async def add_target(self, target):
        return Ok(target)

    async def add_host(self, host):
        return Ok(host)

    async def status(self):
        zones = tuple(
            ProfileInZone(name, "a", profile.version, profile.version, 2, 3)
            for name, profile in self.by_name.items()
        )
        return Ok(FleetStatus("entry-1", "a", (), (), (), zones, (), True, 0.5))


def make_app(fleet=None, records=None):
    return OperatorApp(
        fleet or MemoryFleet(), records or RequestRecords(), Telemetry(), TOKEN, "e-1"
    )


def ask(app, method, path, body=b"", token=TOKEN, scheme="Bearer"):
    headers = {"authorization": f"{scheme} {token}"}

    async def main():
        return await exchange(app, path, body, method, headers)

    return trio.run(main)


def test_profiles_are_published_shown_with_zones_changed_and_retired():
    app = make_app()
    published = ask(app, "POST", "/v1/profiles", REVIEW).json
    assert (published["version"], published["priority"]) == (1, "high")
    shown = ask(app, "GET", "/v1/profiles/review").json
    assert shown["zones"][0]["lowest_version"] == 1
    body = REVIEW | {"deadline_s": 60, "expected_version": 1}
    assert ask(app, "PUT", "/v1/profiles/review", body).json["version"] == 2
    retired = ask(app, "DELETE", "/v1/profiles/review", {"expected_version": 2}).json
    assert (retired["version"], retired["retired"]) == (3, True)
    (listed,) = ask(app, "GET", "/v1/profiles").json["profiles"]
    assert listed["retired"]


def test_conflicting_profile_change_reports_winning_version():
    app = make_app()
    ask(app, "POST", "/v1/profiles", REVIEW)
    body = REVIEW | {"expected_version": 1}
    assert ask(app, "PUT", "/v1/profiles/review", body).status == 200
    rejected = ask(app, "PUT", "/v1/profiles/review", body)
    assert (rejected.status, rejected.code) == (409, ResultCode.CHANGE_CONFLICT)
    assert "version 2 won" in rejected.json["error"]["message"]


@pytest.mark.parametrize(
    ("token", "scheme"), [("wrong", "Bearer"), ("", "Bearer"), (TOKEN, "Basic")]
)
def test_requests_without_valid_token_are_refused(token, scheme):
    fleet = MemoryFleet()
    app = make_app(fleet)
    for method, path in (("PUT", "/v1/drains/zone/a"), ("GET", "/metrics")):
        got = ask(app, method, path, token=token, scheme=scheme)
        assert (got.status, got.code) == (401, ResultCode.UNAUTHORIZED)
    assert not fleet.drains


def test_drains_targets_status_and_metrics():
    fleet = MemoryFleet()
    app = make_app(fleet)
    assert ask(app, "PUT", "/v1/drains/zone/duluth-hall").json["active"]
    assert fleet.drains == [("zone", "duluth-hall")]
    assert not ask(app, "DELETE", "/v1/drains/zone/duluth-hall").json["active"]
    target = {"id": "e", "host": "h", "zone": "a", "address": "127.0.0.1:1"}
    target |= {"model": "small", "first": 0, "end": 4, "model_layers": 16}
    assert ask(app, "POST", "/v1/targets", target).json["layers"]["end"] == 4
    assert ask(app, "GET", "/v1/status").json["host"] == "entry-1"
    assert b"radishfield_refusals_total" in ask(app, "GET", "/metrics").body


def test_request_is_explained_by_caller_id():
    records = RequestRecords()
    records.open("inside", "mine", "default", "review", 1.0)
    app = make_app(records=records)
    record = ask(app, "GET", "/v1/explain/mine").json["record"]
    assert record["request_id"] == "inside"
    assert record["events"][0]["kind"] == "received"
    assert ask(app, "GET", "/v1/explain/other").status == 404


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    method=st.sampled_from(["GET", "POST", "PUT", "DELETE"]),
    path=st.sampled_from(["/v1/profiles", "/v1/profiles/x", "/v1/targets", "/v1/hosts"])
    | st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20),
    body=st.binary(max_size=60)
    | st.dictionaries(
        st.sampled_from(["name", "model", "priority", "deadline_s", "id", "zone"]),
        st.none() | st.integers() | st.text(max_size=70) | st.floats(),
    ),
)
def test_any_input_is_answered_with_a_number(method, path, body):
    app = make_app()
    got = ask(app, method, path or "/", body)
    assert got.status != 500
    if got.status >= 400:
        code = json.loads(got.body)["error"]["code"]
        assert 2000 < code < 3000 or 5000 < code < 8000
