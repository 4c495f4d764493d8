"""Test which parts of a stage's input requests are taken to share."""

from typing import Any

import pytest

from bramleyturn.core.input_parts import MAX_INPUT_PARTS, input_parts


class TestMembers:
    """The members of an object are its parts."""

    def test_equal_members_of_different_inputs_have_the_same_name(self) -> None:
        one = input_parts({"class": "5b", "week": 1, "text": {"b": 1, "a": 2}})
        other = input_parts({"week": 2, "text": {"a": 2, "b": 1}, "class": "5b"})
        assert set(one) & set(other) == {one[0], one[2]}

    @pytest.mark.parametrize("value", ["text", 7, None, ["a", "b"], {}, {"a": 1}])
    def test_other_values_are_one_whole(self, value: Any) -> None:
        assert input_parts(value) == ()

    def test_their_number_is_limited(self) -> None:
        value = {str(number): number for number in range(3 * MAX_INPUT_PARTS)}
        assert len(input_parts(value)) == MAX_INPUT_PARTS
