"""Tests of the authentication of peer messages and the protection from replays."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.peer_message import (
    MAX_SENDERS,
    REPLAY_WINDOW_MESSAGES,
    MessageFault,
    MessageKind,
    MessageRefused,
    PeerMessage,
    SenderWindows,
    check_answer,
    check_fresh,
    decode_message,
    encode_message,
    message_macs,
)
from bramleyturn.core.tickets import ProcessRef

ME = ProcessRef("10.0.0.1:1", "aa")
PEER = ProcessRef("10.0.0.1:2", "bb")
OLD = "the key before, 16 or more"
NEW = "the key of today, 16 or more"
HELLO = PeerMessage(PEER, "peer", "zone-1", 7, MessageKind.HELLO, {"a": 1}, 1, "aa", 0)


def numbered(sequence: int, to: str = "aa", sender: ProcessRef = PEER) -> PeerMessage:
    return HELLO._replace(sequence=sequence, to=to, sender=sender)


class TestKeys:
    @pytest.mark.parametrize(
        ("sender_keys", "receiver_keys"),
        [
            ((OLD, ""), (OLD, "")),
            ((NEW, OLD), (OLD, "")),
            ((OLD, ""), (NEW, OLD)),
            ((NEW, OLD), (NEW, "")),
            ((NEW, ""), (NEW, OLD)),
        ],
    )
    def test_each_step_of_a_key_rotation_is_accepted_by_the_next(
        self, sender_keys: tuple[str, str], receiver_keys: tuple[str, str]
    ) -> None:
        packed = encode_message(HELLO)
        macs = message_macs(packed, sender_keys)
        assert decode_message(packed, macs, receiver_keys) == HELLO

    @pytest.mark.parametrize(
        ("macs_of", "receiver_keys"),
        [((OLD,), (NEW, "")), ((), (NEW, OLD)), (("",), ("", "")), ((NEW,), ("", ""))],
    )
    def test_message_without_a_valid_mac_is_refused(
        self, macs_of: tuple[str, ...], receiver_keys: tuple[str, str]
    ) -> None:
        packed = encode_message(HELLO)
        refused = decode_message(packed, message_macs(packed, macs_of), receiver_keys)
        assert refused == MessageRefused(MessageFault.BAD_MAC)

    @settings(derandomize=True)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_altered_message_is_refused(self, place: int, flip: int) -> None:
        packed = bytearray(encode_message(HELLO))
        macs = message_macs(bytes(packed), (NEW,))
        packed[place % len(packed)] ^= flip
        refused = decode_message(bytes(packed), macs, (NEW, OLD))
        assert refused == MessageRefused(MessageFault.BAD_MAC)

    def test_unknown_member_is_ignored(self) -> None:
        packed = encode_message(HELLO).replace(b'{"from"', b'{"later":[1],"from"')
        macs = message_macs(packed, (NEW,))
        assert decode_message(packed, macs, (NEW,)) == HELLO


class TestReplay:
    def test_number_is_accepted_once(self) -> None:
        senders = SenderWindows()
        assert check_fresh(senders, numbered(5), ME) is None
        assert check_fresh(senders, numbered(5), ME) is MessageFault.REPLAYED

    def test_number_below_the_window_is_refused(self) -> None:
        senders = SenderWindows()
        check_fresh(senders, numbered(REPLAY_WINDOW_MESSAGES + 1), ME)
        assert check_fresh(senders, numbered(2), ME) is None
        assert check_fresh(senders, numbered(1), ME) is MessageFault.REPLAYED
        assert check_fresh(senders, numbered(0), ME) is MessageFault.REPLAYED

    @settings(derandomize=True)
    @given(st.permutations(range(1, 60)), st.lists(st.integers(1, 59), max_size=30))
    def test_any_order_within_the_window_is_accepted_exactly_once(
        self, order: list[int], again: list[int]
    ) -> None:
        senders = SenderWindows()
        assert all(check_fresh(senders, numbered(each), ME) is None for each in order)
        assert all(check_fresh(senders, numbered(each), ME) for each in again)

    def test_message_to_another_incarnation_is_refused(self) -> None:
        fault = check_fresh(SenderWindows(), numbered(1, to="former"), ME)
        assert fault is MessageFault.OTHER_INCARNATION

    def test_windows_of_restarted_senders_are_bounded(self) -> None:
        senders = SenderWindows()
        for number in range(MAX_SENDERS + 10):
            sender = ProcessRef(PEER.address, f"run-{number}")
            assert check_fresh(senders, numbered(1, sender=sender), ME) is None
        assert len(senders.windows) == MAX_SENDERS


class TestAnswer:
    asked = PeerMessage(ME, "me", "zone-0", 7, MessageKind.HELLO, {}, 12, "bb", 0)
    answer = HELLO._replace(to="aa", answers=12)

    def test_valid_answer_is_accepted(self) -> None:
        assert check_answer(self.answer, self.asked, ME) is None

    def test_answer_to_an_earlier_message_is_refused(self) -> None:
        earlier = self.answer._replace(answers=11)
        assert check_answer(earlier, self.asked, ME) is MessageFault.REPLAYED

    def test_answer_of_another_incarnation_is_refused(self) -> None:
        other = self.answer._replace(sender=ProcessRef(PEER.address, "cc"))
        fault = check_answer(other, self.asked, ME)
        assert fault is MessageFault.OTHER_INCARNATION

    def test_answer_to_another_process_is_refused(self) -> None:
        fault = check_answer(self.answer._replace(to="zz"), self.asked, ME)
        assert fault is MessageFault.OTHER_INCARNATION
