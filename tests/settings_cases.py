"""Find and read the settings cases that several tests use."""

from pathlib import Path
from typing import Final

from bramleyturn.runtime.settings_file import Unreadable, read_folder

CASES: Final = Path(__file__).parent / "data" / "settings"
VALID: Final = CASES / "valid"
EXPECTED: Final = "expected.txt"


def faulty_cases() -> list[str]:
    """Return the names of the cases with faults."""
    return sorted(path.parent.name for path in CASES.glob(f"*/{EXPECTED}"))


def read_case(folder: Path) -> dict[str, str]:
    """Return the files of a case."""
    files = read_folder(folder)
    assert not isinstance(files, Unreadable), files
    return files


def read_faulty_case(case: str) -> dict[str, str]:
    """Return the files of a faulty case merged over the valid ones."""
    return {**read_case(VALID), **read_case(CASES / case)}
