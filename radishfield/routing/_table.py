"""Finds the route and workspace of a request from its host name, path and key.

The index is built once per configuration version, so that with thousands of routes a
request costs a few dictionary look-ups instead of a scan.
"""

import msgspec

from radishfield.routing._types import RouteRule, RoutingConfig, Workspace


class UnknownKey(msgspec.Struct, frozen=True):
    """The request's key belongs to no workspace."""


class NoKeyNeeded(msgspec.Struct, frozen=True):
    """The route is public, or the configuration has no keys."""


Identity = Workspace | UnknownKey | NoKeyNeeded


class RoutingTable:
    """One configuration, indexed for look-ups."""

    __slots__ = ("config", "_route_by_prefix_by_host")

    def __init__(self, config: RoutingConfig):
        self.config = config
        self._route_by_prefix_by_host: dict[str, dict[str, RouteRule]] = {}
        for route in config.routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of the path, or None."""
        by_prefix = self._route_by_prefix_by_host.get(_without_port(host))
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def identify(self, route: RouteRule, key: str) -> Identity:
        """Return the workspace of a key, or why there is none."""
        if route.public or not self.config.keys_required:
            return NoKeyNeeded()
        return self.config.workspace_by_key.get(key) or UnknownKey()


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
