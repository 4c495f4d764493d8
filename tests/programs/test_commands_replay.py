"""Test `bramleyturn replay`."""

from pathlib import Path

import orjson
import pytest

from bramleyturn.bench.trace import Trace, write_trace
from tests.bench.test_replay import SETTINGS, trace
from tests.programs.test_cli import run

USER = "harbourview"


def write(folder: Path, stated: dict[str, float]) -> str:
    made = trace(USER, 30)
    stating = Trace(made.header._replace(stated=stated), made.requests)
    path = folder / "trace.jsonl"
    write_trace(path, stating)
    return str(path)


class TestReplay:
    def test_prints_figures_as_json(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        path = write(tmp_path, {"attainment": 0.9})
        settings = str(SETTINGS / USER)
        assert run(monkeypatch, "replay", path, "--settings", settings, "--json") == 0
        assert orjson.loads(capsys.readouterr().out)["attainment"] >= 0.9

    def test_reports_a_missed_outcome(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        path = write(tmp_path, {"offered": 0.5})
        settings = str(SETTINGS / USER)
        assert run(monkeypatch, "replay", path, "--settings", settings) == 1
        assert "stated 0.5000" in capsys.readouterr().err

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            (("--fault", "flood"), "unknown fault flood"),
            (("--policy", "best"), "unknown policy best"),
            (("--settings", "nowhere"), "cannot read nowhere"),
            (("--settings", str(SETTINGS / "lakeshore")), "unknown pipeline"),
        ],
    )
    def test_refuses_unusable_arguments(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
        arguments: tuple[str, str],
        message: str,
    ) -> None:
        path = write(tmp_path, {})
        given = ("--settings", str(SETTINGS / USER))
        used = arguments if arguments[0] == "--settings" else (*given, *arguments)
        assert run(monkeypatch, "replay", path, *used) == 2
        shown = capsys.readouterr()
        assert message in shown.err + shown.out
