"""Decode what other instances send, and reject malformed input."""

from random import Random
from typing import Any

import orjson
import pytest

from bramleyturn.core.crashes import (
    CRASH_RETENTION_MS,
    MAX_HINTS,
    CrashHint,
    PartMark,
    Suspects,
    connection_lost,
)
from bramleyturn.core.fleet.digest import MAX_ASKED_KEYS, MAX_ENTRIES
from bramleyturn.core.fleet.members import GOSSIP_MEMBERS
from bramleyturn.core.fleet.reports import NEWS_SIZE
from bramleyturn.core.fleet.store_revision import UNKNOWN_ERA, StoreRevision
from bramleyturn.core.placement.engine_queues import EngineNeed, EngineOption
from bramleyturn.core.placement.server_limits import LimitHint
from bramleyturn.core.poison import choose_hints
from bramleyturn.core.poison_parts import choose_part_hints
from bramleyturn.core.request_names import caller_fingerprint, part_name
from bramleyturn.gateway.crash_hints import encode_hints, encode_part_hints
from bramleyturn.gateway.heartbeats import decode_heartbeats
from bramleyturn.gateway.server_limits import MAX_SENT_LIMITS, encode_limits
from bramleyturn.gateway.stage_messages import (
    EngineAsk,
    EngineChosen,
    LateEngine,
    decode_ask,
    decode_engine_ask,
    decode_engine_chosen,
    decode_late_engine,
    encode_ask,
    encode_engine_ask,
    encode_engine_chosen,
    encode_late_engine,
)
from bramleyturn.gateway.store_relay import decode_relayed
from tests.core.pieces.test_handover import ask

HEARTBEAT: list[Any] = ["front-1", "north", "10.0.0.1:7740", "7-ab", 215, 9, 41, 0]
MARK: list[Any] = ["part", "workspace", 1, "request", 0, 0]
MESSAGE: dict[str, Any] = {"store_age_ms": 120, "heartbeats": [HEARTBEAT]}
RELAYED: dict[str, Any] = {
    "revision": 7,
    "age_ms": 30,
    "items": [["op/config", "e30=", 6], ["servers/i-1", None, 7]],
}


def with_field(document: dict[str, Any], name: str, value: Any) -> bytes:
    """Return a document with one field changed, as bytes."""
    return orjson.dumps({**document, name: value})


