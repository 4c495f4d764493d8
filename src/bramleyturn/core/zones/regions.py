"""Keep a request on the servers of the regions that its route and workspace allow."""

from collections.abc import Iterable, Mapping

from bramleyturn.core.catalog.model import BackendServer

# A route or workspace without a list of regions may use all of them.
Regions = frozenset[str]


def allowed_regions(route: Regions | None, workspace: Regions | None) -> Regions | None:
    """Return the regions that a request may reach, None if it may reach all.

    Where the route and the workspace both have a list, both apply.
    """
    if route is None or workspace is None:
        return workspace if route is None else route
    return route & workspace


def servers_in_regions(
    servers: Iterable[BackendServer],
    regions: Regions | None,
    region_by_zone: Mapping[str, str],
) -> list[BackendServer]:
    """Return the servers in ``regions``; a zone whose region is unknown is in none."""
    if regions is None:
        return list(servers)
    return [each for each in servers if region_by_zone.get(each.zone) in regions]
