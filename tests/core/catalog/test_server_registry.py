"""Know which servers take new work, in whatever order news arrives."""

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
    """Servers that leave."""

    def test_leaving_server_gets_nothing_new(self) -> None:
        book = ServerRegistry()
        register(book, server(), 1)
        assert register(book, server(is_leaving=True), 2)
        assert not is_ready(book, "s1", 0)
        assert ready_servers(book, "drafts", 0) == []

    def test_order_of_news_does_not_matter(self) -> None:
        for order in permutations([1, 2, 3]):
            book = ServerRegistry()
            for revision in order:
                if revision == 3:
                    remove(book, "s1", 3, 0, may_return=False)
                else:
                    register(book, server(is_leaving=revision == 2), revision)
            assert not is_ready(book, "s1", 0), order

    def test_address_used_again_belongs_to_the_new_entry(self) -> None:
        book = ServerRegistry()
        register(book, server(), 1)
        remove(book, "s1", 2, 0, may_return=False)
        assert register(book, server(address=81), 3)
        assert ready_servers(book, "drafts", 0)[0].port == 81


class TestLapsed:
    """Entries that vanished while the store was away."""

    def test_used_a_little_longer_and_then_gone(self) -> None:
        book = ServerRegistry()
        register(book, server(), 1)
        remove(book, "s1", 2, 0, may_return=True)
        assert is_ready(book, "s1", LAPSE_GRACE_MS - 1)
        assert not is_ready(book, "s1", LAPSE_GRACE_MS)
        assert drop_lapsed(book, LAPSE_GRACE_MS) == ["s1"]

    def test_back_in_time(self) -> None:
        book = ServerRegistry()
        register(book, server(), 1)
        remove(book, "s1", 2, 0, may_return=True)
        register(book, server(), 3)
        assert drop_lapsed(book, 10_000) == []
        assert is_ready(book, "s1", 10_000)

    def test_leaving_server_does_not_return(self) -> None:
        book = ServerRegistry()
        register(book, server(is_leaving=True), 1)
        remove(book, "s1", 2, 0, may_return=True)
        assert not is_ready(book, "s1", 1)
