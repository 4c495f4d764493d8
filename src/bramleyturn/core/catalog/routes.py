"""Find the route, the workspace and the pool of a request."""

from collections.abc import Iterable
from typing import Final

from bramleyturn.core.catalog.model import PublishedConfiguration, Route, Workspace
from bramleyturn.core.short_hash import SHORT_HASH_BYTES, short_hash

HASH_RANGE: Final = 2 ** (8 * SHORT_HASH_BYTES)


class HostRoutes:
    """Hold the routes of one host by prefix, and the lengths of the prefixes.

    The time to find a route grows with the number of different lengths, not with the
    number of routes.
    """

    def __init__(self) -> None:
        self.by_prefix: dict[str, Route] = {}
        self.lengths: list[int] = []


class RouteIndex:
    """Hold the routes of one configuration by host.

    Of several routes with one prefix the first is used.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.by_host: dict[str, HostRoutes] = {}
        for route in routes:
            same_host = self.by_host.setdefault(route.host, HostRoutes())
            same_host.by_prefix.setdefault(route.prefix, route)
        for same_host in self.by_host.values():
            lengths = {len(prefix) for prefix in same_host.by_prefix}
            same_host.lengths = sorted(lengths, reverse=True)


def find_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Return the route of ``host`` with the longest prefix of ``path``."""
    same_host = index.by_host.get(_host_name(host))
    if same_host is None:
        return None
    for length in same_host.lengths:
        route = same_host.by_prefix.get(path[:length])
        if route is not None:
            return route
    return None


def workspaces_by_key(published: PublishedConfiguration) -> dict[str, Workspace]:
    """Return the workspaces by the keys of their callers."""
    return {
        key: workspace for workspace in published.workspaces for key in workspace.keys
    }


def choose_pool(route: Route, attempt_id: str) -> str:
    """Return the pool of a request, chosen among the route's targets by weight.

    The choice only depends on a hash of the request's id, so it never changes.
    """
    targets = [target for target in route.targets if target.weight > 0]
    if len(targets) == 1:
        return targets[0].pool
    digest = short_hash(attempt_id)
    total = sum(target.weight for target in targets)
    point = int.from_bytes(digest, "big") / HASH_RANGE * total
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.pool
    return targets[-1].pool


def _host_name(host: str) -> str:
    """Return the host without a port, in lower case."""
    name, separator, port = host.lower().rpartition(":")
    return name if separator and port.isdigit() else host.lower()
