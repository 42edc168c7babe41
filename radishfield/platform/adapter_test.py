"""Tests of the adapter between the platform's names and formats and the project's."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishfield.core import ResultCode
from radishfield.platform import (
    TargetRequestFacts,
    caller_headers,
    decode_config,
    decode_report,
    decode_target,
    encode_place_order,
    encode_repath_order,
    parse_rate_limit,
    read_answer,
    read_request,
    router_answer_headers,
    target_headers,
)
from radishfield.platform._requests import MAX_SHARED_PARTS
from radishfield.routing import (
    LayerSpan,
    NoKeyNeeded,
    PathStage,
    RouteKind,
    RoutingTable,
    TargetPhase,
    UnknownKey,
    Workspace,
)

ENTRY = {
    "service": "pool",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "kind": "l4",
    "layers": {"from": 20, "target": 31, "version": 2},
    "born": 1700000000123,
    "unheardOf": {"x": 1},
}
ROUTE = {
    "name": "r-1",
    "host": "H.example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 20000,
    "sloMs": 500,
    "priority": 1,
    "split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 200,
}


def test_entry_decodes_to_target_and_unknown_fields_are_ignored():
    target = decode_target("i-1", ENTRY).ok
    assert target.incarnation == ("i-1", 1700000000123)
    assert target.phase is TargetPhase.READY
    assert target.span == LayerSpan(20, 31)
    assert target.weights_version == 2
    assert target.accelerator == "l4"


@pytest.mark.parametrize(
    "spec",
    [
        None,
        [],
        "ready",
        {},
        ENTRY | {"addr": None},
        ENTRY | {"addr": "10.0.0.9"},
        ENTRY | {"addr": "10.0.0.9:http"},
        ENTRY | {"state": "resting"},
        ENTRY | {"state": 1},
        ENTRY | {"slots": "many"},
        ENTRY | {"layers": {"from": "0"}},
        ENTRY | {"born": "yesterday"},
        ENTRY | {"addr": "10.0.0.9\ufffd:8080"},
        ENTRY | {"addr": "10.0.0..9:8080"},
        ENTRY | {"addr": ".10.0.0.9:8080"},
        ENTRY | {"addr": "10.0.0.9:\u00b2"},
        ENTRY | {"addr": "10.0.0.9:65536"},
        ENTRY | {"addr": "10.0.0.9:0"},
        ENTRY | {"addr": "0.0.0.0:8080"},
        ENTRY | {"addr": "10.0.0.9:8080\n"},
        ENTRY | {"addr": "host.example:8080"},
        ENTRY | {"zone": "a\ufffd"},
        ENTRY | {"service": "po\nol"},
        ENTRY | {"version": None},
        ENTRY | {"slots": 0},
        ENTRY | {"slots": 10**30},
        ENTRY | {"born": 1 << 70},
        ENTRY | {"born": -1},
        ENTRY | {"layers": {"from": -3, "target": 4, "version": 1}},
        ENTRY | {"layers": {"from": 5, "target": 4, "version": 1}},
        ENTRY | {"layers": {"from": 0, "target": 4, "version": 1 << 70}},
        {name: value for name, value in ENTRY.items() if name != "slots"},
        {name: value for name, value in ENTRY.items() if name != "seq"},
    ],
)
def test_malformed_entry_of_another_writer_is_rejected(spec):
    problem = decode_target("i-1", spec).error
    assert problem.code is ResultCode.PLATFORM_MALFORMED
    assert "i-1" in problem.detail


@pytest.mark.parametrize("target_id", ["", "i\n1", "i 1", "i-\u00e9", "i" * 257])
def test_entry_whose_name_is_no_header_value_is_rejected(target_id):
    """Guards against requests that the HTTP library refuses to send."""
    assert decode_target(target_id, ENTRY).is_error()


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"seq": 1' + b"0" * 30 + b"}",
        b'{"born": -1}',
        b'{"kvUsed": -5}',
        b'{"stalled": "\xff"}',
        b'{"layers": {"from": 4, "target": 2}}',
    ],
)
def test_report_out_of_range_is_a_malformed_answer(body):
    """Guards against numbers and nesting that raise where a report is used."""
    assert decode_report(body).error.code is ResultCode.MALFORMED_ANSWER


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists))
def test_decoding_an_entry_never_raises(spec):
    decode_target("i-1", spec)
    decode_target("i-1", ENTRY | {"state": spec, "layers": spec})


def test_empty_layer_range_decodes_to_no_span():
    empty = {"from": 0, "target": 0, "version": 0}
    assert decode_target("i-1", ENTRY | {"layers": empty}).ok.span is None
    assert decode_target("i-1", ENTRY | {"layers": None}).ok.span is None


def test_configuration_decodes_to_routes_services_and_workspaces():
    spec = {
        "version": 7,
        "routes": [ROUTE, ROUTE | {"pathPrefix": "/b/", "kind": "other"}],
        "services": [{"name": "x", "engine": {"layers": 80, "slots": 96}}],
        "limits": {"idleTimeoutMs": 15000},
        "tenants": [{"name": "w", "apiKeys": ["k1", "k2"], "priority": 1}],
    }
    config = decode_config(spec).ok
    first, second = config.routes
    assert (first.host, first.kind) == ("h.example", RouteKind.STREAM)
    assert (first.timeout_s, first.objective_s) == (20.0, 0.5)
    assert [share.service for share in first.shares] == ["x", "y"]
    assert second.kind is RouteKind.ONCE
    assert config.workspace_by_key["k2"] == Workspace("w", 1)
    assert config.keys_required
    assert config.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize("tenants", [[], None, [{"name": "w"}]])
def test_configuration_whose_last_workspace_is_gone_admits_no_key(tenants):
    """Guards against routes that are open to everybody once nobody has a key."""
    spec = {"version": 1, "routes": [ROUTE, ROUTE | {"public": True}]}
    config = decode_config(spec | {"tenants": tenants}).ok
    table = RoutingTable(config)
    private, public = config.routes
    assert table.identify(private, "any-key") == UnknownKey()
    assert table.identify(public, "") == NoKeyNeeded()
    without = RoutingTable(decode_config(spec).ok)
    assert without.identify(private, "") == NoKeyNeeded()


@pytest.mark.parametrize(
    "spec", [None, {}, {"version": -1}, {"version": 1, "routes": 3}]
)
def test_malformed_configuration_gives_a_fault(spec):
    assert decode_config(spec).error.code is ResultCode.PLATFORM_MALFORMED


def test_request_headers_may_be_missing_or_malformed():
    facts = read_request([(b"host", b"h"), (b"x-deadline-ms", b"soon")])
    assert facts.deadline_s is None
    assert (facts.prompt_tokens, facts.key) == (0, "")
    facts = read_request(
        [
            (b"authorization", b"Token k1"),
            (b"x-deadline-ms", b"1500"),
            (b"x-token-counts", b"1460,80"),
            (b"x-length-hint", b"70"),
        ]
    )
    assert (facts.key, facts.deadline_s) == ("k1", 1.5)
    assert (facts.prompt_tokens, facts.max_answer_tokens) == (1460, 80)
    assert facts.expected_answer_tokens == 70


@pytest.mark.parametrize(
    ("prefix", "parts"),
    [
        (b"", ()),
        (b"5c1e07a2:800", ()),
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b" a:1 , b:2 ,c:3", ("a", "b")),
        # An empty item after the last part leaves it the last one.
        (b"a:1,,b:2,c:3,, ", ("a", "b")),
        (b"a,b:,c:x:y,:5,own:1", ("a", "b", "c")),
        (b"a:1,a:1,own:1", ("a", "a")),
    ],
)
def test_shared_parts_of_a_prompt_are_all_but_the_last(prefix, parts):
    facts = read_request([(b"x-prompt-prefix", prefix)])
    assert facts.shared_parts == parts


def test_parts_in_several_header_lines_are_one_list():
    """Guards against a part that is overlooked since another line follows."""
    facts = read_request([(b"x-prompt-prefix", b"a:1,b:1"), (b"x-prompt-prefix", b"c")])
    assert facts.shared_parts == ("a", "b")


def test_parts_of_a_huge_prompt_are_bounded():
    """Guards against memory and time that grow with the number of parts."""
    prefix = b",".join(b"%x:1" % number for number in range(10_000))
    facts = read_request([(b"x-prompt-prefix", prefix)])
    assert len(facts.shared_parts) == MAX_SHARED_PARTS
    assert facts.shared_parts[:3] == ("0", "1", "2")


@given(st.lists(st.tuples(st.binary(max_size=12), st.binary(max_size=12)), max_size=8))
def test_reading_headers_never_raises(headers):
    read_request(headers)
    read_answer(200, headers)


def test_target_headers_carry_the_remaining_time_and_no_key():
    """A caller sends headers that only the router may set.

    If they were forwarded, a caller could claim another workspace or choose the
    targets.
    """
    caller = [
        (b"host", b"h"),
        (b"authorization", b"Token k1"),
        (b"x-tenant", b"another"),
        (b"x-hop-count", b"1.2.3.4:5=0-80"),
        (b"x-expect-instance", b"i-9"),
        (b"x-deadline-ms", b"99999"),
        (b"connection", b"keep-alive, x-private"),
        (b"x-private", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"x-model", b"m"),
    ]
    path = (PathStage("i-1", "10.0.0.1:80", LayerSpan(0, 80)),)
    facts = TargetRequestFacts("i-1", 1.25, "w", path, b"12", priority=1)
    sent = dict(target_headers(caller, facts, body_bytes=3))
    assert sent == {
        b"host": b"h",
        b"x-model": b"m",
        b"x-deadline-ms": b"1250",
        b"x-expect-instance": b"i-1",
        b"x-tenant": b"w",
        b"x-hop-count": b"10.0.0.1:80=0-80",
        b"last-event-id": b"12",
        b"x-request-priority": b"1",
        b"content-length": b"3",
    }


def test_answer_headers_are_read():
    facts = read_answer(503, [(b"X-Not-Executed", b"1"), (b"At-Server", b"1.2.3.4:5")])
    assert facts.not_run and facts.faulty_address == "1.2.3.4:5"
    assert read_answer(421, []).not_run
    assert not read_answer(503, []).not_run
    facts = read_answer(
        200, [(b"Connection", b"close"), (b"Keep-Alive", b"timeout=5, max=3")]
    )
    assert facts.closes and facts.idle_s == 5.0


def test_hop_by_hop_headers_do_not_reach_the_caller():
    headers = [(b"Connection", b"close"), (b"Keep-Alive", b"timeout=5"), (b"X-A", b"1")]
    assert caller_headers(headers) == [(b"x-a", b"1")]


def test_router_answers_carry_request_id_and_retry_after():
    headers = dict(router_answer_headers("r1", 0.25))
    assert headers[b"x-request-id"] == b"r1"
    assert headers[b"retry-after"] == b"0.25"
    assert b"retry-after" not in dict(router_answer_headers("r1", None))


def test_orders_and_reports_use_the_targets_format():
    order = msgspec.json.decode(encode_place_order(LayerSpan(20, 31), 9, 2))
    assert order == {
        "operation": "place",
        "strategy": "queue",
        "from": 20,
        "target": 31,
        "fence": 9,
        "expectRev": 2,
    }
    path = (
        PathStage("i-1", "10.0.0.1:80", LayerSpan(0, 20)),
        PathStage("i-2", "10.0.0.2:80", LayerSpan(20, 80)),
    )
    repath = msgspec.json.decode(encode_repath_order("r1", path))
    assert repath["path"] == "10.0.0.1:80=0-20,10.0.0.2:80=20-80"
    report = decode_report(
        b'{"busy":true,"seq":2,"waiting":1,"running":12,"kvUsed":41000,"kvTotal":9e4,'
        b'"stalled":[{"id":"r1","addr":"10.0.0.2:80"}],"pace":1.5}'
    ).ok
    assert (report.busy, report.order_count, report.pace) == (True, 2, 1.5)
    assert report.stalled == (("r1", "10.0.0.2:80"),)
    assert decode_report(b"[]").is_error()
    assert decode_report(b"\xff").is_error()


@pytest.mark.parametrize(
    ("text", "per_s"), [("3", 3.0), ("4.4", 4.4), ("0", 0.0), (".5", 0.5), ("2.", 2.0)]
)
def test_a_named_rate_limit_is_read(text, per_s):
    facts = read_answer(200, [(b"Server-Limit", f" {text} ".encode())])
    assert parse_rate_limit(facts.rate_limit) == per_s


@pytest.mark.parametrize(
    "text", ["", "many", "-1", "+1", "1e9", "nan", "inf", "1,5", "1 2", "٣", "9" * 40]
)
def test_a_rate_limit_that_is_no_decimal_number_is_not_read(text):
    assert parse_rate_limit(text) is None


def test_rest_and_leaving_are_read_from_any_answer():
    headers = [
        (b"Retry-After", b"2"),
        (b"retry-after", b" 5"),
        (b"Server-Leaving", b"1"),
    ]
    facts = read_answer(503, headers)
    assert facts.rest_s == "2, 5"
    assert facts.leaves
    assert not read_answer(200, [(b"server-leaving", b"0")]).leaves
    assert read_answer(200, []).rest_s == ""
