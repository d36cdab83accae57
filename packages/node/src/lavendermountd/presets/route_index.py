"""Matches requests against routes.

:shapes: paths are matched by prefix, hosts without their port.
"""

from __future__ import annotations

from lavendermount_core.config.preset import PresetSchema, RouteOptions
from lavendermount_core.utils.steps import Steps


def matches(route: RouteOptions, host: str, method: str, path: str) -> bool:
    """Check whether a route matches a request by method, path and host.

    :param route: the route.
    :param host: host name in lower case, without the port.
    :param method: HTTP method of the request.
    :param path: request path, optionally with a query string.
    :returns: whether the route matches.
    """
    if route.methods and method not in route.methods:
        return False
    if not path.partition('?')[0].startswith(route.path):
        return False
    return not route.host or route.host.lower() == host


class RouteIndex:
    """Routes by host, sorted by descending length of their path prefix."""

    __slots__ = ('by_host',)

    def __init__(self) -> None:
        """Start without a route."""
        self.by_host: dict[str, list[RouteOptions]] = {}

    def find(self, host: str, method: str, path: str) -> RouteOptions | None:
        """Find the matching route with the longest path prefix.

        Routes for the exact host take precedence over routes for any host.

        :param host: host name in lower case, without the port.
        :param method: HTTP method of the request.
        :param path: request path, optionally with a query string.
        :returns: the route, or ``None`` if no route matches.
        """
        for name in (host, ''):
            for route in self.by_host.get(name, ()):
                if matches(route, host, method, path):
                    return route
        return None


def index_routes(schema: PresetSchema) -> Steps[RouteIndex]:
    """Sort the routes of a preset once, so that lookups do not have to.

    :param schema: preset that contains the routes.
    :returns: the index, built in steps of a route or of a host.
    """
    index = RouteIndex()
    for route in schema.route:
        index.by_host.setdefault(route.host.lower(), []).append(route)
        yield
    for routes in index.by_host.values():
        routes.sort(key=_prefix_length, reverse=True)
        yield
    return index


def _prefix_length(route: RouteOptions) -> int:
    return len(route.path)
