"""Run stand-ins for backend servers and the platform, for tests and trials."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, cast

import cappa
from twisted.internet import reactor as default_reactor
from twisted.internet.posixbase import PosixReactorBase

from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.standin.hosting import host_all
from bramleyturn.standin.process import (
    fail,
    log_json_lines,
    read_settings_file,
    run,
)
from bramleyturn.standin.settings import SettingsFaults, describe, parse_settings


@cappa.command(name="bramleyturn-standin")
@dataclass
class StandinCommand:
    """Run stand-ins for backend servers and the platform.

    Prints one JSON line with the address of each when all listen, and logs JSON
    lines on standard error. Exit codes: 0 after SIGTERM, 2 for a bad settings
    file, 3 if an address is in use.
    """

    settings: Annotated[
        Path, cappa.Arg(help="INI file with [server NAME] and [platform] sections.")
    ]


def main() -> None:
    """Run the program."""
    command = cappa.parse(StandinCommand)
    settings = parse_settings(read_settings_file(command.settings))
    if isinstance(settings, SettingsFaults):
        fail(describe(settings, str(command.settings)))
    log_json_lines()
    reactor = cast(PosixReactorBase, default_reactor)
    run(
        reactor,
        lambda: {"addresses": host_all(settings, reactor, system_clock())},
    )


if __name__ == "__main__":
    main()
