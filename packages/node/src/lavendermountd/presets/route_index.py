"""Matching requests with routes.

:shapes: a path is matched by prefix, a host without its port.
"""

from __future__ import annotations

from lavendermount_core.config.preset import PresetSchema, RouteOptions


def matches(route: RouteOptions, host: str, method: str, path: str) -> bool:
    """Whether a route matches by method, path and host.

    :param host: name of the host in lower case, without port.
    :param path: path, perhaps with a query.
    """
    if route.methods and method not in route.methods:
        return False
    if not path.partition('?')[0].startswith(route.path):
        return False
    return not route.host or route.host.lower() == host


class RouteIndex:
    """Routes by host, those with the longest prefix first.

    :param schema: whose routes are listed.
    """

    __slots__ = ('by_host',)

    def __init__(self, schema: PresetSchema) -> None:
        """Order the routes once for all requests."""
        self.by_host: dict[str, list[RouteOptions]] = {}
        for route in sorted(schema.route, key=_prefix_length, reverse=True):
            self.by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, method: str, path: str) -> RouteOptions | None:
        """Find the route with the longest prefix.

        Routes of the very host go before those of any host.
        """
        for name in (host, ''):
            for route in self.by_host.get(name, ()):
                if matches(route, host, method, path):
                    return route
        return None


def _prefix_length(route: RouteOptions) -> int:
    return len(route.path)
