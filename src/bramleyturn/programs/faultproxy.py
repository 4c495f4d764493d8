"""Run a TCP proxy that delays, cuts and truncates, for tests and trials."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, cast

import cappa
from twisted.internet import reactor as default_reactor
from twisted.internet.posixbase import PosixReactorBase

from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.standin.fault_proxy_http import host_proxy, parse_proxy_settings
from bramleyturn.standin.process import (
    fail,
    log_json_lines,
    read_settings_file,
    run,
)
from bramleyturn.standin.settings import SettingsFaults, describe


@cappa.command(name="bramleyturn-faultproxy")
@dataclass
class FaultProxyCommand:
    """Run a TCP proxy that delays, cuts and truncates.

    Prints one JSON line with the control address and the address of each link
    when all listen. Exit codes: 0 after SIGTERM, 2 for a bad settings file, 3 if an
    address is in use.
    """

    settings: Annotated[
        Path, cappa.Arg(help="INI file with [link NAME] and [control] sections.")
    ]


def main() -> None:
    """Run the program."""
    command = cappa.parse(FaultProxyCommand)
    settings = parse_proxy_settings(read_settings_file(command.settings))
    if isinstance(settings, SettingsFaults):
        fail(describe(settings, str(command.settings)))
    log_json_lines()
    reactor = cast(PosixReactorBase, default_reactor)
    run(reactor, lambda: host_proxy(settings, reactor, system_clock()))


if __name__ == "__main__":
    main()