class TestHeartbeats:
    """Datagrams of other instances."""

    def test_decodes_the_sender_first(self) -> None:
        message = decode_heartbeats(orjson.dumps(MESSAGE))
        assert message is not None
        assert message.store_age_ms == 120
        sender = message.heartbeats[0]
        assert (sender.member.capacity, sender.beats) == (215, 9)
        assert sender.revision == StoreRevision(UNKNOWN_ERA, 41)

    @pytest.mark.parametrize(
        "datagram",
        [
            b"",
            b"[]",
            b"{",
            orjson.dumps([HEARTBEAT]),
            with_field(MESSAGE, "store_age_ms", -1),
            with_field(MESSAGE, "store_age_ms", "120"),
            with_field(MESSAGE, "heartbeats", []),
            with_field(MESSAGE, "heartbeats", [HEARTBEAT[:-1]]),
            with_field(MESSAGE, "heartbeats", [["", *HEARTBEAT[1:]]]),
            with_field(MESSAGE, "heartbeats", [[*HEARTBEAT[:2], "x", *HEARTBEAT[3:]]]),
            with_field(MESSAGE, "heartbeats", [HEARTBEAT] * 500),
            with_field(MESSAGE, "eras", 7),
            with_field(MESSAGE, "digest", 7),
            with_field(MESSAGE, "digest", "AAAA"),
            with_field(MESSAGE, "digest", "*"),
            with_field(MESSAGE, "digest", "A" * 8 * (MAX_ENTRIES + 1)),
            with_field(MESSAGE, "asked_keys", 7),
            with_field(MESSAGE, "asked_keys", [None]),
            with_field(MESSAGE, "eras", []),
            with_field(MESSAGE, "eras", ["x"]),
            with_field(MESSAGE, "configuration_version", "4"),
            with_field(MESSAGE, "crashes", 7),
            with_field(MESSAGE, "crashes", [["i-1@9", 40]]),
            with_field(MESSAGE, "crashes", [["i-1@9", "40", ["f"]]]),
            with_field(MESSAGE, "crashes", [[None, 40, ["f"]]]),
            with_field(MESSAGE, "crashes", [["i-1@9", 40, None]]),
            with_field(MESSAGE, "part_crashes", 7),
            with_field(MESSAGE, "part_crashes", [["i-1@9", 40]]),
            with_field(MESSAGE, "part_crashes", [["i-1@9", "40", [MARK]]]),
            with_field(MESSAGE, "part_crashes", [["i-1@9", 40, None]]),
            with_field(MESSAGE, "part_crashes", [["i-1@9", 40, [MARK[:-1]]]]),
            with_field(MESSAGE, "part_crashes", [["i-1@9", 40, [[7, *MARK[1:]]]]]),
            with_field(
                MESSAGE, "part_crashes", [["i-1@9", 40, [["p", "w", 0, "r", 0, 0]]]]
            ),
        ],
    )
    def test_rejects_malformed_input(self, datagram: bytes) -> None:
        assert decode_heartbeats(datagram) is None

    def test_decodes_the_eras_and_the_version_of_the_configuration(self) -> None:
        document = {**MESSAGE, "eras": [3], "configuration_version": 4}
        message = decode_heartbeats(orjson.dumps(document))
        assert message is not None
        assert message.heartbeats[0].revision == StoreRevision(3, 41)
        assert message.configuration_version == 4

    def test_largest_digest_and_answer_fit_in_a_datagram(self) -> None:
        heartbeat = ["front-" + "x" * 40, "zone-" + "x" * 20, *HEARTBEAT[2:]]
        digest = {**MESSAGE, "digest": "A" * 8 * MAX_ENTRIES}
        for rows, others in (
            (GOSSIP_MEMBERS + 1, digest),
            (MAX_ASKED_KEYS + 1, MESSAGE),
        ):
            document = {**others, "heartbeats": [heartbeat] * rows}
            document["eras"] = [2**31] * rows
            decoded = decode_heartbeats(orjson.dumps(document))
            assert decoded is not None
            assert len(decoded.heartbeats) == rows

    def test_decodes_crashes(self) -> None:
        crash = CrashHint("i-1@9", ("f1", "f2"), 40)
        document = {**MESSAGE, "crashes": encode_hints([crash])}
        message = decode_heartbeats(orjson.dumps(document))
        assert message is not None
        assert message.crashes == (crash,)

    def test_decodes_crashes_on_parts(self) -> None:
        marks = (PartMark("p1", "w", 1, "r"), PartMark("p2", "w", 3, "r"))
        crash = CrashHint("i-1@9", (), 40, ("p1",), marks, ("p2",))
        document = {**MESSAGE, "part_crashes": encode_part_hints([crash])}
        message = decode_heartbeats(orjson.dumps(document))
        assert message is not None
        assert message.crashes == (crash,)

    @pytest.mark.parametrize(
        "limit", [["i-1@9", 1.0], [1, 1.0, 0], ["i-1@9", -1, 0], ["i-1@9", 1, -5]]
    )
    def test_malformed_limits_are_dropped(self, limit: list[Any]) -> None:
        document = {**MESSAGE, "server_limits": [limit]}
        assert decode_heartbeats(orjson.dumps(document)) is None

    def test_most_limits_fit_in_a_datagram(self) -> None:
        limits = [
            LimitHint(f"i-{number:032x}@{2**41}", 123_456.789_012, 10**9)
            for number in range(MAX_SENT_LIMITS)
        ]
        document = {**MESSAGE, "server_limits": encode_limits(limits)}
        decoded = decode_heartbeats(orjson.dumps(document))
        assert decoded is not None
        assert decoded.server_limits == tuple(limits)

    def test_largest_message_fits_in_a_datagram(self) -> None:
        suspects = Suspects(CRASH_RETENTION_MS)
        for number in range(2 * MAX_HINTS):
            names = [
                caller_fingerprint("north", b"/%d/%d" % (number, each), b"")
                for each in range(200)
            ]
            server = f"i-{number:032x}@{2**41 + number}"
            marks = [
                PartMark(part_name("f" * 64 + str(each)), "ffffff", 99, name[:6])
                for each, name in enumerate(names)
            ]
            connection_lost(suspects, server, names, 1_000, marks)
        part_hints = choose_part_hints(suspects, Random(1), NEWS_SIZE.marks, 10_000)
        hints = choose_hints(suspects, Random(1), NEWS_SIZE.fingerprints, 10_000)
        heartbeat = ["front-" + "x" * 40, "zone-" + "x" * 20, *HEARTBEAT[2:]]
        document = {
            "store_age_ms": 10**9,
            "heartbeats": [heartbeat] * (GOSSIP_MEMBERS + 1),
            "eras": [2**31] * (GOSSIP_MEMBERS + 1),
            "configuration_version": 2**31,
            "crashes": encode_hints(hints),
            "part_crashes": encode_part_hints(part_hints),
        }
        decoded = decode_heartbeats(orjson.dumps(document))
        assert decoded is not None
        assert decoded.crashes == (*hints, *part_hints)
        assert sum(len(each.parts) for each in part_hints) == NEWS_SIZE.marks
        assert sum(len(each.fingerprints) for each in hints) == NEWS_SIZE.fingerprints


