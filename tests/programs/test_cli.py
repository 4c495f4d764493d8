"""Test the command line."""

import sys
from pathlib import Path

import pytest

from bramleyturn.programs.cli import main
from tests.platform.test_settings import TEXT as PLATFORM_SETTINGS
from tests.settings_cases import CASES, EXPECTED, VALID, read_faulty_case

SETTINGS_PAGE = Path(__file__).parents[2] / "docs" / "SETTINGS.md"


def run(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["bramleyturn", *arguments])
    with pytest.raises(SystemExit) as exit_info:
        main()
    code = exit_info.value.code
    assert isinstance(code, int)
    return code


class TestCheck:
    def test_valid_folder(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(monkeypatch, "check", str(VALID)) == 0
        assert "is valid: 3 pools, 2 servers" in capsys.readouterr().out

    def test_faulty_folder(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        for name, text in read_faulty_case("dangling-references").items():
            (tmp_path / name).write_text(text)
        assert run(monkeypatch, "check", str(tmp_path)) == 1
        expected = (CASES / "dangling-references" / EXPECTED).read_text()
        assert capsys.readouterr().out == expected

    def test_settings_of_a_process_on_the_platform(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        file = tmp_path / "local.conf"
        file.write_text(PLATFORM_SETTINGS)
        assert run(monkeypatch, "check", str(file)) == 0
        file.write_text(PLATFORM_SETTINGS.replace("graceS=8", "graceS=soon"))
        assert run(monkeypatch, "check", str(file)) == 1
        assert "bounds.graceS: expected a number" in capsys.readouterr().out

    def test_unreadable_folder(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
    ) -> None:
        assert run(monkeypatch, "check", str(tmp_path / "missing")) == 2


class TestExplain:
    def test_prints_each_value_with_file_and_line(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(monkeypatch, "explain", str(VALID)) == 0
        shown = capsys.readouterr().out
        assert "[pool drafting] model = draft-8b  ; 40-duluth.ini:2\n" in shown
        assert "[limits] max_attempts = 3  ; default\n" in shown
        assert "an-example-ticket-key" not in shown


class TestUsage:
    @pytest.mark.parametrize("arguments", [[], ["chek"], ["check"]])
    def test_wrong_usage(
        self, monkeypatch: pytest.MonkeyPatch, arguments: list[str]
    ) -> None:
        assert run(monkeypatch, *arguments) == 2

    def test_help_names_the_exit_codes(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(monkeypatch, "check", "--help") == 0
        assert "Exit code 0" in capsys.readouterr().out


class TestSettingsReference:
    def test_the_page_is_up_to_date(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(monkeypatch, "settings-reference") == 0
        assert capsys.readouterr().out == SETTINGS_PAGE.read_text()
