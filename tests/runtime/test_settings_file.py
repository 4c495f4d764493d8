"""Test reading settings from disk."""

from pathlib import Path

from bramleyturn.core.process_settings import ProcessSettings
from bramleyturn.runtime.settings_file import (
    Unreadable,
    read_folder,
    read_process_settings,
)


class TestReadFolder:
    def test_only_ini_files_are_read(self, tmp_path: Path) -> None:
        (tmp_path / "a.ini").write_text("[limits]\n")
        (tmp_path / "a.ini~").write_text("old")
        (tmp_path / "sub.ini").mkdir()
        assert read_folder(tmp_path) == {"a.ini": "[limits]\n"}

    def test_missing_folder(self, tmp_path: Path) -> None:
        missing = tmp_path / "missing"
        assert read_folder(missing) == Unreadable(missing, "No such file or directory")

    def test_folder_without_ini_files(self, tmp_path: Path) -> None:
        found = read_folder(tmp_path)
        assert found == Unreadable(tmp_path, "no .ini file in this folder")

    def test_file_in_another_encoding(self, tmp_path: Path) -> None:
        (tmp_path / "a.ini").write_bytes(b"# caf\xe9\n")
        found = read_folder(tmp_path)
        assert found == Unreadable(tmp_path / "a.ini", "not UTF-8 text (byte 5)")


class TestReadProcessSettings:
    def test_file_of_one_process(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.ini"
        path.write_text("[process]\nname = e\nzone = z\nlisten = 127.0.0.1:0\n")
        found = read_process_settings(path)
        assert isinstance(found, ProcessSettings)

    def test_missing_file(self, tmp_path: Path) -> None:
        found = read_process_settings(tmp_path / "entry.ini")
        assert isinstance(found, Unreadable)
