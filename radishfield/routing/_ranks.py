"""The order of urgency among requests, by their workspace and their route.

A workspace's own priority goes before the route's.  Among requests of workspaces of one
priority the route decides, so that a customer's drafts still go before its overnight
plans.
"""

from radishfield.routing._types import RouteRule, RoutingConfig, Workspace

ROUTE_PRIORITIES = 10
"""Priorities that routes are told apart by: 0 to 9, as targets take them."""
MAX_PRIORITY = ROUTE_PRIORITIES - 1


def rank_of(route: RouteRule, workspace: Workspace | None) -> int:
    """Return the rank of a request, 0 the first."""
    by_route = _bounded(route.priority)
    own = workspace.priority if workspace is not None else None
    first = by_route if own is None else _bounded(own)
    return first * ROUTE_PRIORITIES + by_route


def ranks_of(config: RoutingConfig, service: str) -> list[int]:
    """Return the ranks that requests for a service may have, the first one first."""
    routes = [
        route
        for route in config.routes
        if any(share.service == service for share in route.shares)
    ]
    priorities = {item.priority for item in config.workspace_by_key.values()}
    if not priorities:
        # Requests have no workspace, or only those to public routes are served.
        priorities = {None}
    return sorted(
        {
            rank_of(route, Workspace("", priority))
            for route in routes
            for priority in priorities
        }
    )


def _bounded(priority: int) -> int:
    return min(MAX_PRIORITY, max(0, priority))
