"""Test that an odd entry of another writer does not keep the others from being read."""

import base64
from collections.abc import Callable

import orjson
import pytest

from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.gateway.store_copy import StoreCopy, take_changes, take_whole
from bramleyturn.gateway.store_relay import (
    decode_relayed,
    relay_document,
    take_relayed,
)
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.store import decode_changes, decode_page
from tests.gateway.store_fleet import StoreFleet
from tests.odd_entries import ODD_KEYS, SOUND, odd_entries

ENTRIES = odd_entries()
KNOWN = StoreRevision(1, 1)
SOUND_ENTRY = orjson.dumps(SOUND)
Items = list[tuple[str, bytes]]
Reading = Callable[[StoreCopy, Items], None]


def new_copy() -> StoreCopy:
    """Return a copy of the store that has nothing but a revision."""
    copy = StoreFleet(1, 1).instances[0].copy
    copy.on_new_revision = lambda: None
    take_whole(copy, [], KNOWN)
    return copy


def store_answer(field: str, items: Items) -> bytes:
    """Return an answer of the store with items in a field."""
    encoded = [
        {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": 2 + place,
        }
        for place, (key, value) in enumerate(items)
    ]
    return orjson.dumps({field: encoded, "currentRev": 2 + len(items)})


def read_list(copy: StoreCopy, items: Items) -> None:
    """Read the whole list."""
    page = decode_page(store_answer("items", items), 1)
    assert not isinstance(page, Malformed)
    take_whole(copy, page.items, page.revision)


def read_change(copy: StoreCopy, items: Items) -> None:
    """Read what a watch reports."""
    changes = decode_changes(store_answer("events", items), 1)
    assert not isinstance(changes, Malformed)
    take_changes(copy, changes.items, changes.revision)


def copy_changes(copy: StoreCopy, items: Items) -> None:
    """Copy the changes from another instance."""
    copy_relayed(copy, items, 1, 1)


def copy_list(copy: StoreCopy, items: Items) -> None:
    """Copy the whole list from another instance."""
    copy_relayed(copy, items, 0, 0)


def copy_relayed(copy: StoreCopy, items: Items, after: int, era: int) -> None:
    """Copy what another instance has after a revision."""
    other = new_copy()
    for place, (key, value) in enumerate(items):
        answer = decode_page(store_answer("items", [(key, value)]), 1)
        assert not isinstance(answer, Malformed)
        revision = StoreRevision(1, 2 + place)
        other.items[key] = answer.items[0]._replace(revision=revision)
    other.serving.freshness.revision = StoreRevision(1, 2 + len(items))
    relayed = decode_relayed(relay_document(other, after, era, ""), {})
    assert relayed is not None
    take_relayed(copy, relayed, relayed.revision)


@pytest.fixture(params=[read_list, read_change, copy_list, copy_changes])
def read(request: pytest.FixtureRequest) -> Reading:
    """Return one of the ways to read entries."""
    reading: Reading = request.param
    return reading


class TestOddEntries:
    """One entry among sound ones cannot be used."""

    @pytest.mark.parametrize("what", ENTRIES)
    def test_sound_entries_beside_an_odd_one_are_read(
        self, read: Reading, what: str
    ) -> None:
        copy = new_copy()
        items = [
            ("servers/a", SOUND_ENTRY),
            ("servers/b", ENTRIES[what]),
            ("servers/c", SOUND_ENTRY),
        ]
        read(copy, items)
        assert {"a", "c"} <= set(copy.serving.registry.entries)

    @pytest.mark.parametrize("what", [each for each in ENTRIES if "address" in each])
    def test_server_without_an_address_is_not_used(
        self, read: Reading, what: str
    ) -> None:
        copy = new_copy()
        read(copy, [("servers/a", ENTRIES[what])])
        assert not copy.serving.registry.entries

    def test_server_whose_entry_becomes_odd_is_not_used(self) -> None:
        copy = new_copy()
        read_change(copy, [("servers/a", SOUND_ENTRY)])
        odd = ("servers/a", ENTRIES["address: deep lists"])
        read_change(copy, [("servers/z", SOUND_ENTRY), odd])
        assert set(copy.serving.registry.entries) == {"z"}


class TestOddKeys:
    """The id of a server is sent in a header, so it has to fit into one."""

    @pytest.mark.parametrize("key", ODD_KEYS)
    def test_server_whose_id_fits_no_header_is_not_used(
        self, read: Reading, key: str
    ) -> None:
        copy = new_copy()
        read(copy, [(key, SOUND_ENTRY), ("servers/c", SOUND_ENTRY)])
        assert set(copy.serving.registry.entries) == {"c"}
