"""Run stand-ins of the users' platform, for tests and trials."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import orjson
from twisted.internet import reactor

from bramleyturn.programs.start import use_monotonic_time
from bramleyturn.runtime.event_loop import run_loop
from bramleyturn.runtime.lifecycle import stop_on_signals
from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.standin.site.deployment import read_deployment
from bramleyturn.standin.site.site import start_site


@cappa.command(name="bramleyturn-standin-site")
@dataclass
class StandinSite:
    """Run a store, engines, stage servers and plain services on one address.

    Prints one JSON line with the address of each when all listen.
    """

    host: Annotated[str, cappa.Arg(help="The IP number to listen on.")]
    deployment: Annotated[
        str, cappa.Arg(help="A JSON file with the pools and routes.")
    ] = ""


def main() -> None:
    """Run the program."""
    command = cappa.parse(StandinSite)
    loop: Any = reactor
    use_monotonic_time(loop)
    deployment = read_deployment(command.deployment)
    _, addresses = start_site(
        loop, system_clock().monotonic_ms, command.host, deployment
    )
    stop_on_signals(loop, lambda: loop.stop())
    ready = {"ready": True, "addresses": addresses}
    print(orjson.dumps(ready).decode(), flush=True)
    run_loop(loop)


if __name__ == "__main__":
    main()
