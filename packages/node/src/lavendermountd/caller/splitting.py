"""Weighted distribution of the requests of one route among several services.

A request keeps its service through all retries. Requests that one service
can't take are not moved to another, so each service gets its configured share.
"""

from __future__ import annotations

from lavendermount_core.config.preset import RouteOptions

CurrentWeights = dict[int, dict[str, float]]


def choose_service(route: RouteOptions, weights: CurrentWeights) -> str:
    """Choose the service for a request of a route.

    Uses smooth weighted round robin: the service that is furthest behind its
    share is next, so short sequences of requests follow the weights too.

    :param route: the route.
    :param weights: current weights of the services, by route; updated in place.
    :returns: name of the service.
    """
    parts = [each for each in route.split if each.weight > 0]
    if not parts:
        return route.service
    current_weights = weights.setdefault(
        id(route),
        dict.fromkeys((each.service for each in parts), 0),
    )
    for part in parts:
        current_weights[part.service] += part.weight
    chosen = max((each.service for each in parts), key=current_weights.__getitem__)
    current_weights[chosen] -= sum(each.weight for each in parts)
    return chosen