class TestRelayedItems:
    """Copies of the store's items."""

    def test_decodes_items_and_removals(self) -> None:
        relayed = decode_relayed(orjson.dumps(RELAYED), {})
        assert relayed is not None
        assert (relayed.revision, relayed.age_ms) == (StoreRevision(UNKNOWN_ERA, 7), 30)
        assert [item.value for item in relayed.items] == [b"{}", None]

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[1]",
            with_field(RELAYED, "revision", "7"),
            with_field(RELAYED, "age_ms", -1),
            with_field(RELAYED, "age_ms", None),
            with_field(RELAYED, "items", [["op/config", "not base64", 6]]),
            with_field(RELAYED, "items", [["op/config"]]),
            with_field(RELAYED, "era", "2"),
            with_field(RELAYED, "configuration", ["op/config"]),
        ],
    )
    def test_rejects_malformed_input(self, body: bytes) -> None:
        assert decode_relayed(body, {}) is None


class TestAsk:
    """Messages that ask for a stage."""

    def test_decodes_to_what_was_encoded(self) -> None:
        sent = ask("r")._replace(input_bytes=(("north", 9),))
        assert (
            decode_ask(orjson.loads(orjson.dumps(encode_ask(sent, 100))), 100) == sent
        )

    def test_decodes_what_is_needed_of_an_engine(self) -> None:
        options = (EngineOption("e0", "north"), EngineOption("e1", "south"))
        need = EngineNeed("part", 220, 60, options)
        sent = ask("r")._replace(engine_need=need, engine="e1")
        message = orjson.loads(orjson.dumps(encode_ask(sent, 100)))
        assert decode_ask(message, 100) == sent

    @pytest.mark.parametrize(
        "need",
        [
            7,
            [],
            ["part", 1, 2],
            ["part", "x", 2, []],
            ["part", -1, 2, []],
            ["part", 1, 10**9, []],
            ["part", 1, 2, [["e0"]]],
            ["part", 1, 2, [["e0", "north", 7]]],
        ],
    )
    def test_rejects_a_malformed_need_of_an_engine(self, need: Any) -> None:
        message = {**encode_ask(ask("r"), 0), "engine_need": need}
        assert decode_ask(message, 0) is None

    @pytest.mark.parametrize("field", ["attempt_id", "engine_need"])
    def test_rejects_an_ask_for_an_engine_that_lacks_a_field(self, field: str) -> None:
        need = EngineNeed("part", 220, 60, (EngineOption("e0", "north"),))
        message = encode_engine_ask(EngineAsk("r", need))
        assert decode_engine_ask(message) == EngineAsk("r", need)
        del message[field]
        assert decode_engine_ask(message) is None

    @pytest.mark.parametrize("field", ["attempt_id", "engine"])
    def test_rejects_a_chosen_engine_that_lacks_a_field(self, field: str) -> None:
        message = encode_engine_chosen(EngineChosen("r", "e0"))
        assert decode_engine_chosen(message) == EngineChosen("r", "e0")
        del message[field]
        assert decode_engine_chosen(message) is None

    @pytest.mark.parametrize("late_ms", [-1, 0.5, "9", None, True])
    def test_rejects_a_malformed_report_of_a_late_engine(self, late_ms: Any) -> None:
        message = encode_late_engine(LateEngine("e0", 700))
        assert decode_late_engine(message) == LateEngine("e0", 700)
        assert decode_late_engine({**message, "late_ms": late_ms}) is None
        assert decode_late_engine({**message, "engine": 7}) is None

    def test_ask_of_an_earlier_build_has_no_fingerprint(self) -> None:
        message = encode_ask(ask("r"), 0)
        del message["fingerprint"]
        decoded = decode_ask(message, 0)
        assert decoded is not None
        assert decoded == ask("r")._replace(fingerprint="")

    def test_ask_of_an_earlier_build_may_have_other_readers(self) -> None:
        message = encode_ask(ask("r")._replace(is_only_reader=True), 0)
        del message["is_only_reader"]
        decoded = decode_ask(message, 0)
        assert decoded is not None
        assert not decoded.is_only_reader

    @pytest.mark.parametrize(
        "field",
        sorted(encode_ask(ask("r"), 0).keys() - {"fingerprint", "is_only_reader"}),
    )
    def test_rejects_a_message_that_lacks_a_field(self, field: str) -> None:
        message = encode_ask(ask("r"), 0)
        del message[field]
        if field != "type":
            assert decode_ask(message, 0) is None
