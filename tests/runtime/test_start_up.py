"""Test when a starting process takes callers."""

from twisted.internet.task import Clock

from bramleyturn.runtime.start_up import (
    LIST_WAIT_S,
    StartUp,
    note_configuration,
    note_list,
)


class TestStartUp:
    def started(self) -> tuple[Clock, StartUp, list[str]]:
        clock = Clock()
        calls: list[str] = []
        return clock, StartUp(clock, lambda: calls.append("ready")), calls

    def test_ready_once_configuration_and_list_are_known(self) -> None:
        _, start_up, calls = self.started()
        note_configuration(start_up)
        assert calls == []
        note_list(start_up)
        assert calls == ["ready"]

    def test_waits_for_the_configuration_without_limit(self) -> None:
        clock, start_up, calls = self.started()
        note_list(start_up)
        clock.advance(100 * LIST_WAIT_S)
        assert calls == []

    def test_ready_without_the_list_after_a_timeout(self) -> None:
        clock, start_up, calls = self.started()
        note_configuration(start_up)
        clock.advance(LIST_WAIT_S)
        assert calls == ["ready"]

    def test_ready_is_called_once(self) -> None:
        clock, start_up, calls = self.started()
        for _ in range(2):
            note_list(start_up)
            note_configuration(start_up)
        clock.advance(LIST_WAIT_S)
        assert calls == ["ready"]
