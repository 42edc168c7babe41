"""Tests of finding routes by host name and longest prefix, and workspaces by key."""

from radishfield.routing import (
    NoKeyNeeded,
    RouteKind,
    RouteRule,
    RoutingConfig,
    RoutingTable,
    ServiceShare,
    UnknownKey,
    Workspace,
)


def route(prefix, host="h.example", **changes):
    values = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "objective_s": 0.3,
        "priority": 1,
        "shares": (ServiceShare("s", 1.0),),
        "max_attempts": 2,
    }
    return RouteRule(**(values | changes))


def table(*routes, keys=None):
    config = RoutingConfig(1, routes, {}, keys or {}, keys_required=bool(keys))
    return RoutingTable(config)


def test_longest_matching_prefix_wins():
    found = table(route("/a/"), route("/a/b/"))
    assert found.match("h.example", "/a/b/c").name == "/a/b/"
    assert found.match("h.example", "/a/bc").name == "/a/"
    assert found.match("h.example", "/a/b/").name == "/a/b/"


def test_a_path_without_the_last_slash_of_the_prefix_does_not_match():
    assert table(route("/a/")).match("h.example", "/a") is None


def test_the_root_prefix_matches_every_path():
    assert table(route("/")).match("h.example", "/x").name == "/"


def test_routes_of_another_host_name_do_not_match():
    found = table(route("/a/"))
    assert found.match("other.example", "/a/x") is None
    assert found.match("H.example:8080", "/a/x") is not None


def test_keys_identify_the_workspace_and_public_routes_need_none():
    private, public = route("/a/"), route("/p/", public=True)
    found = table(private, public, keys={"k": Workspace("w")})
    assert found.identify(private, "k") == Workspace("w")
    assert found.identify(private, "other") == UnknownKey()
    assert found.identify(private, "") == UnknownKey()
    assert found.identify(public, "other") == NoKeyNeeded()


def test_without_workspaces_no_key_is_needed():
    private = route("/a/")
    assert table(private).identify(private, "") == NoKeyNeeded()
