"""Tests of the choice among other entry processes."""

from bramleyturn.core.events import ListedEntry
from bramleyturn.core.membership import Membership, apply_listed_entries
from bramleyturn.core.peers import answering_peers, reachable_peers
from bramleyturn.core.tickets import ProcessRef

NOW_MS = 1_000


class TestReachablePeers:
    def test_include_a_listed_peer_that_has_not_answered_yet(self) -> None:
        membership = Membership("entry-1", "duluth", ProcessRef("127.0.0.1:1", "a"))
        listed = ListedEntry("entry-2", "toledo", "127.0.0.1:2", leaving=False)
        apply_listed_entries(membership, [listed], NOW_MS)
        assert answering_peers(membership, NOW_MS) == []
        names = [peer.name for peer in reachable_peers(membership)]
        assert names == ["entry-2"]
