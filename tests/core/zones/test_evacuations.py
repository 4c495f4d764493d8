"""Test which zones are evacuated, whatever the store tells in which order."""

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.server_registry import (
    ServerRegistry,
    is_ready,
    ready_servers,
    register,
)
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.zones.evacuations import (
    EvacuationChange,
    Evacuations,
    is_evacuated,
    note_evacuation,
)
from bramleyturn.core.zones.regions import allowed_regions, servers_in_regions


def server(server_id: str, zone: str) -> BackendServer:
    """Return a server of a zone."""
    return BackendServer(server_id, "drafts", "10.0.0.1", 80, zone, "v", 6, False, 0, 5)


def registry_of(*zones: str) -> ServerRegistry:
    """Return a registry with one server in each zone, named after it."""
    registry = ServerRegistry()
    for zone in zones:
        register(registry, server(zone, zone), StoreRevision(1, 1))
    return registry


class TestEvacuations:
    """The entries that evacuate zones."""

    def test_zone_is_evacuated_until_its_entry_is_removed(self) -> None:
        known = Evacuations()
        started = note_evacuation(known, "north", True, False, 10)
        assert started is EvacuationChange.STARTED
        assert note_evacuation(known, "north", True, False, 20) is EvacuationChange.NONE
        assert is_evacuated(known, "north")
        assert not is_evacuated(known, "south")
        assert note_evacuation(known, "north", False, False, 30) is (
            EvacuationChange.ENDED
        )
        assert not is_evacuated(known, "north")
        assert known.ended_ms == {"north": 30}

    def test_older_copy_of_the_store_does_not_end_it(self) -> None:
        # Otherwise work would go to a zone that the operator was told is evacuated.
        known = Evacuations()
        note_evacuation(known, "north", True, False, 10)
        assert note_evacuation(known, "north", False, True, 20) is EvacuationChange.KEPT
        assert is_evacuated(known, "north")
        note_evacuation(known, "north", True, False, 30)
        note_evacuation(known, "north", False, False, 40)
        assert not is_evacuated(known, "north")


class TestServers:
    """The servers of evacuated zones."""

    def test_they_get_no_new_work(self) -> None:
        registry = registry_of("north", "south")
        note_evacuation(registry.evacuations, "north", True, False, 0)
        assert [each.id for each in ready_servers(registry, "drafts", 0)] == ["south"]
        assert not is_ready(registry, "north", 0)
        note_evacuation(registry.evacuations, "north", False, False, 5)
        assert is_ready(registry, "north", 5)

    def test_none_is_left_once_all_zones_are_evacuated(self) -> None:
        # A fallback to some server would break the operator's order.
        registry = registry_of("north", "south")
        for zone in ("north", "south"):
            note_evacuation(registry.evacuations, zone, True, False, 0)
        assert not ready_servers(registry, "drafts", 0)


class TestRegions:
    """Routes and workspaces that are kept in regions."""

    def test_both_lists_apply(self) -> None:
        lakes, coast = frozenset({"lakes"}), frozenset({"coast"})
        assert allowed_regions(None, None) is None
        assert allowed_regions(lakes, None) == lakes
        assert allowed_regions(None, coast) == coast
        assert allowed_regions(lakes, coast) == frozenset()

    def test_servers_elsewhere_are_left_out(self) -> None:
        servers = [server("a", "north"), server("b", "south"), server("c", "unknown")]
        regions = {"north": "lakes", "south": "coast"}
        lakes = frozenset({"lakes"})
        assert servers_in_regions(servers, lakes, regions) == servers[:1]
        assert servers_in_regions(servers, frozenset(), regions) == []
        assert servers_in_regions(servers, None, regions) == servers
