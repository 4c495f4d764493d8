"""Test the helper that starts programs for tests."""

from pathlib import Path

import pytest

from tests.http_calls import call
from tests.processes import (
    NotReadyError,
    freeze,
    kill,
    output_of,
    running,
    start,
    stop,
    thaw,
)

MODULE = "bramleyturn.programs.standin"
SETTINGS = "[server a]\nkind = encoder\nmodel = m\nlisten = 127.0.0.1:0\n"


class TestStart:
    def test_reports_why_a_program_is_not_ready(self, tmp_path: Path) -> None:
        with pytest.raises(NotReadyError, match="exit code 2") as raised:
            start(MODULE, "[platform]\n", tmp_path)
        assert "listen: is missing" in str(raised.value)

    def test_gives_each_program_its_own_files(self, tmp_path: Path) -> None:
        started = [start(MODULE, SETTINGS, tmp_path) for _ in range(2)]
        try:
            assert started[0].name != started[1].name
            assert "ready" in output_of(started[0])
        finally:
            assert [stop(process) for process in started] == [0, 0]


class TestEnd:
    def test_block_that_fails_ends_the_process(self, tmp_path: Path) -> None:
        with (
            pytest.raises(ZeroDivisionError),
            running(MODULE, SETTINGS, tmp_path) as process,
        ):
            raise ZeroDivisionError
        assert process.process.poll() == 0

    def test_kill_and_stop_of_a_frozen_process(self, tmp_path: Path) -> None:
        killed, frozen = (start(MODULE, SETTINGS, tmp_path) for _ in range(2))
        assert kill(killed) == -9
        freeze(frozen)
        thaw(frozen)
        assert call(frozen.addresses["a"], "GET", "/healthz").status == 200
        freeze(frozen)
        assert stop(frozen) == 0
