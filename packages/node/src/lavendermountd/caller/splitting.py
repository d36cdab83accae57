"""Sharing the requests of one route among several services.

A request keeps its service through all retries: what does not fit one part
is not moved to another, so each part gets its share of the requests.
"""

from __future__ import annotations

from lavendermount_core.config.preset import RouteOptions

Turns = dict[int, dict[str, float]]


def choose_service(route: RouteOptions, turns: Turns) -> str:
    """Choose the service that answers a request of a route.

    Smooth weighted round robin: the part that is furthest behind its share
    is next, so every short sequence keeps the weights too.

    :param route: the route.
    :param turns: what each part is behind, by route; changed here.
    """
    parts = [each for each in route.split if each.weight > 0]
    if not parts:
        return route.service
    current_weights = turns.setdefault(
        id(route),
        dict.fromkeys((each.service for each in parts), 0),
    )
    for part in parts:
        current_weights[part.service] += part.weight
    chosen = max((each.service for each in parts), key=current_weights.__getitem__)
    current_weights[chosen] -= sum(each.weight for each in parts)
    return chosen
