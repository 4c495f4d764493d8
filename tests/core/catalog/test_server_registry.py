"""Test which servers accept new work, in whatever order updates arrive."""

from itertools import permutations

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.server_registry import (
    LAPSE_GRACE_MS,
    ServerRegistry,
    drop_lapsed,
    is_ready,
    ready_servers,
    register,
    remove,
)


def server(is_leaving: bool = False, address: int = 80) -> BackendServer:
    """Return a server's entry."""
    return BackendServer(
        "s1", "drafts", "10.0.0.1", address, "z", "v", 6, is_leaving, 0, 0
    )


class TestLeaving:
    """Servers that are leaving."""

    def test_leaving_server_gets_no_new_work(self) -> None:
        registry = ServerRegistry()
        register(registry, server(), 1)
        assert register(registry, server(is_leaving=True), 2)
        assert not is_ready(registry, "s1", 0)
        assert ready_servers(registry, "drafts", 0) == []

    def test_order_of_updates_does_not_matter(self) -> None:
        for order in permutations([1, 2, 3]):
            registry = ServerRegistry()
            for revision in order:
                if revision == 3:
                    remove(registry, "s1", 3, 0, may_return=False)
                else:
                    register(registry, server(is_leaving=revision == 2), revision)
            assert not is_ready(registry, "s1", 0), order

    def test_address_used_again_belongs_to_the_new_entry(self) -> None:
        registry = ServerRegistry()
        register(registry, server(), 1)
        remove(registry, "s1", 2, 0, may_return=False)
        assert register(registry, server(address=81), 3)
        assert ready_servers(registry, "drafts", 0)[0].port == 81


class TestLapsed:
    """Entries that expired while the store was unavailable."""

    def test_server_is_dropped_after_the_grace_period(self) -> None:
        registry = ServerRegistry()
        register(registry, server(), 1)
        remove(registry, "s1", 2, 0, may_return=True)
        assert is_ready(registry, "s1", LAPSE_GRACE_MS - 1)
        assert not is_ready(registry, "s1", LAPSE_GRACE_MS)
        assert drop_lapsed(registry, LAPSE_GRACE_MS) == ["s1"]

    def test_server_that_registers_again_in_time_is_kept(self) -> None:
        registry = ServerRegistry()
        register(registry, server(), 1)
        remove(registry, "s1", 2, 0, may_return=True)
        register(registry, server(), 3)
        assert drop_lapsed(registry, 10_000) == []
        assert is_ready(registry, "s1", 10_000)

    def test_leaving_server_gets_no_grace_period(self) -> None:
        registry = ServerRegistry()
        register(registry, server(is_leaving=True), 1)
        remove(registry, "s1", 2, 0, may_return=True)
        assert not is_ready(registry, "s1", 1)
