"""Release results, so that their space can be used again."""

from collections.abc import Iterable

from bramleyturn.core.pieces.held_results import remove_result
from bramleyturn.core.pieces.model import Release
from bramleyturn.core.pieces.planner import Planner


def withdraw(planner: Planner, ask_id: str) -> list[Release]:
    """Drop an ask that nobody waits for; return the results to release."""
    state = planner.asks.pop(ask_id, None)
    if state is None:
        return []
    return release(planner, [handle for handle, _ in state.made.values()])


def release(planner: Planner, handles: Iterable[str]) -> list[Release]:
    """Mark results as being released; return the releases to send to their servers.

    Their space counts as taken until the server confirms the release, since a call
    that overtakes the release would find the server full.
    """
    by_server: dict[str, list[str]] = {}
    for handle in handles:
        for server_id, server in planner.servers.items():
            results = server.results
            if handle in results.by_handle and handle not in results.releasing:
                results.releasing.add(handle)
                by_server.setdefault(server_id, []).append(handle)
                break
    return [
        Release(server_id, tuple(handles)) for server_id, handles in by_server.items()
    ]


def release_foreign(
    planner: Planner, server_id: str, handles: Iterable[str], size: int
) -> Release | None:
    """Release results that another planner had made on a server."""
    server = planner.servers.get(server_id)
    if server is None:
        return None
    known = server.results.by_handle
    unknown = tuple(handle for handle in handles if handle not in known)
    server.foreign_bytes = max(0, server.foreign_bytes - size * len(unknown))
    return Release(server_id, unknown) if unknown else None


def confirm_release(planner: Planner, confirmed: Release) -> None:
    """Free the space of results whose release a server has confirmed."""
    server = planner.servers.get(confirmed.server_id)
    if server is None:
        return
    server.full_until_ms = 0
    for handle in confirmed.handles:
        remove_result(server.results, handle)


def merge_releases(releases: Iterable[Release]) -> list[Release]:
    """Return one release for each server."""
    by_server: dict[str, list[str]] = {}
    for each in releases:
        by_server.setdefault(each.server_id, []).extend(each.handles)
    return [
        Release(server_id, tuple(handles)) for server_id, handles in by_server.items()
    ]
